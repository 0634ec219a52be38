#ifndef PLUG_PEER_H
#define PLUG_PEER_H

#include "libplantainlug/client.h"
#include "log.h"

/* Limits of the frames that wait for one peer. */
#define PLUG_PEER_QUEUE_FRAMES 256
#define PLUG_PEER_QUEUE_BYTES  ((size_t)16 * 1024 * 1024)

struct plug_link;
struct plug_peers;

/**
 * struct plug_peers_counters - totals since the start
 * @frames_in: messages received
 * @frames_out: frames written in full
 * @dropped: frames dropped from full queues or for unreachable peers
 * @malformed: connections closed for a malformed or oversize frame
 * @refused: incoming connections above the limit
 * @replaced: outgoing connections replaced for lack of progress
 */
struct plug_peers_counters {
	uint64_t frames_in;
	uint64_t frames_out;
	uint64_t dropped;
	uint64_t malformed;
	uint64_t refused;
	uint64_t replaced;
};

/*
 * Receives each message. link is valid during the call and serves
 * plug_link_reply(). Returns true to keep the message, which it then frees.
 */
typedef bool (*plug_peers_handler)(
    void *data, struct plug_link *link, Plug__Message *message);

struct plug_peers *
plug_peers_create(struct plug_endpoint *local, struct plug_log *log,
    plug_peers_handler handler, void *data, struct plug_status *status);
void plug_peers_destroy(struct plug_peers *peers);
void plug_peers_send(struct plug_peers *peers, struct plug_endpoint target,
    const Plug__Message *message);
void plug_peers_send_frame(struct plug_peers *peers,
    struct plug_endpoint target, uint8_t *frame, size_t len, bool answered);
bool plug_peers_answered(const Plug__Message *message);
void plug_link_reply(struct plug_link *link, const Plug__Message *message);
void plug_peers_poll(struct plug_peers *peers, int timeout_ms);
void plug_peers_wake(struct plug_peers *peers);
const struct plug_peers_counters *
plug_peers_counters(const struct plug_peers *peers);

#endif
