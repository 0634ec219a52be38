#include <stdlib.h>
#include <string.h>

#include "gate.h"

/*
 * New flows are admitted while the host has less than this much work for each
 * slot. A flow begins with a request, so when very many clients open flows at
 * once, as after a restart of all hosts, they wait here, in order, instead of
 * overflowing the host's own queue.
 */
#define WORK_PER_SLOT 3

/* Segments that may wait for each slot; a longer queue is not served in time.
 */
#define WAITERS_PER_SLOT 8
#define WAITERS_MIN	 16

/* A segment that has waited this long is refused: its client's objective of
 * 100 to 300 ms is nearly used up, and another host may be free. */
#define WAIT_TIME (150 * PLUG_MSEC)

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

/**
 * plug_gate_wait() - let an opening segment wait
 * @gate: gate
 * @now: time
 * @entry: address of the entry that sent it
 * @host: hash of the instance id of the host that it is meant for
 * @segment: segment; a copy of one that waits already is dropped
 *
 * Return: false when the queue is full.
 */
bool
plug_gate_wait(struct plug_gate *gate, plug_time now, uint32_t entry,
    uint64_t host, const struct plug_segment *segment)
{
	struct plug_gate_waiter *waiter;
	unsigned int limit = gate->slots * WAITERS_PER_SLOT;

	for (waiter = gate->first; waiter != NULL; waiter = waiter->next) {
		if (plug_tuple_equal(&waiter->tuple, &segment->tuple))
			return true;
	}
	if (gate->waiting >= (limit < WAITERS_MIN ? WAITERS_MIN : limit) ||
	    segment->bytes.len > PLUG_SEGMENT_MAX)
		return false;
	waiter = malloc(sizeof(*waiter));
	if (waiter == NULL)
		return false;
	waiter->next = NULL;
	waiter->tuple = segment->tuple;
	waiter->entry = entry;
	waiter->host = host;
	waiter->arrived = now;
	waiter->len = segment->bytes.len;
	memcpy(waiter->bytes, segment->bytes.data, segment->bytes.len);
	if (gate->last != NULL)
		gate->last->next = waiter;
	else
		gate->first = waiter;
	gate->last = waiter;
	gate->waiting++;
	return true;
}

/**
 * plug_gate_take() - take the segment that has waited longest
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
	if (gate->first == NULL)
		gate->last = NULL;
	gate->waiting--;
	return waiter;
}

/**
 * plug_gate_expired() - whether the first segment has waited too long
 * @gate: gate
 * @now: time
 */
bool
plug_gate_expired(const struct plug_gate *gate, plug_time now)
{
	return gate->first != NULL && now - gate->first->arrived >= WAIT_TIME;
}
