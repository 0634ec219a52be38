#include <stdlib.h>
#include <string.h>

#include "lookup.h"

/* A question crosses a domain boundary and returns in about 11 ms; an agent on
 * 0.15 of a core needs a few more while many flows are looked for. */
#define ASK_INTERVAL (40 * PLUG_MSEC)

/* The own domain is asked first; the others when it has not answered by then.
 */
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
	lookup->asked = now;
	lookup->interval = ASK_INTERVAL;
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
 * plug_lookup_save() - keep a segment until the host is found
 * @lookup: lookup
 * @segment: segment of the client; dropped when enough are kept, since the
 *   client sends it again
 */
void
plug_lookup_save(struct plug_lookup *lookup, const struct plug_segment *segment)
{
	unsigned int i = lookup->saved_count;

	lookup->ack = segment->ack;
	/* Hosts are asked by the first one; only data has an answer. */
	if (segment->len > 0 && !lookup->owed)
		i = 0;
	if (segment->len > 0)
		lookup->owed = true;
	if (segment->len > 0 || (segment->flags & PLUG_SEGMENT_FIN) != 0)
		lookup->probing = true;
	if (i == PLUG_LOOKUP_SAVED || segment->bytes.len > PLUG_SEGMENT_MAX)
		return;
	memcpy(lookup->saved[i], segment->bytes.data, segment->bytes.len);
	lookup->saved_len[i] = segment->bytes.len;
	if (i == lookup->saved_count)
		lookup->saved_count++;
}

static struct plug_lookup_host *
find_agent(const struct plug_lookup *lookup, uint32_t agent)
{
	for (unsigned int i = 0; i < lookup->count; i++) {
		if (lookup->hosts[i].agent == agent)
			return &lookup->hosts[i];
	}
	return NULL;
}

/**
 * plug_lookup_answer() - an agent has answered
 * @lookup: lookup
 * @agent: address of its machine
 * @holding: answer
 */
void
plug_lookup_answer(
    struct plug_lookup *lookup, uint32_t agent, Plug__Holding holding)
{
	struct plug_lookup_host *host = find_agent(lookup, agent);

	if (host == NULL) {
		host =
		    realloc(lookup->hosts, (lookup->count + 1) * sizeof(*host));
		if (host == NULL)
			return;
		lookup->hosts = host;
		host += lookup->count++;
		*host = (struct plug_lookup_host){ .agent = agent };
	}
	host->answered = true;
	host->holding = holding;
}

/**
 * plug_lookup_probed() - whether a host was asked by the first kept segment
 * @lookup: lookup
 * @agent: address of its machine
 */
bool
plug_lookup_probed(const struct plug_lookup *lookup, uint32_t agent)
{
	const struct plug_lookup_host *host = find_agent(lookup, agent);

	return host != NULL && host->probed;
}

static void
add_hosts(
    struct plug_lookup *lookup, const struct plug_fleet *fleet, uint32_t domain)
{
	struct plug_lookup_host *hosts;

	hosts = realloc(lookup->hosts,
	    (lookup->count + fleet->host_count + 1) * sizeof(*hosts));
	if (hosts == NULL)
		return;
	lookup->hosts = hosts;
	for (unsigned int i = 0; i < fleet->host_count; i++) {
		const struct plug_fleet_host *host = &fleet->hosts[i];

		if ((!lookup->wide && host->domain != domain) ||
		    find_agent(lookup, host->address) != NULL)
			continue;
		hosts[lookup->count++] = (struct plug_lookup_host){
			.agent = host->address,
		};
	}
}

static void
ask(struct plug_lookup *lookup, struct plug_lookup_host *host, bool probe,
    const struct plug_track_driver *driver)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Locate locate = PLUG__LOCATE__INIT;
	Plug__Tuple tuple = PLUG__TUPLE__INIT;

	plug_tuple_write(&lookup->flow->conn.tuple, &tuple);
	locate.tuple = &tuple;
	locate.ack = lookup->ack;
	if (probe && lookup->saved_count > 0) {
		locate.segment = plug_track_bytes((struct plug_str){
		    (const char *)lookup->saved[0], lookup->saved_len[0] });
		host->probed = true;
	}
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOCATE;
	notice.locate = &locate;
	host->asked++;
	plug_track_notify(driver, host->agent, &notice);
}

struct tally {
	unsigned int silent;
	unsigned int unsure;
	unsigned int probed;
};

static struct tally
count_answers(const struct plug_lookup *lookup)
{
	struct tally tally = { 0, 0, 0 };

	for (unsigned int i = 0; i < lookup->count; i++) {
		const struct plug_lookup_host *host = &lookup->hosts[i];

		if (host->probed)
			tally.probed++;
		if (!host->answered)
			tally.silent++;
		else if (host->holding == PLUG__HOLDING__UNSURE)
			tally.unsure++;
	}
	return tally;
}

/* Hosts whose agents can't tell are asked by a segment: all of them when every
 * other agent has answered, else only as many as can do no harm. */
static void
probe_unsure(struct plug_lookup *lookup, struct tally tally,
    const struct plug_track_driver *driver)
{
	unsigned int allowed =
	    tally.silent == 0 ? lookup->count : PROBES_WITHOUT_ANSWER;

	/* A later lookup begins with other hosts. */
	unsigned int first = (unsigned int)(lookup->started / LOOKUP_TIME);

	for (unsigned int i = 0; i < lookup->count; i++) {
		struct plug_lookup_host *host =
		    &lookup->hosts[(first + i) % lookup->count];

		if (!host->answered || host->probed ||
		    host->holding != PLUG__HOLDING__UNSURE)
			continue;
		if (tally.probed++ >= allowed)
			return;
		ask(lookup, host, true, driver);
	}
}

static void
ask_silent(struct plug_lookup *lookup, plug_time now,
    const struct plug_track_driver *driver)
{
	bool due = now - lookup->asked >= lookup->interval;

	for (unsigned int i = 0; i < lookup->count; i++) {
		struct plug_lookup_host *host = &lookup->hosts[i];

		if (!host->answered && (host->asked == 0 || due))
			ask(lookup, host, false, driver);
	}
	if (!due)
		return;
	lookup->asked = now;
	if (lookup->interval < ASK_INTERVAL_MAX)
		lookup->interval *= 2;
}

/**
 * plug_lookup_step() - go on after an answer, a new host list or some time
 * @lookup: lookup
 * @now: time
 * @fleet: snapshot in force
 * @domain: hash of the own domain's name
 * @driver: handlers
 * @agent: receives the machine that has the flow, for PLUG_LOOKUP_FOUND
 *
 * A flow is absent only when an exact host list, read after the lookup began,
 * shows no host that has not said so: the host of a flow was listed before the
 * flow was opened.
 *
 * Return: the verdict; the lookup is over unless it is PLUG_LOOKUP_PENDING.
 */
enum plug_lookup_verdict
plug_lookup_step(struct plug_lookup *lookup, plug_time now,
    const struct plug_fleet *fleet, uint32_t domain,
    const struct plug_track_driver *driver, uint32_t *agent)
{
	struct tally tally;

	for (unsigned int i = 0; i < lookup->count; i++) {
		if (lookup->hosts[i].holding == PLUG__HOLDING__YES) {
			*agent = lookup->hosts[i].agent;
			if (now - lookup->started > SAVED_TIME)
				lookup->saved_count = 0;
			return PLUG_LOOKUP_FOUND;
		}
	}
	if (now - lookup->started >= LOOKUP_TIME || fleet == NULL)
		return PLUG_LOOKUP_UNDECIDED;
	add_hosts(lookup, fleet, domain);
	tally = count_answers(lookup);
	if (!lookup->wide && (tally.silent + tally.unsure == 0 ||
				 now - lookup->started >= WIDEN_TIME)) {
		lookup->wide = true;
		add_hosts(lookup, fleet, domain);
	}
	ask_silent(lookup, now, driver);
	tally = count_answers(lookup);
	if (tally.unsure > 0 && lookup->wide && lookup->probing)
		probe_unsure(lookup, tally, driver);
	if (tally.silent + tally.unsure > 0 || !lookup->wide)
		return PLUG_LOOKUP_PENDING;
	if (!lookup->owed)
		return PLUG_LOOKUP_UNDECIDED;
	if (fleet->listed >= lookup->started)
		return fleet->trusted ? PLUG_LOOKUP_ABSENT
				      : PLUG_LOOKUP_UNDECIDED;
	if (!lookup->refreshed) {
		const struct plug_track_action action = {
			.kind = PLUG_TRACK_REFRESH,
		};

		lookup->refreshed = true;
		plug_track_emit(driver, &action);
	}
	return PLUG_LOOKUP_PENDING;
}
