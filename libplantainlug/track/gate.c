#include <stdlib.h>
#include <string.h>

#include "gate.h"

/*
 * New flows are admitted while the host has less than this much work for each
 * slot. A flow begins with a request, so when very many clients open flows at
 * once, as after a restart of all hosts, they wait here, the urgent ones first,
 * instead of overflowing the host's own queue. One request per slot waits at
 * the host, so that no slot is idle while the agent admits the next one.
 */
#define WORK_PER_SLOT 2

#define WAITERS_MAX 2000 /* 3 MB; as many flows as a host holds */

/* A cold host may get this many flows at once. With the rate it stays below the
 * bound for any one second, which allows 1.5 times the rate and 5 more. */
#define COLD_BURST 4.0

/**
 * plug_gate_init() - prepare a gate
 * @gate: gate to fill
 * @now: time; a cold host's tokens grow from here, so that a restarted agent
 *   doesn't repeat the burst of the one before it
 */
void
plug_gate_init(struct plug_gate *gate, plug_time now)
{
	*gate = (struct plug_gate){ .slots = 1, .filled = now };
}

/**
 * plug_gate_finish() - free the segments that wait
 * @gate: gate
 */
void
plug_gate_finish(struct plug_gate *gate)
{
	while (gate->first != NULL)
		free(plug_gate_take(gate));
}

/**
 * plug_gate_configure() - adopt what is known of the host
 * @gate: gate
 * @now: time
 * @slots: requests that it runs at a time
 * @cold_per_s: requests a second that it bears while cold; 0 for no limit
 * @cold_until: it is cold until this time; a later time that is known stays
 */
void
plug_gate_configure(struct plug_gate *gate, plug_time now, uint32_t slots,
    double cold_per_s, plug_time cold_until)
{
	gate->slots = slots > 0 ? slots : 1;
	gate->cold_per_s = cold_per_s;
	if (cold_until > gate->cold_until) {
		if (gate->cold_until <= now) {
			gate->tokens = 0;
			gate->filled = now;
		}
		gate->cold_until = cold_until;
	}
}

static void
fill(struct plug_gate *gate, plug_time now)
{
	double elapsed = (double)(now - gate->filled) / (double)PLUG_SEC;

	gate->filled = now;
	gate->tokens += elapsed * gate->cold_per_s;
	if (gate->tokens > COLD_BURST)
		gate->tokens = COLD_BURST;
}

/**
 * plug_gate_admit() - whether a new flow may go to the host now
 * @gate: gate; the flow is counted when it may
 * @now: time
 * @work: requests at the host and flows that are being opened there
 */
bool
plug_gate_admit(struct plug_gate *gate, plug_time now, uint32_t work)
{
	if (work >= gate->slots * WORK_PER_SLOT)
		return false;
	if (gate->cold_per_s <= 0 || now >= gate->cold_until)
		return true;
	fill(gate, now);
	if (gate->tokens < 1)
		return false;
	gate->tokens -= 1;
	return true;
}

/* Whether a segment would be admitted before it is of no use any more. */
static bool
is_worth_waiting(const struct plug_gate *gate, plug_time now,
    const struct plug_gate_waiter *waiter, plug_time answer_time)
{
	unsigned int ahead = 1, at_work = gate->slots * WORK_PER_SLOT;

	for (const struct plug_gate_waiter *w = gate->first;
	     w != NULL && w->priority <= waiter->priority; w = w->next)
		ahead++;
	return now + answer_time * (ahead / at_work + 1) < waiter->deadline;
}

/**
 * plug_gate_wait() - let an opening segment wait
 * @gate: gate
 * @now: time
 * @waiter: segment; copied. A copy of one that waits already is dropped
 * @answer_time: average time of an answer while the host is full
 *
 * Return: false when it would not be admitted in time.
 */
bool
plug_gate_wait(struct plug_gate *gate, plug_time now,
    const struct plug_gate_waiter *waiter, plug_time answer_time)
{
	struct plug_gate_waiter **link = &gate->first;
	struct plug_gate_waiter *copy;

	for (copy = gate->first; copy != NULL; copy = copy->next) {
		if (plug_tuple_equal(&copy->tuple, &waiter->tuple))
			return true;
	}
	if (gate->waiting >= WAITERS_MAX ||
	    !is_worth_waiting(gate, now, waiter, answer_time))
		return false;
	copy = malloc(sizeof(*copy));
	if (copy == NULL)
		return false;
	*copy = *waiter;
	while (*link != NULL && (*link)->priority <= copy->priority)
		link = &(*link)->next;
	copy->next = *link;
	*link = copy;
	gate->waiting++;
	return true;
}

/**
 * plug_gate_take() - take the segment that is admitted next
 * @gate: gate
 *
 * Return: segment for free(3), or NULL.
 */
struct plug_gate_waiter *
plug_gate_take(struct plug_gate *gate)
{
	struct plug_gate_waiter *waiter = gate->first;

	if (waiter == NULL)
		return NULL;
	gate->first = waiter->next;
	gate->waiting--;
	return waiter;
}

/**
 * plug_gate_expired() - whether the next segment is of no use any more
 * @gate: gate
 * @now: time
 */
bool
plug_gate_expired(const struct plug_gate *gate, plug_time now)
{
	return gate->first != NULL && now >= gate->first->deadline;
}
