#include <stdlib.h>
#include <string.h>

#include "lookup.h"
#include "mechanism.h"

/* A question crosses a domain boundary and returns in about 11 ms; an agent on
 * 0.15 of a core needs a few more while many flows are looked for. */
#define ASK_INTERVAL (40 * PLUG_MSEC)

/* The own domain is asked first; the others when all of it has answered, or has
 * not by then. */
#define WIDEN_TIME (25 * PLUG_MSEC)

/* Agents that do not answer are asked at growing intervals, up to this one. */
#define ASK_INTERVAL_MAX (320 * PLUG_MSEC)

/* A lookup lasts as long as a client may go on sending into a flow: eight
 * retransmissions of a FIN take 11 s. Segments at wrong hosts count until one
 * reaches the right host, however long that takes, so a second lookup must not
 * ask further hosts. */
#define LOOKUP_TIME (15 * PLUG_SEC)

/* What was kept for longer is not sent on: its client has sent it again, or has
 * given up. */
#define SAVED_TIME PLUG_SEC

/* While a host that may hold the flow hasn't answered, at most this many others
 * are asked by a segment: three segments at wrong hosts and none at the right
 * one count as a broken flow. */
#define PROBES_WITHOUT_ANSWER 2

/* Hosts that are asked by one notice: 240 bytes beside the segment. */
#define PROBES_PER_NOTICE 60

/* A probe that has been without an answer for this long is repeated: a host
 * that was just starting has not read it. A living host returns it within a few
 * milliseconds, and agents take 250 ms to tell that one is dead. */
#define PROBE_INTERVAL (300 * PLUG_MSEC)

/* An agent that has left so many questions unanswered, 0.3 s, and whose host is
 * no longer listed, is gone. One question or its answer may be lost. */
#define SILENT_ASKS 4

/* Answers are acted on when the last one is there, or after this time. */
#define STEP_INTERVAL (10 * PLUG_MSEC)

/**
 * plug_lookup_create() - start looking for the host of a flow
 * @flow: flow
 * @now: time
 *
 * Return: the lookup, or NULL when memory ran out.
 */
struct plug_lookup *
plug_lookup_create(struct plug_entry_flow *flow, plug_time now)
{
	struct plug_lookup *lookup = calloc(1, sizeof(*lookup));

	if (lookup == NULL)
		return NULL;
	lookup->flow = flow;
	lookup->started = now;
	lookup->last_round = now;
	lookup->probes_started = now;
	lookup->ask_interval = ASK_INTERVAL;
	lookup->hosts_outdated = true;
	return lookup;
}

/**
 * plug_lookup_destroy() - free a lookup that no list holds
 * @lookup: lookup
 */
void
plug_lookup_destroy(struct plug_lookup *lookup)
{
	free(lookup->hosts);
	free(lookup);
}

/**
 * plug_lookup_save_segment() - keep a segment until the host is found
 * @lookup: lookup
 * @segment: segment of the client; dropped when enough are kept, since the
 *   client sends it again
 */
void
plug_lookup_save_segment(
    struct plug_lookup *lookup, const struct plug_segment *segment)
{
	unsigned int i = lookup->saved_count;

	lookup->ack = segment->ack;
	/* Hosts are asked by the first one; only data has an answer. */
	if (segment->len > 0 && !lookup->has_data) {
		lookup->has_data = true;
		i = 0;
	}
	if (segment->len > 0 || (segment->flags & PLUG_SEGMENT_FIN) != 0)
		lookup->expects_reply = true;
	if (i == PLUG_LOOKUP_SAVED_MAX || segment->bytes.len > PLUG_SEGMENT_MAX)
		return;
	memcpy(lookup->saved[i], segment->bytes.data, segment->bytes.len);
	lookup->saved_len[i] = segment->bytes.len;
	if (i == lookup->saved_count)
		lookup->saved_count++;
}

/* First host whose agent isn't below this one; @count when there is none. */
static unsigned int
agent_position(const struct plug_lookup *lookup, uint32_t agent)
{
	unsigned int low = 0, high = lookup->host_count;

	while (low < high) {
		unsigned int middle = low + (high - low) / 2;

		if (lookup->hosts[middle].agent < agent)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct plug_lookup_host *
find_agent(const struct plug_lookup *lookup, uint32_t agent)
{
	unsigned int i = agent_position(lookup, agent);

	return i < lookup->host_count && lookup->hosts[i].agent == agent
		   ? &lookup->hosts[i]
		   : NULL;
}

/* Return: the new host, or NULL when memory ran out. */
static struct plug_lookup_host *
add_agent(struct plug_lookup *lookup, uint32_t agent)
{
	unsigned int i = agent_position(lookup, agent);
	struct plug_lookup_host *hosts =
	    realloc(lookup->hosts, (lookup->host_count + 1) * sizeof(*hosts));

	if (hosts == NULL)
		return NULL;
	lookup->hosts = hosts;
	memmove(hosts + i + 1, hosts + i,
	    (lookup->host_count - i) * sizeof(*hosts));
	lookup->host_count++;
	hosts[i] = (struct plug_lookup_host){ .agent = agent };
	return &hosts[i];
}

/**
 * plug_lookup_record_answer() - an agent has answered
 * @lookup: lookup
 * @agent: address of its machine
 * @holding: answer
 */
void
plug_lookup_record_answer(
    struct plug_lookup *lookup, uint32_t agent, Plug__Holding holding)
{
	struct plug_lookup_host *host = find_agent(lookup, agent);

	if (host == NULL)
		host = add_agent(lookup, agent);
	else if (!host->answered && lookup->unanswered_count > 0)
		lookup->unanswered_count--;
	if (host == NULL)
		return;
	host->answered = true;
	host->holding = (uint8_t)holding;
	if (holding == PLUG__HOLDING__YES)
		lookup->holder = agent;
}

/**
 * plug_lookup_was_probed() - whether a host was asked by the first kept segment
 * @lookup: lookup
 * @agent: address of its machine
 */
bool
plug_lookup_was_probed(const struct plug_lookup *lookup, uint32_t agent)
{
	const struct plug_lookup_host *host = find_agent(lookup, agent);

	return host != NULL && host->probed;
}

/* Takes over a new host list: hosts that were asked stay, and one that a list
 * lacks which isn't trusted counts as listed. */
static void
merge_list(
    struct plug_lookup *lookup, const struct plug_fleet *fleet, uint32_t domain)
{
	const struct plug_fleet_agent *agent = fleet->agents;
	const struct plug_fleet_agent *end = agent + fleet->agent_count;
	unsigned int i = 0, count = 0;
	bool listed;
	struct plug_lookup_host *hosts = malloc(
	    (lookup->host_count + fleet->agent_count + 1) * sizeof(*hosts));

	if (hosts == NULL)
		return;
	while (i < lookup->host_count || agent < end) {
		if (i < lookup->host_count &&
		    (agent == end ||
			lookup->hosts[i].agent <= agent->address)) {
			hosts[count] = lookup->hosts[i++];
			listed =
			    agent < end && agent->address == hosts[count].agent;
			hosts[count++].listed = listed || !fleet->authoritative;
			if (listed)
				agent++;
			continue;
		}
		if (lookup->all_domains || agent->domain == domain)
			hosts[count++] = (struct plug_lookup_host){
				.agent = agent->address,
				.listed = true,
			};
		agent++;
	}
	free(lookup->hosts);
	lookup->hosts = hosts;
	lookup->host_count = count;
	lookup->hosts_outdated = false;
}

static void
ask(const struct plug_lookup *lookup, struct plug_lookup_host *host,
    struct plug_questions *questions)
{
	const struct plug_question question = {
		.agent = host->agent,
		.ack = lookup->ack,
		.tuple = lookup->flow->conn.tuple,
	};

	if (host->ask_count < UINT8_MAX)
		host->ask_count++;
	plug_questions_add(questions, &question);
}

/* Asks hosts by the first segment that was kept. The agent of the first one
 * hands it on to the others: a segment for each of many hosts would fill the
 * entry's link, which may be a hundred times slower than theirs. */
static void
probe(struct plug_lookup *lookup, struct plug_lookup_host *const *hosts,
    unsigned int count, const struct plug_track_driver *driver)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Locate locate = PLUG__LOCATE__INIT;
	Plug__Question question = PLUG__QUESTION__INIT, *list = &question;
	Plug__Tuple tuple = PLUG__TUPLE__INIT;
	uint32_t others[PROBES_PER_NOTICE];

	if (count == 0 || lookup->saved_count == 0)
		return;
	plug_tuple_write(&lookup->flow->conn.tuple, &tuple);
	question.tuple = &tuple;
	question.ack = lookup->ack;
	question.segment = plug_track_segment_field((struct plug_str){
	    (const char *)lookup->saved[0], lookup->saved_len[0] });
	locate.n_questions = 1;
	locate.questions = &list;
	for (unsigned int i = 0; i < count; i++) {
		hosts[i]->probed = true;
		if (i > 0)
			others[i - 1] = hosts[i]->agent;
	}
	locate.n_relay_to = count - 1;
	locate.relay_to = others;
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOCATE;
	notice.locate = &locate;
	plug_track_notify(driver, hosts[0]->agent, &notice);
}

static bool
is_gone(const struct plug_lookup_host *host)
{
	return !host->answered && !host->listed &&
	       host->ask_count >= SILENT_ASKS;
}

/**
 * plug_lookup_first_undecided() - an agent that has not said yes or no
 * @lookup: lookup
 *
 * Return: the first one, or NULL when there is none.
 */
const struct plug_lookup_host *
plug_lookup_first_undecided(const struct plug_lookup *lookup)
{
	for (unsigned int i = 0; i < lookup->host_count; i++) {
		const struct plug_lookup_host *host = &lookup->hosts[i];

		if (!is_gone(host) &&
		    (!host->answered || host->holding == PLUG__HOLDING__UNSURE))
			return host;
	}
	return NULL;
}

struct tally {
	unsigned int silent;
	unsigned int unsure;
	unsigned int probed;
};

static struct tally
count_answers(struct plug_lookup *lookup)
{
	struct tally tally = { 0, 0, 0 };

	for (unsigned int i = 0; i < lookup->host_count; i++) {
		const struct plug_lookup_host *host = &lookup->hosts[i];

		if (host->probed)
			tally.probed++;
		if (is_gone(host))
			continue;
		if (!host->answered)
			tally.silent++;
		else if (host->holding == PLUG__HOLDING__UNSURE)
			tally.unsure++;
	}
	lookup->unanswered_count = tally.silent;
	return tally;
}

static void
repeat_probes(struct plug_lookup *lookup, plug_time now)
{
	if (now - lookup->probes_started < PROBE_INTERVAL)
		return;
	lookup->probes_started = now;
	lookup->probe_round++;
	for (unsigned int i = 0; i < lookup->host_count; i++)
		lookup->hosts[i].probed = false;
}

/* Hosts whose agents can't tell are asked by a segment: all of them, again and
 * again, when every other agent has answered, else only as many as can do no
 * harm, and once. */
static void
probe_unsure(struct plug_lookup *lookup, plug_time now, struct tally tally,
    const struct plug_track_driver *driver)
{
	struct plug_lookup_host *group[PROBES_PER_NOTICE];
	unsigned int allowed = PROBES_WITHOUT_ANSWER, count = 0;
	/* Flows, later lookups and repetitions begin with other hosts. */
	uint64_t first = plug_tuple_hash(&lookup->flow->conn.tuple) +
			 (uint64_t)(lookup->started / LOOKUP_TIME) +
			 lookup->probe_round;

	if (tally.silent == 0) {
		allowed = lookup->host_count;
		repeat_probes(lookup, now);
	}
	for (unsigned int i = 0; i < lookup->host_count; i++) {
		struct plug_lookup_host *host =
		    &lookup->hosts[(first + i) % lookup->host_count];

		if (!host->answered || host->probed ||
		    host->holding != PLUG__HOLDING__UNSURE)
			continue;
		if (tally.probed++ >= allowed)
			break;
		group[count++] = host;
		if (count == PROBES_PER_NOTICE ||
		    !plug_built_with(PLUG_MECHANISM_RELAY)) {
			probe(lookup, group, count, driver);
			count = 0;
		}
	}
	probe(lookup, group, count, driver);
}

static void
ask_silent(
    struct plug_lookup *lookup, plug_time now, struct plug_questions *questions)
{
	bool due = now - lookup->last_round >= lookup->ask_interval;

	for (unsigned int i = 0; i < lookup->host_count; i++) {
		struct plug_lookup_host *host = &lookup->hosts[i];

		if (!host->answered && (host->ask_count == 0 || due))
			ask(lookup, host, questions);
	}
	if (!due)
		return;
	lookup->last_round = now;
	if (lookup->ask_interval < ASK_INTERVAL_MAX)
		lookup->ask_interval *= 2;
}

/* Every host that may hold the flow has said no. That holds only for an exact
 * host list, read after the lookup began. */
static enum plug_lookup_verdict
conclude(struct plug_lookup *lookup, const struct plug_fleet *fleet,
    const struct plug_track_driver *driver)
{
	static const struct plug_track_action refresh = {
		.kind = PLUG_TRACK_REFRESH_HOSTS,
	};

	if (!lookup->expects_reply)
		return PLUG_LOOKUP_UNDECIDED;
	if (fleet->consistent_read_at >= lookup->started)
		return fleet->authoritative ? PLUG_LOOKUP_ABSENT
					    : PLUG_LOOKUP_UNDECIDED;
	if (!lookup->refresh_requested) {
		lookup->refresh_requested = true;
		plug_track_emit(driver, &refresh);
	}
	return PLUG_LOOKUP_PENDING;
}

/**
 * plug_lookup_step() - go on after an answer, a new host list or some time
 * @lookup: lookup
 * @now: time
 * @fleet: snapshot in force
 * @domain: hash of the own domain's name
 * @driver: handlers
 * @questions: receives the questions to send
 *
 * A flow is absent only when an exact host list, read after the lookup began,
 * shows no host that has not said so: the host of a flow was listed before the
 * flow was opened.
 *
 * Return: the verdict; the lookup is over unless it is PLUG_LOOKUP_PENDING. For
 * PLUG_LOOKUP_FOUND, @lookup->holder is the machine that has the flow.
 */
enum plug_lookup_verdict
plug_lookup_step(struct plug_lookup *lookup, plug_time now,
    const struct plug_fleet *fleet, uint32_t domain,
    const struct plug_track_driver *driver, struct plug_questions *questions)
{
	struct tally tally;

	if (lookup->holder != 0) {
		if (now - lookup->started > SAVED_TIME)
			lookup->saved_count = 0;
		return PLUG_LOOKUP_FOUND;
	}
	if (now - lookup->started >= LOOKUP_TIME || fleet == NULL)
		return PLUG_LOOKUP_UNDECIDED;
	if (!lookup->hosts_outdated && lookup->unanswered_count > 0 &&
	    now < lookup->next_step)
		return PLUG_LOOKUP_PENDING;
	lookup->next_step = now + STEP_INTERVAL;
	if (lookup->hosts_outdated)
		merge_list(lookup, fleet, domain);
	if (!lookup->all_domains && (now - lookup->started >= WIDEN_TIME ||
					count_answers(lookup).silent == 0)) {
		lookup->all_domains = true;
		merge_list(lookup, fleet, domain);
	}
	ask_silent(lookup, now, questions);
	tally = count_answers(lookup);
	if (tally.unsure > 0 && lookup->all_domains && lookup->expects_reply)
		probe_unsure(lookup, now, tally, driver);
	if (tally.silent + tally.unsure > 0 || !lookup->all_domains)
		return PLUG_LOOKUP_PENDING;
	return conclude(lookup, fleet, driver);
}
