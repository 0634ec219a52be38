#ifndef PLUG_TRANSFER_INTERNAL_H
#define PLUG_TRANSFER_INTERNAL_H

/* Functions shared by transfer.c and the transfer_*.c files; not part of the
 * interface. */

#include "transfer.h"

/* transfer.c */
void plug_transfer_notify(struct plug_transfer *transfer, plug_time now,
    enum plug_transfer_event event, struct plug_flow *flow,
    struct plug_request *request);
void plug_transfer_send(const struct plug_transfer *transfer,
    struct plug_endpoint target, Plug__Message *message);

/* transfer_source.c */
void plug_transfer_handle_prepared(struct plug_transfer *transfer,
    plug_time now, const Plug__Sender *sender, const Plug__Prepared *prepared);
void
plug_transfer_handle_committed(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Committed *committed);
void plug_transfer_source_tick(struct plug_transfer *transfer, plug_time now,
    bool (*is_listed)(const void *data, struct plug_endpoint endpoint),
    const void *data);

/* transfer_target.c */
void plug_transfer_drop_incoming(
    struct plug_transfer *transfer, struct plug_incoming_batch *batch);
struct plug_incoming_batch *plug_transfer_find_incoming(
    struct plug_transfer *transfer, uint64_t id, uint64_t instance);
void plug_transfer_handle_prepare(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Prepare *prepare, bool accepting);
void plug_transfer_handle_commit(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Commit *commit);
void
plug_transfer_handle_completion(struct plug_transfer *transfer, plug_time now,
    struct plug_endpoint from, const Plug__Completion *completion);
void plug_transfer_target_tick(struct plug_transfer *transfer, plug_time now,
    bool (*is_listed)(const void *data, struct plug_endpoint endpoint),
    const void *data);

#endif
