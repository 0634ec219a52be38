#ifndef PLUG_FETCH_H
#define PLUG_FETCH_H

#include <poll.h>

#include "libplantainlug/client.h"

#define PLUG_FETCH_URL_SIZE 512 /* bytes of a URL, with the NUL */

/**
 * struct plug_fetch_answer - how an HTTP GET has ended
 * @status: HTTP status; 0 when there was no complete answer
 * @body: body; borrowed for the call
 * @reason: text for the log when @status is 0
 * @refused: nothing listens at the address
 */
struct plug_fetch_answer {
	long status;
	struct plug_str body;
	const char *reason;
	bool refused;
};

/**
 * struct plug_fetch_handlers - what becomes of a GET
 * @header: one line of the answer's header; or NULL
 * @done: the GET has ended, and the next one may be started
 * @data: first argument of both
 * @body_max: bytes of an answer's body; a longer one is an error
 */
struct plug_fetch_handlers {
	void (*header)(void *data, struct plug_str line);
	void (*done)(void *data, const struct plug_fetch_answer *answer);
	void *data;
	size_t body_max;
};

struct plug_fetch;
struct plug_fetch_slot;

/*
 * HTTP GETs of one thread, on libcurl. A slot has one GET at a time and keeps
 * its connection. The thread's loop adds plug_fetch_fds() to its poll(2) set,
 * waits at most plug_fetch_timeout(), then calls plug_fetch_perform().
 */
struct plug_fetch *plug_fetch_create(void);
void plug_fetch_destroy(struct plug_fetch *fetch);
struct plug_fetch_slot *plug_fetch_slot_create(
    struct plug_fetch *fetch, const struct plug_fetch_handlers *handlers);
void plug_fetch_slot_destroy(struct plug_fetch_slot *slot);
bool plug_fetch_start(
    struct plug_fetch_slot *slot, const char *url, long timeout_ms);
void plug_fetch_cancel(struct plug_fetch_slot *slot);
bool plug_fetch_busy(const struct plug_fetch_slot *slot);
bool plug_fetch_closed(const struct plug_fetch_slot *slot);
int plug_fetch_socket(const struct plug_fetch_slot *slot);
unsigned int
plug_fetch_fds(struct plug_fetch *fetch, struct pollfd *fds, unsigned int max);
int plug_fetch_timeout(struct plug_fetch *fetch, int max_ms);
void plug_fetch_perform(struct plug_fetch *fetch);

#endif
