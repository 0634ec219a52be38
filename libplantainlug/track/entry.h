#ifndef PLUG_TRACK_ENTRY_H
#define PLUG_TRACK_ENTRY_H

#include "action.h"
#include "balance.h"
#include "conntable.h"
#include "questions.h"

struct plug_lookup;

enum plug_entry_state {
	PLUG_ENTRY_OPENING,  /* its SYN was sent to an agent */
	PLUG_ENTRY_OPEN,     /* the client goes on sending */
	PLUG_ENTRY_LOCATING, /* the agents are asked who holds it */
	PLUG_ENTRY_ENDED,    /* no host holds it; the client was told */
};

/**
 * struct plug_entry_flow - a flow as one entry sees it
 * @conn: head; the first member
 * @state: see enum plug_entry_state
 * @closing: the client has sent a FIN or RST
 * @syn_seq: sequence number of its SYN; 0 when another entry got it
 * @agent: address of the machine that has it, while OPENING and OPEN
 * @host_id: hash of its host's instance id; 0 when another entry opened it
 * @started: time of the first segment
 * @immediate_only: a host had no time for it; another one is only tried at once
 * @fleet_outdated: a host list that is out of date was the reason of a refusal
 * @excluded: hosts that have refused it
 * @lookup: while LOCATING
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
	PLUG_ENTRY_BAD,	      /* that no client may send */
	PLUG_ENTRY_OPENED,    /* flows sent to a host */
	PLUG_ENTRY_REPLACED,  /* flows sent to another host after a refusal */
	PLUG_ENTRY_NO_ROUTE,  /* flows to an address without a route */
	PLUG_ENTRY_NO_HOST,   /* flows that no host could take */
	PLUG_ENTRY_LOOKUPS,   /* flows whose host was looked for */
	PLUG_ENTRY_FOUND,     /* flows whose host was found */
	PLUG_ENTRY_ABSENT,    /* flows that no host holds */
	PLUG_ENTRY_UNDECIDED, /* lookups that ended without an answer */
	PLUG_ENTRY_COUNTERS,
};

/**
 * struct plug_track_entry - decisions of an entry that tracks flows
 * @driver: handlers
 * @domain: hash of the own domain's name
 * @flows: flows by tuple
 * @balance: hosts and their load
 * @lookups: lookups in progress
 * @questions: questions to agents that share the next datagrams
 * @next_lookup_step: time when lookups go on
 * @next_sweep: time when old flows are looked for again
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
