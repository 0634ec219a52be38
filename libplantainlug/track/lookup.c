#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "lookup.h"
#include "mechanism.h"

/* Time from the first question to an agent until it is repeated. The round trip
 * of a question to another failure domain takes about 11 ms; an agent on 0.15
 * of a core adds a few more while many lookups are in progress. */
#define ASK_INTERVAL (40 * PLUG_MSEC)

/* The agents in the entry's own domain are asked first, and those in the other
 * domains once all of these have answered, or after this time. */
#define ALL_DOMAINS_DELAY (25 * PLUG_MSEC)

/* Agents that don't answer are asked again at intervals that double until they
 * reach this one. */
#define ASK_INTERVAL_MAX (320 * PLUG_MSEC)

/* If a lookup takes longer, its saved segments are not forwarded: their client
 * sends them again or has given up. */
#define SAVED_AGE_MAX PLUG_SEC

/* While any agent hasn't answered, at most this many other hosts are probed
 * with a segment of the flow. The metric of broken flows (see docs/platform.md)
 * counts a flow of which three segments reached wrong hosts and none the right
 * one. They add up until one reaches the right host, however long that takes
 * and whichever entries send them: probes of other entries count as well, and
 * one lookup covers all the time in which a client may go on sending. */
#define PROBES_WHILE_UNANSWERED 2

/* Hosts probed with one notice; their addresses take 240 bytes beside the
 * segment. */
#define PROBES_PER_NOTICE 60

/* A probe without an answer is repeated after this time, since a host that was
 * still starting hasn't read it. A running host returns a segment of an unknown
 * flow within a few milliseconds; an agent takes 250 ms to find that its host
 * is dead. */
#define PROBE_INTERVAL (300 * PLUG_MSEC)

/* An agent that has left this many questions unanswered, which takes 0.3 s, and
 * whose host is no longer listed counts as gone. One question or its answer may
 * be lost. */
#define ASKS_UNTIL_GONE 4

/* The next step is taken when all agents have answered, or after this time. */
#define STEP_INTERVAL (10 * PLUG_MSEC)

/**
 * plug_lookup_create() - create a lookup for the host of a flow
 * @flow: flow; must outlive the lookup
 * @now: current time
 *
 * Return: the lookup, to be freed by plug_lookup_destroy(), or NULL when memory
 * ran out.
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
 * plug_lookup_destroy() - free a lookup
 * @lookup: lookup; already removed from the entry's list
 */
void
plug_lookup_destroy(struct plug_lookup *lookup)
{
	free(lookup->hosts);
	free(lookup);
}

/**
 * plug_lookup_save_segment() - save a segment until the host is found
 * @lookup: lookup
 * @segment: segment of the client; copied. It is dropped when
 *   PLUG_LOOKUP_SAVED_MAX are saved, since the client retransmits it, or if it
 *   is longer than PLUG_SEGMENT_MAX
 */
void
plug_lookup_save_segment(
    struct plug_lookup *lookup, const struct plug_segment *segment)
{
	unsigned int i = lookup->saved_count;

	lookup->ack = segment->ack;
	/* Probes send the first saved segment, and hosts don't answer a bare
	 * acknowledgement, so the first segment with data takes its place. */
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

/* Index of the first host whose agent is at least @agent, else @host_count. */
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

/* Inserts a host that isn't in @hosts yet.
 *
 * Return: the new host, or NULL when memory ran out. */
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
 * plug_lookup_record_answer() - record the answer of an agent
 * @lookup: lookup
 * @agent: address of the agent; added if it wasn't asked. The answer is dropped
 *   if there is no memory for that
 * @holding: answer
 * @probed: the agent's host has lately been handed a segment of the flow
 */
void
plug_lookup_record_answer(struct plug_lookup *lookup, uint32_t agent,
    Plug__Holding holding, bool probed)
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
	host->probed_before |= probed;
	if (holding == PLUG__HOLDING__YES)
		lookup->holder = agent;
}

/**
 * plug_lookup_was_probed() - whether a host was probed in this round
 * @lookup: lookup
 * @agent: address of its agent
 */
bool
plug_lookup_was_probed(const struct plug_lookup *lookup, uint32_t agent)
{
	const struct plug_lookup_host *host = find_agent(lookup, agent);

	return host != NULL && host->probed;
}

/* Merges the current host list into @hosts. Hosts that were asked before stay.
 * If the list isn't authoritative, hosts that it lacks count as listed, too. */
static void
merge_host_list(
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
ask_agent(const struct plug_lookup *lookup, struct plug_lookup_host *host,
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

/* Probes hosts with the first saved segment. It is sent to the agent of the
 * first host, which relays it to the other agents: a copy for each of many
 * hosts would fill the entry's link, which may be a hundred times slower than
 * theirs. */
static void
send_probe(struct plug_lookup *lookup, struct plug_lookup_host *const *hosts,
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
	       host->ask_count >= ASKS_UNTIL_GONE;
}

/**
 * plug_lookup_first_undecided() - find an agent without a definite answer
 * @lookup: lookup
 *
 * Return: the first host whose agent is unsure, or hasn't answered and isn't
 * gone; NULL when there is none.
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

struct answer_counts {
	unsigned int unanswered;
	unsigned int unsure;
	unsigned int probed;
};

/* Counts the answers and sets @unanswered_count. */
static struct answer_counts
count_answers(struct plug_lookup *lookup)
{
	struct answer_counts counts = { 0, 0, 0 };

	for (unsigned int i = 0; i < lookup->host_count; i++) {
		const struct plug_lookup_host *host = &lookup->hosts[i];

		if (host->probed || host->probed_before)
			counts.probed++;
		if (is_gone(host))
			continue;
		if (!host->answered)
			counts.unanswered++;
		else if (host->holding == PLUG__HOLDING__UNSURE)
			counts.unsure++;
	}
	lookup->unanswered_count = counts.unanswered;
	return counts;
}

/* Starts a new round of probes if the last one began PROBE_INTERVAL ago. */
static void
restart_probes(struct plug_lookup *lookup, plug_time now)
{
	if (now - lookup->probes_started < PROBE_INTERVAL)
		return;
	lookup->probes_started = now;
	lookup->probe_round++;
	for (unsigned int i = 0; i < lookup->host_count; i++)
		lookup->hosts[i].probed = false;
}

/* Probes the hosts whose agents are unsure. When every agent has answered, all
 * of them are probed, repeatedly; before that, only as many as can do no harm
 * (PROBES_WHILE_UNANSWERED), and each only once, also by several entries. */
static void
probe_unsure(struct plug_lookup *lookup, plug_time now,
    struct answer_counts counts, const struct plug_track_driver *driver)
{
	struct plug_lookup_host *batch[PROBES_PER_NOTICE];
	unsigned int probe_limit = PROBES_WHILE_UNANSWERED, count = 0;
	/* The host that is probed first varies between flows, between rounds of
	 * probes and, once per PLUG_LOOKUP_TIME, between lookups of the same
	 * flow.
	 */
	uint64_t offset = plug_tuple_hash(&lookup->flow->conn.tuple) +
			  (uint64_t)(lookup->started / PLUG_LOOKUP_TIME) +
			  lookup->probe_round;

	if (counts.unanswered == 0) {
		probe_limit = UINT_MAX;
		restart_probes(lookup, now);
	}
	for (unsigned int i = 0; i < lookup->host_count; i++) {
		struct plug_lookup_host *host =
		    &lookup->hosts[(offset + i) % lookup->host_count];

		if (!host->answered || host->probed ||
		    (host->probed_before && counts.unanswered > 0) ||
		    host->holding != PLUG__HOLDING__UNSURE)
			continue;
		if (counts.probed++ >= probe_limit)
			break;
		batch[count++] = host;
		if (count == PROBES_PER_NOTICE ||
		    !plug_built_with(PLUG_MECHANISM_RELAY)) {
			send_probe(lookup, batch, count, driver);
			count = 0;
		}
	}
	send_probe(lookup, batch, count, driver);
}

/* Asks agents that were not asked yet and, when a new round is due, all that
 * have not answered. */
static void
ask_unanswered(
    struct plug_lookup *lookup, plug_time now, struct plug_questions *questions)
{
	bool round_due = now - lookup->last_round >= lookup->ask_interval;

	for (unsigned int i = 0; i < lookup->host_count; i++) {
		struct plug_lookup_host *host = &lookup->hosts[i];

		if (!host->answered && (host->ask_count == 0 || round_due))
			ask_agent(lookup, host, questions);
	}
	if (!round_due)
		return;
	lookup->last_round = now;
	if (lookup->ask_interval < ASK_INTERVAL_MAX)
		lookup->ask_interval *= 2;
}

/* Decides a lookup in which every host that may have the flow has denied it.
 * That is reliable only if a consistent read of the host list began after the
 * lookup did; otherwise such a read is requested first. */
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
 * plug_lookup_step() - advance a lookup
 * @lookup: lookup
 * @now: current time
 * @fleet: current snapshot, or NULL
 * @domain: hash of the name of the entry's failure domain
 * @driver: handlers
 * @questions: receives the questions to send
 *
 * To be called after each answer, each new host list and at regular intervals.
 *
 * A flow is absent only if all hosts of an authoritative host list have denied
 * it, and a consistent read of that list began after the lookup did. The flow's
 * host was listed before the flow was opened, so that list shows it unless it
 * is gone.
 *
 * Return: the verdict; the lookup is over unless it is PLUG_LOOKUP_PENDING. For
 * PLUG_LOOKUP_FOUND, @lookup->holder is the agent whose host has the flow, and
 * the saved segments are discarded if the lookup took longer than
 * SAVED_AGE_MAX. After PLUG_LOOKUP_TIME, or without @fleet, it is
 * PLUG_LOOKUP_UNDECIDED if the host is still unknown.
 */
enum plug_lookup_verdict
plug_lookup_step(struct plug_lookup *lookup, plug_time now,
    const struct plug_fleet *fleet, uint32_t domain,
    const struct plug_track_driver *driver, struct plug_questions *questions)
{
	struct answer_counts counts;

	if (lookup->holder != 0) {
		if (now - lookup->started > SAVED_AGE_MAX)
			lookup->saved_count = 0;
		return PLUG_LOOKUP_FOUND;
	}
	if (now - lookup->started >= PLUG_LOOKUP_TIME || fleet == NULL)
		return PLUG_LOOKUP_UNDECIDED;
	if (!lookup->hosts_outdated && lookup->unanswered_count > 0 &&
	    now < lookup->next_step)
		return PLUG_LOOKUP_PENDING;
	lookup->next_step = now + STEP_INTERVAL;
	if (lookup->hosts_outdated)
		merge_host_list(lookup, fleet, domain);
	if (!lookup->all_domains &&
	    (now - lookup->started >= ALL_DOMAINS_DELAY ||
		count_answers(lookup).unanswered == 0)) {
		lookup->all_domains = true;
		merge_host_list(lookup, fleet, domain);
	}
	ask_unanswered(lookup, now, questions);
	counts = count_answers(lookup);
	if (counts.unsure > 0 && lookup->all_domains && lookup->expects_reply)
		probe_unsure(lookup, now, counts, driver);
	if (counts.unanswered + counts.unsure > 0 || !lookup->all_domains)
		return PLUG_LOOKUP_PENDING;
	return conclude(lookup, fleet, driver);
}
