#ifndef PLUG_TRANSFER_H
#define PLUG_TRANSFER_H

#include "flowtable.h"

#define PLUG_BATCH_FLOWS_MAX	  64 /* flows in one batch */
#define PLUG_OUTGOING_BATCHES_MAX 4  /* batches that are handed away at a time \
				      */
#define PLUG_INCOMING_BATCHES_MAX \
	32 /* prepared batches that are held at a time */
#define PLUG_BATCH_RESULTS_MAX 256 /* batches whose end is remembered */

/* Larger answers follow the commit, each in a COMPLETION of its own. */
#define PLUG_INLINE_ANSWER_MAX 16384 /* bytes */

/* What became of a flow; passed to the handler. */
enum plug_transfer_event {
	PLUG_TRANSFER_RESUMED, /* source: the flow stays */
	PLUG_TRANSFER_MOVED,   /* source: the target has confirmed */
	PLUG_TRANSFER_LOST,    /* source: committed, but the target is gone */
	PLUG_TRANSFER_TAKEN_OVER,    /* target: the flow is now owned */
	PLUG_TRANSFER_REQUEST_ENDED, /* target: a request at the source has
					ended */
	PLUG_TRANSFER_TOKEN_USED,    /* source: the caller uses the new token */
};

/**
 * struct plug_outgoing_batch - flows on their way to a target
 * @id: batch id; 0 while unused
 * @target: address of the target
 * @instance: its instance id, known from PREPARED on
 * @committed: COMMIT was sent; the flows resume here only when the same
 *   instance says that it has dropped them
 * @started_at: time of PREPARE or of the first COMMIT
 * @last_sent_at: time of the last message
 * @flows: ids, @flow_count of them
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
 * struct plug_incoming_batch - prepared flows that may not run anything yet
 * @id: batch id; 0 while unused
 * @source: address of the source
 * @instance: its instance id
 * @received_at: time of PREPARE
 * @flows: records, owned, @flow_count of them
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
 * struct plug_batch_result - what became of a batch at its target
 * @id: batch id; 0 while unused
 * @taken_over: its flows were taken over; otherwise they were dropped
 */
struct plug_batch_result {
	uint64_t id;
	bool taken_over;
};

/**
 * struct plug_transfer - moves of flows to and from siblings
 * @client: handlers and random numbers
 * @sender: names this agent in messages
 * @flows: flows of this agent
 * @notify: receives what became of each flow, and a request for
 *   PLUG_TRANSFER_ENDED
 * @notify_data: first argument of @notify
 * @outgoing: batches as the source
 * @incoming: batches as the target
 * @results: last batches that ended here as the target, a ring
 * @next_result: next place in @results
 */
struct plug_transfer {
	struct plug_client *client;
	Plug__Sender sender;
	struct plug_flowtable *flows;
	void (*notify)(void *data, plug_time now, enum plug_transfer_event note,
	    struct plug_flow *flow, struct plug_request *request);
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
    bool (*listed)(const void *data, struct plug_endpoint endpoint),
    const void *data);

#endif
