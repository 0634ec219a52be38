#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "control.h"
#include "datagram.h"
#include "entryd.h"
#include "ports.h"
#include "stop.h"
#include "traffic.h"

#define RECEIVE_WAIT 100 /* milliseconds without a datagram */
#define DRAIN_ROUNDS 256 /* batches read after a stop was requested */

struct entryd;

struct thread {
	struct entryd *entryd;
	pthread_t thread;
	bool started;
	struct plug_traffic traffic;
};

struct entryd {
	struct plug_control control;
	const struct plug_settings *settings;
	atomic_bool stopping;
	unsigned int thread_count;
	struct thread threads[PLUG_THREADS_MAX];
};

static void *
run_traffic(void *data)
{
	struct thread *thread = data;

	plug_pause_init(&thread->traffic.pause, plug_clock_now());
	while (!atomic_load_explicit(
	    &thread->entryd->stopping, memory_order_relaxed))
		(void)plug_traffic_step(&thread->traffic, true);
	for (int i = 0; i < DRAIN_ROUNDS; i++) {
		if (plug_traffic_step(&thread->traffic, false) == 0)
			break;
	}
	return NULL;
}

static void
hand_over_view(void *data, struct plug_view *view)
{
	struct entryd *entryd = data;

	for (unsigned int i = 0; i < entryd->thread_count; i++)
		plug_traffic_offer(&entryd->threads[i].traffic, view);
}

static size_t
format_counters(void *data, char *buf, size_t size)
{
	struct entryd *entryd = data;
	size_t len = 0;

	for (unsigned int i = 0; i < PLUG_TRAFFIC_COUNTERS; i++) {
		unsigned long long sum = 0;
		int n;

		for (unsigned int j = 0; j < entryd->thread_count; j++)
			sum +=
			    plug_traffic_count(&entryd->threads[j].traffic, i);
		n = snprintf(buf + len, size - len, "%s%s=%llu\n",
		    i >= PLUG_TRAFFIC_ROUTES ? "route_" : "",
		    plug_traffic_counter_name(i), sum);
		if (n < 0 || (size_t)n >= size - len)
			break;
		len += (size_t)n;
	}
	return len;
}

static struct plug_bytecount *
thread_bytes(void *data, unsigned int thread)
{
	struct entryd *entryd = data;

	return thread < entryd->thread_count
		   ? &entryd->threads[thread].traffic.bytes
		   : NULL;
}

static void
close_sockets(struct entryd *entryd)
{
	for (unsigned int i = 0; i < entryd->thread_count; i++) {
		plug_datagram_destroy(entryd->threads[i].traffic.datagram);
		entryd->threads[i].traffic.datagram = NULL;
	}
}

static enum plug_code
open_sockets(void *data, struct plug_status *status)
{
	struct entryd *entryd = data;

	for (unsigned int i = 0; i < entryd->thread_count; i++) {
		entryd->threads[i].traffic.datagram =
		    plug_datagram_create(entryd->control.endpoint,
			entryd->thread_count > 1, RECEIVE_WAIT, status);
		if (entryd->threads[i].traffic.datagram == NULL) {
			close_sockets(entryd);
			return status->code;
		}
	}
	return PLUG_OK;
}

static enum plug_code
open_ports(struct entryd *entryd, struct plug_status *status)
{
	const struct plug_control_hooks hooks = { .view = hand_over_view,
		.status = format_counters,
		.traffic = thread_bytes,
		.data = entryd };

	return plug_ports_open(
	    &entryd->control, entryd->settings, &hooks, open_sockets, status);
}

static enum plug_code
start_threads(struct entryd *entryd, struct plug_status *status)
{
	for (unsigned int i = 0; i < entryd->thread_count; i++) {
		struct thread *thread = &entryd->threads[i];

		thread->entryd = entryd;
		plug_control_seed(&thread->traffic.client, entryd->control.log);
		plug_traffic_init(&thread->traffic, &entryd->control,
		    entryd->settings->fabric,
		    plug_domain_hash(plug_str_from(entryd->settings->domain)));
		if (pthread_create(
			&thread->thread, NULL, run_traffic, thread) != 0)
			return plug_status_set(status, PLUG_E_LIBRARY,
			    "traffic thread can't be started");
		thread->started = true;
	}
	return PLUG_OK;
}

static void
stop_threads(struct entryd *entryd)
{
	atomic_store(&entryd->stopping, true);
	for (unsigned int i = 0; i < entryd->thread_count; i++) {
		struct thread *thread = &entryd->threads[i];

		if (thread->started)
			(void)pthread_join(thread->thread, NULL);
		plug_traffic_finish(&thread->traffic);
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
	close_sockets(entryd);
	plug_control_finish(&entryd->control);
	free(entryd);
	return code;
}
