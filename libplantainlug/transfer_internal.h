#ifndef PLUG_TRANSFER_INTERNAL_H
#define PLUG_TRANSFER_INTERNAL_H

/* Shared by the files of the transfer; not part of its interface. */

#include "transfer.h"

/* transfer.c */
void plug_transfer_notify(struct plug_transfer *transfer, plug_time now,
    enum plug_transfer_note note, struct plug_flow *flow,
    struct plug_request *request);
void plug_transfer_send(const struct plug_transfer *transfer,
    struct plug_endpoint target, Plug__Message *message);

/* transfer_source.c */
void plug_transfer_prepared_by(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Prepared *prepared);
void plug_transfer_committed_by(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Committed *committed);
void plug_transfer_source_tick(struct plug_transfer *transfer, plug_time now,
    bool (*listed)(const void *data, struct plug_endpoint endpoint),
    const void *data);

/* transfer_target.c */
void plug_transfer_drop_in(
    struct plug_transfer *transfer, struct plug_batch_in *batch);
struct plug_batch_in *plug_transfer_find_in(
    struct plug_transfer *transfer, uint64_t id, uint64_t instance);
void plug_transfer_take_prepare(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Prepare *prepare, bool accepting);
void plug_transfer_take_commit(struct plug_transfer *transfer, plug_time now,
    const Plug__Sender *sender, const Plug__Commit *commit);
void
plug_transfer_take_completion(struct plug_transfer *transfer, plug_time now,
    struct plug_endpoint from, const Plug__Completion *completion);
void plug_transfer_target_tick(struct plug_transfer *transfer, plug_time now,
    bool (*listed)(const void *data, struct plug_endpoint endpoint),
    const void *data);

#endif
