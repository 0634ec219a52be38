#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>

#include "clock.h"
#include "peer_internal.h"

#define POLL_BATCH     256 /* events for each poll */
#define LISTEN_BACKLOG 512 /* connections */
#define SWEEP_INTERVAL (100 * PLUG_MSEC)
#define SWEEP_LATE     PLUG_SEC /* the process was paused */

/*
 * A connection that can't be accepted would keep the listener readable and the
 * thread busy, so the listener is not polled until the next sweep.
 */
static void
pause_listener(struct plug_peers *peers)
{
	const apr_pollfd_t poll = { .desc_type = APR_POLL_SOCKET,
		.reqevents = APR_POLLIN,
		.desc.s = peers->listener };

	if (apr_pollset_remove(peers->pollset, &poll) == APR_SUCCESS)
		peers->listener_paused = true;
}

static void
resume_listener(struct plug_peers *peers)
{
	const apr_pollfd_t poll = { .desc_type = APR_POLL_SOCKET,
		.reqevents = APR_POLLIN,
		.desc.s = peers->listener };

	if (peers->listener_paused &&
	    apr_pollset_add(peers->pollset, &poll) == APR_SUCCESS)
		peers->listener_paused = false;
}

static void
accept_link(struct plug_peers *peers)
{
	struct plug_link *link = plug_link_create(peers, false);
	apr_socket_t *socket = NULL;
	apr_pool_t *pool = NULL;
	apr_status_t rc;

	if (link != NULL) {
		rc = plug_link_accept(link, peers->listener);
		if (rc == APR_SUCCESS)
			return;
		plug_link_destroy(link);
		if (!APR_STATUS_IS_EAGAIN(rc) &&
		    !APR_STATUS_IS_ECONNABORTED(rc))
			pause_listener(peers);
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
		plug_link_destroy(link);
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
	link = plug_link_create(peers, true);
	if (link != NULL)
		link->target = target;
	return link;
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

	if (link == NULL ||
	    (link->socket == NULL && plug_clock_now() < link->retry_at)) {
		free(frame);
		peers->counters.dropped++;
		return;
	}
	plug_link_send(link, frame, len, answered);
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

static void
sweep(struct plug_peers *peers)
{
	plug_time now = plug_clock_now();
	struct plug_link *link;
	struct plug_link *next;

	if (now - peers->swept_at < SWEEP_INTERVAL)
		return;
	if (now - peers->swept_at > SWEEP_LATE) {
		TAILQ_FOREACH(link, &peers->links, entries)
		{
			plug_link_restart_timers(link, now);
		}
	}
	peers->swept_at = now;
	resume_listener(peers);
	for (link = TAILQ_FIRST(&peers->links); link != NULL; link = next) {
		next = TAILQ_NEXT(link, entries);
		plug_link_sweep(link, now);
	}
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
			plug_link_handle(
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
