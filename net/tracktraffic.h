#ifndef PLUG_TRACKTRAFFIC_H
#define PLUG_TRACKTRAFFIC_H

#include <pthread.h>
#include <stdatomic.h>

#include "adapter.h"
#include "hostprobe.h"
#include "libplantainlug/track/agent.h"
#include "libplantainlug/track/entry.h"
#include "libplantainlug/track/settings.h"
#include "log.h"
#include "mailbox.h"

enum plug_track_message_kind {
	PLUG_TRACK_FLEET, /* a new snapshot */
	PLUG_TRACK_HOST,  /* result of a health check */
	PLUG_TRACK_IDLE,  /* the configured idle timeout */
};

/**
 * struct plug_track_message - what the control thread tells the traffic thread
 * @kind: selects the member of the union
 * @fleet: snapshot; one reference
 * @host: report of the probe
 * @idle: idle flows may be forgotten after @timeout, by this version of the
 *   configuration
 */
struct plug_track_message {
	enum plug_track_message_kind kind;
	union {
		struct plug_fleet *fleet;
		struct plug_host_report host;
		struct {
			uint64_t version;
			plug_time timeout;
		} idle;
	};
};

enum plug_track_count {
	PLUG_TRACKED_BAD_SEGMENTS, /* that can't be decoded */
	PLUG_TRACKED_BAD_NOTICES,
	PLUG_TRACKED_SEND_FAILED, /* datagrams that the kernel didn't take */
	PLUG_TRACKED_FLOWS,	  /* flows in the table */
	PLUG_TRACKED_ROLE,	  /* first of the role's counters */
	/* Behind those of an agent: its answers by time. */
	PLUG_TRACKED_ANSWERS = PLUG_TRACKED_ROLE + PLUG_AGENT_COUNTERS,
	PLUG_TRACKED_COUNTS = PLUG_TRACKED_ANSWERS + PLUG_ANSWER_BUCKETS,
};

/**
 * struct plug_tracktraffic - traffic thread of a tracking process
 * @settings: settings; kept by the caller
 * @adapter: how the platform speaks
 * @log: log of the process
 * @segments: UDP socket for segments
 * @notices: UDP socket for notices
 * @output: UDP socket for the host's segments; -1 for an entry
 * @driver: handlers of the decisions
 * @entry: decisions of an entry
 * @agent: decisions of an agent
 * @inbox: struct plug_track_message from the control thread
 * @refresh: an exact host list, or for an agent a health check of its host, is
 *   wanted; the control thread clears it
 * @wake: eventfd that wakes the control thread
 * @stopping: the thread shall end
 * @counts: copies for the metrics
 * @thread: the thread
 */
struct plug_tracktraffic {
	const struct plug_track_settings *settings;
	const struct plug_adapter *adapter;
	struct plug_log *log;
	int segments;
	int notices;
	int output;
	struct plug_track_driver driver;
	union {
		struct plug_track_entry entry;
		struct plug_track_agent agent;
	};
	struct plug_mailbox inbox;
	atomic_bool refresh;
	int wake;
	atomic_bool stopping;
	atomic_uint_fast64_t counts[PLUG_TRACKED_COUNTS];
	pthread_t thread;
};

enum plug_code plug_tracktraffic_start(struct plug_tracktraffic *traffic,
    const struct plug_track_settings *settings,
    const struct plug_adapter *adapter, struct plug_log *log, int wake,
    struct plug_status *status);
void plug_tracktraffic_stop(struct plug_tracktraffic *traffic);
void plug_tracktraffic_tell(struct plug_tracktraffic *traffic,
    const struct plug_track_message *message);
const char *plug_tracktraffic_count_name(
    const struct plug_tracktraffic *traffic, unsigned int count);

#endif
