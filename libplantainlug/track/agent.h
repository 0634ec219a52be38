#ifndef PLUG_TRACK_AGENT_H
#define PLUG_TRACK_AGENT_H

#include "admission.h"
#include "conntable.h"
#include "failures.h"

#define PLUG_ANSWER_FIRST_LIMIT                                               \
	PLUG_MSEC			   /* upper limit of the first bucket \
					    */
#define PLUG_ANSWER_BUCKETS		14 /* the last one begins at 4 s */
#define PLUG_TRACK_REPORT_RECEIVERS_MAX 64 /* entries that get reports */

enum plug_host_state {
	PLUG_HOST_UNKNOWN, /* not asked yet, or being asked again */
	PLUG_HOST_UP,
	PLUG_HOST_REFUSING, /* it refuses connections: it is leaving or dead */
	PLUG_HOST_DOWN,	    /* and answers no segment, either */
};

enum plug_host_flow_state {
	PLUG_HOST_FLOW_OPENING, /* its SYN was sent to the host */
	PLUG_HOST_FLOW_OPEN,	/* the host has sent more than its SYN+ACK */
	PLUG_HOST_FLOW_PROBED,	/* the host was asked by a segment */
};

/**
 * struct plug_host_flow - a flow of the agent's host
 * @conn: head; the first member
 * @state: see enum plug_host_flow_state
 * @entry: address of the entry that sent its last segment
 * @syn_acked: the host has sent its SYN+ACK
 * @awaits_request: its first request hasn't come yet, and is expected
 * @request_running: a request is at the host
 * @handed_at: time when the host got it, or the opening segment of the flow
 * @slots_full: all slots of the host were taken then
 * @unanswered: time when the host got the first data or FIN of the client that
 *   it has sent nothing after; 0 without one
 * @client_next_seq: sequence number behind the data that the client has sent;
 * valid after its first data
 * @client_sent_data: the client has sent data
 * @client_fin: the client has closed its side
 * @host_fin: the host has closed its side
 * @host_isn: sequence number of the host's SYN+ACK
 * @client_ack: last acknowledgement of the client
 */
struct plug_host_flow {
	struct plug_conn conn;
	enum plug_host_flow_state state;
	uint32_t entry;
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

/**
 * struct plug_report_receiver - an entry that gets reports
 * @address: address of its machine; 0 while unused
 * @last_heard: time of its last notice or segment
 * @last_report: time of the last report to it
 * @report_soon: it shall get a report soon
 */
struct plug_report_receiver {
	uint32_t address;
	plug_time last_heard;
	plug_time last_report;
	bool report_soon;
};

enum plug_agent_counter {
	PLUG_AGENT_FORWARDED, /* segments from entries */
	PLUG_AGENT_RETURNED,  /* segments from the host */
	PLUG_AGENT_BAD,	      /* that nobody may send */
	PLUG_AGENT_ADMITTED,  /* new flows handed to the host */
	PLUG_AGENT_QUEUED,    /* new flows that had to wait */
	PLUG_AGENT_REFUSED,   /* new flows returned to their entry */
	PLUG_AGENT_BOUNCED,   /* segments that the host has returned */
	PLUG_AGENT_RESETS,    /* flows that have ended with their host */
	PLUG_AGENT_FAILED,    /* requests that the host did not answer */
	PLUG_AGENT_PROBES,    /* segments by which the host was asked */
	PLUG_AGENT_COUNTERS,
};

/**
 * struct plug_track_agent - decisions of the agent beside one host
 * @driver: handlers
 * @state: whether the host runs
 * @host: hash of its instance id; 0 if it was never learned
 * @draining: the host is leaving
 * @unanswered: time of the first segment handed to the host since it last sent
 *   one; 0 without one
 * @ticked_at: time of the last plug_track_agent_tick()
 * @observed_since: time from which on every flow of the host has passed the
 * agent
 * @all_flows_seen: no host has run beside this agent without its knowledge
 * @idle_timeout: idle flows may be forgotten after this time
 * @flows: flows by tuple
 * @open_flow_count: flows that are open or opening
 * @running: requests at work
 * @opening: flows whose first request is expected
 * @slow_logged_at: time of the last log line about a slow answer
 * @answer_buckets: requests by the time of their answer: below
 * PLUG_ANSWER_FIRST, below twice that, and so on; the last bucket has the rest
 * @failures: requests that the host has failed lately
 * @reported_failing: whether that was too many when it was last looked at
 * @work_times: how long it works on requests
 * @handshake_time: from handing a new flow to the host until its first request
 * @admission: new flows that wait for the host
 * @report_receivers: entries that get reports
 * @next_sweep: time when old flows are looked for again
 * @counters: by enum plug_agent_counter
 */
struct plug_track_agent {
	struct plug_track_driver *driver;
	enum plug_host_state host_state;
	uint64_t host;
	bool draining;
	plug_time unanswered_since;
	plug_time ticked_at;
	plug_time observed_since;
	bool all_flows_seen;
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
	struct plug_admission admission;
	struct plug_report_receiver
	    report_receivers[PLUG_TRACK_REPORT_RECEIVERS_MAX];
	plug_time next_sweep;
	uint64_t counters[PLUG_AGENT_COUNTERS];
};

enum plug_code plug_track_agent_init(struct plug_track_agent *agent,
    struct plug_track_driver *driver, plug_time now);
void plug_track_agent_finish(struct plug_track_agent *agent);
void plug_track_agent_set_host(struct plug_track_agent *agent, plug_time now,
    enum plug_host_state state, uint64_t host, bool draining);
void plug_track_agent_client_segment(struct plug_track_agent *agent,
    plug_time now, uint32_t from, const struct plug_segment *segment);
void plug_track_agent_host_segment(struct plug_track_agent *agent,
    plug_time now, const struct plug_segment *segment);
void plug_track_agent_notice(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__TrackNotice *notice);
plug_time plug_track_agent_tick(struct plug_track_agent *agent, plug_time now);
const char *plug_track_agent_counter_name(enum plug_agent_counter counter);

#endif
