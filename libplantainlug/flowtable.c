#include <stdlib.h>

#include "flowtable.h"

#define BUCKETS	      4096 /* power of two, about twice the default open_limit */
#define SWEEP_BUCKETS 64   /* checked in one call */

/* Once the flows in any state reach this multiple of the limit of open flows,
 * open calls are forwarded or refused, and the first packet with a new token is
 * answered with "flow lost". It leaves room for closed and moved flows and for
 * the flows of tokens that were minted and not used yet. */
#define TOTAL_FACTOR 4

/**
 * plug_flowtable_init() - initialise an empty table
 * @table: table to initialise
 *
 * Return: PLUG_OK or PLUG_E_MEMORY.
 */
enum plug_code
plug_flowtable_init(struct plug_flowtable *table)
{
	*table = (struct plug_flowtable){
		.bucket_count = BUCKETS,
		.open_limit = PLUG_OPEN_LIMIT_DEFAULT,
		.buckets = calloc(BUCKETS, sizeof(struct plug_flow *)),
	};
	plug_answers_init(&table->answers);
	return table->buckets == NULL ? PLUG_E_MEMORY : PLUG_OK;
}

/**
 * plug_flowtable_finish() - free the table and its flows
 * @table: table whose flows have no queued or running requests
 */
void
plug_flowtable_finish(struct plug_flowtable *table)
{
	if (table->buckets == NULL)
		return;
	for (unsigned int i = 0; i < table->bucket_count; i++) {
		while (table->buckets[i] != NULL)
			plug_flowtable_remove(table, table->buckets[i]);
	}
	free(table->buckets);
	table->buckets = NULL;
}

/* Flow ids are random, so their low bits spread evenly. */
static struct plug_flow **
bucket_of(const struct plug_flowtable *table, uint64_t id)
{
	return &table->buckets[id & (table->bucket_count - 1)];
}

/**
 * plug_flowtable_find() - find a flow in any state
 * @table: table
 * @id: flow id
 *
 * Return: the flow, or NULL when the table doesn't hold it.
 */
struct plug_flow *
plug_flowtable_find(const struct plug_flowtable *table, uint64_t id)
{
	struct plug_flow *flow = *bucket_of(table, id);

	while (flow != NULL && flow->id != id)
		flow = flow->next;
	return flow;
}

/**
 * plug_flowtable_is_full() - check whether the table takes no further flow
 * @table: table
 *
 * The open flows are limited by the document, all flows by TOTAL_FACTOR times
 * as many.
 */
bool
plug_flowtable_is_full(const struct plug_flowtable *table)
{
	return table->open_count >= table->open_limit ||
	       table->total_count >= TOTAL_FACTOR * table->open_limit;
}

static bool
counts_as_open(enum plug_flow_state state)
{
	return state == PLUG_FLOW_OPEN || state == PLUG_FLOW_FROZEN;
}

/**
 * plug_flowtable_insert() - add a flow
 * @table: table; owns the flow from now on
 * @flow: flow whose id isn't in the table
 *
 * The caller has checked plug_flowtable_is_full(), or has reserved the room
 * when it accepted the flow from a sibling.
 */
void
plug_flowtable_insert(struct plug_flowtable *table, struct plug_flow *flow)
{
	struct plug_flow **bucket = bucket_of(table, flow->id);

	flow->next = *bucket;
	*bucket = flow;
	table->total_count++;
	if (counts_as_open(flow->state))
		table->open_count++;
}

/**
 * plug_flowtable_remove() - remove a flow and free it
 * @table: table
 * @flow: flow of the table, without queued or running requests
 */
void
plug_flowtable_remove(struct plug_flowtable *table, struct plug_flow *flow)
{
	struct plug_flow **link = bucket_of(table, flow->id);

	while (*link != flow)
		link = &(*link)->next;
	*link = flow->next;
	table->total_count--;
	if (counts_as_open(flow->state))
		table->open_count--;
	plug_flow_destroy(flow, &table->answers);
}

/**
 * plug_flowtable_set_state() - change the state of a flow
 * @table: table
 * @flow: flow of the table
 * @state: new state
 * @now: current time
 */
void
plug_flowtable_set_state(struct plug_flowtable *table, struct plug_flow *flow,
    enum plug_flow_state state, plug_time now)
{
	if (counts_as_open(flow->state))
		table->open_count--;
	if (counts_as_open(state))
		table->open_count++;
	flow->state = state;
	flow->state_changed_at = now;
}

/**
 * plug_flowtable_next() - iterate over all flows
 * @table: table; must keep @flow until the next call
 * @flow: current flow, or NULL to start
 *
 * Return: the next flow, or NULL at the end.
 */
struct plug_flow *
plug_flowtable_next(
    const struct plug_flowtable *table, const struct plug_flow *flow)
{
	unsigned int i = 0;

	if (flow != NULL) {
		if (flow->next != NULL)
			return flow->next;
		i = (unsigned int)(flow->id & (table->bucket_count - 1)) + 1;
	}
	for (; i < table->bucket_count; i++) {
		if (table->buckets[i] != NULL)
			return table->buckets[i];
	}
	return NULL;
}

static bool
flow_expired(const struct plug_flow *flow, plug_time now)
{
	switch (flow->state) {
	case PLUG_FLOW_OPEN:
		return flow->active_requests == 0 &&
		       now - flow->last_packet_at >= PLUG_FLOW_IDLE_MAX;
	case PLUG_FLOW_FROZEN:
	case PLUG_FLOW_COMMITTING:
		return false;
	case PLUG_FLOW_MOVED:
		return flow->active_requests == 0 &&
		       now - flow->state_changed_at >= PLUG_FLOW_IDLE_MAX &&
		       now - flow->last_packet_at >= PLUG_FLOW_IDLE_MAX;
	case PLUG_FLOW_CLOSED:
		return now - flow->state_changed_at >= PLUG_TOMBSTONE_TIME;
	}
	return false;
}

/**
 * plug_flowtable_next_expired() - find a flow that has expired
 * @table: table
 * @now: current time
 *
 * Checks SWEEP_BUCKETS buckets at most and goes on from there in the next call.
 * Returns a flow again until the caller has closed or removed it.
 *
 * Return: an idle open flow for the caller to close, a moved or closed one to
 * remove, or NULL when none of the checked flows has expired.
 */
struct plug_flow *
plug_flowtable_next_expired(struct plug_flowtable *table, plug_time now)
{
	for (unsigned int i = 0; i < SWEEP_BUCKETS; i++) {
		struct plug_flow *flow = table->buckets[table->cursor];

		for (; flow != NULL; flow = flow->next) {
			if (flow_expired(flow, now))
				return flow;
		}
		table->cursor = (table->cursor + 1) & (table->bucket_count - 1);
	}
	return NULL;
}
