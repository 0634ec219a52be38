#include "limiter.h"

/* The ramp pauses when no request has succeeded for this long. */
#define RAMP_SUCCESS_WINDOW PLUG_SEC

#define LEARNED_SAMPLES	    32 /* requests before one can be slow */
#define MEDIAN_STEP_DIVISOR 32 /* a sample moves the median by 1/32 */
#define SLOW_FACTOR	    3  /* slow when above 3 medians */
#define SLOW_COUNT	    5  /* slow requests in a row mean a restart */
#define SLOW_MIN	    (2 * PLUG_MSEC) /* below it is scheduling noise */
#define PEAK_PERIOD	    (10 * PLUG_SEC) /* the published load lags as much */
#define LOAD_EXCESS_MIN	    0.25 /* excess of the published load to ignore */
#define LOAD_FACTOR_MIN	    0.5	 /* published load may halve the limit */
#define DEFAULT_SERVICE_US  (50 * PLUG_MSEC) /* until the first sample */
#define RETRY_MIN_MS	    50
#define RETRY_MAX_MS	    2000

/**
 * plug_limiter_init() - initialise a limiter without slots
 * @limiter: limiter to initialise; plug_limiter_configure() sets its slots
 * @now: current time
 */
void
plug_limiter_init(struct plug_limiter *limiter, plug_time now)
{
	*limiter = (struct plug_limiter){
		.last_tick = now,
		.peak_period_start = now,
		.load_factor = 1.0,
	};
	plug_queue_init(&limiter->short_queue);
	plug_queue_init(&limiter->bulk_queue);
}

/**
 * plug_limiter_finish() - free the queues
 * @limiter: limiter; the caller keeps the entries that are still queued
 */
void
plug_limiter_finish(struct plug_limiter *limiter)
{
	plug_queue_finish(&limiter->short_queue);
	plug_queue_finish(&limiter->bulk_queue);
}

/**
 * plug_limiter_configure() - apply the settings of a document
 * @limiter: limiter; keeps its ramp and learned service times
 * @document: document in force
 */
void
plug_limiter_configure(
    struct plug_limiter *limiter, const struct plug_document *document)
{
	plug_time ramp_time = document->cold_seconds * PLUG_SEC;

	/* The completed fraction of the ramp stays the same. */
	if (limiter->ramp_time > 0)
		limiter->ramp_elapsed =
		    (plug_time)((double)limiter->ramp_elapsed /
				(double)limiter->ramp_time * (double)ramp_time);
	limiter->ramp_time = ramp_time;
	limiter->slots = document->slots;
	limiter->cold_slots = document->cold_slots < document->slots
				  ? document->cold_slots
				  : document->slots;
	limiter->bulk_share = document->bulk_share;
	limiter->queue_max = document->queue;
}

/**
 * plug_limiter_tick() - advance the ramp and record the peak use
 * @limiter: limiter
 * @now: current time
 */
void
plug_limiter_tick(struct plug_limiter *limiter, plug_time now)
{
	plug_time elapsed = now - limiter->last_tick;
	double use;

	limiter->last_tick = now;
	if (limiter->ramping &&
	    now - limiter->last_success < RAMP_SUCCESS_WINDOW) {
		/* Bounded, since a paused process must not skip a part of
		 * the ramp. */
		limiter->ramp_elapsed += elapsed < RAMP_SUCCESS_WINDOW
					     ? elapsed
					     : RAMP_SUCCESS_WINDOW;
		if (limiter->ramp_elapsed > limiter->ramp_time)
			limiter->ramp_elapsed = limiter->ramp_time;
	}
	if (now - limiter->peak_period_start >= PEAK_PERIOD) {
		limiter->peak_period_start = now;
		limiter->peak_use[1] = limiter->peak_use[0];
		limiter->peak_use[0] = 0;
	}
	if (limiter->slots == 0)
		return;
	use = (double)limiter->running / limiter->slots;
	if (use > limiter->peak_use[0])
		limiter->peak_use[0] = use;
}

/**
 * plug_limiter_limit() - return the current concurrency limit
 * @limiter: limiter
 *
 * Return: 0 before plug_limiter_configure(), then at least 1.
 */
uint32_t
plug_limiter_limit(const struct plug_limiter *limiter)
{
	uint32_t limit = limiter->slots;

	if (limit == 0)
		return 0;
	if (limiter->ramp_elapsed < limiter->ramp_time)
		limit = limiter->cold_slots +
			(uint32_t)((limiter->slots - limiter->cold_slots) *
				   limiter->ramp_elapsed / limiter->ramp_time);
	limit = (uint32_t)(limit * limiter->load_factor + 0.5);
	return limit > 0 ? limit : 1;
}

/**
 * plug_limiter_queued() - count the waiting requests of both classes
 * @limiter: limiter
 */
uint32_t
plug_limiter_queued(const struct plug_limiter *limiter)
{
	return limiter->short_queue.count + limiter->bulk_queue.count;
}

/**
 * plug_limiter_push() - add a request to the queue
 * @limiter: limiter
 * @entry: entry that isn't queued; stays owned by the caller
 * @deadline: deadline of the request, the earliest starts first
 * @bulk: whether the request is of class bulk
 *
 * A request that can start at once passes through the queue too, so the queue
 * takes one more entry beyond its maximum for each free slot.
 *
 * Return: PLUG_OK, PLUG_E_FULL or PLUG_E_MEMORY.
 */
enum plug_code
plug_limiter_push(struct plug_limiter *limiter, struct plug_queue_entry *entry,
    plug_time deadline, bool bulk)
{
	uint32_t limit = plug_limiter_limit(limiter);
	uint32_t free_slots =
	    limit > limiter->running ? limit - limiter->running : 0;

	if (plug_limiter_queued(limiter) >= limiter->queue_max + free_slots)
		return PLUG_E_FULL;
	return plug_queue_push(
	    bulk ? &limiter->bulk_queue : &limiter->short_queue, entry,
	    deadline);
}

/**
 * plug_limiter_remove() - remove a waiting request from its queue
 * @limiter: limiter
 * @entry: queued entry
 * @bulk: whether the request is of class bulk
 */
void
plug_limiter_remove(
    struct plug_limiter *limiter, struct plug_queue_entry *entry, bool bulk)
{
	plug_queue_remove(
	    bulk ? &limiter->bulk_queue : &limiter->short_queue, entry);
}

/**
 * plug_limiter_first_expired() - find a waiting request past its deadline
 * @limiter: limiter
 * @now: current time
 *
 * Return: the entry, still queued, or NULL.
 */
struct plug_queue_entry *
plug_limiter_first_expired(const struct plug_limiter *limiter, plug_time now)
{
	struct plug_queue_entry *entry =
	    plug_queue_first(&limiter->short_queue);

	if (entry != NULL && entry->key <= now)
		return entry;
	entry = plug_queue_first(&limiter->bulk_queue);
	return entry != NULL && entry->key <= now ? entry : NULL;
}

/*
 * Of two or more slots, bulk requests may use at least one and leave at least
 * one to short requests. A single slot of a cold upstream may run a bulk
 * request while no short one waits; otherwise the limit of a service that has
 * only bulk requests could never ramp up. When a warm upstream has a single
 * slot too, it may run a bulk request at any time.
 */
static bool
bulk_may_start(const struct plug_limiter *limiter, uint32_t limit)
{
	uint32_t max = (uint32_t)(limiter->bulk_share * limit);

	if (limit == 1)
		return limiter->slots == 1 || limiter->short_queue.count == 0;
	if (max == 0)
		max = 1;
	if (max > limit - 1)
		max = limit - 1;
	return limiter->bulk_running < max;
}

/**
 * plug_limiter_start_next() - dequeue the next request to start
 * @limiter: limiter; counts the request until plug_limiter_release()
 *
 * Takes the request with the earliest deadline that the limit and the share of
 * bulk requests allow.
 *
 * Return: the entry, no longer queued, or NULL.
 */
struct plug_queue_entry *
plug_limiter_start_next(struct plug_limiter *limiter)
{
	struct plug_queue_entry *entry =
	    plug_queue_first(&limiter->short_queue);
	struct plug_queue_entry *bulk = plug_queue_first(&limiter->bulk_queue);
	uint32_t limit = plug_limiter_limit(limiter);

	if (limiter->running >= limit)
		return NULL;
	if (bulk != NULL && bulk_may_start(limiter, limit) &&
	    (entry == NULL || bulk->key < entry->key)) {
		plug_queue_remove(&limiter->bulk_queue, bulk);
		limiter->bulk_running++;
		limiter->running++;
		return bulk;
	}
	if (entry == NULL)
		return NULL;
	plug_queue_remove(&limiter->short_queue, entry);
	limiter->running++;
	return entry;
}

/**
 * plug_limiter_release() - release the slot of a request that has ended
 * @limiter: limiter
 * @bulk: whether the request is of class bulk
 */
void
plug_limiter_release(struct plug_limiter *limiter, bool bulk)
{
	limiter->running--;
	if (bulk)
		limiter->bulk_running--;
}

static struct plug_service_time *
find_service_time(struct plug_limiter *limiter, uint32_t procedure)
{
	unsigned int i;

	for (i = 0; i < PLUG_OPERATIONS_MAX; i++) {
		if (limiter->service_times[i].procedure == procedure)
			return &limiter->service_times[i];
		if (limiter->service_times[i].procedure == 0)
			break;
	}
	/* Documents over time may name more operations than fit; the first
	 * record is then used again. */
	if (i == PLUG_OPERATIONS_MAX)
		i = 0;
	limiter->service_times[i] =
	    (struct plug_service_time){ .procedure = procedure };
	return &limiter->service_times[i];
}

/* Moves the estimate towards each sample by a fixed fraction of itself. It
 * settles where half of the samples lie on either side, at the median. */
static void
update_median(struct plug_service_time *time, plug_time elapsed)
{
	plug_time step = time->median_us / MEDIAN_STEP_DIVISOR + 1;

	if (time->samples < LEARNED_SAMPLES)
		time->samples++;
	if (time->samples == 1)
		time->median_us = elapsed;
	else if (elapsed > time->median_us)
		time->median_us += step;
	else if (elapsed < time->median_us)
		time->median_us -= step;
}

/**
 * plug_limiter_add_sample() - record a request that the upstream completed
 * @limiter: limiter
 * @now: current time
 * @procedure: procedure number of the operation
 * @elapsed: time that the request spent at the upstream
 * @met_deadline: the request ended before its deadline
 *
 * Updates the service time of the operation, and lets the ramp go on or stops
 * it according to @met_deadline. A request is slow when it took longer than
 * SLOW_MIN and longer than SLOW_FACTOR times the median of the operation, once
 * LEARNED_SAMPLES earlier requests are recorded.
 *
 * Return: PLUG_RESTART_SLOW after SLOW_COUNT slow requests in a row, else
 * PLUG_RESTART_NONE.
 */
enum plug_restart_signal
plug_limiter_add_sample(struct plug_limiter *limiter, plug_time now,
    uint32_t procedure, plug_time elapsed, bool met_deadline)
{
	struct plug_service_time *time = find_service_time(limiter, procedure);
	bool slow = time->samples >= LEARNED_SAMPLES && elapsed > SLOW_MIN &&
		    elapsed > SLOW_FACTOR * time->median_us;

	update_median(time, elapsed);
	limiter->ramping = met_deadline;
	if (met_deadline)
		limiter->last_success = now;
	limiter->slow_count = slow ? limiter->slow_count + 1 : 0;
	if (limiter->slow_count < SLOW_COUNT)
		return PLUG_RESTART_NONE;
	limiter->slow_count = 0;
	return PLUG_RESTART_SLOW;
}

/**
 * plug_limiter_stop_ramp() - stop the ramp until a request meets its deadline
 * @limiter: limiter; plug_limiter_add_sample() lets the ramp go on
 */
void
plug_limiter_stop_ramp(struct plug_limiter *limiter)
{
	limiter->ramping = false;
}

/**
 * plug_limiter_update_health() - apply the published health of the upstream
 * @limiter: limiter
 * @now: current time
 * @uptime: seconds since the upstream started
 * @load: share of its capacity that the upstream reports as used, 0 to 1 unless
 *   the report is wrong
 *
 * The published load lags and may be wrong. It lowers the limit only by its
 * excess over the agent's own peak use of the last 10 s to 20 s plus
 * LOAD_EXCESS_MIN, and by half at most.
 *
 * Return: PLUG_RESTART_UPTIME when the uptime decreased, else
 * PLUG_RESTART_NONE.
 */
enum plug_restart_signal
plug_limiter_update_health(
    struct plug_limiter *limiter, plug_time now, uint32_t uptime, double load)
{
	bool restarted = limiter->has_uptime && uptime < limiter->last_uptime;
	double own_peak = limiter->peak_use[0] > limiter->peak_use[1]
			      ? limiter->peak_use[0]
			      : limiter->peak_use[1];
	double excess = load - own_peak - LOAD_EXCESS_MIN;

	plug_limiter_tick(limiter, now);
	limiter->has_uptime = true;
	limiter->last_uptime = uptime;
	limiter->load_factor = 1.0;
	if (excess > 0)
		limiter->load_factor = 1.0 - excess;
	if (limiter->load_factor < LOAD_FACTOR_MIN)
		limiter->load_factor = LOAD_FACTOR_MIN;
	return restarted ? PLUG_RESTART_UPTIME : PLUG_RESTART_NONE;
}

/**
 * plug_limiter_reset_ramp() - go back to the cold limit
 * @limiter: limiter
 * @now: current time
 *
 * Return: true when the ramp had begun, so that the limit may have changed.
 */
bool
plug_limiter_reset_ramp(struct plug_limiter *limiter, plug_time now)
{
	bool ramp_begun = limiter->ramp_elapsed > 0;

	limiter->ramp_elapsed = 0;
	limiter->ramping = false;
	limiter->last_tick = now;
	limiter->slow_count = 0;
	return ramp_begun;
}

/**
 * plug_limiter_retry_after_ms() - estimate when to retry a refused request
 * @limiter: limiter
 *
 * Assumes that each waiting request takes the median service time of the
 * operation in the first record, usually the first one that ran.
 *
 * Return: delay of the retry in milliseconds, 50 to 2000.
 */
uint32_t
plug_limiter_retry_after_ms(const struct plug_limiter *limiter)
{
	plug_time service = DEFAULT_SERVICE_US;
	uint32_t limit = plug_limiter_limit(limiter);
	plug_time wait;

	if (limit == 0)
		return RETRY_MAX_MS;
	if (limiter->service_times[0].samples > 0)
		service = limiter->service_times[0].median_us;
	wait = (plug_limiter_queued(limiter) + 1) * service / limit / PLUG_MSEC;
	if (wait < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return wait > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)wait;
}

/**
 * plug_restart_signal_name() - return the name of a signal as used in logs
 * @signal: signal
 */
const char *
plug_restart_signal_name(enum plug_restart_signal signal)
{
	switch (signal) {
	case PLUG_RESTART_NONE:
		return "none";
	case PLUG_RESTART_CONNECTION:
		return "connection_reset";
	case PLUG_RESTART_UPTIME:
		return "uptime_decreased";
	case PLUG_RESTART_SLOW:
		return "service_time";
	case PLUG_RESTART_SHED:
		return "upstream_shed";
	case PLUG_RESTART_DOMAIN:
		return "domain_returned";
	}
	return "invalid";
}
