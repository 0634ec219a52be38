#include <curl/curl.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buffer.h"
#include "fetch.h"
#include "pollset.h"

#define CONNECT_MS	500L /* to open a connection; a few round trips */
#define KEEPALIVE_S	1L   /* idle time and interval of TCP probes */
#define KEEPALIVE_COUNT 2    /* unanswered probes that end a connection */

/* Bytes that are sent and not acknowledged for this long end a connection, as
 * those through which nothing passes any more give no other sign. */
#define UNACKNOWLEDGED_MS 1500

struct plug_fetch {
	CURLM *multi;
};

/**
 * struct plug_fetch_slot - one GET at a time
 * @fetch: owner
 * @handlers: what becomes of it
 * @easy: transfer with its connection
 * @busy: a GET is under way
 * @sock: socket of the connection that the last GET has left open, -1 without
 *   one; libcurl may close it during any GET of @fetch
 * @body: answer
 * @len: length of @body in bytes
 * @capacity: its allocated size in bytes
 */
struct plug_fetch_slot {
	struct plug_fetch *fetch;
	struct plug_fetch_handlers handlers;
	CURL *easy;
	bool busy;
	int sock;
	uint8_t *body;
	size_t len;
	size_t capacity;
};

/**
 * plug_fetch_create() - prepare for GETs
 *
 * Return: object for plug_fetch_destroy(), or NULL when libcurl failed.
 */
struct plug_fetch *
plug_fetch_create(void)
{
	struct plug_fetch *fetch = calloc(1, sizeof(*fetch));

	if (fetch == NULL ||
	    curl_global_init(CURL_GLOBAL_NOTHING) != CURLE_OK) {
		free(fetch);
		return NULL;
	}
	fetch->multi = curl_multi_init();
	if (fetch->multi == NULL) {
		free(fetch);
		return NULL;
	}
	return fetch;
}

/**
 * plug_fetch_destroy() - release what plug_fetch_create() has made
 * @fetch: object without slots, or NULL
 */
void
plug_fetch_destroy(struct plug_fetch *fetch)
{
	if (fetch == NULL)
		return;
	(void)curl_multi_cleanup(fetch->multi);
	curl_global_cleanup();
	free(fetch);
}

static size_t
on_body(char *data, size_t size, size_t count, void *user)
{
	struct plug_fetch_slot *slot = user;
	size_t len = size * count;

	if (slot->len + len > slot->handlers.body_max ||
	    !plug_buffer_reserve(&slot->body, &slot->capacity, slot->len + len))
		return 0;
	memcpy(slot->body + slot->len, data, len);
	slot->len += len;
	return len;
}

static size_t
on_header(char *data, size_t size, size_t count, void *user)
{
	struct plug_fetch_slot *slot = user;
	const struct plug_str line = { data, size * count };

	if (slot->handlers.header != NULL)
		slot->handlers.header(slot->handlers.data, line);
	return line.len;
}

static int
on_options(void *user, curl_socket_t fd, curlsocktype purpose)
{
	const int count = KEEPALIVE_COUNT;
	const unsigned int unacknowledged = UNACKNOWLEDGED_MS;

	(void)user;
	(void)purpose;
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
	    sizeof(unacknowledged));
	return CURL_SOCKOPT_OK;
}

/**
 * plug_fetch_slot_create() - prepare one GET at a time
 * @fetch: object
 * @handlers: what becomes of the GETs; copied
 *
 * Return: slot for plug_fetch_slot_destroy(), or NULL when memory ran out.
 */
struct plug_fetch_slot *
plug_fetch_slot_create(
    struct plug_fetch *fetch, const struct plug_fetch_handlers *handlers)
{
	struct plug_fetch_slot *slot = calloc(1, sizeof(*slot));
	CURL *easy;

	if (slot == NULL)
		return NULL;
	slot->fetch = fetch;
	slot->handlers = *handlers;
	slot->sock = -1;
	easy = slot->easy = curl_easy_init();
	if (easy == NULL) {
		free(slot);
		return NULL;
	}
	(void)curl_easy_setopt(easy, CURLOPT_PRIVATE, slot);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, slot);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, slot);
	(void)curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, on_options);
	(void)curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
	(void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	return slot;
}

/**
 * plug_fetch_slot_destroy() - end a slot and its GET
 * @slot: slot, or NULL; not from within its header handler
 */
void
plug_fetch_slot_destroy(struct plug_fetch_slot *slot)
{
	if (slot == NULL)
		return;
	plug_fetch_cancel(slot);
	curl_easy_cleanup(slot->easy);
	free(slot->body);
	free(slot);
}

/**
 * plug_fetch_start() - start a GET
 * @slot: slot that isn't busy
 * @url: URL
 * @timeout_ms: milliseconds until it fails
 *
 * Return: false when libcurl failed.
 */
bool
plug_fetch_start(struct plug_fetch_slot *slot, const char *url, long timeout_ms)
{
	slot->len = 0;
	slot->sock = -1;
	(void)curl_easy_setopt(slot->easy, CURLOPT_URL, url);
	(void)curl_easy_setopt(slot->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	slot->busy =
	    curl_multi_add_handle(slot->fetch->multi, slot->easy) == CURLM_OK;
	return slot->busy;
}

/**
 * plug_fetch_cancel() - end a GET without calling its handlers
 * @slot: slot
 */
void
plug_fetch_cancel(struct plug_fetch_slot *slot)
{
	if (!slot->busy)
		return;
	(void)curl_multi_remove_handle(slot->fetch->multi, slot->easy);
	slot->busy = false;
}

/**
 * plug_fetch_busy() - whether a GET is under way
 * @slot: slot
 */
bool
plug_fetch_busy(const struct plug_fetch_slot *slot)
{
	return slot->busy;
}

/**
 * plug_fetch_closed() - whether the peer has closed the kept connection
 * @slot: slot that isn't busy, the only one of its object
 *
 * Return: true also when there is no connection.
 */
bool
plug_fetch_closed(const struct plug_fetch_slot *slot)
{
	char byte;
	ssize_t n;

	if (slot->sock < 0)
		return true;
	n = recv(slot->sock, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

/**
 * plug_fetch_socket() - socket of the kept connection
 * @slot: slot
 *
 * Return: descriptor to wait for, or -1.
 */
int
plug_fetch_socket(const struct plug_fetch_slot *slot)
{
	return slot->sock;
}

/**
 * plug_fetch_fds() - descriptors to wait for
 * @fetch: object
 * @fds: receives descriptors and events
 * @max: room in @fds
 *
 * Return: descriptors stored. libcurl reports those below FD_SETSIZE.
 */
unsigned int
plug_fetch_fds(struct plug_fetch *fetch, struct pollfd *fds, unsigned int max)
{
	fd_set in, out, error;
	int top = -1;

	FD_ZERO(&in);
	FD_ZERO(&out);
	FD_ZERO(&error);
	(void)curl_multi_fdset(fetch->multi, &in, &out, &error, &top);
	return plug_pollset_from(&in, &out, top, fds, max);
}

/**
 * plug_fetch_timeout() - longest wait before plug_fetch_perform()
 * @fetch: object
 * @max_ms: longest wait of the caller in milliseconds
 *
 * Return: milliseconds.
 */
int
plug_fetch_timeout(struct plug_fetch *fetch, int max_ms)
{
	long wait = -1;

	(void)curl_multi_timeout(fetch->multi, &wait);
	return wait >= 0 && wait < max_ms ? (int)wait : max_ms;
}

static void
finish(struct plug_fetch_slot *slot, CURLcode result)
{
	uint8_t *body = slot->body;
	struct plug_fetch_answer answer = {
		.body = { (const char *)body, slot->len },
		.reason = curl_easy_strerror(result),
	};
	curl_socket_t sock = CURL_SOCKET_BAD;
	long error = 0;

	if (result == CURLE_OK) {
		if (curl_easy_getinfo(
			slot->easy, CURLINFO_ACTIVESOCKET, &sock) == CURLE_OK &&
		    sock != CURL_SOCKET_BAD)
			slot->sock = sock;
		(void)curl_easy_getinfo(
		    slot->easy, CURLINFO_RESPONSE_CODE, &answer.status);
	} else {
		(void)curl_easy_getinfo(slot->easy, CURLINFO_OS_ERRNO, &error);
		answer.refused =
		    result == CURLE_COULDNT_CONNECT && error == ECONNREFUSED;
	}
	(void)curl_multi_remove_handle(slot->fetch->multi, slot->easy);
	slot->busy = false;
	/* The handler may destroy the slot. */
	slot->body = NULL;
	slot->capacity = 0;
	slot->handlers.done(slot->handlers.data, &answer);
	free(body);
}

/**
 * plug_fetch_perform() - go on with the GETs; never blocks
 * @fetch: object
 */
void
plug_fetch_perform(struct plug_fetch *fetch)
{
	int running, queued;
	CURLMsg *message;

	(void)curl_multi_perform(fetch->multi, &running);
	while (
	    (message = curl_multi_info_read(fetch->multi, &queued)) != NULL) {
		struct plug_fetch_slot *slot = NULL;
		CURLcode result = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		(void)curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &slot);
		finish(slot, result);
	}
}
