#ifndef PLUG_TRACK_LOOKUP_H
#define PLUG_TRACK_LOOKUP_H

#include "entry.h"

#define PLUG_LOOKUP_SAVED_MAX 4 /* segments kept until the host is found */

/**
 * struct plug_lookup_host - one host that is asked for a flow
 * @agent: address of its machine
 * @asked: questions sent; stays at its largest value
 * @holding: last answer, of type Plug__Holding
 * @answered: the agent has answered
 * @probed: the host itself was asked, by a segment of the flow
 * @listed: the host list in force shows it
 */
struct plug_lookup_host {
	uint32_t agent;
	uint8_t ask_count;
	uint8_t holding;
	bool answered;
	bool probed;
	bool listed;
};

enum plug_lookup_verdict {
	PLUG_LOOKUP_PENDING,
	PLUG_LOOKUP_FOUND,
	PLUG_LOOKUP_ABSENT, /* every host has said that it has no such flow */
	PLUG_LOOKUP_UNDECIDED, /* some did not answer in time */
};

/**
 * struct plug_lookup - search for the host that holds a flow
 * @next: next lookup of the entry
 * @flow: flow; owned by the entry
 * @started: time of the first question
 * @asked: time of the last round of questions
 * @probed: time when hosts were first, or again, asked by a segment
 * @probe_round: repetitions of these probes
 * @ask_interval: time until the next round
 * @next_step: what is to be done now and then is due at this time
 * @hosts_outdated: the host list has changed since @hosts were taken from it
 * @all_domains: hosts outside the own domain are asked, too
 * @refresh_requested: an exact host list was asked for
 * @expects_reply: the client has sent data or a FIN, so it waits for an answer,
 * is told when no host has the flow, and hosts may be asked by a segment. No
 * host answers a mere acknowledgement, which may follow a flow that has just
 * closed
 * @has_data: one of the saved segments has data
 * @ack: last acknowledgement of the client
 * @unanswered_count: hosts that have not answered and may still
 * @holder: agent whose host has the flow, or 0
 * @host_count: length of @hosts
 * @hosts: hosts that are asked, ordered by agent
 * @saved_count: segments kept
 * @saved_len: their lengths
 * @saved: their bytes
 */
struct plug_lookup {
	struct plug_lookup *next;
	struct plug_entry_flow *flow;
	plug_time started;
	plug_time last_round;
	plug_time probes_started;
	unsigned int probe_round;
	plug_time ask_interval;
	plug_time next_step;
	bool hosts_outdated;
	bool all_domains;
	bool refresh_requested;
	bool expects_reply;
	bool has_data;
	uint32_t ack;
	unsigned int unanswered_count;
	uint32_t holder;
	unsigned int host_count;
	struct plug_lookup_host *hosts;
	unsigned int saved_count;
	size_t saved_len[PLUG_LOOKUP_SAVED_MAX];
	uint8_t saved[PLUG_LOOKUP_SAVED_MAX][PLUG_SEGMENT_MAX];
};

struct plug_lookup *
plug_lookup_create(struct plug_entry_flow *flow, plug_time now);
void plug_lookup_destroy(struct plug_lookup *lookup);
void plug_lookup_save_segment(
    struct plug_lookup *lookup, const struct plug_segment *segment);
void plug_lookup_record_answer(
    struct plug_lookup *lookup, uint32_t agent, Plug__Holding holding);
bool plug_lookup_was_probed(const struct plug_lookup *lookup, uint32_t agent);
const struct plug_lookup_host *
plug_lookup_first_undecided(const struct plug_lookup *lookup);
enum plug_lookup_verdict plug_lookup_step(struct plug_lookup *lookup,
    plug_time now, const struct plug_fleet *fleet, uint32_t domain,
    const struct plug_track_driver *driver, struct plug_questions *questions);

#endif
