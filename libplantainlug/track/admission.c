#include <stdlib.h>

#include "admission.h"
#include "mechanism.h"

/*
 * Selects the new flow that a host gets next and the ones that are refused.
 *
 * After an outage all clients return at once; hosts may also be cold, slow or
 * too few. For some seconds there is then more work than can be done in time. A
 * host serves its own queue in order of arrival: once the queue takes longer
 * than the clients' objective, every answer is late. Each flow begins with a
 * request, so new flows wait here until the host can start on that request, and
 * flows that can still be answered in time go first.
 */

/* An answer is safe if the time left covers the mean work time and this many
 * deviations; nine out of ten requests take less. */
#define SAFE_DEVIATIONS 2.0

/* New flows that a cold host may get at once. Together with the rate, this
 * keeps the new flows of any one second within the number that a cold host can
 * handle: 1.5 times the rate plus 5. */
#define COLD_BURST 4.0

/* Whether a flow that is admitted now will be answered in time. */
enum outlook {
	OUTLOOK_SAFE,
	OUTLOOK_RISKY, /* only if it takes less work than most requests */
	OUTLOOK_LATE,
};

/**
 * plug_admission_init() - initialize an empty queue
 * @admission: queue to initialize
 * @now: current time; a cold host's bucket starts empty and fills from here, so
 *   that a restarted agent doesn't repeat its predecessor's burst
 */
void
plug_admission_init(struct plug_admission *admission, plug_time now)
{
	*admission = (struct plug_admission){ .slots = 1, .refilled_at = now };
}

static struct plug_waiter *
unlink_waiter(struct plug_admission *admission, struct plug_waiter *waiter)
{
	if (waiter->previous == NULL)
		admission->first = waiter->next;
	else
		waiter->previous->next = waiter->next;
	if (waiter->next == NULL)
		admission->last = waiter->previous;
	else
		waiter->next->previous = waiter->previous;
	admission->waiter_count--;
	return waiter;
}

/**
 * plug_admission_finish() - free all waiters
 * @admission: queue; empty afterwards
 */
void
plug_admission_finish(struct plug_admission *admission)
{
	struct plug_waiter *waiter = admission->first;

	while (waiter != NULL) {
		struct plug_waiter *next = waiter->next;

		free(waiter);
		waiter = next;
	}
	admission->first = NULL;
	admission->last = NULL;
	admission->waiter_count = 0;
}

/**
 * plug_admission_configure() - set the limits of the host
 * @admission: queue
 * @now: current time
 * @slots: requests that the host runs concurrently; 0 counts as 1
 * @cold_per_s: new flows per second that a cold host can take; 0 for no limit
 * @cold_until: the host is cold until this time; ignored if a later time was
 *   set before
 */
void
plug_admission_configure(struct plug_admission *admission, plug_time now,
    uint32_t slots, double cold_per_s, plug_time cold_until)
{
	admission->slots = slots > 0 ? slots : 1;
	admission->cold_per_s = cold_per_s;
	if (cold_until > admission->cold_until) {
		if (admission->cold_until <= now) {
			admission->tokens = 0;
			admission->refilled_at = now;
		}
		admission->cold_until = cold_until;
	}
}

/**
 * plug_admission_enqueue() - append a waiter
 * @admission: queue
 * @waiter: waiter from malloc(3); owned by the queue until it is returned
 */
void
plug_admission_enqueue(
    struct plug_admission *admission, struct plug_waiter *waiter)
{
	waiter->next = NULL;
	waiter->previous = admission->last;
	if (admission->last == NULL)
		admission->first = waiter;
	else
		admission->last->next = waiter;
	admission->last = waiter;
	admission->waiter_count++;
}

/**
 * plug_admission_find() - find the waiter of a flow
 * @admission: queue
 * @tuple: flow
 *
 * Return: the waiter, still in the queue, or NULL.
 */
struct plug_waiter *
plug_admission_find(
    const struct plug_admission *admission, const struct plug_tuple *tuple)
{
	struct plug_waiter *waiter = admission->first;

	while (waiter != NULL && !plug_tuple_equal(&waiter->tuple, tuple))
		waiter = waiter->next;
	return waiter;
}

static enum outlook
predict_answer(const struct plug_waiter *waiter, plug_time now,
    const struct plug_host_workload *load)
{
	const struct plug_estimate *time =
	    plug_worktimes_estimate(load->times, waiter->worktime);
	/* One handshake time is for the handshake itself, the other one for the
	 * round trip of the request and its answer. */
	double slack = (double)(waiter->answer_due - now) - time->mean -
		       2.0 * (double)load->handshake_time;

	if (!plug_built_with(PLUG_MECHANISM_CHANCE))
		return OUTLOOK_SAFE;
	if (slack < 0)
		return OUTLOOK_LATE;
	return slack < SAFE_DEVIATIONS * time->deviation ? OUTLOOK_RISKY
							 : OUTLOOK_SAFE;
}

/**
 * struct precedence - position of a waiter relative to others
 * @rank: lower ranks go first; compares priority, then outlook, then whether
 *   the request is short
 * @outlook: whether the answer will be in time
 * @is_short: the requests of the route are short
 */
struct precedence {
	uint64_t rank;
	enum outlook outlook;
	bool is_short;
};

static struct precedence
precedence_of(const struct plug_waiter *waiter, plug_time now,
    const struct plug_host_workload *load)
{
	struct precedence precedence = {
		.outlook = predict_answer(waiter, now, load),
		.is_short =
		    plug_worktimes_is_short(load->times, waiter->worktime),
	};

	precedence.rank = (uint64_t)waiter->priority * 8 +
			  (uint64_t)precedence.outlook * 2 +
			  (precedence.is_short ? 0 : 1);
	return precedence;
}

/* Within a rank, the oldest waiter goes first while its answer is safe. After
 * that the host is overloaded: the newest waiter is the most likely to be
 * answered in time, and its client is certainly still waiting. */
static bool
goes_before(const struct precedence *newer, const struct precedence *older)
{
	if (newer->rank != older->rank)
		return newer->rank < older->rank;
	return plug_built_with(PLUG_MECHANISM_NEWEST) &&
	       newer->outlook != OUTLOOK_SAFE;
}

/* Requests that the host is expected to answer within a period. */
static double
expected_answers(const struct plug_admission *admission,
    const struct plug_host_workload *load, plug_time time)
{
	double mean = load->times->overall.mean;

	return mean > 0 ? admission->slots * (double)time / mean : 0;
}

/* Whether the host can start on the first request of a new flow as soon as it
 * arrives. The host may have a request in each slot, and in addition as many as
 * it answers during the new flow's handshake, at least one. */
static bool
has_room(const struct plug_admission *admission,
    const struct plug_host_workload *load)
{
	double answered =
	    expected_answers(admission, load, load->handshake_time);

	if (!plug_built_with(PLUG_MECHANISM_LIMIT))
		return load->running + load->opening < 2 * admission->slots;
	return load->running + load->opening <
	       admission->slots + (answered > 1 ? answered : 1);
}

/* How long a request waits in the host's own queue if it is admitted now. */
static plug_time
host_queue_delay(const struct plug_admission *admission,
    const struct plug_host_workload *load)
{
	double ahead = (double)load->running + load->opening;

	if (ahead < admission->slots)
		return 0;
	return (plug_time)((ahead - admission->slots + 1) *
			   load->times->overall.mean / admission->slots);
}

/* Whether a flow may be admitted to a full host. Without an
 * exception, a host that established flows keep full would never get a new one.
 * A short request delays the others little, so it may wait in the host's own
 * queue if its answer is still in time. */
static bool
may_queue_at_host(const struct precedence *precedence)
{
	return precedence->is_short && precedence->outlook != OUTLOOK_LATE;
}

/* Refills the token bucket of a cold host. Return: whether the host may get
 * another new flow; true for one that isn't cold. */
static bool
has_token(struct plug_admission *admission, plug_time now)
{
	double elapsed =
	    (double)(now - admission->refilled_at) / (double)PLUG_SEC;

	if (admission->cold_per_s <= 0 || now >= admission->cold_until)
		return true;
	admission->refilled_at = now;
	admission->tokens += elapsed * admission->cold_per_s;
	if (admission->tokens > COLD_BURST)
		admission->tokens = COLD_BURST;
	return admission->tokens >= 1;
}

/**
 * plug_admission_dequeue() - remove the waiter to be admitted next
 * @admission: queue
 * @now: current time
 * @load: load of the host
 *
 * Return: waiter, to be freed with free(3), or NULL if none may be admitted
 * now.
 */
struct plug_waiter *
plug_admission_dequeue(struct plug_admission *admission, plug_time now,
    const struct plug_host_workload *load)
{
	struct plug_waiter *best = NULL, *waiter;
	bool room = has_room(admission, load);
	plug_time start = now + host_queue_delay(admission, load);
	struct precedence best_precedence = { 0 };

	if (admission->first == NULL ||
	    (!room && !plug_worktimes_has_short(load->times)) ||
	    !has_token(admission, now))
		return NULL;
	for (waiter = admission->first; waiter != NULL; waiter = waiter->next) {
		const struct precedence precedence =
		    precedence_of(waiter, start, load);

		if (!room && !may_queue_at_host(&precedence))
			continue;
		if (best == NULL ||
		    goes_before(&precedence, &best_precedence)) {
			best = waiter;
			best_precedence = precedence;
		}
	}
	if (best == NULL)
		return NULL;
	if (admission->cold_per_s > 0 && now < admission->cold_until)
		admission->tokens -= 1;
	return unlink_waiter(admission, best);
}

/**
 * plug_admission_shed() - remove a waiter if the queue is too long
 * @admission: queue
 * @now: current time
 * @load: load of the host
 *
 * The queue is too long if the waiter of the lowest precedence would reach its
 * refuse_at time before its turn. That waiter is removed, so that its client
 * can be refused at once.
 *
 * Return: waiter, to be freed with free(3), or NULL if the queue isn't too
 * long.
 */
struct plug_waiter *
plug_admission_shed(struct plug_admission *admission, plug_time now,
    const struct plug_host_workload *load)
{
	struct plug_host_workload load_with_queue = *load;
	struct plug_waiter *worst = NULL, *waiter;
	struct precedence worst_precedence = { 0 };

	if (admission->first == NULL ||
	    !plug_built_with(PLUG_MECHANISM_OVERFLOW))
		return NULL;
	load_with_queue.opening += admission->waiter_count;
	for (waiter = admission->first; waiter != NULL; waiter = waiter->next) {
		const struct precedence precedence =
		    precedence_of(waiter, now, load);

		if (worst == NULL ||
		    !goes_before(&precedence, &worst_precedence)) {
			worst = waiter;
			worst_precedence = precedence;
		}
	}
	return now + host_queue_delay(admission, &load_with_queue) <=
		       worst->refuse_at
		   ? NULL
		   : unlink_waiter(admission, worst);
}

/**
 * plug_admission_remove_if() - remove the oldest waiter that matches
 * @admission: queue
 * @matches: whether a waiter is to be removed
 * @data: first argument of @matches
 *
 * Return: waiter, to be freed with free(3), or NULL if none matches.
 */
struct plug_waiter *
plug_admission_remove_if(struct plug_admission *admission,
    bool (*matches)(void *data, const struct plug_waiter *waiter), void *data)
{
	struct plug_waiter *waiter = admission->first;

	while (waiter != NULL && !matches(data, waiter))
		waiter = waiter->next;
	return waiter == NULL ? NULL : unlink_waiter(admission, waiter);
}
