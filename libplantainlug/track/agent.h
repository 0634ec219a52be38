#ifndef PLUG_TRACK_AGENT_H
#define PLUG_TRACK_AGENT_H

#include "admission.h"
#include "conntable.h"
#include "failures.h"

/* Upper limit of the first bucket of answer times. */
#define PLUG_ANSWER_FIRST_LIMIT		PLUG_MSEC
#define PLUG_ANSWER_BUCKETS		14 /* the last one begins at 4 s */
#define PLUG_TRACK_REPORT_RECEIVERS_MAX 64 /* entries that get reports */

enum plug_host_state {
	/* Not health-checked yet, or being checked again because the connection
	 * of the health check was closed. */
	PLUG_HOST_UNKNOWN,
	PLUG_HOST_UP,
	PLUG_HOST_REFUSING, /* refuses connections: it is leaving or dead */
	PLUG_HOST_DOWN,	    /* refuses connections and answers no segment */
};

/**
 * struct plug_host_report - result of a health check
 * @state: state of the host, except PLUG_HOST_DOWN, which the agent detects
 *   itself
 * @host: hash of the host's instance id; only set with PLUG_HOST_UP
 * @draining: the health check says that the host is leaving; only set with
 *   PLUG_HOST_UP
 * @checked_at: when the health check began that the host has answered; only set
 *   with PLUG_HOST_UP
 */
struct plug_host_report {
	enum plug_host_state state;
	uint64_t host;
	bool draining;
	plug_time checked_at;
};

/**
 * struct plug_track_limits - what the platform guarantees
 * @address_hold: shortest time from the end of a host to the start of another
 *   one at its address, microseconds
 * @flow_age_max: age from which on any flow may be discarded, microseconds
 */
struct plug_track_limits {
	plug_time address_hold;
	plug_time flow_age_max;
};

enum plug_host_flow_state {
	PLUG_HOST_FLOW_OPENING, /* SYN handed to the host */
	PLUG_HOST_FLOW_OPEN,	/* the host has sent more than its SYN+ACK */
	/* Unknown flow: the host was handed a segment and returns it if it
	 * doesn't hold the flow. */
	PLUG_HOST_FLOW_PROBED,
	/* The host has returned a segment of it and so doesn't hold it. */
	PLUG_HOST_FLOW_RETURNED,
};

/**
 * struct plug_host_flow - a flow of the agent's host
 * @conn: record header; must be the first member
 * @state: see enum plug_host_flow_state
 * @entry: address of the entry that sent the flow's last segment; 0 while
 *   unknown
 * @first_seen_at: time when the flow was added to the table
 * @idle: no segment has passed for the idle timeout; doesn't count as open
 * @syn_acked: the host has sent its SYN+ACK
 * @awaits_request: the flow was admitted and its first request is still
 *   expected
 * @request_running: the host has a request that it hasn't answered
 * @handed_at: time when the host got the last request, or the SYN before the
 *   first request
 * @slots_full: all slots of the host were taken when it got the last request
 * @unanswered_since: time when the host got the first data or FIN after its
 *   last segment of the flow; 0 if there is none
 * @client_next_seq: sequence number that follows the client's data; valid if
 *   @client_sent_data
 * @client_sent_data: the client has sent data
 * @client_fin: the client has closed its side
 * @host_fin: the host has closed its side
 * @host_isn: sequence number of the host's SYN+ACK; valid if @syn_acked
 * @client_ack: last acknowledgement number of the client
 */
struct plug_host_flow {
	struct plug_conn conn;
	enum plug_host_flow_state state;
	uint32_t entry;
	plug_time first_seen_at;
	bool idle;
	bool syn_acked;
	bool awaits_request;
	bool request_running;
	plug_time handed_at;
	bool slots_full;
	plug_time unanswered_since;
	uint32_t client_next_seq;
	bool client_sent_data;
	bool client_fin;
	bool host_fin;
	uint32_t host_isn;
	uint32_t client_ack;
};

#define PLUG_KEPT_SEGMENTS 8

/**
 * struct plug_kept_segment - a client's segment with a request
 * @tuple: flow
 * @next_seq: sequence number that follows the segment's data
 * @kept_at: time when the host got it
 * @len: length of @bytes; 0 for an unused place
 * @bytes: the segment as received
 */
struct plug_kept_segment {
	struct plug_tuple tuple;
	uint32_t next_seq;
	plug_time kept_at;
	size_t len;
	uint8_t bytes[PLUG_SEGMENT_MAX];
};

/**
 * struct plug_liveness - copies that show whether a silent host lives
 * @kept: segments that can be sent again
 * @unanswered: copies sent since the host last sent a segment
 * @sent_at: time of the last copy
 */
struct plug_liveness {
	struct plug_kept_segment kept[PLUG_KEPT_SEGMENTS];
	unsigned int unanswered;
	plug_time sent_at;
};

/**
 * struct plug_report_receiver - an entry that gets load reports
 * @address: address of the entry's machine; 0 for an unused slot
 * @last_heard: time of the entry's last notice or segment
 * @last_report: time of the last report; 0 before the first, or to send one at
 *   once
 * @report_soon: the next report uses the short interval
 */
struct plug_report_receiver {
	uint32_t address;
	plug_time last_heard;
	plug_time last_report;
	bool report_soon;
};

enum plug_agent_counter {
	PLUG_AGENT_FORWARDED, /* segments from entries */
	PLUG_AGENT_RETURNED,  /* all segments from the host */
	PLUG_AGENT_BAD,	      /* malformed or unexpected notices */
	PLUG_AGENT_ADMITTED,  /* new flows handed to the host */
	PLUG_AGENT_QUEUED,    /* new flows that had to wait */
	PLUG_AGENT_REFUSED,   /* new flows returned to their entry */
	PLUG_AGENT_BOUNCED,   /* segments returned by the host as unknown */
	PLUG_AGENT_RESETS,    /* open flows that the host lost */
	PLUG_AGENT_FAILED,    /* requests that the host did not answer */
	/* Segments that probed whether the host holds their flow. */
	PLUG_AGENT_PROBES,
	PLUG_AGENT_COPIES, /* segments that asked a silent host again */
	PLUG_AGENT_CHECKS, /* health checks that new flows had to wait for */
	PLUG_AGENT_COUNTERS,
};

/**
 * struct plug_track_agent - tracking agent on the machine of one host
 * @driver: handlers; owned by the caller
 * @host_state: see enum plug_host_state
 * @host: hash of the host's instance id; 0 while unknown
 * @draining: the health check says that the host is leaving
 * @host_started_at: when the host was first seen to accept connections again
 *   after it had refused them, or had another id; 0 if it never was
 * @address_hold: shortest time from the end of a host to the start of another
 *   one at its address
 * @flow_age_max: age from which on any flow may be discarded
 * @host_seen_at: latest time at which @host is known to have run; 0 if there is
 *   none
 * @host_drained_at: segments that the host sent before this time have been
 *   handled
 * @check_requested: a health check was requested that hasn't been reported yet
 * @unanswered_since: time of the first segment handed to the host since it last
 *   sent one, moved later by pauses of the agent; 0 if there is none
 * @ticked_at: time of the last plug_track_agent_tick()
 * @observed_since: since this time, every segment of the host has passed the
 *   agent and no flow was left out of @flows
 * @all_flows_seen: @flows has had every flow of the host since the host's start
 * @config_version: newest version of the configuration that is known; 0 before
 *   the first one
 * @idle_timeout: timeout of idle flows of that version, which may be out of
 *   date; only decides which flows count as load
 * @flows: flows of the host by tuple, see struct plug_host_flow
 * @open_flow_count: flows that are open or opening
 * @running: requests that the host hasn't answered
 * @opening: admitted flows whose first request is still expected
 * @slow_logged_at: time of the last log line about a slow answer
 * @answer_buckets: histogram of answer times: answers below
 *   PLUG_ANSWER_FIRST_LIMIT, below twice that, and so on; the last bucket has
 *   the rest
 * @failures: recent failures of the host
 * @reported_failing: whether reports say that the host is failing; updated by
 *   failures and ticks
 * @work_times: work times of the host's requests
 * @handshake_time: time from handing a SYN to the host until the first request
 *   of the flow
 * @liveness: whether a host that refuses connections lives
 * @admission: new flows that wait for the host
 * @report_receivers: entries that get load reports
 * @next_sweep: time of the next search for expired flows and requests
 * @counters: indexed by enum plug_agent_counter
 */
struct plug_track_agent {
	struct plug_track_driver *driver;
	enum plug_host_state host_state;
	uint64_t host;
	bool draining;
	plug_time host_started_at;
	plug_time address_hold;
	plug_time flow_age_max;
	plug_time host_seen_at;
	plug_time host_drained_at;
	bool check_requested;
	plug_time unanswered_since;
	plug_time ticked_at;
	plug_time observed_since;
	bool all_flows_seen;
	uint64_t config_version;
	plug_time idle_timeout;
	struct plug_conntable flows;
	uint32_t open_flow_count;
	uint32_t running;
	uint32_t opening;
	plug_time slow_logged_at;
	uint64_t answer_buckets[PLUG_ANSWER_BUCKETS];
	struct plug_failures failures;
	bool reported_failing;
	struct plug_worktimes work_times;
	struct plug_estimate handshake_time;
	struct plug_liveness liveness;
	struct plug_admission admission;
	struct plug_report_receiver
	    report_receivers[PLUG_TRACK_REPORT_RECEIVERS_MAX];
	plug_time next_sweep;
	uint64_t counters[PLUG_AGENT_COUNTERS];
};

enum plug_code plug_track_agent_init(struct plug_track_agent *agent,
    struct plug_track_driver *driver, plug_time now,
    const struct plug_track_limits *limits);
void plug_track_agent_finish(struct plug_track_agent *agent);
void plug_track_agent_set_idle_timeout(
    struct plug_track_agent *agent, uint64_t version, plug_time idle_timeout);
void plug_track_agent_set_host(struct plug_track_agent *agent, plug_time now,
    const struct plug_host_report *report);
void
plug_track_agent_host_drained(struct plug_track_agent *agent, plug_time at);
void plug_track_agent_client_segment(struct plug_track_agent *agent,
    plug_time now, uint32_t from, const struct plug_segment *segment);
void plug_track_agent_host_segment(struct plug_track_agent *agent,
    plug_time now, const struct plug_segment *segment);
void plug_track_agent_notice(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__TrackNotice *notice);
plug_time plug_track_agent_tick(struct plug_track_agent *agent, plug_time now);
const char *plug_host_state_name(enum plug_host_state state);
const char *plug_track_agent_counter_name(enum plug_agent_counter counter);

#endif
