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

/* A host that is full with requests of flows which it has had for long would
 * never admit a new one. Short requests delay it little, so they may use up its
 * own queue, which holds four for each slot. */
#define WORK_PER_SLOT_SHORT 4

/* Segments that may wait: what the host can begin within the longest wait. */
#define WAITERS_PER_SLOT 16
#define WAITERS_MIN	 16

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

static struct plug_gate_waiter *
unlink_waiter(struct plug_gate *gate, struct plug_gate_waiter **link)
{
	struct plug_gate_waiter *waiter = *link;

	if (waiter == NULL)
		return NULL;
	*link = waiter->next;
	gate->waiting--;
	return waiter;
}

/**
 * plug_gate_finish() - free the segments that wait
 * @gate: gate
 */
void
plug_gate_finish(struct plug_gate *gate)
{
	while (gate->first != NULL)
		free(unlink_waiter(gate, &gate->first));
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
 * plug_gate_rank() - order of waiters
 * @priority: of the route, 0 is highest
 * @is_short: its requests take little of the host
 */
uint64_t
plug_gate_rank(uint32_t priority, bool is_short)
{
	return (uint64_t)priority * 2 + (is_short ? 0 : 1);
}

static bool
is_short_rank(uint64_t rank)
{
	return rank % 2 == 0;
}

/**
 * plug_gate_admit() - whether a new flow may go to the host now
 * @gate: gate; the flow is counted when it may
 * @now: time
 * @work: requests at the host and flows that are being opened there
 * @rank: of the flow
 */
bool
plug_gate_admit(
    struct plug_gate *gate, plug_time now, uint32_t work, uint64_t rank)
{
	uint32_t limit =
	    is_short_rank(rank) ? WORK_PER_SLOT_SHORT : WORK_PER_SLOT;

	if (work >= gate->slots * limit)
		return false;
	if (gate->cold_per_s <= 0 || now >= gate->cold_until)
		return true;
	fill(gate, now);
	if (gate->tokens < 1)
		return false;
	gate->tokens -= 1;
	return true;
}

/* The oldest of those that go last, if it should make room: it ranks behind the
 * new one, or has waited so long that its answer would be late anyway.
 * Return: the link to it, or NULL. */
static struct plug_gate_waiter **
find_displaced(struct plug_gate *gate, plug_time now, uint64_t rank)
{
	struct plug_gate_waiter **oldest = &gate->first, **link;

	if (gate->first == NULL)
		return NULL;
	for (link = &gate->first; *link != NULL; link = &(*link)->next) {
		if ((*link)->rank != (*oldest)->rank)
			oldest = link;
	}
	if ((*oldest)->rank > rank ||
	    ((*oldest)->rank == rank && now >= (*oldest)->patience))
		return oldest;
	return NULL;
}

/**
 * plug_gate_wait() - let an opening segment wait
 * @gate: gate
 * @now: time
 * @waiter: segment; copied. A copy of one that waits already is dropped
 * @displaced: receives a segment that had to make room, for free(3), or NULL
 *
 * Return: false when too many wait.
 */
bool
plug_gate_wait(struct plug_gate *gate, plug_time now,
    const struct plug_gate_waiter *waiter, struct plug_gate_waiter **displaced)
{
	struct plug_gate_waiter **link = &gate->first;
	struct plug_gate_waiter *copy;

	*displaced = NULL;
	for (copy = gate->first; copy != NULL; copy = copy->next) {
		if (plug_tuple_equal(&copy->tuple, &waiter->tuple))
			return true;
	}
	copy = malloc(sizeof(*copy));
	if (copy == NULL)
		return false;
	if (gate->waiting >= gate->slots * WAITERS_PER_SLOT + WAITERS_MIN) {
		struct plug_gate_waiter **room =
		    find_displaced(gate, now, waiter->rank);

		if (room == NULL) {
			free(copy);
			return false;
		}
		*displaced = unlink_waiter(gate, room);
	}
	*copy = *waiter;
	while (*link != NULL && (*link)->rank <= copy->rank)
		link = &(*link)->next;
	copy->next = *link;
	*link = copy;
	gate->waiting++;
	return true;
}

/**
 * plug_gate_take() - take the segment that is admitted next
 * @gate: gate
 * @now: time
 *
 * The lowest rank comes first. Among its waiters it is the oldest one, until
 * that has waited for too long: then there is more to do than can be done in
 * time, and the newest one has a client that is certain to wait for it still.
 *
 * Return: segment for free(3), or NULL.
 */
struct plug_gate_waiter *
plug_gate_take(struct plug_gate *gate, plug_time now)
{
	struct plug_gate_waiter **link = &gate->first;

	if (gate->first == NULL || now < gate->first->patience)
		return unlink_waiter(gate, link);
	while (
	    (*link)->next != NULL && (*link)->next->rank == gate->first->rank)
		link = &(*link)->next;
	return unlink_waiter(gate, link);
}

/**
 * plug_gate_take_if() - take a segment that shall not wait any longer
 * @gate: gate
 * @matches: tells whether it is one
 * @data: first argument of @matches
 *
 * Return: segment for free(3), or NULL.
 */
struct plug_gate_waiter *
plug_gate_take_if(struct plug_gate *gate,
    bool (*matches)(void *data, const struct plug_gate_waiter *waiter),
    void *data)
{
	struct plug_gate_waiter **link = &gate->first;

	while (*link != NULL && !matches(data, *link))
		link = &(*link)->next;
	return unlink_waiter(gate, link);
}
