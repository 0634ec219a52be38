#ifndef PLUG_FLOWTABLE_H
#define PLUG_FLOWTABLE_H

#include "flow.h"

/* Longer than the time within which a new token has to be used for the first
 * time, so that a late first packet can't create a closed flow again. */
#define PLUG_TOMBSTONE_TIME (30 * PLUG_SEC)

/* Callers send a heartbeat every 5 s, so a caller that is silent this long is
 * gone. Moved flows are kept as long, to forward packets with old tokens. */
#define PLUG_FLOW_IDLE_MAX (120 * PLUG_SEC)

#define PLUG_OPEN_LIMIT_DEFAULT 2000 /* open flows until a document is set */

/**
 * struct plug_flowtable - flows of an agent by flow id
 * @buckets: hash chains, @bucket_count of them, a power of two
 * @open_limit: open flows that the document allows
 * @open_count: flows that are open or frozen
 * @total_count: flows in any state
 * @cursor: next bucket that plug_flowtable_next_expired() checks
 * @answers: answer store of the flows
 */
struct plug_flowtable {
	struct plug_flow **buckets;
	unsigned int bucket_count;
	unsigned int open_limit;
	unsigned int open_count;
	unsigned int total_count;
	unsigned int cursor;
	struct plug_answers answers;
};

enum plug_code plug_flowtable_init(struct plug_flowtable *table);
void plug_flowtable_finish(struct plug_flowtable *table);
struct plug_flow *
plug_flowtable_find(const struct plug_flowtable *table, uint64_t id);
bool plug_flowtable_is_full(const struct plug_flowtable *table);
void
plug_flowtable_insert(struct plug_flowtable *table, struct plug_flow *flow);
void
plug_flowtable_remove(struct plug_flowtable *table, struct plug_flow *flow);
void plug_flowtable_set_state(struct plug_flowtable *table,
    struct plug_flow *flow, enum plug_flow_state state, plug_time now);
struct plug_flow *plug_flowtable_next(
    const struct plug_flowtable *table, const struct plug_flow *flow);
struct plug_flow *
plug_flowtable_next_expired(struct plug_flowtable *table, plug_time now);

#endif
