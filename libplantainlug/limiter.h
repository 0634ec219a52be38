#ifndef PLUG_LIMITER_H
#define PLUG_LIMITER_H

#include "document.h"
#include "queue.h"

/* What showed that the upstream restarted or may be cold; see
 * plug_restart_signal_name() for the names in logs. */
enum plug_restart_signal {
	PLUG_RESTART_NONE,
	PLUG_RESTART_CONNECTION, /* the connection was reset */
	PLUG_RESTART_UPTIME,	 /* the reported uptime decreased */
	PLUG_RESTART_SLOW,	 /* several requests in a row were slow */
	PLUG_RESTART_SHED,	 /* the upstream refused a request */
	PLUG_RESTART_DOMAIN,	 /* the host's domain is back in service */
};

/**
 * struct plug_service_time - learned service time of one operation
 * @procedure: procedure number of the operation; 0 while unused
 * @samples: completed requests, counted up to LEARNED_SAMPLES
 * @median_us: running estimate of the median in microseconds
 */
struct plug_service_time {
	uint32_t procedure;
	unsigned int samples;
	plug_time median_us;
};

/**
 * struct plug_limiter - concurrency limit and request queue of one upstream
 * @slots: requests that a warm upstream runs at a time; 0 until
 *   plug_limiter_configure()
 * @cold_slots: requests that a cold upstream runs at a time
 * @ramp_time: time in which the limit rises from @cold_slots to @slots
 * @bulk_share: share of the limit that bulk requests may use, 0.1 to 1
 * @queue_max: requests that may wait
 * @running: requests running at the upstream
 * @bulk_running: bulk requests among @running
 * @short_queue: waiting short requests by deadline
 * @bulk_queue: waiting bulk requests by deadline
 * @ramp_elapsed: completed part of the ramp, 0 to @ramp_time
 * @last_tick: time of the last plug_limiter_tick()
 * @last_success: time of the last request that met its deadline
 * @ramping: a request has met its deadline since the last reset of the ramp
 *   and none has failed or missed its deadline after @last_success
 * @load_factor: factor of the limit, 0.5 to 1, from the published load
 * @has_uptime: @last_uptime is valid
 * @last_uptime: last uptime that the upstream published, in seconds
 * @peak_use: highest share of the slots in use, in the current and the previous
 *   period
 * @peak_period_start: start of the current period of @peak_use
 * @slow_count: slow requests in a row
 * @service_times: learned service times, used ones first
 */
struct plug_limiter {
	uint32_t slots;
	uint32_t cold_slots;
	plug_time ramp_time;
	double bulk_share;
	uint32_t queue_max;
	uint32_t running;
	uint32_t bulk_running;
	struct plug_queue short_queue;
	struct plug_queue bulk_queue;
	plug_time ramp_elapsed;
	plug_time last_tick;
	plug_time last_success;
	bool ramping;
	double load_factor;
	bool has_uptime;
	uint32_t last_uptime;
	double peak_use[2];
	plug_time peak_period_start;
	unsigned int slow_count;
	struct plug_service_time service_times[PLUG_OPERATIONS_MAX];
};

void plug_limiter_init(struct plug_limiter *limiter, plug_time now);
void plug_limiter_finish(struct plug_limiter *limiter);
void plug_limiter_configure(
    struct plug_limiter *limiter, const struct plug_document *document);
void plug_limiter_tick(struct plug_limiter *limiter, plug_time now);
uint32_t plug_limiter_limit(const struct plug_limiter *limiter);
uint32_t plug_limiter_queued(const struct plug_limiter *limiter);
enum plug_code plug_limiter_push(struct plug_limiter *limiter,
    struct plug_queue_entry *entry, plug_time deadline, bool bulk);
void plug_limiter_remove(
    struct plug_limiter *limiter, struct plug_queue_entry *entry, bool bulk);
struct plug_queue_entry *
plug_limiter_first_expired(const struct plug_limiter *limiter, plug_time now);
struct plug_queue_entry *plug_limiter_start_next(struct plug_limiter *limiter);
void plug_limiter_release(struct plug_limiter *limiter, bool bulk);
enum plug_restart_signal plug_limiter_add_sample(struct plug_limiter *limiter,
    plug_time now, uint32_t procedure, plug_time elapsed, bool met_deadline);
void plug_limiter_stop_ramp(struct plug_limiter *limiter);
enum plug_restart_signal plug_limiter_update_health(
    struct plug_limiter *limiter, plug_time now, uint32_t uptime, double load);
bool plug_limiter_reset_ramp(struct plug_limiter *limiter, plug_time now);
uint32_t plug_limiter_retry_after_ms(const struct plug_limiter *limiter);
const char *plug_restart_signal_name(enum plug_restart_signal signal);

#endif
