#ifndef PLUG_TRANSFER_H
#define PLUG_TRANSFER_H

#include "flowtable.h"

#define PLUG_BATCH_FLOWS 64  /* flows in one batch */
#define PLUG_BATCHES_OUT 4   /* batches that are handed away at a time */
#define PLUG_BATCHES_IN	 32  /* prepared batches that are held at a time */
#define PLUG_ENDS_MAX	 256 /* batches whose end is remembered */

/* Larger answers follow the commit, each in a COMPLETION of its own. */
#define PLUG_INLINE_ANSWER_MAX 16384 /* bytes */

/* What became of a flow; passed to the handler. */
enum plug_transfer_note {
	PLUG_TRANSFER_RESUMED, /* source: the flow stays */
	PLUG_TRANSFER_MOVED,   /* source: the target has confirmed */
	PLUG_TRANSFER_LOST,    /* source: committed, but the target is gone */
	PLUG_TRANSFER_TAKEN,   /* target: the flow is now owned */
	PLUG_TRANSFER_ENDED,   /* target: a request at the source has ended */
	PLUG_TRANSFER_RENEWED, /* source: the caller uses the new token */
};

/**
 * struct plug_batch_out - flows on their way to a target
 * @id: batch id; 0 while unused
 * @target: address of the target
 * @instance: its instance id, known from PREPARED on
 * @committed: COMMIT was sent; the flows resume here only when the same
 *   instance says that it has dropped them
 * @started: time of PREPARE or of the first COMMIT
 * @sent: time of the last message
 * @flows: ids, @count of them
 */
struct plug_batch_out {
	uint64_t id;
	struct plug_endpoint target;
	uint64_t instance;
	bool committed;
	plug_time started;
	plug_time sent;
	unsigned int count;
	uint64_t flows[PLUG_BATCH_FLOWS];
};

/**
 * struct plug_batch_in - prepared flows that may not run anything yet
 * @id: batch id; 0 while unused
 * @source: address of the source
 * @instance: its instance id
 * @received: time of PREPARE
 * @flows: records, owned, @count of them
 */
struct plug_batch_in {
	uint64_t id;
	struct plug_endpoint source;
	uint64_t instance;
	plug_time received;
	unsigned int count;
	struct plug_flow *flows[PLUG_BATCH_FLOWS];
};

/**
 * struct plug_batch_end - what became of a batch at its target
 * @id: batch id; 0 while unused
 * @taken: its flows were taken over; otherwise they were dropped
 */
struct plug_batch_end {
	uint64_t id;
	bool taken;
};

/**
 * struct plug_transfer - moves of flows to and from siblings
 * @client: handlers and random numbers
 * @sender: names this agent in messages
 * @flows: flows of this agent
 * @notify: receives what became of each flow, and a request for
 *   PLUG_TRANSFER_ENDED
 * @notify_data: first argument of @notify
 * @out: batches as the source
 * @in: batches as the target
 * @ends: last batches that ended here as the target, a ring
 * @end_next: next place in @ends
 */
struct plug_transfer {
	struct plug_client *client;
	Plug__Sender sender;
	struct plug_flowtable *flows;
	void (*notify)(void *data, plug_time now, enum plug_transfer_note note,
	    struct plug_flow *flow, struct plug_request *request);
	void *notify_data;
	struct plug_batch_out out[PLUG_BATCHES_OUT];
	struct plug_batch_in in[PLUG_BATCHES_IN];
	struct plug_batch_end ends[PLUG_ENDS_MAX];
	unsigned int end_next;
};

void
plug_transfer_init(struct plug_transfer *transfer, struct plug_client *client,
    struct plug_flowtable *flows, const Plug__Sender *sender);
void plug_transfer_finish(struct plug_transfer *transfer);
void plug_transfer_reset(struct plug_transfer *transfer);
bool plug_transfer_ready(const struct plug_transfer *transfer);
bool plug_transfer_busy(const struct plug_transfer *transfer);
unsigned int plug_transfer_begin(struct plug_transfer *transfer, plug_time now,
    struct plug_endpoint target, struct plug_flow *const *flows,
    unsigned int count);
void plug_transfer_ended(struct plug_transfer *transfer,
    const struct plug_flow *flow, const struct plug_request *request);
void plug_transfer_renewed(
    struct plug_transfer *transfer, const struct plug_flow *flow);
const struct plug_flow *
plug_transfer_prepared(const struct plug_transfer *transfer, uint64_t id,
    struct plug_endpoint *source);
void plug_transfer_handle(struct plug_transfer *transfer, plug_time now,
    const Plug__Message *message, bool accepting);
void plug_transfer_tick(struct plug_transfer *transfer, plug_time now,
    bool (*listed)(const void *data, struct plug_endpoint endpoint),
    const void *data);

#endif
