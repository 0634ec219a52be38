#include "limiter.h"

/* The ramp stands still when no request has succeeded for this long. */
#define RAMP_SUCCESS_WINDOW PLUG_SEC

#define LEARNED_SAMPLES	   32 /* requests before a median is trusted */
#define MEDIAN_STEP	   32 /* a sample moves the median by 1/32 of it */
#define SLOW_FACTOR	   3  /* times the median that count as slow */
#define SLOW_COUNT	   5  /* consecutive slow requests: a restart */
#define SLOW_MIN	   (2 * PLUG_MSEC) /* scheduling noise, never slow */
#define PEAK_PERIOD	   (10 * PLUG_SEC) /* published load lags as much */
#define LOAD_MARGIN	   0.25 /* published above own use that is ignored */
#define LOAD_FACTOR_MIN	   0.5	/* published load may halve the limit */
#define DEFAULT_SERVICE_US (50 * PLUG_MSEC) /* until a median is learned */
#define WAIT_MIN_MS	   50
#define WAIT_MAX_MS	   2000

/**
 * plug_limiter_init() - prepare a limiter that admits nothing
 * @limiter: limiter to fill; plug_limiter_configure() gives it slots
 * @now: time
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
 * plug_limiter_finish() - free the queues; the entries belong to the caller
 * @limiter: limiter
 */
void
plug_limiter_finish(struct plug_limiter *limiter)
{
	plug_queue_finish(&limiter->short_queue);
	plug_queue_finish(&limiter->bulk_queue);
}

/**
 * plug_limiter_configure() - adopt the figures of a document
 * @limiter: limiter; its ramp and learned times stay
 * @document: document in force
 */
void
plug_limiter_configure(
    struct plug_limiter *limiter, const struct plug_document *document)
{
	plug_time cold_time = document->cold_seconds * PLUG_SEC;

	/* A ramp in progress keeps its proportion. */
	if (limiter->ramp_time > 0)
		limiter->ramp_elapsed =
		    (plug_time)((double)limiter->ramp_elapsed /
				(double)limiter->ramp_time * (double)cold_time);
	limiter->ramp_time = cold_time;
	limiter->slots = document->slots;
	limiter->cold_slots = document->cold_slots < document->slots
				  ? document->cold_slots
				  : document->slots;
	limiter->bulk_share = document->bulk_share;
	limiter->queue_max = document->queue;
}

/**
 * plug_limiter_tick() - advance the ramp
 * @limiter: limiter
 * @now: time
 */
void
plug_limiter_tick(struct plug_limiter *limiter, plug_time now)
{
	plug_time elapsed = now - limiter->last_tick;
	double use;

	limiter->last_tick = now;
	if (limiter->ramping &&
	    now - limiter->last_success < RAMP_SUCCESS_WINDOW) {
		/* A paused process must not skip a part of the ramp. */
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
 * plug_limiter_limit() - requests that may run at a time now
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
 * plug_limiter_queued() - requests that wait
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
 * @entry: entry that isn't queued
 * @deadline: time that orders the queue
 * @bulk: class of the request
 *
 * A request that can start at once passes through the queue as well, so a full
 * queue still admits as many as there are free slots.
 *
 * Return: PLUG_OK, PLUG_E_FULL or PLUG_E_MEMORY.
 */
enum plug_code
plug_limiter_push(struct plug_limiter *limiter, struct plug_queue_entry *entry,
    plug_time deadline, bool bulk)
{
	uint32_t limit = plug_limiter_limit(limiter);
	uint32_t idle = limit > limiter->running ? limit - limiter->running : 0;

	if (plug_limiter_queued(limiter) >= limiter->queue_max + idle)
		return PLUG_E_FULL;
	return plug_queue_push(
	    bulk ? &limiter->bulk_queue : &limiter->short_queue, entry,
	    deadline);
}

/**
 * plug_limiter_remove() - take a waiting request out
 * @limiter: limiter
 * @entry: queued entry
 * @bulk: class of the request
 */
void
plug_limiter_remove(
    struct plug_limiter *limiter, struct plug_queue_entry *entry, bool bulk)
{
	plug_queue_remove(
	    bulk ? &limiter->bulk_queue : &limiter->short_queue, entry);
}

/**
 * plug_limiter_first_expired() - a waiting request whose deadline has passed
 * @limiter: limiter
 * @now: time
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
 * Bulk work leaves at least one slot to short work. When a cold upstream has a
 * single slot, bulk work may use it if no short work waits; otherwise a
 * service with bulk work only could never ramp up.
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
 * plug_limiter_start_next() - take the request that shall start now
 * @limiter: limiter, which counts it as running until plug_limiter_release()
 *
 * The earliest deadline goes first, within the limit and the share of bulk
 * work. Return: the entry, no longer queued, or NULL.
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
 * plug_limiter_release() - give back the slot of a request
 * @limiter: limiter
 * @bulk: class of the request
 */
void
plug_limiter_release(struct plug_limiter *limiter, bool bulk)
{
	limiter->running--;
	if (bulk)
		limiter->bulk_running--;
}

static struct plug_service_time *
find_time(struct plug_limiter *limiter, uint32_t procedure)
{
	unsigned int i;

	for (i = 0; i < PLUG_OPERATIONS_MAX; i++) {
		if (limiter->service_times[i].procedure == procedure)
			return &limiter->service_times[i];
		if (limiter->service_times[i].procedure == 0)
			break;
	}
	/* A document change may bring more operations than there is room. */
	if (i == PLUG_OPERATIONS_MAX)
		i = 0;
	limiter->service_times[i] =
	    (struct plug_service_time){ .procedure = procedure };
	return &limiter->service_times[i];
}

/* Moves the estimate by a fixed fraction towards each sample, which settles
 * where half of the samples lie on each side. */
static void
learn(struct plug_service_time *time, plug_time elapsed)
{
	plug_time step = time->median_us / MEDIAN_STEP + 1;

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
 * plug_limiter_add_sample() - learn from a request that ran to its end
 * @limiter: limiter
 * @now: time
 * @procedure: operation
 * @elapsed: time at the upstream
 * @in_time: it ended before its deadline
 *
 * Return: PLUG_RESTART_SLOW when the last requests were all slow.
 */
enum plug_restart_signal
plug_limiter_add_sample(struct plug_limiter *limiter, plug_time now,
    uint32_t procedure, plug_time elapsed, bool in_time)
{
	struct plug_service_time *time = find_time(limiter, procedure);
	bool slow = time->samples >= LEARNED_SAMPLES && elapsed > SLOW_MIN &&
		    elapsed > SLOW_FACTOR * time->median_us;

	learn(time, elapsed);
	limiter->ramping = in_time;
	if (in_time)
		limiter->last_success = now;
	limiter->slow_count = slow ? limiter->slow_count + 1 : 0;
	if (limiter->slow_count < SLOW_COUNT)
		return PLUG_RESTART_NONE;
	limiter->slow_count = 0;
	return PLUG_RESTART_SLOW;
}

/**
 * plug_limiter_stop_ramp() - stop the ramp until a request succeeds in time
 * @limiter: limiter
 */
void
plug_limiter_stop_ramp(struct plug_limiter *limiter)
{
	limiter->ramping = false;
}

/**
 * plug_limiter_update_health() - take note of what the upstream publishes
 * @limiter: limiter
 * @now: time
 * @uptime: seconds since the upstream started
 * @load: share of its capacity that it says is in use
 *
 * The published load lags and may be false. It lowers the limit only by what
 * it exceeds the own use of the last 10 s to 20 s, and by half at most.
 *
 * Return: PLUG_RESTART_UPTIME when the uptime decreased.
 */
enum plug_restart_signal
plug_limiter_update_health(
    struct plug_limiter *limiter, plug_time now, uint32_t uptime, double load)
{
	bool restarted = limiter->has_uptime && uptime < limiter->last_uptime;
	double own = limiter->peak_use[0] > limiter->peak_use[1]
			 ? limiter->peak_use[0]
			 : limiter->peak_use[1];
	double excess = load - own - LOAD_MARGIN;

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
 * @now: time
 *
 * Return: whether the ramp had begun, so that the limit may have changed.
 */
bool
plug_limiter_reset_ramp(struct plug_limiter *limiter, plug_time now)
{
	bool warm = limiter->ramp_elapsed > 0;

	limiter->ramp_elapsed = 0;
	limiter->ramping = false;
	limiter->last_tick = now;
	limiter->slow_count = 0;
	return warm;
}

/**
 * plug_limiter_retry_after_ms() - estimate when a refused request may come back
 * @limiter: limiter
 *
 * Return: milliseconds, 50 to 2000.
 */
uint32_t
plug_limiter_retry_after_ms(const struct plug_limiter *limiter)
{
	plug_time service = DEFAULT_SERVICE_US;
	uint32_t limit = plug_limiter_limit(limiter);
	plug_time wait;

	if (limit == 0)
		return WAIT_MAX_MS;
	if (limiter->service_times[0].samples > 0)
		service = limiter->service_times[0].median_us;
	wait = (plug_limiter_queued(limiter) + 1) * service / limit / PLUG_MSEC;
	if (wait < WAIT_MIN_MS)
		return WAIT_MIN_MS;
	return wait > WAIT_MAX_MS ? WAIT_MAX_MS : (uint32_t)wait;
}

/**
 * plug_restart_signal_name() - name of a signal in logs
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
