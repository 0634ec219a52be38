#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "control.h"
#include "tracktraffic.h"

#define RECEIVE_BUFFER (1 << 20) /* bytes; a burst while the thread pauses */
#define BATCH	       64	 /* datagrams of one socket before the others */
#define DATAGRAM_SIZE  2048	 /* bytes, above any valid size */
#define RESET_SIZE     64	 /* bytes, above the header's size */

/* Seconds; a health check must be answered well within this time, as no flow
 * could be admitted otherwise. */
#define ADDRESS_HOLD_MIN 0.1

static void
send_to(struct plug_tracktraffic *traffic, int fd, uint32_t address,
    uint16_t port, const void *data, size_t len)
{
	const struct sockaddr_in target = {
		.sin_family = AF_INET,
		.sin_port = htons(port),
		.sin_addr.s_addr = htonl(address),
	};

	if (sendto(fd, data, len, MSG_DONTWAIT,
		(const struct sockaddr *)&target, sizeof(target)) < 0)
		atomic_fetch_add_explicit(
		    &traffic->counts[PLUG_TRACKED_SEND_FAILED], 1,
		    memory_order_relaxed);
}

static void
send_segment(struct plug_tracktraffic *traffic, int fd, uint32_t address,
    uint16_t port, struct plug_str segment)
{
	uint8_t buf[DATAGRAM_SIZE];

	if (segment.len > sizeof(buf))
		return;
	memcpy(buf, segment.data, segment.len);
	traffic->adapter->unmark(buf, segment.len);
	send_to(traffic, fd, address, port, buf, segment.len);
}

static void
send_notice(struct plug_tracktraffic *traffic, uint32_t node,
    const Plug__TrackNotice *notice)
{
	uint8_t buf[DATAGRAM_SIZE];
	size_t len = plug__track_notice__get_packed_size(notice);

	if (len > sizeof(buf))
		return;
	(void)plug__track_notice__pack(notice, buf);
	send_to(traffic, traffic->notices, node,
	    (uint16_t)traffic->settings->notice_port, buf, len);
}

/* Clients and agents use the port of the segments' address. */
static void
on_action(void *data, const struct plug_track_action *action)
{
	struct plug_tracktraffic *traffic = data;
	const struct plug_track_settings *settings = traffic->settings;
	uint16_t port = settings->segments.port;
	uint8_t reset[RESET_SIZE];
	size_t len;

	switch (action->kind) {
	case PLUG_TRACK_TO_AGENT:
		send_segment(traffic, traffic->segments, action->node, port,
		    action->segment);
		return;
	case PLUG_TRACK_TO_HOST:
		send_segment(traffic, traffic->output, settings->host.address,
		    settings->host.port, action->segment);
		return;
	case PLUG_TRACK_TO_CLIENT:
		send_to(traffic, traffic->segments, action->tuple.client, port,
		    action->segment.data, action->segment.len);
		return;
	case PLUG_TRACK_RESET:
		len = traffic->adapter->encode_reset(
		    &action->tuple, action->seq, reset, sizeof(reset));
		send_to(traffic, traffic->segments, action->tuple.client, port,
		    reset, len);
		return;
	case PLUG_TRACK_NOTICE:
		send_notice(traffic, action->node, action->notice);
		return;
	case PLUG_TRACK_REFRESH_HOSTS:
	case PLUG_TRACK_CHECK_HOST:
		atomic_store(&traffic->refresh, true);
		(void)eventfd_write(traffic->wake, 1);
		return;
	}
}

static bool
on_decode(void *data, struct plug_str bytes, struct plug_segment *segment)
{
	struct plug_tracktraffic *traffic = data;

	return traffic->adapter->decode_client(bytes, segment);
}

static void
count_bad(struct plug_tracktraffic *traffic, enum plug_track_count count)
{
	atomic_fetch_add_explicit(
	    &traffic->counts[count], 1, memory_order_relaxed);
}

static void
handle_segment(struct plug_tracktraffic *traffic, plug_time now, uint32_t from,
    struct plug_str bytes)
{
	struct plug_segment segment;

	if (!traffic->adapter->decode_client(bytes, &segment)) {
		count_bad(traffic, PLUG_TRACKED_BAD_SEGMENTS);
		return;
	}
	if (traffic->settings->role == PLUG_ROLE_ENTRY)
		plug_track_entry_segment(&traffic->entry, now, &segment);
	else
		plug_track_agent_client_segment(
		    &traffic->agent, now, from, &segment);
}

static void
handle_output(struct plug_tracktraffic *traffic, plug_time now, uint32_t from,
    struct plug_str bytes)
{
	struct plug_segment segment;

	(void)from;
	if (!traffic->adapter->decode_host(bytes, &segment)) {
		count_bad(traffic, PLUG_TRACKED_BAD_SEGMENTS);
		return;
	}
	plug_track_agent_host_segment(&traffic->agent, now, &segment);
}

static void
handle_notice(struct plug_tracktraffic *traffic, plug_time now, uint32_t from,
    struct plug_str bytes)
{
	Plug__TrackNotice *notice = plug__track_notice__unpack(
	    NULL, bytes.len, (const uint8_t *)bytes.data);

	if (notice == NULL) {
		count_bad(traffic, PLUG_TRACKED_BAD_NOTICES);
		return;
	}
	if (traffic->settings->role == PLUG_ROLE_ENTRY)
		plug_track_entry_notice(&traffic->entry, now, from, notice);
	else
		plug_track_agent_notice(&traffic->agent, now, from, notice);
	plug__track_notice__free_unpacked(notice, NULL);
}

/* Handles up to BATCH datagrams of a socket. Return: a time before which all
 * that has been sent was read, or 0 if datagrams may be left. */
static plug_time
receive(struct plug_tracktraffic *traffic, int fd,
    void (*handle)(struct plug_tracktraffic *traffic, plug_time now,
	uint32_t from, struct plug_str bytes))
{
	char buf[DATAGRAM_SIZE];
	plug_time now = plug_clock_now();

	for (int i = 0; i < BATCH; i++) {
		struct sockaddr_in from = { 0 };
		socklen_t size = sizeof(from);
		ssize_t n = recvfrom(fd, buf, sizeof(buf), MSG_DONTWAIT,
		    (struct sockaddr *)&from, &size);

		if (n < 0) {
			/* A host that is down refuses datagrams. */
			if (errno == ECONNREFUSED)
				continue;
			return now;
		}
		/* The process may have been paused since the last one. */
		now = plug_clock_now();
		handle(traffic, now, ntohl(from.sin_addr.s_addr),
		    (struct plug_str){ buf, (size_t)n });
	}
	return 0;
}

static void
receive_output(struct plug_tracktraffic *traffic)
{
	plug_time drained = receive(traffic, traffic->output, handle_output);

	if (drained != 0)
		plug_track_agent_host_drained(&traffic->agent, drained);
}

static void
take_messages(struct plug_tracktraffic *traffic)
{
	struct plug_track_message *message;
	plug_time now = plug_clock_now();

	plug_mailbox_clear(&traffic->inbox);
	while ((message = plug_mailbox_take(&traffic->inbox)) != NULL) {
		switch (message->kind) {
		case PLUG_TRACK_FLEET:
			plug_track_entry_adopt(
			    &traffic->entry, now, message->fleet);
			break;
		case PLUG_TRACK_HOST:
			plug_track_agent_set_host(
			    &traffic->agent, now, &message->host);
			break;
		case PLUG_TRACK_IDLE:
			plug_track_agent_set_idle_timeout(&traffic->agent,
			    message->idle.version, message->idle.timeout);
			break;
		}
		free(message);
	}
}

static void
copy_counts(struct plug_tracktraffic *traffic)
{
	bool is_entry = traffic->settings->role == PLUG_ROLE_ENTRY;
	const uint64_t *counters =
	    is_entry ? traffic->entry.counters : traffic->agent.counters;
	unsigned int count =
	    is_entry ? PLUG_ENTRY_COUNTERS : PLUG_AGENT_COUNTERS;

	atomic_store_explicit(&traffic->counts[PLUG_TRACKED_FLOWS],
	    is_entry ? traffic->entry.flows.count : traffic->agent.flows.count,
	    memory_order_relaxed);
	for (unsigned int i = 0; i < count; i++)
		atomic_store_explicit(&traffic->counts[PLUG_TRACKED_ROLE + i],
		    counters[i], memory_order_relaxed);
	for (unsigned int i = 0; !is_entry && i < PLUG_ANSWER_BUCKETS; i++)
		atomic_store_explicit(
		    &traffic->counts[PLUG_TRACKED_ANSWERS + i],
		    traffic->agent.answer_buckets[i], memory_order_relaxed);
}

static plug_time
tick(struct plug_tracktraffic *traffic, plug_time now)
{
	if (traffic->settings->role == PLUG_ROLE_ENTRY)
		return plug_track_entry_tick(&traffic->entry, now);
	return plug_track_agent_tick(&traffic->agent, now);
}

static int
wait_ms(plug_time next, plug_time now)
{
	if (next <= now)
		return 0;
	return (int)((next - now + PLUG_MSEC - 1) / PLUG_MSEC);
}

static void *
run(void *data)
{
	struct plug_tracktraffic *traffic = data;
	const bool is_agent = traffic->settings->role == PLUG_ROLE_AGENT;
	plug_time next = 0;

	while (
	    !atomic_load_explicit(&traffic->stopping, memory_order_relaxed)) {
		struct pollfd fds[] = {
			{ .fd = traffic->inbox.fd, .events = POLLIN },
			{ .fd = traffic->segments, .events = POLLIN },
			{ .fd = traffic->notices, .events = POLLIN },
			{ .fd = traffic->output, .events = POLLIN },
		};
		plug_time now = plug_clock_now();
		int ready;

		if (now >= next) {
			next = tick(traffic, now);
			copy_counts(traffic);
		}
		ready =
		    poll(fds, sizeof(fds) / sizeof(fds[0]), wait_ms(next, now));
		if (is_agent && ready >= 0 && fds[3].revents == 0)
			plug_track_agent_host_drained(&traffic->agent, now);
		if (ready <= 0)
			continue;
		if (fds[0].revents != 0)
			take_messages(traffic);
		if (fds[3].revents != 0)
			receive_output(traffic);
		if (fds[2].revents != 0)
			(void)receive(traffic, traffic->notices, handle_notice);
		if (fds[1].revents != 0)
			(void)receive(
			    traffic, traffic->segments, handle_segment);
		/* Lookups and reports that have begun set an earlier time. */
		now = plug_clock_now();
		if (next > now) {
			plug_time soon = tick(traffic, now);

			if (soon < next)
				next = soon;
		}
	}
	return NULL;
}

static int
open_socket(struct plug_endpoint local, struct plug_status *status)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(local.port),
		.sin_addr.s_addr = htonl(local.address),
	};
	const int size = RECEIVE_BUFFER;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	char text[PLUG_ENDPOINT_TEXT];

	if (fd < 0) {
		(void)plug_status_set(status, PLUG_E_IO,
		    "can't open a socket: %s", strerror(errno));
		return -1;
	}
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(fd, (const struct sockaddr *)&address, sizeof(address)) == 0)
		return fd;
	(void)plug_endpoint_format(local, text, sizeof(text));
	(void)plug_status_set(
	    status, PLUG_E_IO, "can't bind UDP %s: %s", text, strerror(errno));
	(void)close(fd);
	return -1;
}

static bool
open_sockets(struct plug_tracktraffic *traffic, struct plug_status *status)
{
	const struct plug_track_settings *settings = traffic->settings;
	const struct plug_endpoint notices = { settings->segments.address,
		(uint16_t)settings->notice_port };

	traffic->segments = open_socket(settings->segments, status);
	traffic->notices = open_socket(notices, status);
	traffic->output = -1;
	if (settings->role == PLUG_ROLE_AGENT)
		traffic->output = open_socket(settings->host_output, status);
	return traffic->segments >= 0 && traffic->notices >= 0 &&
	       (settings->role == PLUG_ROLE_ENTRY || traffic->output >= 0);
}

static void
close_sockets(struct plug_tracktraffic *traffic)
{
	const int fds[] = { traffic->segments, traffic->notices,
		traffic->output };

	for (size_t i = 0; i < sizeof(fds) / sizeof(fds[0]); i++) {
		if (fds[i] >= 0)
			(void)close(fds[i]);
	}
}

static struct plug_track_limits
limits_of(const struct plug_track_settings *settings)
{
	double hold = settings->address_reuse_s;

	if (hold < ADDRESS_HOLD_MIN)
		hold = ADDRESS_HOLD_MIN;
	return (struct plug_track_limits){
		.address_hold = (plug_time)(hold * (double)PLUG_SEC),
		.flow_age_max =
		    (plug_time)(settings->flow_age_max_s * (double)PLUG_SEC),
	};
}

static enum plug_code
init_role(struct plug_tracktraffic *traffic)
{
	const char *domain = traffic->settings->domain;
	struct plug_track_limits limits;

	if (traffic->settings->role == PLUG_ROLE_ENTRY)
		return plug_track_entry_init(&traffic->entry, &traffic->driver,
		    plug_domain_hash(plug_str_from(domain)));
	limits = limits_of(traffic->settings);
	return plug_track_agent_init(
	    &traffic->agent, &traffic->driver, plug_clock_now(), &limits);
}

static void
finish_role(struct plug_tracktraffic *traffic)
{
	if (traffic->settings->role == PLUG_ROLE_ENTRY)
		plug_track_entry_finish(&traffic->entry);
	else
		plug_track_agent_finish(&traffic->agent);
}

/**
 * plug_tracktraffic_start() - open the sockets and start the traffic thread
 * @traffic: object to fill
 * @settings: settings; kept by the caller
 * @adapter: how the platform speaks
 * @log: log of the process
 * @wake: eventfd of the control thread
 * @status: receives the reason of a failure
 *
 * Return: PLUG_OK, or the code of the failure.
 */
enum plug_code
plug_tracktraffic_start(struct plug_tracktraffic *traffic,
    const struct plug_track_settings *settings,
    const struct plug_adapter *adapter, struct plug_log *log, int wake,
    struct plug_status *status)
{
	*traffic = (struct plug_tracktraffic){
		.settings = settings,
		.adapter = adapter,
		.log = log,
		.wake = wake,
		.driver = { .emit = on_action, .decode = on_decode },
	};
	traffic->driver.data = traffic;
	plug_control_seed(&traffic->driver.client, log);
	if (!plug_mailbox_init(&traffic->inbox))
		return plug_status_set(
		    status, PLUG_E_IO, "no descriptor is left");
	if (!open_sockets(traffic, status)) {
		close_sockets(traffic);
		plug_mailbox_finish(&traffic->inbox);
		return PLUG_E_IO;
	}
	if (init_role(traffic) != PLUG_OK ||
	    pthread_create(&traffic->thread, NULL, run, traffic) != 0) {
		close_sockets(traffic);
		plug_mailbox_finish(&traffic->inbox);
		return plug_status_set(status, PLUG_E_LIBRARY,
		    "the traffic thread can't be started");
	}
	return PLUG_OK;
}

/**
 * plug_tracktraffic_stop() - end the traffic thread and close its sockets
 * @traffic: started object
 */
void
plug_tracktraffic_stop(struct plug_tracktraffic *traffic)
{
	struct plug_track_message *message;

	atomic_store(&traffic->stopping, true);
	(void)eventfd_write(traffic->inbox.fd, 1);
	(void)pthread_join(traffic->thread, NULL);
	while ((message = plug_mailbox_take(&traffic->inbox)) != NULL) {
		if (message->kind == PLUG_TRACK_FLEET)
			plug_fleet_release(message->fleet);
		free(message);
	}
	finish_role(traffic);
	close_sockets(traffic);
	plug_mailbox_finish(&traffic->inbox);
}

/**
 * plug_tracktraffic_tell() - hand a message to the traffic thread
 * @traffic: started object
 * @message: message; copied, with its reference
 */
void
plug_tracktraffic_tell(
    struct plug_tracktraffic *traffic, const struct plug_track_message *message)
{
	struct plug_track_message *copy = malloc(sizeof(*copy));

	if (copy != NULL) {
		*copy = *message;
		if (plug_mailbox_put(&traffic->inbox, copy))
			return;
		free(copy);
	}
	plug_log_event(traffic->log, PLUG_LOG_WARN,
	    "event=message_lost kind=%d reason=\"no room\"", message->kind);
	if (message->kind == PLUG_TRACK_FLEET)
		plug_fleet_release(message->fleet);
}

/**
 * plug_tracktraffic_count_name() - name of a count in metrics
 * @traffic: started object
 * @count: index of the count
 *
 * Return: name, or NULL for one that the role doesn't have.
 */
const char *
plug_tracktraffic_count_name(
    const struct plug_tracktraffic *traffic, unsigned int count)
{
	switch (count) {
	case PLUG_TRACKED_BAD_SEGMENTS:
		return "bad_segments";
	case PLUG_TRACKED_BAD_NOTICES:
		return "bad_notices";
	case PLUG_TRACKED_SEND_FAILED:
		return "send_failed";
	case PLUG_TRACKED_FLOWS:
		return "flows";
	default:
		break;
	}
	count -= PLUG_TRACKED_ROLE;
	if (traffic->settings->role == PLUG_ROLE_ENTRY)
		return count < PLUG_ENTRY_COUNTERS
			   ? plug_track_entry_counter_name(count)
			   : NULL;
	return count < PLUG_AGENT_COUNTERS
		   ? plug_track_agent_counter_name(count)
		   : NULL;
}
