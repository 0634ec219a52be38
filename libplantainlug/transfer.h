#ifndef PLUG_TRANSFER_H
#define PLUG_TRANSFER_H

#include "flowtable.h"

#define PLUG_BATCH_FLOWS_MAX	  64  /* flows in one batch */
#define PLUG_OUTGOING_BATCHES_MAX 4   /* batches in progress as the source */
#define PLUG_INCOMING_BATCHES_MAX 32  /* batches prepared as the target */
#define PLUG_BATCH_RESULTS_MAX	  256 /* results kept as the target */

/* A larger answer isn't part of PREPARE: it follows the confirmed COMMIT in a
 * COMPLETION of its own. */
#define PLUG_INLINE_ANSWER_MAX 16384 /* bytes */

/* Events of a flow or of one of its requests, passed to the notify handler. */
enum plug_transfer_event {
	/* At the source: */
	PLUG_TRANSFER_RESUMED, /* the flow wasn't moved and is open again */
	PLUG_TRANSFER_MOVED,   /* the target confirmed that it took over */
	/* COMMIT was sent, but its effect is unknown. The handler must close
	 * the flow, which otherwise stays in the flow table as committing. */
	PLUG_TRANSFER_LOST,

	/* At the target: */
	PLUG_TRANSFER_TAKEN_OVER,    /* this agent now owns the flow */
	PLUG_TRANSFER_REQUEST_ENDED, /* a request ended at the source */

	/* At the source: */
	PLUG_TRANSFER_TOKEN_USED, /* the caller uses the target's token */
};

/**
 * struct plug_outgoing_batch - flows being moved to a sibling
 * @id: batch id; 0 when the entry is unused
 * @target: address of the target
 * @target_instance: instance id of the target, set when PREPARED arrives
 * @committed: COMMIT was sent; the flows resume here only when
 *   @target_instance reports that it dropped them
 * @started_at: when the first PREPARE or, later, the first COMMIT was sent
 * @last_sent_at: when PREPARE or COMMIT was last sent
 * @flow_count: length of @flow_ids
 * @flow_ids: ids of the flows; once PREPARED has arrived, only those that the
 *   target accepted
 */
struct plug_outgoing_batch {
	uint64_t id;
	struct plug_endpoint target;
	uint64_t target_instance;
	bool committed;
	plug_time started_at;
	plug_time last_sent_at;
	unsigned int flow_count;
	uint64_t flow_ids[PLUG_BATCH_FLOWS_MAX];
};

/**
 * struct plug_incoming_batch - prepared flows that wait for COMMIT
 * @id: batch id; 0 when the entry is unused
 * @source: address of the source
 * @source_instance: instance id of the source
 * @received_at: when the first PREPARE arrived
 * @flow_count: length of @flows
 * @flows: flows outside of the flow table, owned by the batch; none of their
 *   requests may start yet
 */
struct plug_incoming_batch {
	uint64_t id;
	struct plug_endpoint source;
	uint64_t source_instance;
	plug_time received_at;
	unsigned int flow_count;
	struct plug_flow *flows[PLUG_BATCH_FLOWS_MAX];
};

/**
 * struct plug_batch_result - how a batch ended at its target
 * @id: batch id; 0 when the entry is unused
 * @taken_over: true when its flows were taken over, false when dropped
 */
struct plug_batch_result {
	uint64_t id;
	bool taken_over;
};

/**
 * struct plug_transfer - moves of flows between this agent and its siblings
 * @client: emits the messages and supplies random batch ids; not owned
 * @sender: identifies this agent in messages
 * @flows: flow table of this agent; not owned
 * @notify: called for each event of a flow, may be NULL; the request is set for
 *   PLUG_TRANSFER_REQUEST_ENDED only
 * @notify_data: first argument of @notify
 * @outgoing: batches that this agent sends as the source
 * @incoming: batches that this agent has prepared as the target
 * @results: ring of the last results as the target; a resent PREPARE or COMMIT
 *   of a batch that has ended is looked up here
 * @next_result: results written so far; modulo the length of @results it is the
 *   next entry
 */
struct plug_transfer {
	struct plug_client *client;
	Plug__Sender sender;
	struct plug_flowtable *flows;
	void (*notify)(void *data, plug_time now,
	    enum plug_transfer_event event, struct plug_flow *flow,
	    struct plug_request *request);
	void *notify_data;
	struct plug_outgoing_batch outgoing[PLUG_OUTGOING_BATCHES_MAX];
	struct plug_incoming_batch incoming[PLUG_INCOMING_BATCHES_MAX];
	struct plug_batch_result results[PLUG_BATCH_RESULTS_MAX];
	unsigned int next_result;
};

void
plug_transfer_init(struct plug_transfer *transfer, struct plug_client *client,
    struct plug_flowtable *flows, const Plug__Sender *sender);
void plug_transfer_finish(struct plug_transfer *transfer);
void plug_transfer_reset(struct plug_transfer *transfer);
bool plug_transfer_can_begin(const struct plug_transfer *transfer);
bool plug_transfer_has_outgoing(const struct plug_transfer *transfer);
unsigned int plug_transfer_begin(struct plug_transfer *transfer, plug_time now,
    struct plug_endpoint target, struct plug_flow *const *flows,
    unsigned int count);
void plug_transfer_request_ended(struct plug_transfer *transfer,
    const struct plug_flow *flow, const struct plug_request *request);
void plug_transfer_token_used(
    struct plug_transfer *transfer, const struct plug_flow *flow);
const struct plug_flow *
plug_transfer_find_prepared(const struct plug_transfer *transfer, uint64_t id,
    struct plug_endpoint *source);
void plug_transfer_handle(struct plug_transfer *transfer, plug_time now,
    const Plug__Message *message, bool accepting);
void plug_transfer_tick(struct plug_transfer *transfer, plug_time now,
    bool (*is_listed)(const void *data, struct plug_endpoint endpoint),
    const void *data);

#endif
