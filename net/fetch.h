#ifndef PLUG_FETCH_H
#define PLUG_FETCH_H

#include "loop.h"

#define PLUG_FETCH_URL_SIZE 1024 /* bytes of a URL, with the NUL */

/**
 * struct plug_fetch_answer - how an HTTP GET has ended
 * @status: HTTP status; 0 when there was no complete answer
 * @body: body; borrowed for the call
 * @reason: text for the log when @status is 0
 * @received: bytes of the answer that have arrived, those of its header
 *   included
 * @waited: time until the answer began to arrive, microseconds; 0 if it didn't
 * @arriving: time from its first to its last byte, microseconds
 * @refused: the connection could not be opened, as nothing listens at the
 *   address
 */
struct plug_fetch_answer {
	long status;
	struct plug_str body;
	const char *reason;
	size_t received;
	plug_time waited;
	plug_time arriving;
	bool refused;
};

/**
 * struct plug_fetch_handlers - what becomes of a GET
 * @header: one line of the answer's header; or NULL
 * @done: the GET has ended, and the next one may be started
 * @data: first argument of both
 * @body_max: bytes of an answer's body; a longer one is an error
 * @stall_ms: milliseconds without a byte after which an answer that has begun
 *   to arrive fails; 0 if the timeout of the GET holds for the whole answer
 */
struct plug_fetch_handlers {
	void (*header)(void *data, struct plug_str line);
	void (*done)(void *data, const struct plug_fetch_answer *answer);
	void *data;
	size_t body_max;
	long stall_ms;
};

struct plug_fetch_slot;

/*
 * HTTP GETs of one thread, on libevent. A slot has one GET at a time and keeps
 * its connection. They go on, and the handlers are called, in plug_loop_wait().
 */
struct plug_fetch_slot *plug_fetch_slot_create(
    struct plug_loop *loop, const struct plug_fetch_handlers *handlers);
void plug_fetch_slot_destroy(struct plug_fetch_slot *slot);
bool plug_fetch_start(
    struct plug_fetch_slot *slot, const char *url, long timeout_ms);
void plug_fetch_cancel(struct plug_fetch_slot *slot);
bool plug_fetch_busy(const struct plug_fetch_slot *slot);
plug_time
plug_fetch_arriving_for(const struct plug_fetch_slot *slot, plug_time now);
bool plug_fetch_closed(const struct plug_fetch_slot *slot);

#endif
