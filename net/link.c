#include <apr_portable.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "clock.h"
#include "peer_internal.h"

#define LINKS_MAX	 8192 /* connections in both directions */
#define INCOMING_MAX	 6144 /* incoming ones of them */
#define READS_PER_EVENT	 4    /* so that one peer can't hold others up */
#define PROGRESS_TIMEOUT (3 * PLUG_SEC) /* design 4.9, peer links */
/* A peer that doesn't know a key yet has no answer; replacing helps little. */
#define ANSWER_TIMEOUT_MAX (60 * PLUG_SEC)
#define RETRY_DELAY	   (500 * PLUG_MSEC) /* after a failed connect */
/* The connecting side closes first, so that it doesn't write into a close. */
#define IDLE_OUTGOING	   (60 * PLUG_SEC)
#define IDLE_INCOMING	   (90 * PLUG_SEC)
#define MALFORMED_INTERVAL PLUG_SEC /* between two log lines */
#define ENDPOINT_SIZE	   22	    /* bytes of "ip:port", with the NUL */

static int
link_fd(const struct plug_link *link)
{
	apr_os_sock_t fd = -1;

	(void)apr_os_sock_get(&fd, link->socket);
	return fd;
}

static void
pop_frame(struct plug_link *link, struct plug_link_frame *frame)
{
	STAILQ_REMOVE(&link->queue, frame, plug_link_frame, entries);
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
		link->closing = true;
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

/**
 * plug_link_create() - add an unconnected link to the set
 * @peers: set
 * @outgoing: whether it carries messages to a peer or receives them
 *
 * Return: link, or NULL above the limit of links or without memory.
 */
struct plug_link *
plug_link_create(struct plug_peers *peers, bool outgoing)
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
	link->answer_timeout = PROGRESS_TIMEOUT;
	link->progress = link->used = plug_clock_now();
	plug_frame_reader_init(&link->reader);
	STAILQ_INIT(&link->queue);
	TAILQ_INSERT_TAIL(&peers->links, link, entries);
	peers->link_count++;
	if (!outgoing)
		peers->incoming_count++;
	return link;
}

/**
 * plug_link_destroy() - close a link and remove it from its set
 * @link: link
 *
 * Frames that were not written in full are counted as dropped.
 */
void
plug_link_destroy(struct plug_link *link)
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

/**
 * plug_link_accept() - accept a connection into an incoming link
 * @link: unconnected link
 * @listener: listening socket
 *
 * Return: result of apr_socket_accept().
 */
apr_status_t
plug_link_accept(struct plug_link *link, apr_socket_t *listener)
{
	apr_status_t rc =
	    apr_socket_accept(&link->socket, listener, link->pool);

	if (rc != APR_SUCCESS) {
		link->socket = NULL;
		return rc;
	}
	set_options(link);
	update_poll(link);
	return rc;
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
	char target[ENDPOINT_SIZE];

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
		link->closing = true;
	else if (link->connecting)
		connect_failed(link);
	else
		close_socket(link);
}

static void
write_link(struct plug_link *link)
{
	while (!STAILQ_EMPTY(&link->queue)) {
		struct plug_link_frame *frame = STAILQ_FIRST(&link->queue);
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
			link->answer_timeout = PROGRESS_TIMEOUT;
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
	    "event=peer_malformed peer=%s reason=%s count=%llu total=%llu",
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
	while (input.len > 0 && !link->closing) {
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
	return !link->closing;
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

/**
 * plug_link_handle() - handle the events of a link
 * @link: link; marked as closing when it fails, never destroyed
 * @events: APR_POLL flags
 */
void
plug_link_handle(struct plug_link *link, apr_int16_t events)
{
	if (link->closing || link->socket == NULL)
		return;
	if (link->connecting &&
	    (events & (APR_POLLOUT | APR_POLLERR | APR_POLLHUP)) != 0) {
		finish_connect(link);
		if (link->socket == NULL)
			return;
	}
	if ((events & (APR_POLLIN | APR_POLLERR | APR_POLLHUP)) != 0)
		read_link(link);
	if (link->socket != NULL && !link->closing && !link->connecting &&
	    (events & APR_POLLOUT) != 0)
		write_link(link);
}

/* Makes room by dropping the oldest frame that isn't partly written. */
static void
trim_queue(struct plug_link *link, size_t len)
{
	while (link->queue_count >= PLUG_PEER_QUEUE_FRAMES ||
	       (link->queue_count > 0 &&
		   link->queue_bytes + len > PLUG_PEER_QUEUE_BYTES)) {
		struct plug_link_frame *oldest = STAILQ_FIRST(&link->queue);

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
	struct plug_link_frame *frame = malloc(sizeof(*frame));

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
 * plug_link_send() - queue a frame on an outgoing link
 * @link: link; connected by the call when it isn't
 * @frame: frame from plug_frame_encode(); owned by the call
 * @len: its length in bytes
 * @answered: the peer answers this message; see plug_peers_answered()
 */
void
plug_link_send(
    struct plug_link *link, uint8_t *frame, size_t len, bool answered)
{
	queue_frame(link, frame, len);
	if (answered && link->asked == 0)
		link->asked = plug_clock_now();
	if (link->socket == NULL)
		connect_link(link);
	else
		update_poll(link);
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

static plug_time
idle_timeout(const struct plug_link *link)
{
	return link->outgoing ? IDLE_OUTGOING : IDLE_INCOMING;
}

/* After a replacement the link is kept, or its answer timeout would restart. */
static void
sweep_unconnected(struct plug_link *link, plug_time now)
{
	if (now < link->retry_at)
		return;
	if (!STAILQ_EMPTY(&link->queue))
		connect_link(link);
	else if (link->answer_timeout == PROGRESS_TIMEOUT ||
		 now - link->used > idle_timeout(link))
		plug_link_destroy(link);
}

static void
sweep_incoming(struct plug_link *link, plug_time now)
{
	bool waiting = !STAILQ_EMPTY(&link->queue) ||
		       plug_frame_reader_partial(&link->reader);

	if ((waiting && now - link->progress > PROGRESS_TIMEOUT) ||
	    now - link->used > idle_timeout(link))
		plug_link_destroy(link);
}

static void
sweep_outgoing(struct plug_link *link, plug_time now)
{
	bool waiting = link->connecting || !STAILQ_EMPTY(&link->queue);
	bool stuck = waiting && now - link->progress > PROGRESS_TIMEOUT;

	if (stuck && link->connecting) {
		connect_failed(link);
	} else if (stuck) {
		replace_link(link, "no_progress");
	} else if (link->asked != 0 &&
		   now - link->asked > link->answer_timeout) {
		link->answer_timeout *= 2;
		if (link->answer_timeout > ANSWER_TIMEOUT_MAX)
			link->answer_timeout = ANSWER_TIMEOUT_MAX;
		replace_link(link, "no_answer");
	} else if (!waiting && now - link->used > idle_timeout(link)) {
		plug_link_destroy(link);
	}
}

/**
 * plug_link_sweep() - handle what is due by time
 * @link: link; may be destroyed
 * @now: time
 */
void
plug_link_sweep(struct plug_link *link, plug_time now)
{
	if (link->closing)
		plug_link_destroy(link);
	else if (link->socket == NULL)
		sweep_unconnected(link, now);
	else if (link->outgoing)
		sweep_outgoing(link, now);
	else
		sweep_incoming(link, now);
}

/**
 * plug_link_restart_timers() - forget the time that a pause took
 * @link: link
 * @now: time
 *
 * Time during which this process was paused says nothing about the peers.
 */
void
plug_link_restart_timers(struct plug_link *link, plug_time now)
{
	link->progress = now;
	if (link->asked != 0)
		link->asked = now;
}
