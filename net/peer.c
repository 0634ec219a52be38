#include <apr_network_io.h>
#include <apr_poll.h>
#include <apr_portable.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "clock.h"
#include "frame.h"
#include "peer.h"

#define LINKS_MAX	 8192  /* connections in both directions */
#define INCOMING_MAX	 6144  /* incoming ones of them */
#define POLL_BATCH	 256   /* events for each poll */
#define LISTEN_BACKLOG	 512   /* connections */
#define READ_SIZE	 65536 /* bytes for each read */
#define READS_PER_EVENT	 4     /* so that one peer can't hold others up */
#define PROGRESS_TIMEOUT (3 * PLUG_SEC) /* design 4.9, peer links */
/* A peer that doesn't know a key yet has no answer; replacing helps little. */
#define ANSWER_TIMEOUT_MAX (60 * PLUG_SEC)
#define RETRY_DELAY	   (500 * PLUG_MSEC) /* after a failed connect */
#define SWEEP_INTERVAL	   (100 * PLUG_MSEC)
/* The connecting side closes first, so that it doesn't write into a close. */
#define IDLE_OUTGOING	   (60 * PLUG_SEC)
#define IDLE_INCOMING	   (90 * PLUG_SEC)
#define MALFORMED_INTERVAL PLUG_SEC /* between two log lines */
#define SWEEP_LATE	   PLUG_SEC /* the process was paused */

struct frame {
	STAILQ_ENTRY(frame) entries;
	uint8_t *data;
	size_t len;
};

STAILQ_HEAD(frame_queue, frame);

/*
 * One connection. Outgoing links carry messages to target; incoming ones
 * receive, and carry status replies only. socket is NULL while an outgoing
 * link waits for retry_at.
 */
struct plug_link {
	TAILQ_ENTRY(plug_link) entries;
	struct plug_peers *peers;
	apr_pool_t *pool;
	apr_socket_t *socket;
	apr_pollfd_t poll;
	bool outgoing;
	bool connecting;
	bool doomed;
	struct plug_endpoint target;
	struct plug_frame_reader reader;
	struct frame_queue queue;
	unsigned int queue_count;
	size_t queue_bytes;
	size_t written;	    /* bytes of the first frame */
	plug_time progress; /* last byte moved, or start of waiting */
	plug_time used;	    /* last message in either direction */
	plug_time asked;    /* oldest message without an answer; 0: none */
	plug_time
	    patience; /* doubles with each replacement without an answer */
	plug_time retry_at;
};

TAILQ_HEAD(link_list, plug_link);

struct plug_peers {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	apr_socket_t *listener;
	struct plug_log *log;
	plug_peers_handler handler;
	void *data;
	struct link_list links;
	unsigned int link_count;
	unsigned int incoming_count;
	plug_time swept_at;
	bool listener_off; /* no descriptor was left for a connection */
	plug_time malformed_at;
	uint64_t malformed_logged;
	struct plug_peers_counters counters;
	char scratch[READ_SIZE];
};

static int
link_fd(const struct plug_link *link)
{
	apr_os_sock_t fd = -1;

	(void)apr_os_sock_get(&fd, link->socket);
	return fd;
}

static void
pop_frame(struct plug_link *link, struct frame *frame)
{
	STAILQ_REMOVE(&link->queue, frame, frame, entries);
	link->queue_count--;
	link->queue_bytes -= frame->len;
	free(frame->data);
	free(frame);
}

static void
drop_queue(struct plug_link *link)
{
	while (!STAILQ_EMPTY(&link->queue)) {
		pop_frame(link, STAILQ_FIRST(&link->queue));
		link->peers->counters.dropped++;
	}
	link->written = 0;
}

/* Sets the events that the link waits for; the pollset can't change them. */
static void
update_poll(struct plug_link *link)
{
	apr_int16_t events = APR_POLLIN;

	if (link->socket == NULL)
		return;
	if (link->connecting || !STAILQ_EMPTY(&link->queue))
		events |= APR_POLLOUT;
	if (link->poll.reqevents == events)
		return;
	if (link->poll.reqevents != 0)
		(void)apr_pollset_remove(link->peers->pollset, &link->poll);
	link->poll.desc_type = APR_POLL_SOCKET;
	link->poll.desc.s = link->socket;
	link->poll.client_data = link;
	link->poll.reqevents = events;
	if (apr_pollset_add(link->peers->pollset, &link->poll) != APR_SUCCESS)
		link->doomed = true;
}

static void
close_socket(struct plug_link *link)
{
	if (link->socket == NULL)
		return;
	if (link->poll.reqevents != 0)
		(void)apr_pollset_remove(link->peers->pollset, &link->poll);
	link->poll.reqevents = 0;
	(void)apr_socket_close(link->socket);
	link->socket = NULL;
	link->connecting = false;
	link->written = 0;
	link->asked = 0;
	plug_frame_reader_finish(&link->reader);
	apr_pool_clear(link->pool);
}

static struct plug_link *
create_link(struct plug_peers *peers, bool outgoing)
{
	struct plug_link *link;

	if (peers->link_count >= LINKS_MAX ||
	    (!outgoing && peers->incoming_count >= INCOMING_MAX))
		return NULL;
	link = calloc(1, sizeof(*link));
	if (link == NULL)
		return NULL;
	if (apr_pool_create(&link->pool, NULL) != APR_SUCCESS) {
		free(link);
		return NULL;
	}
	link->peers = peers;
	link->outgoing = outgoing;
	link->patience = PROGRESS_TIMEOUT;
	link->progress = link->used = plug_clock_now();
	plug_frame_reader_init(&link->reader);
	STAILQ_INIT(&link->queue);
	TAILQ_INSERT_TAIL(&peers->links, link, entries);
	peers->link_count++;
	if (!outgoing)
		peers->incoming_count++;
	return link;
}

static void
destroy_link(struct plug_link *link)
{
	struct plug_peers *peers = link->peers;

	close_socket(link);
	drop_queue(link);
	plug_frame_reader_finish(&link->reader);
	TAILQ_REMOVE(&peers->links, link, entries);
	peers->link_count--;
	if (!link->outgoing)
		peers->incoming_count--;
	apr_pool_destroy(link->pool);
	free(link);
}

/*
 * The kernel gives up unacknowledged data after the progress timeout, which
 * covers a path that went silent while its buffer still takes data.
 */
static void
set_options(struct plug_link *link)
{
	const unsigned int timeout =
	    (unsigned int)(PROGRESS_TIMEOUT / PLUG_MSEC);

	(void)apr_socket_opt_set(link->socket, APR_SO_NONBLOCK, 1);
	(void)apr_socket_timeout_set(link->socket, 0);
	(void)apr_socket_opt_set(link->socket, APR_TCP_NODELAY, 1);
	(void)setsockopt(link_fd(link), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
	    sizeof(timeout));
}

static void
connect_failed(struct plug_link *link)
{
	close_socket(link);
	drop_queue(link);
	link->retry_at = plug_clock_now() + RETRY_DELAY;
}

static void
connect_link(struct plug_link *link)
{
	char host[INET_ADDRSTRLEN];
	const struct in_addr in = { htonl(link->target.address) };
	apr_sockaddr_t *address;
	apr_status_t rc;

	(void)inet_ntop(AF_INET, &in, host, sizeof(host));
	if (apr_sockaddr_info_get(&address, host, APR_INET, link->target.port,
		0, link->pool) != APR_SUCCESS ||
	    apr_socket_create(&link->socket, APR_INET, SOCK_STREAM,
		APR_PROTO_TCP, link->pool) != APR_SUCCESS) {
		link->socket = NULL;
		connect_failed(link);
		return;
	}
	set_options(link);
	link->progress = plug_clock_now();
	rc = apr_socket_connect(link->socket, address);
	if (rc != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS(rc)) {
		connect_failed(link);
		return;
	}
	link->connecting = rc != APR_SUCCESS;
	update_poll(link);
}

static void
finish_connect(struct plug_link *link)
{
	socklen_t len = sizeof(int);
	int error = 0;

	if (getsockopt(link_fd(link), SOL_SOCKET, SO_ERROR, &error, &len) !=
		0 ||
	    error != 0) {
		connect_failed(link);
		return;
	}
	link->connecting = false;
	link->progress = plug_clock_now();
	update_poll(link);
}

/* Replaces a connection; the frames that were not written in full are kept. */
static void
replace_link(struct plug_link *link, const char *reason)
{
	char target[32];

	(void)plug_endpoint_format(link->target, target, sizeof(target));
	plug_log_event(link->peers->log, PLUG_LOG_WARN,
	    "event=peer_replaced peer=%s reason=%s queued=%u", target, reason,
	    link->queue_count);
	link->peers->counters.replaced++;
	close_socket(link);
	if (!STAILQ_EMPTY(&link->queue))
		connect_link(link);
}

static void
lose_link(struct plug_link *link)
{
	if (!link->outgoing)
		link->doomed = true;
	else if (link->connecting)
		connect_failed(link);
	else
		close_socket(link);
}

static void
write_link(struct plug_link *link)
{
	while (!STAILQ_EMPTY(&link->queue)) {
		struct frame *frame = STAILQ_FIRST(&link->queue);
		apr_size_t len = frame->len - link->written;
		apr_status_t rc = apr_socket_send(
		    link->socket, (char *)frame->data + link->written, &len);

		if (len > 0) {
			link->written += len;
			link->progress = plug_clock_now();
			link->used = link->progress;
		}
		if (link->written == frame->len) {
			pop_frame(link, frame);
			link->written = 0;
			link->peers->counters.frames_out++;
		} else if (APR_STATUS_IS_EAGAIN(rc)) {
			break;
		} else if (rc != APR_SUCCESS) {
			lose_link(link);
			return;
		}
	}
	update_poll(link);
}

/* The answer to a message comes on the peer's own outgoing connection. */
static void
note_sender(struct plug_peers *peers, const Plug__Sender *sender)
{
	struct plug_link *link;

	if (sender == NULL)
		return;
	TAILQ_FOREACH(link, &peers->links, entries)
	{
		if (link->outgoing && link->target.address == sender->address &&
		    link->target.port == sender->port) {
			link->asked = 0;
			link->patience = PROGRESS_TIMEOUT;
			return;
		}
	}
}

static void
deliver(struct plug_link *link, Plug__Message *message)
{
	struct plug_peers *peers = link->peers;

	peers->counters.frames_in++;
	note_sender(peers, message->sender);
	if (!peers->handler(peers->data, link, message))
		plug__message__free_unpacked(message, NULL);
}

static void
report_malformed(struct plug_link *link, enum plug_code code)
{
	struct plug_peers *peers = link->peers;
	plug_time now = plug_clock_now();
	apr_sockaddr_t *address = NULL;
	char *host = NULL;

	peers->counters.malformed++;
	if (peers->malformed_at != 0 &&
	    now - peers->malformed_at < MALFORMED_INTERVAL)
		return;
	if (apr_socket_addr_get(&address, APR_REMOTE, link->socket) ==
	    APR_SUCCESS)
		(void)apr_sockaddr_ip_get(&host, address);
	plug_log_event(peers->log, PLUG_LOG_WARN,
	    "event=peer_malformed remote=%s reason=%s count=%llu total=%llu",
	    host != NULL ? host : "-", plug_code_name(code),
	    (unsigned long long)(peers->counters.malformed -
				 peers->malformed_logged),
	    (unsigned long long)peers->counters.malformed);
	peers->malformed_at = now;
	peers->malformed_logged = peers->counters.malformed;
}

static bool
read_messages(struct plug_link *link, struct plug_str input)
{
	while (input.len > 0 && !link->doomed) {
		Plug__Message *message;
		enum plug_code code =
		    plug_frame_reader_feed(&link->reader, &input, &message);

		if (code != PLUG_OK) {
			report_malformed(link, code);
			lose_link(link);
			return false;
		}
		if (message != NULL)
			deliver(link, message);
	}
	return !link->doomed;
}

static void
read_link(struct plug_link *link)
{
	struct plug_peers *peers = link->peers;

	for (int i = 0; i < READS_PER_EVENT && link->socket != NULL; i++) {
		apr_size_t len = sizeof(peers->scratch);
		apr_status_t rc =
		    apr_socket_recv(link->socket, peers->scratch, &len);

		if (len > 0) {
			link->progress = link->used = plug_clock_now();
			if (!read_messages(
				link, (struct plug_str){ peers->scratch, len }))
				return;
		}
		if (APR_STATUS_IS_EAGAIN(rc))
			return;
		if (rc != APR_SUCCESS) {
			lose_link(link);
			return;
		}
		if (len < sizeof(peers->scratch))
			return;
	}
}

/*
 * A connection that can't be accepted would keep the listener readable and the
 * thread busy, so the listener rests until the next sweep.
 */
static void
rest_listener(struct plug_peers *peers)
{
	const apr_pollfd_t poll = { .desc_type = APR_POLL_SOCKET,
		.reqevents = APR_POLLIN,
		.desc.s = peers->listener };

	if (apr_pollset_remove(peers->pollset, &poll) == APR_SUCCESS)
		peers->listener_off = true;
}

static void
resume_listener(struct plug_peers *peers)
{
	const apr_pollfd_t poll = { .desc_type = APR_POLL_SOCKET,
		.reqevents = APR_POLLIN,
		.desc.s = peers->listener };

	if (peers->listener_off &&
	    apr_pollset_add(peers->pollset, &poll) == APR_SUCCESS)
		peers->listener_off = false;
}

static void
accept_link(struct plug_peers *peers)
{
	struct plug_link *link = create_link(peers, false);
	apr_socket_t *socket = NULL;
	apr_pool_t *pool = NULL;
	apr_status_t rc;

	if (link != NULL) {
		rc = apr_socket_accept(
		    &link->socket, peers->listener, link->pool);
		if (rc != APR_SUCCESS) {
			link->socket = NULL;
			destroy_link(link);
			if (!APR_STATUS_IS_EAGAIN(rc) &&
			    !APR_STATUS_IS_ECONNABORTED(rc))
				rest_listener(peers);
			return;
		}
		set_options(link);
		update_poll(link);
		return;
	}
	/* Above the limit the connection is taken and closed, or it would
	 * keep the listener readable. */
	peers->counters.refused++;
	if (apr_pool_create(&pool, NULL) != APR_SUCCESS)
		return;
	if (apr_socket_accept(&socket, peers->listener, pool) == APR_SUCCESS)
		(void)apr_socket_close(socket);
	apr_pool_destroy(pool);
}

static enum plug_code
listen_on(struct plug_peers *peers, struct plug_endpoint *local,
    struct plug_status *status)
{
	const struct in_addr in = { htonl(local->address) };
	apr_sockaddr_t *address;
	char host[INET_ADDRSTRLEN];
	apr_pollfd_t poll = { .desc_type = APR_POLL_SOCKET,
		.reqevents = APR_POLLIN };
	apr_status_t rc;
	char text[128];

	(void)inet_ntop(AF_INET, &in, host, sizeof(host));
	rc = apr_sockaddr_info_get(
	    &address, host, APR_INET, local->port, 0, peers->pool);
	if (rc == APR_SUCCESS)
		rc = apr_socket_create(&peers->listener, APR_INET, SOCK_STREAM,
		    APR_PROTO_TCP, peers->pool);
	if (rc == APR_SUCCESS)
		rc = apr_socket_opt_set(peers->listener, APR_SO_REUSEADDR, 1);
	if (rc == APR_SUCCESS)
		rc = apr_socket_bind(peers->listener, address);
	if (rc == APR_SUCCESS)
		rc = apr_socket_listen(peers->listener, LISTEN_BACKLOG);
	if (rc == APR_SUCCESS)
		rc = apr_socket_opt_set(peers->listener, APR_SO_NONBLOCK, 1);
	if (rc == APR_SUCCESS)
		rc = apr_socket_timeout_set(peers->listener, 0);
	if (rc == APR_SUCCESS)
		rc = apr_socket_addr_get(&address, APR_LOCAL, peers->listener);
	poll.desc.s = peers->listener;
	if (rc == APR_SUCCESS)
		rc = apr_pollset_add(peers->pollset, &poll);
	if (rc != APR_SUCCESS)
		return plug_status_set(status, PLUG_E_IO, "listen on %s:%u: %s",
		    host, local->port, apr_strerror(rc, text, sizeof(text)));
	local->port = address->port;
	return PLUG_OK;
}

/**
 * plug_peers_create() - listen for control connections
 * @local: address to listen on; port 0 is replaced by the one taken
 * @log: log for connection events
 * @handler: receives messages, in the thread that calls plug_peers_poll()
 * @data: first argument of @handler
 * @status: reason of a failure, or NULL
 *
 * apr_initialize() must have been called. Apart from plug_peers_wake(), one
 * thread uses the object.
 *
 * Return: object for plug_peers_destroy(), or NULL.
 */
struct plug_peers *
plug_peers_create(struct plug_endpoint *local, struct plug_log *log,
    plug_peers_handler handler, void *data, struct plug_status *status)
{
	struct plug_peers *peers = calloc(1, sizeof(*peers));

	if (peers == NULL) {
		(void)plug_status_set(status, PLUG_E_MEMORY, "out of memory");
		return NULL;
	}
	TAILQ_INIT(&peers->links);
	peers->log = log;
	peers->handler = handler;
	peers->data = data;
	if (apr_pool_create(&peers->pool, NULL) != APR_SUCCESS ||
	    apr_pollset_create(&peers->pollset, POLL_BATCH, peers->pool,
		APR_POLLSET_WAKEABLE) != APR_SUCCESS) {
		(void)plug_status_set(
		    status, PLUG_E_LIBRARY, "pollset can't be created");
		plug_peers_destroy(peers);
		return NULL;
	}
	if (listen_on(peers, local, status) != PLUG_OK) {
		plug_peers_destroy(peers);
		return NULL;
	}
	return peers;
}

/**
 * plug_peers_destroy() - close all connections
 * @peers: object, or NULL
 */
void
plug_peers_destroy(struct plug_peers *peers)
{
	struct plug_link *link;
	struct plug_link *next;

	if (peers == NULL)
		return;
	for (link = TAILQ_FIRST(&peers->links); link != NULL; link = next) {
		next = TAILQ_NEXT(link, entries);
		destroy_link(link);
	}
	if (peers->pool != NULL)
		apr_pool_destroy(peers->pool);
	free(peers);
}

static struct plug_link *
find_link(struct plug_peers *peers, struct plug_endpoint target)
{
	struct plug_link *link;

	TAILQ_FOREACH(link, &peers->links, entries)
	{
		if (link->outgoing && plug_endpoint_equal(link->target, target))
			return link;
	}
	link = create_link(peers, true);
	if (link != NULL)
		link->target = target;
	return link;
}

/* Makes room by dropping the oldest frame that isn't partly written. */
static void
trim_queue(struct plug_link *link, size_t len)
{
	while (link->queue_count >= PLUG_PEER_QUEUE_FRAMES ||
	       (link->queue_count > 0 &&
		   link->queue_bytes + len > PLUG_PEER_QUEUE_BYTES)) {
		struct frame *oldest = STAILQ_FIRST(&link->queue);

		if (link->written > 0)
			oldest = STAILQ_NEXT(oldest, entries);
		if (oldest == NULL)
			return;
		pop_frame(link, oldest);
		link->peers->counters.dropped++;
	}
}

static void
queue_frame(struct plug_link *link, uint8_t *data, size_t len)
{
	struct frame *frame = malloc(sizeof(*frame));

	if (frame == NULL) {
		free(data);
		link->peers->counters.dropped++;
		return;
	}
	trim_queue(link, len);
	if (STAILQ_EMPTY(&link->queue))
		link->progress = plug_clock_now();
	frame->data = data;
	frame->len = len;
	STAILQ_INSERT_TAIL(&link->queue, frame, entries);
	link->queue_count++;
	link->queue_bytes += len;
}

/**
 * plug_peers_send_frame() - queue an encoded frame for a peer
 * @peers: object
 * @target: control address of the peer
 * @frame: frame from plug_frame_encode(); owned by the call
 * @len: its length in bytes
 * @answered: the peer answers this message; see plug_peers_answered()
 *
 * Connects when there is no connection. Frames for a peer that refused a
 * connection are dropped until the next attempt.
 */
void
plug_peers_send_frame(struct plug_peers *peers, struct plug_endpoint target,
    uint8_t *frame, size_t len, bool answered)
{
	struct plug_link *link = find_link(peers, target);
	plug_time now = plug_clock_now();

	if (link == NULL || (link->socket == NULL && now < link->retry_at)) {
		free(frame);
		peers->counters.dropped++;
		return;
	}
	queue_frame(link, frame, len);
	if (answered && link->asked == 0)
		link->asked = now;
	if (link->socket == NULL)
		connect_link(link);
	else
		update_poll(link);
}

/**
 * plug_peers_answered() - whether a peer answers a message
 * @message: message
 *
 * A connection on which such a message stays without any sign of the peer is
 * taken to be silent.
 */
bool
plug_peers_answered(const Plug__Message *message)
{
	switch (message->body_case) {
	case PLUG__MESSAGE__BODY_DIGEST:
		return !message->digest->answer;
	case PLUG__MESSAGE__BODY_PREPARE:
	case PLUG__MESSAGE__BODY_COMMIT:
		return true;
	default:
		return false;
	}
}

/**
 * plug_peers_send() - queue a message for a peer
 * @peers: object
 * @target: control address of the peer
 * @message: message; encoded before the call returns
 */
void
plug_peers_send(struct plug_peers *peers, struct plug_endpoint target,
    const Plug__Message *message)
{
	size_t len;
	uint8_t *frame = plug_frame_encode(message, &len);

	if (frame == NULL) {
		peers->counters.dropped++;
		return;
	}
	plug_peers_send_frame(
	    peers, target, frame, len, plug_peers_answered(message));
}

/**
 * plug_link_reply() - send a message on the connection of a request
 * @link: argument of the handler
 * @message: message
 */
void
plug_link_reply(struct plug_link *link, const Plug__Message *message)
{
	size_t len;
	uint8_t *frame = plug_frame_encode(message, &len);

	if (frame == NULL)
		return;
	queue_frame(link, frame, len);
	update_poll(link);
}

static void
sweep_link(struct plug_link *link, plug_time now)
{
	bool waiting = link->connecting || !STAILQ_EMPTY(&link->queue);
	plug_time idle = link->outgoing ? IDLE_OUTGOING : IDLE_INCOMING;

	if (link->doomed) {
		destroy_link(link);
	} else if (link->socket == NULL) {
		/* A link that got no answer is kept for its patience. */
		if (STAILQ_EMPTY(&link->queue)) {
			if (now >= link->retry_at &&
			    (link->patience == PROGRESS_TIMEOUT ||
				now - link->used > idle))
				destroy_link(link);
		} else if (now >= link->retry_at) {
			connect_link(link);
		}
	} else if (!link->outgoing) {
		if ((waiting || plug_frame_reader_partial(&link->reader)) &&
		    now - link->progress > PROGRESS_TIMEOUT)
			destroy_link(link);
		else if (now - link->used > idle)
			destroy_link(link);
	} else if (link->connecting &&
		   now - link->progress > PROGRESS_TIMEOUT) {
		connect_failed(link);
	} else if (waiting && now - link->progress > PROGRESS_TIMEOUT) {
		replace_link(link, "no_progress");
	} else if (link->asked != 0 && now - link->asked > link->patience) {
		link->patience *= 2;
		if (link->patience > ANSWER_TIMEOUT_MAX)
			link->patience = ANSWER_TIMEOUT_MAX;
		replace_link(link, "no_answer");
	} else if (!waiting && now - link->used > idle) {
		destroy_link(link);
	}
}

/* Time during which this process was paused says nothing about the peers. */
static void
restart_timers(struct plug_peers *peers, plug_time now)
{
	struct plug_link *link;

	TAILQ_FOREACH(link, &peers->links, entries)
	{
		link->progress = now;
		if (link->asked != 0)
			link->asked = now;
	}
}

static void
sweep(struct plug_peers *peers)
{
	plug_time now = plug_clock_now();
	struct plug_link *link;
	struct plug_link *next;

	if (now - peers->swept_at < SWEEP_INTERVAL)
		return;
	if (now - peers->swept_at > SWEEP_LATE)
		restart_timers(peers, now);
	peers->swept_at = now;
	resume_listener(peers);
	for (link = TAILQ_FIRST(&peers->links); link != NULL; link = next) {
		next = TAILQ_NEXT(link, entries);
		sweep_link(link, now);
	}
}

static void
handle_event(struct plug_link *link, apr_int16_t events)
{
	if (link->doomed || link->socket == NULL)
		return;
	if (link->connecting &&
	    (events & (APR_POLLOUT | APR_POLLERR | APR_POLLHUP)) != 0) {
		finish_connect(link);
		if (link->socket == NULL)
			return;
	}
	if ((events & (APR_POLLIN | APR_POLLERR | APR_POLLHUP)) != 0)
		read_link(link);
	if (link->socket != NULL && !link->doomed && !link->connecting &&
	    (events & APR_POLLOUT) != 0)
		write_link(link);
}

/**
 * plug_peers_poll() - wait for events and handle them
 * @peers: object
 * @timeout_ms: longest time to wait, in milliseconds
 *
 * Links are freed by the sweep at the end only, so that an event that was
 * already fetched never names a freed link.
 */
void
plug_peers_poll(struct plug_peers *peers, int timeout_ms)
{
	const apr_pollfd_t *events;
	apr_int32_t count = 0;

	if (apr_pollset_poll(peers->pollset,
		(apr_interval_time_t)timeout_ms * PLUG_MSEC, &count,
		&events) != APR_SUCCESS)
		count = 0;
	for (apr_int32_t i = 0; i < count; i++) {
		if (events[i].client_data == NULL)
			accept_link(peers);
		else
			handle_event(
			    events[i].client_data, events[i].rtnevents);
	}
	sweep(peers);
}

/**
 * plug_peers_wake() - end a plug_peers_poll() of another thread
 * @peers: object
 */
void
plug_peers_wake(struct plug_peers *peers)
{
	(void)apr_pollset_wakeup(peers->pollset);
}

/**
 * plug_peers_counters() - totals since the start
 * @peers: object
 */
const struct plug_peers_counters *
plug_peers_counters(const struct plug_peers *peers)
{
	return &peers->counters;
}
