#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "control.h"
#include "datagram.h"
#include "entryd.h"
#include "libplantainlug/router.h"
#include "pause.h"
#include "stop.h"

#define RECEIVE_WAIT  100 /* milliseconds without a datagram */
#define BIND_ATTEMPTS 16  /* ephemeral ports tried for TCP and UDP together */
#define DRAIN_ROUNDS  256 /* batches read after a stop was requested */

enum thread_counter {
	COUNT_PACKETS,
	COUNT_BAD_GRE,
	COUNT_SEND_LOST,
	COUNT_PAUSE_DROPPED,
	COUNT_ROUTES, /* first of PLUG_ROUTE_REASON_COUNT */
	COUNT_ALL = COUNT_ROUTES + PLUG_ROUTE_REASON_COUNT,
};

struct entryd;

/*
 * A traffic thread. incoming hands over one reference to a view: the control
 * thread stores it and the traffic thread exchanges it for NULL, so whoever
 * takes a pointer out owns its reference and no thread waits.
 */
struct traffic {
	struct entryd *entryd;
	pthread_t thread;
	bool started;
	struct plug_datagram *datagram;
	struct plug_client client;
	struct plug_router router;
	struct plug_view *view;
	struct plug_pause pause;
	struct plug_bytecount *bytes;
	uint64_t packets;
	uint64_t pause_dropped;
	_Atomic(struct plug_view *) incoming;
	atomic_uint_fast64_t counters[COUNT_ALL]; /* copies for the status */
};

struct entryd {
	struct plug_control control;
	const struct plug_settings *settings;
	atomic_bool stopping;
	unsigned int thread_count;
	struct traffic threads[PLUG_THREADS_MAX];
};

static void
collect_view(struct traffic *traffic)
{
	struct plug_view *view;

	if (atomic_load_explicit(&traffic->incoming, memory_order_relaxed) ==
	    NULL)
		return;
	view = atomic_exchange(&traffic->incoming, NULL);
	if (view == NULL)
		return;
	plug_view_release(traffic->view);
	traffic->view = view;
}

static void
publish_counter(struct traffic *traffic, unsigned int counter, uint64_t value)
{
	atomic_store_explicit(
	    &traffic->counters[counter], value, memory_order_relaxed);
}

static void
publish_counters(struct traffic *traffic)
{
	publish_counter(traffic, COUNT_PACKETS, traffic->packets);
	publish_counter(traffic, COUNT_BAD_GRE, traffic->datagram->bad);
	publish_counter(traffic, COUNT_SEND_LOST, traffic->datagram->lost);
	publish_counter(traffic, COUNT_PAUSE_DROPPED, traffic->pause_dropped);
	for (unsigned int i = 0; i < PLUG_ROUTE_REASON_COUNT; i++)
		publish_counter(
		    traffic, COUNT_ROUTES + i, traffic->router.counters[i]);
}

static void
route_packet(
    struct traffic *traffic, const struct plug_view *view, unsigned int index)
{
	const struct plug_settings *settings = traffic->entryd->settings;
	struct plug_verdict verdict;
	size_t len;
	uint8_t *packet = plug_datagram_packet(traffic->datagram, index, &len);

	if (packet == NULL)
		return;
	plug_router_decide(&traffic->router, view, packet, len, &verdict);
	switch (verdict.kind) {
	case PLUG_VERDICT_FORWARD:
		plug_bytecount_count(traffic->bytes, verdict.service,
		    verdict.domain, PLUG_BYTECOUNT_REQUEST,
		    PLUG_GRE_SIZE + len);
		plug_datagram_forward(traffic->datagram, index, verdict.target);
		break;
	case PLUG_VERDICT_REPLY:
		plug_bytecount_count(traffic->bytes, verdict.service,
		    traffic->router.domain, PLUG_BYTECOUNT_ANSWER,
		    PLUG_GRE_SIZE + verdict.reply_len);
		plug_datagram_send(traffic->datagram, settings->fabric,
		    verdict.reply, verdict.reply_len);
		break;
	case PLUG_VERDICT_DROP:
		break;
	}
}

/*
 * The control thread stores a view before it confirms it, so the view is
 * collected after the check: a confirmed batch never meets the older view. A
 * batch that was decided before a pause is not sent after it.
 */
static unsigned int
handle_batch(struct traffic *traffic, bool wait)
{
	unsigned int count = plug_datagram_receive(traffic->datagram, wait);
	plug_time now = plug_clock_now();
	bool usable = plug_control_usable(&traffic->entryd->control, now);
	bool old = plug_pause_check(&traffic->pause, now, count);

	collect_view(traffic);
	traffic->packets += count;
	if (old)
		traffic->pause_dropped += count;
	for (unsigned int i = 0; i < count && !old; i++)
		route_packet(traffic, usable ? traffic->view : NULL, i);
	if (count > 0 && plug_clock_now() - now > PLUG_TICK_GAP_MAX)
		plug_datagram_discard(traffic->datagram);
	plug_datagram_flush(traffic->datagram);
	publish_counters(traffic);
	return count;
}

static void *
run_traffic(void *data)
{
	struct traffic *traffic = data;

	plug_pause_init(&traffic->pause, plug_clock_now());
	while (!atomic_load_explicit(
	    &traffic->entryd->stopping, memory_order_relaxed))
		(void)handle_batch(traffic, true);
	for (int i = 0; i < DRAIN_ROUNDS; i++) {
		if (handle_batch(traffic, false) == 0)
			break;
	}
	return NULL;
}

static void
hand_over_view(void *data, struct plug_view *view)
{
	struct entryd *entryd = data;

	for (unsigned int i = 0; i < entryd->thread_count; i++)
		plug_view_release(atomic_exchange(
		    &entryd->threads[i].incoming, plug_view_reference(view)));
}

static const char *
counter_name(unsigned int counter)
{
	switch (counter) {
	case COUNT_PACKETS:
		return "packets";
	case COUNT_BAD_GRE:
		return "bad_gre";
	case COUNT_SEND_LOST:
		return "send_lost";
	case COUNT_PAUSE_DROPPED:
		return "pause_dropped";
	default:
		return plug_route_reason_name(
		    (enum plug_route_reason)(counter - COUNT_ROUTES));
	}
}

static size_t
format_counters(void *data, char *buf, size_t size)
{
	struct entryd *entryd = data;
	size_t len = 0;

	for (unsigned int i = 0; i < COUNT_ALL; i++) {
		unsigned long long sum = 0;
		int n;

		for (unsigned int j = 0; j < entryd->thread_count; j++)
			sum += atomic_load_explicit(
			    &entryd->threads[j].counters[i],
			    memory_order_relaxed);
		n = snprintf(buf + len, size - len, "%s%s=%llu\n",
		    i >= COUNT_ROUTES ? "route_" : "", counter_name(i), sum);
		if (n < 0 || (size_t)n >= size - len)
			break;
		len += (size_t)n;
	}
	return len;
}

static struct plug_bytecount *
thread_traffic(void *data, unsigned int thread)
{
	struct entryd *entryd = data;

	return thread < entryd->thread_count ? entryd->threads[thread].bytes
					     : NULL;
}

static void
close_sockets(struct entryd *entryd)
{
	for (unsigned int i = 0; i < entryd->thread_count; i++) {
		plug_datagram_destroy(entryd->threads[i].datagram);
		entryd->threads[i].datagram = NULL;
	}
}

static enum plug_code
open_sockets(struct entryd *entryd, struct plug_status *status)
{
	for (unsigned int i = 0; i < entryd->thread_count; i++) {
		entryd->threads[i].datagram =
		    plug_datagram_create(entryd->control.endpoint,
			entryd->thread_count > 1, RECEIVE_WAIT, status);
		if (entryd->threads[i].datagram == NULL) {
			close_sockets(entryd);
			return status->code;
		}
	}
	return PLUG_OK;
}

/* An ephemeral TCP port may be taken for UDP; then another one is tried. */
static enum plug_code
open_ports(struct entryd *entryd, struct plug_status *status)
{
	const struct plug_control_hooks hooks = { .view = hand_over_view,
		.status = format_counters,
		.traffic = thread_traffic,
		.data = entryd };
	int attempts = entryd->settings->listen.port == 0 ? BIND_ATTEMPTS : 1;
	enum plug_code code = PLUG_OK;

	for (int i = 0; i < attempts; i++) {
		code = plug_control_init(
		    &entryd->control, entryd->settings, &hooks, status);
		if (code != PLUG_OK)
			return code;
		code = open_sockets(entryd, status);
		if (code == PLUG_OK)
			return PLUG_OK;
		plug_control_finish(&entryd->control);
	}
	return code;
}

static enum plug_code
start_threads(struct entryd *entryd, struct plug_status *status)
{
	for (unsigned int i = 0; i < entryd->thread_count; i++) {
		struct traffic *traffic = &entryd->threads[i];

		traffic->entryd = entryd;
		traffic->bytes = calloc(1, sizeof(*traffic->bytes));
		if (traffic->bytes == NULL)
			return plug_status_set(
			    status, PLUG_E_MEMORY, "out of memory");
		plug_control_seed(&traffic->client, entryd->control.log);
		plug_router_init(&traffic->router, &traffic->client,
		    plug_domain_hash(plug_str_from(entryd->settings->domain)));
		if (pthread_create(
			&traffic->thread, NULL, run_traffic, traffic) != 0)
			return plug_status_set(status, PLUG_E_LIBRARY,
			    "traffic thread can't be started");
		traffic->started = true;
	}
	return PLUG_OK;
}

static void
stop_threads(struct entryd *entryd)
{
	atomic_store(&entryd->stopping, true);
	for (unsigned int i = 0; i < entryd->thread_count; i++) {
		struct traffic *traffic = &entryd->threads[i];

		if (traffic->started)
			(void)pthread_join(traffic->thread, NULL);
		plug_view_release(traffic->view);
		plug_view_release(atomic_exchange(&traffic->incoming, NULL));
	}
}

/**
 * plug_entryd_run() - run an entry until it is stopped
 * @settings: settings of the process
 * @status: reason of a failure
 *
 * The calling thread becomes the control thread. plug_stop_install() and
 * apr_initialize() must have been called.
 */
enum plug_code
plug_entryd_run(
    const struct plug_settings *settings, struct plug_status *status)
{
	struct entryd *entryd = calloc(1, sizeof(*entryd));
	enum plug_code code;

	if (entryd == NULL)
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	entryd->settings = settings;
	entryd->thread_count = settings->threads > 0 ? settings->threads : 1;
	code = open_ports(entryd, status);
	if (code != PLUG_OK) {
		free(entryd);
		return code;
	}
	code = plug_control_start(&entryd->control, status);
	if (code == PLUG_OK)
		code = start_threads(entryd, status);
	while (code == PLUG_OK && !plug_stop_requested())
		plug_control_step(&entryd->control);
	plug_log_event(entryd->control.log, PLUG_LOG_INFO, "event=stopping");
	stop_threads(entryd);
	plug_control_report_traffic(&entryd->control);
	close_sockets(entryd);
	plug_control_finish(&entryd->control);
	for (unsigned int i = 0; i < entryd->thread_count; i++)
		free(entryd->threads[i].bytes);
	free(entryd);
	return code;
}
