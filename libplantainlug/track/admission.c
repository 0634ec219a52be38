#include <stdlib.h>

#include "admission.h"
#include "mechanism.h"

/*
 * Which new flow a host gets next, and which one is refused.
 *
 * The load that this answers: all clients return at once after an outage, or
 * hosts are cold, slow or too few, so that for some seconds there is more work
 * than can be done in time. A host works off its own queue in the order of
 * arrival; when that takes longer than the clients' objective, every answer is
 * late. A flow begins with a request, so new flows wait here until the host can
 * begin to work on it, and what can still be answered in time goes first.
 */

/* An answer is safe when there is time for the mean and this many deviations
 * of its work; nine of ten requests then take less. */
#define SAFE_DEVIATIONS 2.0

/* A cold host may get this many flows at once. With the rate it stays below the
 * bound for any one second, which allows 1.5 times the rate and 5 more. */
#define COLD_BURST 4.0

/* Whether a waiter can be answered in time if it goes now. */
enum chance {
	CHANCE_SAFE,
	CHANCE_RISKY, /* it takes less work than most */
	CHANCE_LATE,
};

/**
 * plug_admission_init() - prepare without waiters
 * @admission: admission to fill
 * @now: time; a cold host's tokens grow from here, so that a restarted agent
 *   doesn't repeat the burst of the one before it
 */
void
plug_admission_init(struct plug_admission *admission, plug_time now)
{
	*admission = (struct plug_admission){ .slots = 1, .refilled_at = now };
}

static struct plug_waiter *
take(struct plug_admission *admission, struct plug_waiter *waiter)
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
 * @admission: admission
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
 * plug_admission_configure() - adopt what is known of the host
 * @admission: admission
 * @now: time
 * @slots: requests that it runs at a time
 * @cold_per_s: new flows a second that it bears while cold; 0 for no limit
 * @cold_until: it is cold until this time; a later time that is known stays
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
 * plug_admission_enqueue() - add a waiter
 * @admission: admission
 * @waiter: waiter from malloc(3); taken over
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
 * plug_admission_find() - the new flow that waits under a name
 * @admission: admission
 * @tuple: flow
 *
 * Return: waiter, or NULL.
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

static enum chance
chance_of(const struct plug_waiter *waiter, plug_time now,
    const struct plug_host_workload *work)
{
	const struct plug_estimate *time =
	    plug_worktimes_estimate(work->times, waiter->worktime);
	/* The handshake, and the way of the request and its answer. */
	double left = (double)(waiter->answer_due - now) - time->mean -
		      2.0 * (double)work->handshake_time;

	if (!plug_built_with(PLUG_MECHANISM_CHANCE))
		return CHANCE_SAFE;
	if (left < 0)
		return CHANCE_LATE;
	return left < SAFE_DEVIATIONS * time->deviation ? CHANCE_RISKY
							: CHANCE_SAFE;
}

/**
 * struct turn - when a waiter goes, compared with others
 * @rank: lower ones go first: the urgent routes, what can be answered in time,
 *   and what takes little of the host
 * @chance: see enum chance
 * @is_short: it takes little of the host
 */
struct turn {
	uint64_t rank;
	enum chance chance;
	bool is_short;
};

static struct turn
turn_of(const struct plug_waiter *waiter, plug_time now,
    const struct plug_host_workload *work)
{
	struct turn turn = {
		.chance = chance_of(waiter, now, work),
		.is_short =
		    plug_worktimes_is_short(work->times, waiter->worktime),
	};

	turn.rank = (uint64_t)waiter->priority * 8 + (uint64_t)turn.chance * 2 +
		    (turn.is_short ? 0 : 1);
	return turn;
}

/* Among equals, the oldest one goes first while its answer is safe. After that
 * there is more to do than can be done in time, and the newest one has the best
 * chance and a client that is certain to wait for it still. */
static bool
goes_before(const struct turn *newer, const struct turn *older)
{
	if (newer->rank != older->rank)
		return newer->rank < older->rank;
	return plug_built_with(PLUG_MECHANISM_NEWEST) &&
	       newer->chance != CHANCE_SAFE;
}

static double
answers_in(const struct plug_admission *admission,
    const struct plug_host_workload *work, plug_time time)
{
	double mean = work->times->overall.mean;

	return mean > 0 ? admission->slots * (double)time / mean : 0;
}

/* Beside the requests that its slots work on, the host may have those that it
 * answers while a new flow is being opened, at least one. */
static bool
has_room(const struct plug_admission *admission,
    const struct plug_host_workload *work)
{
	double ahead = answers_in(admission, work, work->handshake_time);

	if (!plug_built_with(PLUG_MECHANISM_LIMIT))
		return work->running + work->opening < 2 * admission->slots;
	return work->running + work->opening <
	       admission->slots + (ahead > 1 ? ahead : 1);
}

/* How long a request waits in the host's own queue if it goes now. */
static plug_time
wait_at_host(const struct plug_admission *admission,
    const struct plug_host_workload *work)
{
	double before = (double)work->running + work->opening;

	if (before < admission->slots)
		return 0;
	return (plug_time)((before - admission->slots + 1) *
			   work->times->overall.mean / admission->slots);
}

/* A host that is full with requests of flows which it has had for long would
 * never get a new one. A short request delays the others little, so it may wait
 * in the host's own queue if it is answered in time then. */
static bool
may_queue(const struct turn *turn)
{
	return turn->is_short && turn->chance != CHANCE_LATE;
}

/* Whether a cold host bears another new flow. */
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
 * plug_admission_dequeue() - take what the host gets now
 * @admission: admission
 * @now: time
 * @work: what the host has to do
 *
 * Return: waiter for free(3), or NULL when none may go.
 */
struct plug_waiter *
plug_admission_dequeue(struct plug_admission *admission, plug_time now,
    const struct plug_host_workload *work)
{
	struct plug_waiter *best = NULL, *waiter;
	bool room = has_room(admission, work);
	plug_time start = now + wait_at_host(admission, work);
	struct turn best_turn = { 0 };

	if (admission->first == NULL ||
	    (!room && !plug_worktimes_has_short(work->times)) ||
	    !has_token(admission, now))
		return NULL;
	for (waiter = admission->first; waiter != NULL; waiter = waiter->next) {
		const struct turn turn = turn_of(waiter, start, work);

		if (!room && !may_queue(&turn))
			continue;
		if (best == NULL || goes_before(&turn, &best_turn)) {
			best = waiter;
			best_turn = turn;
		}
	}
	if (best == NULL)
		return NULL;
	if (admission->cold_per_s > 0 && now < admission->cold_until)
		admission->tokens -= 1;
	return take(admission, best);
}

/**
 * plug_admission_shed() - take a new flow that can't be served any more
 * @admission: admission
 * @now: time
 * @work: what the host has to do
 *
 * The queue is too long when the one that goes last would have to be refused
 * before its turn came. Then that one is refused at once.
 *
 * Return: waiter for free(3), or NULL.
 */
struct plug_waiter *
plug_admission_shed(struct plug_admission *admission, plug_time now,
    const struct plug_host_workload *work)
{
	struct plug_host_workload before_last = *work;
	struct plug_waiter *worst = NULL, *waiter;
	struct turn worst_turn = { 0 };

	if (admission->first == NULL ||
	    !plug_built_with(PLUG_MECHANISM_OVERFLOW))
		return NULL;
	before_last.opening += admission->waiter_count;
	for (waiter = admission->first; waiter != NULL; waiter = waiter->next) {
		const struct turn turn = turn_of(waiter, now, work);

		if (worst == NULL || !goes_before(&turn, &worst_turn)) {
			worst = waiter;
			worst_turn = turn;
		}
	}
	return now + wait_at_host(admission, &before_last) <= worst->refuse_at
		   ? NULL
		   : take(admission, worst);
}

/**
 * plug_admission_remove_if() - take a waiter that shall not wait any longer
 * @admission: admission
 * @matches: tells whether it is one
 * @data: first argument of @matches
 *
 * Return: waiter for free(3), or NULL.
 */
struct plug_waiter *
plug_admission_remove_if(struct plug_admission *admission,
    bool (*matches)(void *data, const struct plug_waiter *waiter), void *data)
{
	struct plug_waiter *waiter = admission->first;

	while (waiter != NULL && !matches(data, waiter))
		waiter = waiter->next;
	return waiter == NULL ? NULL : take(admission, waiter);
}
