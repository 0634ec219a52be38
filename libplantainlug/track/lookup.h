#ifndef PLUG_TRACK_LOOKUP_H
#define PLUG_TRACK_LOOKUP_H

#include "entry.h"

#define PLUG_LOOKUP_SAVED_MAX 4 /* segments kept until the host is found */

/**
 * struct plug_lookup_host - a host that a lookup asks about a flow
 * @agent: address of its agent
 * @ask_count: questions sent; saturates
 * @holding: last answer of the agent, a Plug__Holding
 * @answered: the agent has answered
 * @probed: a segment of the flow was sent to the host in this round of probes
 * @probed_before: its agent has said that the host was handed a segment of the
 *   flow, which may have come from another entry
 * @listed: the current host list contains it, or isn't authoritative
 */
struct plug_lookup_host {
	uint32_t agent;
	uint8_t ask_count;
	uint8_t holding;
	bool answered;
	bool probed;
	bool probed_before;
	bool listed;
};

enum plug_lookup_verdict {
	PLUG_LOOKUP_PENDING,
	PLUG_LOOKUP_FOUND,
	PLUG_LOOKUP_ABSENT,    /* no host has the flow */
	PLUG_LOOKUP_UNDECIDED, /* ended without a reliable answer */
};

/**
 * struct plug_lookup - search for the host that holds a flow
 * @next: next lookup of the entry
 * @flow: flow; owned by the entry
 * @started: time when the lookup began
 * @last_round: time of the last round of questions
 * @probes_started: time of the last repetition of the probes; before the first
 *   one, time when the lookup began
 * @probe_round: how often the probes have been repeated
 * @ask_interval: time from @last_round to the next one; doubles each round, up
 *   to a maximum
 * @next_step: time of the next step while answers are outstanding
 * @hosts_outdated: the host list has changed since it was merged into @hosts
 * @all_domains: hosts of all failure domains are asked, not only those of the
 *   entry's own
 * @refresh_requested: a consistent read of the host list was requested
 * @expects_reply: the client has sent data or a FIN and so waits for an answer:
 *   hosts may be probed, and the flow is reset if no host has it. A bare
 *   acknowledgement gets no answer and may follow a flow that has just closed
 * @has_data: one of the saved segments has data
 * @ack: last acknowledgement number of the client
 * @unanswered_count: number of hosts that haven't answered and don't count as
 *   gone (see ASKS_UNTIL_GONE in lookup.c)
 * @holder: address of the agent whose host has the flow; 0 if unknown
 * @host_count: length of @hosts
 * @hosts: hosts that are asked, ordered by @agent
 * @saved_count: number of saved segments
 * @saved_len: length of each saved segment in bytes
 * @saved: saved segments; probes send the first one
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
void plug_lookup_record_answer(struct plug_lookup *lookup, uint32_t agent,
    Plug__Holding holding, bool probed);
bool plug_lookup_was_probed(const struct plug_lookup *lookup, uint32_t agent);
const struct plug_lookup_host *
plug_lookup_first_undecided(const struct plug_lookup *lookup);
enum plug_lookup_verdict plug_lookup_step(struct plug_lookup *lookup,
    plug_time now, const struct plug_fleet *fleet, uint32_t domain,
    const struct plug_track_driver *driver, struct plug_questions *questions);

#endif
