#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "buffer.h"
#include "clock.h"
#include "record.h"
#include "upstream.h"

#define CALLS_MAX	4096  /* calls in flight; a power of two */
#define READ_SIZE	65536 /* bytes for each read */
#define READS_PER_EVENT 16    /* so that UDP is served between reads */
#define HEALTH_INTERVAL PLUG_SEC
#define SILENCE_TIMEOUT (3 * PLUG_SEC) /* design 4.9, agent to upstream */
#define CONNECT_TIMEOUT (3 * PLUG_SEC)
#define BACKOFF_MIN	(50 * PLUG_MSEC)
#define BACKOFF_MAX	PLUG_SEC /* a restarted upstream is found this soon */
#define HEALTH_NUMBERS	3	 /* uptime, load, draining */
#define LOAD_UNIT	1000.0	 /* the load is published in thousandths */

enum call_kind {
	CALL_NONE,
	CALL_REQUEST,
	CALL_NULL,
	CALL_CANCEL,
	CALL_HEALTH,
};

struct call {
	enum call_kind kind;
	uint32_t xid;
	uint64_t id;
};

struct plug_upstream {
	struct plug_endpoint target;
	uint32_t service;
	struct plug_log *log;
	plug_upstream_handler handler;
	void *data;
	int fd; /* -1: closed */
	bool open;
	bool broken; /* to be closed by the next plug_upstream_handle() */
	const char *reason;
	plug_time retry_at;
	plug_time backoff;
	plug_time connect_at;
	plug_time heard_at;   /* last byte, or first call after an idle time */
	plug_time handled_at; /* last plug_upstream_handle() */
	plug_time health_at;
	uint32_t xid;
	unsigned int call_count;
	/* A call is at its xid modulo CALLS_MAX. */
	struct call calls[CALLS_MAX];
	struct plug_record_reader reader;
	uint8_t *output;
	size_t output_len;
	size_t output_done;
	size_t output_capacity;
	char scratch[READ_SIZE];
};

/**
 * plug_upstream_create() - prepare a connection
 * @target: TCP address of the upstream
 * @service: service id, the RPC program number
 * @log: log for connection events
 * @handler: receives events, from plug_upstream_handle() only
 * @data: first argument of @handler
 *
 * The first plug_upstream_handle() connects. One thread uses the object.
 *
 * Return: object for plug_upstream_destroy(), or NULL when memory ran out.
 */
struct plug_upstream *
plug_upstream_create(struct plug_endpoint target, uint32_t service,
    struct plug_log *log, plug_upstream_handler handler, void *data)
{
	struct plug_upstream *upstream = calloc(1, sizeof(*upstream));

	if (upstream == NULL)
		return NULL;
	upstream->target = target;
	upstream->service = service;
	upstream->log = log;
	upstream->handler = handler;
	upstream->data = data;
	upstream->fd = -1;
	upstream->backoff = BACKOFF_MIN;
	plug_record_reader_init(&upstream->reader);
	return upstream;
}

/**
 * plug_upstream_destroy() - close the connection and free the object
 * @upstream: object, or NULL
 */
void
plug_upstream_destroy(struct plug_upstream *upstream)
{
	if (upstream == NULL)
		return;
	if (upstream->fd >= 0)
		(void)close(upstream->fd);
	plug_record_reader_finish(&upstream->reader);
	free(upstream->output);
	free(upstream);
}

static void
break_connection(struct plug_upstream *upstream, const char *reason)
{
	if (upstream->broken)
		return;
	upstream->broken = true;
	upstream->reason = reason;
}

static void
write_output(struct plug_upstream *upstream)
{
	while (upstream->output_done < upstream->output_len) {
		ssize_t n =
		    send(upstream->fd, upstream->output + upstream->output_done,
			upstream->output_len - upstream->output_done,
			MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n > 0) {
			upstream->output_done += (size_t)n;
		} else if (n < 0 && errno == EINTR) {
			continue;
		} else {
			if (n < 0 && errno != EAGAIN)
				break_connection(upstream, "write");
			return;
		}
	}
	upstream->output_done = 0;
	upstream->output_len = 0;
}

/* Takes the next xid whose place is free. */
static struct call *
add_call(struct plug_upstream *upstream, enum call_kind kind, uint64_t id)
{
	struct call *call;

	if (upstream->call_count == CALLS_MAX)
		return NULL;
	do {
		upstream->xid++;
		call = &upstream->calls[upstream->xid % CALLS_MAX];
	} while (call->kind != CALL_NONE);
	if (upstream->call_count++ == 0)
		upstream->heard_at = plug_clock_now();
	call->kind = kind;
	call->xid = upstream->xid;
	call->id = id;
	return call;
}

static bool
queue_call(
    struct plug_upstream *upstream, const struct plug_record_call *record)
{
	uint8_t buf[PLUG_RECORD_CALL_MAX];
	size_t len = plug_record_encode_call(record, buf);

	if (len == 0 ||
	    !plug_buffer_reserve(&upstream->output, &upstream->output_capacity,
		upstream->output_len + len))
		return false;
	memcpy(upstream->output + upstream->output_len, buf, len);
	upstream->output_len += len;
	return true;
}

static void
start_call(struct plug_upstream *upstream, enum call_kind kind, uint64_t id,
    uint32_t procedure, uint32_t budget_ms, struct plug_str body)
{
	struct call *call;

	if (!upstream->open || upstream->broken)
		return;
	call = add_call(upstream, kind, id);
	if (call == NULL) {
		break_connection(upstream, "too_many_calls");
		return;
	}
	if (!queue_call(upstream, &(struct plug_record_call){ .xid = call->xid,
				      .program = upstream->service,
				      .procedure = procedure,
				      .budget_ms = budget_ms,
				      .body = body })) {
		break_connection(upstream, "encode");
		return;
	}
	write_output(upstream);
}

/**
 * plug_upstream_call() - start a request
 * @upstream: object
 * @id: request id of the agent
 * @procedure: operation
 * @budget_ms: time left, in milliseconds
 * @body: arguments; copied
 *
 * A call on a connection that isn't open is ignored, since its CLOSED event is
 * on the way or was delivered. Calls the handler never.
 */
void
plug_upstream_call(struct plug_upstream *upstream, uint64_t id,
    uint32_t procedure, uint32_t budget_ms, struct plug_str body)
{
	start_call(upstream, CALL_REQUEST, id, procedure, budget_ms, body);
}

/**
 * plug_upstream_cancel() - tell the upstream that an answer isn't wanted
 * @upstream: object
 * @id: request id of the agent
 *
 * The request still ends with a REPLY event.
 */
void
plug_upstream_cancel(struct plug_upstream *upstream, uint64_t id)
{
	for (unsigned int i = 0; i < CALLS_MAX; i++) {
		const struct call *call = &upstream->calls[i];
		uint32_t xid;

		if (call->kind != CALL_REQUEST || call->id != id)
			continue;
		xid = htonl(call->xid);
		start_call(upstream, CALL_CANCEL, 0, PLUG_PROCEDURE_CANCEL, 0,
		    (struct plug_str){ (const char *)&xid, sizeof(xid) });
		return;
	}
}

/**
 * plug_upstream_reconnect() - replace the connection
 * @upstream: object; the next plug_upstream_handle() delivers CLOSED
 */
void
plug_upstream_reconnect(struct plug_upstream *upstream)
{
	if (upstream->fd >= 0)
		break_connection(upstream, "requested");
}

static void
deliver(struct plug_upstream *upstream, enum plug_agent_event_kind kind)
{
	const struct plug_agent_event event = { .kind = kind };

	upstream->handler(upstream->data, &event);
}

static void
close_connection(struct plug_upstream *upstream, plug_time now)
{
	bool was_open = upstream->open;
	char target[PLUG_ENDPOINT_TEXT];

	(void)plug_endpoint_format(upstream->target, target, sizeof(target));
	plug_log_event(upstream->log, PLUG_LOG_WARN,
	    "event=upstream_closed upstream=%s reason=%s calls=%u", target,
	    upstream->reason, upstream->call_count);
	(void)close(upstream->fd);
	upstream->fd = -1;
	upstream->open = false;
	upstream->broken = false;
	upstream->output_len = 0;
	upstream->output_done = 0;
	upstream->call_count = 0;
	memset(upstream->calls, 0, sizeof(upstream->calls));
	plug_record_reader_finish(&upstream->reader);
	upstream->retry_at = now + upstream->backoff;
	upstream->backoff *= 2;
	if (upstream->backoff > BACKOFF_MAX)
		upstream->backoff = BACKOFF_MAX;
	if (was_open)
		deliver(upstream, PLUG_AGENT_UPSTREAM_CLOSED);
}

static void
connect_upstream(struct plug_upstream *upstream, plug_time now)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(upstream->target.port),
		.sin_addr.s_addr = htonl(upstream->target.address),
	};
	const int on = 1;

	upstream->connect_at = now;
	upstream->fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (upstream->fd < 0) {
		upstream->retry_at = now + BACKOFF_MAX;
		return;
	}
	(void)setsockopt(
	    upstream->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (connect(upstream->fd, (const struct sockaddr *)&address,
		sizeof(address)) != 0 &&
	    errno != EINPROGRESS)
		break_connection(upstream, "connect");
}

static void
finish_connect(struct plug_upstream *upstream, plug_time now)
{
	socklen_t len = sizeof(int);
	char target[PLUG_ENDPOINT_TEXT];
	int error = 0;

	if (getsockopt(upstream->fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0 ||
	    error != 0) {
		break_connection(upstream, "connect");
		return;
	}
	upstream->open = true;
	upstream->backoff = BACKOFF_MIN;
	upstream->heard_at = now;
	upstream->health_at = now;
	(void)plug_endpoint_format(upstream->target, target, sizeof(target));
	plug_log_event(upstream->log, PLUG_LOG_INFO,
	    "event=upstream_open upstream=%s", target);
	deliver(upstream, PLUG_AGENT_UPSTREAM_OPEN);
}

static void
deliver_health(struct plug_upstream *upstream, struct plug_str body)
{
	uint32_t numbers[HEALTH_NUMBERS];
	struct plug_agent_event event = { .kind = PLUG_AGENT_UPSTREAM_HEALTH };

	if (body.len != sizeof(numbers))
		return;
	memcpy(numbers, body.data, sizeof(numbers));
	event.health.uptime = ntohl(numbers[0]);
	event.health.load = ntohl(numbers[1]) / LOAD_UNIT;
	event.health.draining = ntohl(numbers[2]) != 0;
	upstream->handler(upstream->data, &event);
}

/*
 * A rejected call counts as failed while running: RFC 5531 lets a server
 * report a system error after it has started.
 */
static void
deliver_reply(struct plug_upstream *upstream, uint64_t id,
    const struct plug_record_reply *reply)
{
	struct plug_agent_event event = { .kind = PLUG_AGENT_UPSTREAM_REPLY };

	event.reply.id = id;
	event.reply.result =
	    reply->has_result ? reply->result : PLUG_UPSTREAM_FAILED;
	event.reply.body = reply->body;
	upstream->handler(upstream->data, &event);
}

static bool
handle_record(struct plug_upstream *upstream, struct plug_str record)
{
	struct plug_record_reply reply;
	struct call *slot;
	struct call call;

	if (plug_record_decode_reply(record, &reply) != PLUG_OK)
		return false;
	slot = &upstream->calls[reply.xid % CALLS_MAX];
	if (slot->kind == CALL_NONE || slot->xid != reply.xid)
		return true;
	call = *slot;
	slot->kind = CALL_NONE;
	upstream->call_count--;
	switch (call.kind) {
	case CALL_REQUEST:
		deliver_reply(upstream, call.id, &reply);
		break;
	case CALL_HEALTH:
		if (reply.has_result)
			deliver_health(upstream, reply.body);
		break;
	case CALL_NULL:
	case CALL_CANCEL:
	case CALL_NONE:
		break;
	}
	return true;
}

static void
read_input(struct plug_upstream *upstream, plug_time now)
{
	for (int i = 0; i < READS_PER_EVENT && !upstream->broken; i++) {
		ssize_t n = recv(upstream->fd, upstream->scratch,
		    sizeof(upstream->scratch), MSG_DONTWAIT);
		struct plug_str input = { upstream->scratch,
			n > 0 ? (size_t)n : 0 };

		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			return;
		if (n <= 0) {
			break_connection(upstream, n == 0 ? "end" : "read");
			return;
		}
		upstream->heard_at = now;
		while (input.len > 0) {
			struct plug_str record;

			if (plug_record_reader_feed(&upstream->reader, &input,
				&record) != PLUG_OK ||
			    (record.len > 0 &&
				!handle_record(upstream, record))) {
				break_connection(upstream, "malformed");
				return;
			}
		}
	}
}

/* The null call is the heartbeat: the health procedure may lag. */
static void
poll_health(struct plug_upstream *upstream, plug_time now)
{
	if (now < upstream->health_at)
		return;
	upstream->health_at = now + HEALTH_INTERVAL;
	start_call(upstream, CALL_NULL, 0, PLUG_PROCEDURE_NULL, 0,
	    (struct plug_str){ "", 0 });
	start_call(upstream, CALL_HEALTH, 0, PLUG_PROCEDURE_HEALTH, 0,
	    (struct plug_str){ "", 0 });
}

/**
 * plug_upstream_pollfd() - what to wait for
 * @upstream: object
 * @pollfd: filled for poll(2); a closed connection has descriptor -1
 */
void
plug_upstream_pollfd(
    const struct plug_upstream *upstream, struct pollfd *pollfd)
{
	pollfd->fd = upstream->fd;
	pollfd->events = POLLIN;
	pollfd->revents = 0;
	if (!upstream->open || upstream->output_done < upstream->output_len)
		pollfd->events |= POLLOUT;
}

/**
 * plug_upstream_handle() - handle events and timers
 * @upstream: object
 * @events: revents of poll(2)
 * @now: current time
 *
 * Shall be called at least every 50 ms. The upstream may have been paused with
 * the process, as on a machine that is paused: it then has a new
 * SILENCE_TIMEOUT.
 */
void
plug_upstream_handle(
    struct plug_upstream *upstream, short events, plug_time now)
{
	if (now - upstream->handled_at > PLUG_TICK_GAP_MAX)
		upstream->heard_at = now;
	upstream->handled_at = now;
	if (upstream->fd < 0) {
		if (now >= upstream->retry_at)
			connect_upstream(upstream, now);
	} else if (!upstream->open) {
		if ((events & (POLLOUT | POLLERR | POLLHUP)) != 0)
			finish_connect(upstream, now);
		else if (now - upstream->connect_at > CONNECT_TIMEOUT)
			break_connection(upstream, "connect_timeout");
	} else {
		if ((events & (POLLIN | POLLERR | POLLHUP)) != 0)
			read_input(upstream, now);
		if ((events & POLLOUT) != 0 && !upstream->broken)
			write_output(upstream);
		if (upstream->call_count > 0 &&
		    now - upstream->heard_at > SILENCE_TIMEOUT)
			break_connection(upstream, "silent");
		poll_health(upstream, now);
	}
	if (upstream->broken)
		close_connection(upstream, now);
}
