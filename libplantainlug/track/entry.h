#ifndef PLUG_TRACK_ENTRY_H
#define PLUG_TRACK_ENTRY_H

#include "action.h"
#include "balance.h"
#include "conntable.h"
#include "questions.h"

struct plug_lookup;

enum plug_entry_state {
	PLUG_ENTRY_OPENING,  /* its SYN was sent to an agent */
	PLUG_ENTRY_OPEN,     /* further segments go to @agent */
	PLUG_ENTRY_LOCATING, /* a lookup asks the agents which host has it */
	PLUG_ENTRY_ENDED,    /* no host or route; its client was sent a RST */
};

/**
 * struct plug_entry_flow - state of a flow at one entry
 * @conn: table header; must be the first member
 * @state: see enum plug_entry_state
 * @closing: the client has sent a FIN or RST
 * @syn_seq: sequence number of its SYN; 0 if this entry didn't receive the SYN
 * @agent: address of the agent that its segments go to, while OPENING and OPEN;
 *   0 while OPENING without a host
 * @host_id: hash of its host's instance id; 0 if another entry opened the flow
 * @started: time when its client sent the first segment; the time of arrival if
 *   the segment doesn't tell its age
 * @immediate_only: a host has refused it for lack of room, so another one gets
 *   it only if it needn't wait there
 * @fleet_outdated: its host was replaced, is leaving, is in a domain that is
 *   out of service or doesn't answer, so the host list may be out of date and
 *   a newer one may show another host
 * @excluded: hosts that have refused or lost it
 * @lookup: search for its host while LOCATING, else NULL; owned by the entry
 */
struct plug_entry_flow {
	struct plug_conn conn;
	enum plug_entry_state state;
	bool closing;
	uint32_t syn_seq;
	uint32_t agent;
	uint64_t host_id;
	plug_time started;
	bool immediate_only;
	bool fleet_outdated;
	struct plug_excluded_hosts excluded;
	struct plug_lookup *lookup;
};

enum plug_entry_counter {
	PLUG_ENTRY_SEGMENTS,  /* received from clients */
	PLUG_ENTRY_BAD,	      /* segments marked BOUNCED, unexpected notices */
	PLUG_ENTRY_OPENED,    /* placements of a flow on a host */
	PLUG_ENTRY_REPLACED,  /* attempts to place a flow on another host */
	PLUG_ENTRY_NO_ROUTE,  /* flows to an address without a route */
	PLUG_ENTRY_NO_HOST,   /* SYNs that no host could take */
	PLUG_ENTRY_LOOKUPS,   /* lookups started */
	PLUG_ENTRY_FOUND,     /* lookups that found the host */
	PLUG_ENTRY_ABSENT,    /* lookups that found that no host has the flow */
	PLUG_ENTRY_UNDECIDED, /* lookups that ended without an answer */
	PLUG_ENTRY_COUNTERS,
};

/**
 * struct plug_track_entry - state of an entry in tracking mode
 * @driver: handlers; borrowed
 * @domain: hash of the name of the entry's failure domain
 * @flows: records of type struct plug_entry_flow
 * @balance: hosts and their load
 * @lookups: lookups in progress, as a linked list
 * @questions: questions to agents that the next tick sends
 * @next_lookup_step: time of the next step of all lookups
 * @next_sweep: time of the next removal of expired flows and of the next load
 *   inquiries
 * @counters: by enum plug_entry_counter
 */
struct plug_track_entry {
	struct plug_track_driver *driver;
	uint32_t domain;
	struct plug_conntable flows;
	struct plug_balance balance;
	struct plug_lookup *lookups;
	struct plug_questions questions;
	plug_time next_lookup_step;
	plug_time next_sweep;
	uint64_t counters[PLUG_ENTRY_COUNTERS];
};

enum plug_code plug_track_entry_init(struct plug_track_entry *entry,
    struct plug_track_driver *driver, uint32_t domain);
void plug_track_entry_finish(struct plug_track_entry *entry);
void plug_track_entry_adopt(
    struct plug_track_entry *entry, plug_time now, struct plug_fleet *fleet);
void plug_track_entry_segment(struct plug_track_entry *entry, plug_time now,
    const struct plug_segment *segment);
void plug_track_entry_notice(struct plug_track_entry *entry, plug_time now,
    uint32_t from, const Plug__TrackNotice *notice);
plug_time plug_track_entry_tick(struct plug_track_entry *entry, plug_time now);
const char *plug_track_entry_counter_name(enum plug_entry_counter counter);

#endif
