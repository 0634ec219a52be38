#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "clock.h"
#include "fetch.h"

#define CONNECT_MS	500L  /* to open a connection; a few round trips */
#define KEEPALIVE_S	1     /* idle time and interval of TCP probes */
#define KEEPALIVE_COUNT 2     /* unanswered probes that end a connection */
#define HEADERS_MAX	16384 /* bytes of an answer's header */
#define LINE_SIZE	1024  /* bytes of one line of it that is handed on */

/* The connection could not be opened; libevent doesn't tell why. */
#define ERROR_CONNECT (-1)

/* Bytes that are sent and not acknowledged for this long end a connection, as
 * those through which nothing passes any more give no other sign. */
#define UNACKNOWLEDGED_MS 1500

/**
 * struct plug_fetch_slot - one GET at a time
 * @loop: its thread's loop
 * @handlers: what becomes of it
 * @connection: connection, opened when it is needed, or NULL
 * @host: address that @connection leads to
 * @port: its port
 * @request: GET under way, or NULL
 * @path: path and query of the GET
 * @timer: ends a GET that takes too long or whose answer stops arriving
 * @left_ms: milliseconds that it may take after the next expiry of @timer; 0
 *   once the answer arrives, if handlers set stall_ms
 * @received: bytes of the answer that have arrived
 * @sent_at: time when the GET was sent
 * @first_at: time when the answer began to arrive; 0 before
 * @connected: @connection is open and kept for the next GET
 * @reused: the GET uses a connection that was kept
 * @starting: the GET is just being started, so that its end is a failure of
 *   the start
 * @error: why the GET has failed, of type enum evhttp_request_error; or
 *   ERROR_CONNECT
 */
struct plug_fetch_slot {
	struct plug_loop *loop;
	struct plug_fetch_handlers handlers;
	struct evhttp_connection *connection;
	char host[INET_ADDRSTRLEN];
	uint16_t port;
	struct evhttp_request *request;
	char path[PLUG_FETCH_URL_SIZE];
	struct event *timer;
	long left_ms;
	size_t received;
	plug_time sent_at;
	plug_time first_at;
	bool connected;
	bool reused;
	bool starting;
	int error;
};

static void on_timer(int fd, short what, void *data);
static bool send_request(struct plug_fetch_slot *slot);

/**
 * plug_fetch_slot_create() - prepare one GET at a time
 * @loop: loop of the calling thread
 * @handlers: what becomes of the GETs; copied
 *
 * Return: slot for plug_fetch_slot_destroy(), or NULL when memory ran out.
 */
struct plug_fetch_slot *
plug_fetch_slot_create(
    struct plug_loop *loop, const struct plug_fetch_handlers *handlers)
{
	struct plug_fetch_slot *slot = calloc(1, sizeof(*slot));

	if (slot == NULL)
		return NULL;
	slot->loop = loop;
	slot->handlers = *handlers;
	slot->timer = evtimer_new(plug_loop_base(loop), on_timer, slot);
	if (slot->timer == NULL) {
		free(slot);
		return NULL;
	}
	return slot;
}

static void
close_connection(struct plug_fetch_slot *slot)
{
	slot->connected = false;
	if (slot->connection == NULL)
		return;
	evhttp_connection_set_closecb(slot->connection, NULL, NULL);
	evhttp_connection_free(slot->connection);
	slot->connection = NULL;
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
	close_connection(slot);
	event_free(slot->timer);
	free(slot);
}

static void
arm_timer(struct plug_fetch_slot *slot, long ms)
{
	const struct timeval tv = {
		.tv_sec = ms / 1000,
		.tv_usec = ms % 1000 * 1000,
	};

	(void)evtimer_add(slot->timer, &tv);
}

static int
socket_of(const struct plug_fetch_slot *slot)
{
	return slot->connection == NULL
		   ? -1
		   : bufferevent_getfd(
			 evhttp_connection_get_bufferevent(slot->connection));
}

static void
set_options(int fd)
{
	const int on = 1, interval = KEEPALIVE_S, count = KEEPALIVE_COUNT;
	const unsigned int unacknowledged = UNACKNOWLEDGED_MS;

	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPIDLE, &interval, sizeof(interval));
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof(count));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged,
	    sizeof(unacknowledged));
}

static void
finish(struct plug_fetch_slot *slot, struct plug_fetch_answer *answer)
{
	slot->request = NULL;
	(void)evtimer_del(slot->timer);
	answer->received = slot->received;
	if (slot->first_at != 0) {
		answer->waited = slot->first_at - slot->sent_at;
		answer->arriving = plug_clock_now() - slot->first_at;
	}
	/* The handler may destroy the slot. */
	slot->handlers.done(slot->handlers.data, answer);
}

static void
hand_on_headers(
    const struct plug_fetch_slot *slot, struct evhttp_request *request)
{
	const struct evkeyvalq *headers =
	    evhttp_request_get_input_headers(request);
	const struct evkeyval *header;
	char line[LINE_SIZE];

	if (slot->handlers.header == NULL)
		return;
	for (header = headers->tqh_first; header != NULL;
	     header = header->next.tqe_next) {
		int len = snprintf(
		    line, sizeof(line), "%s: %s", header->key, header->value);

		if (len > 0 && (size_t)len < sizeof(line))
			slot->handlers.header(slot->handlers.data,
			    (struct plug_str){ line, (size_t)len });
	}
}

/* A server may close a kept connection while a GET is on its way: the GET was
 * not answered in any part, and is sent again, once, on a new one. */
static bool
try_again(struct plug_fetch_slot *slot)
{
	return slot->reused && !slot->starting &&
	       (slot->error == EVREQ_HTTP_EOF ||
		   slot->error == EVREQ_HTTP_BUFFER_ERROR) &&
	       send_request(slot);
}

static void
on_error(enum evhttp_request_error error, void *data)
{
	struct plug_fetch_slot *slot = data;

	slot->error = (int)error;
}

static const char *
error_text(int error)
{
	static const char *const names[] = {
		[EVREQ_HTTP_TIMEOUT] = "timeout",
		[EVREQ_HTTP_EOF] = "the connection has ended",
		[EVREQ_HTTP_INVALID_HEADER] = "invalid header",
		[EVREQ_HTTP_BUFFER_ERROR] = "input or output failed",
		[EVREQ_HTTP_REQUEST_CANCEL] = "canceled",
		[EVREQ_HTTP_DATA_TOO_LONG] = "the answer is too long",
	};

	if (error == ERROR_CONNECT)
		return "the connection can't be opened";
	return error >= 0 && (size_t)error < sizeof(names) / sizeof(names[0])
		   ? names[error]
		   : "unknown error";
}

static void
on_complete(struct evhttp_request *request, void *data)
{
	struct plug_fetch_slot *slot = data;
	struct plug_fetch_answer answer = { 0 };
	struct evbuffer *body;

	if (request == NULL || evhttp_request_get_response_code(request) == 0) {
		slot->connected = false;
		slot->request = NULL;
		if (slot->starting || try_again(slot))
			return;
		answer.refused = slot->error == ERROR_CONNECT;
		answer.reason = error_text(slot->error);
		finish(slot, &answer);
		return;
	}
	slot->connected = socket_of(slot) >= 0;
	hand_on_headers(slot, request);
	body = evhttp_request_get_input_buffer(request);
	answer.status = evhttp_request_get_response_code(request);
	answer.body.len = evbuffer_get_length(body);
	answer.body.data = (const char *)evbuffer_pullup(body, -1);
	answer.reason = "complete";
	finish(slot, &answer);
}

static void
on_close(struct evhttp_connection *connection, void *data)
{
	struct plug_fetch_slot *slot = data;

	(void)connection;
	slot->connected = false;
}

static void
on_received(
    struct evbuffer *buffer, const struct evbuffer_cb_info *info, void *data)
{
	struct plug_fetch_slot *slot = data;

	(void)buffer;
	if (slot->request == NULL || info->n_added == 0)
		return;
	if (slot->received == 0)
		slot->first_at = plug_clock_now();
	slot->received += info->n_added;
	if (slot->handlers.stall_ms == 0)
		return;
	slot->left_ms = 0;
	arm_timer(slot, slot->handlers.stall_ms);
}

static bool
open_connection(struct plug_fetch_slot *slot)
{
	struct evbuffer *input;

	slot->connection = evhttp_connection_base_new(
	    plug_loop_base(slot->loop), NULL, slot->host, slot->port);
	if (slot->connection == NULL)
		return false;
	input = bufferevent_get_input(
	    evhttp_connection_get_bufferevent(slot->connection));
	if (evbuffer_add_cb(input, on_received, slot) == NULL) {
		close_connection(slot);
		return false;
	}
	evhttp_connection_set_closecb(slot->connection, on_close, slot);
	evhttp_connection_set_max_headers_size(slot->connection, HEADERS_MAX);
	evhttp_connection_set_max_body_size(
	    slot->connection, (ev_ssize_t)slot->handlers.body_max);
	return true;
}

/* Return: false when libevent failed. */
static bool
send_request(struct plug_fetch_slot *slot)
{
	struct evhttp_request *request;
	char host[INET_ADDRSTRLEN + 8];

	slot->reused = slot->connected;
	slot->received = 0;
	slot->sent_at = plug_clock_now();
	slot->first_at = 0;
	slot->error = ERROR_CONNECT;
	if (slot->connection == NULL && !open_connection(slot))
		return false;
	request = evhttp_request_new(on_complete, slot);
	if (request == NULL)
		return false;
	evhttp_request_set_error_cb(request, on_error);
	(void)snprintf(host, sizeof(host), "%s:%u", slot->host, slot->port);
	(void)evhttp_add_header(
	    evhttp_request_get_output_headers(request), "Host", host);
	slot->request = request;
	slot->starting = true;
	if (evhttp_make_request(
		slot->connection, request, EVHTTP_REQ_GET, slot->path) != 0)
		slot->request = NULL;
	slot->starting = false;
	if (slot->request != NULL && !slot->reused)
		set_options(socket_of(slot));
	return slot->request != NULL;
}

/* Return: false for a URL that names no address and path. */
static bool
set_target(struct plug_fetch_slot *slot, const char *url)
{
	struct evhttp_uri *uri = evhttp_uri_parse(url);
	const char *host = uri == NULL ? NULL : evhttp_uri_get_host(uri);
	int port = uri == NULL ? -1 : evhttp_uri_get_port(uri);
	const char *query;
	bool valid = host != NULL && strlen(host) < sizeof(slot->host) &&
		     port > 0 && port <= UINT16_MAX;

	if (valid && (strcmp(host, slot->host) != 0 || port != slot->port)) {
		close_connection(slot);
		(void)memcpy(slot->host, host, strlen(host) + 1);
		slot->port = (uint16_t)port;
	}
	if (valid) {
		query = evhttp_uri_get_query(uri);
		(void)snprintf(slot->path, sizeof(slot->path), "%s%s%s",
		    evhttp_uri_get_path(uri), query == NULL ? "" : "?",
		    query == NULL ? "" : query);
	}
	if (uri != NULL)
		evhttp_uri_free(uri);
	return valid;
}

/**
 * plug_fetch_start() - start a GET
 * @slot: slot that isn't busy
 * @url: URL with a numeric address and a port
 * @timeout_ms: milliseconds until it fails; with handlers that set stall_ms,
 *   until it fails unless the answer has begun to arrive
 *
 * Return: false when the URL is wrong or libevent failed.
 */
bool
plug_fetch_start(struct plug_fetch_slot *slot, const char *url, long timeout_ms)
{
	long first = timeout_ms < CONNECT_MS ? timeout_ms : CONNECT_MS;

	if (!set_target(slot, url) || !send_request(slot))
		return false;
	slot->left_ms = timeout_ms - first;
	arm_timer(slot, first);
	return true;
}

static bool
is_connected(const struct plug_fetch_slot *slot)
{
	struct sockaddr_in peer;
	socklen_t len = sizeof(peer);
	int fd = socket_of(slot);

	return fd >= 0 && getpeername(fd, (struct sockaddr *)&peer, &len) == 0;
}

/* The first expiry ends a GET whose connection isn't open yet, the second one
 * any. While an answer arrives, the timer is set anew, unless the timeout holds
 * for the whole answer. */
static void
on_timer(int fd, short what, void *data)
{
	struct plug_fetch_slot *slot = data;
	struct plug_fetch_answer answer = { .reason = "timeout" };
	long left = slot->left_ms;

	(void)fd;
	(void)what;
	slot->left_ms = 0;
	if (left > 0 && is_connected(slot)) {
		arm_timer(slot, left);
		return;
	}
	if (slot->received > 0 && slot->handlers.stall_ms > 0)
		answer.reason = "the answer stopped arriving";
	plug_fetch_cancel(slot);
	finish(slot, &answer);
}

/**
 * plug_fetch_cancel() - end a GET without calling its handlers
 * @slot: slot
 */
void
plug_fetch_cancel(struct plug_fetch_slot *slot)
{
	if (slot->request == NULL)
		return;
	evhttp_cancel_request(slot->request);
	slot->request = NULL;
	slot->connected = false;
	(void)evtimer_del(slot->timer);
}

/**
 * plug_fetch_busy() - whether a GET is under way
 * @slot: slot
 */
bool
plug_fetch_busy(const struct plug_fetch_slot *slot)
{
	return slot->request != NULL;
}

/**
 * plug_fetch_arriving_for() - for how long the answer of a GET has been
 * arriving
 * @slot: slot
 * @now: time
 *
 * Return: microseconds since its first byte; 0 without a GET or before it.
 */
plug_time
plug_fetch_arriving_for(const struct plug_fetch_slot *slot, plug_time now)
{
	return slot->request == NULL || slot->first_at == 0
		   ? 0
		   : now - slot->first_at;
}

/**
 * plug_fetch_closed() - whether the peer has closed the kept connection
 * @slot: slot that isn't busy
 *
 * Return: true also when there is no connection.
 */
bool
plug_fetch_closed(const struct plug_fetch_slot *slot)
{
	return !slot->connected;
}
