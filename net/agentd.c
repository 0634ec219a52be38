#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "agentd.h"
#include "clock.h"
#include "control.h"
#include "datagram.h"
#include "libplantainlug/agent.h"
#include "pause.h"
#include "ports.h"
#include "stop.h"
#include "upstream.h"

#define AGENT_TICK   (10 * PLUG_MSEC)
#define BATCHES_MAX  4	/* batches of datagrams between two other events */
#define MESSAGES_MAX 64 /* peer messages between two other events */
#define FLUSH_TIME   (200 * PLUG_MSEC) /* for frames queued at the stop */

enum pollfd_index {
	POLL_DATAGRAM,
	POLL_INBOX,
	POLL_UPSTREAM,
	POLL_COUNT,
};

/*
 * The traffic thread uses everything from agent to next_tick. incoming hands
 * over one reference to a view as in entryd.c.
 */
struct agentd {
	struct plug_control control;
	const struct plug_settings *settings;
	pthread_t thread;
	bool started;
	struct plug_mailbox inbox; /* Plug__Message for the agent */
	_Atomic(struct plug_view *) incoming;
	atomic_bool stopping;
	atomic_bool stopped;
	atomic_uint_fast64_t inbox_dropped;
	atomic_uint_fast64_t unconfirmed_dropped;
	atomic_uint_fast64_t pause_dropped;
	atomic_uint_fast64_t bad_gre;
	atomic_uint_fast64_t send_lost;

	struct plug_agent *agent;
	struct plug_client client;
	struct plug_datagram *datagram;
	struct plug_datagram *fabric;
	struct plug_upstream *upstream;
	struct plug_pause pause;
	struct plug_bytecount *bytes;
	struct plug_view *view; /* the agent's view, for the domains */
	plug_time now;
	plug_time next_tick;
	bool stop_sent;
};

static void
renew_fabric(struct agentd *agentd)
{
	struct plug_status status;

	plug_status_init(&status);
	if (plug_datagram_renew(agentd->fabric, &status) != PLUG_OK)
		plug_log_event(agentd->control.log, PLUG_LOG_ERROR,
		    "event=fabric_renew result=failed reason=\"%s\"",
		    status.message);
	else
		plug_log_event(agentd->control.log, PLUG_LOG_INFO,
		    "event=fabric_renew result=ok");
}

static void
count_datagram(struct agentd *agentd, const struct plug_action *action)
{
	const struct plug_settings *settings = agentd->settings;
	bool answer =
	    plug_endpoint_equal(action->datagram.target, settings->fabric);
	uint32_t domain =
	    answer ? plug_domain_hash(plug_str_from(settings->domain)) : 0;

	if (!answer)
		(void)plug_bytecount_domain(
		    agentd->view, action->datagram.target, &domain);
	plug_bytecount_add(agentd->bytes, settings->service_id, domain,
	    answer ? PLUG_BYTECOUNT_ANSWER : PLUG_BYTECOUNT_FORWARD,
	    PLUG_GRE_SIZE + action->datagram.len);
}

static void
emit(void *data, const struct plug_action *action)
{
	struct agentd *agentd = data;
	struct plug_datagram *datagram = agentd->datagram;

	switch (action->kind) {
	case PLUG_ACTION_DATAGRAM:
		count_datagram(agentd, action);
		if (plug_endpoint_equal(
			action->datagram.target, agentd->settings->fabric))
			datagram = agentd->fabric;
		plug_datagram_send(datagram, action->datagram.target,
		    action->datagram.data, action->datagram.len);
		break;
	case PLUG_ACTION_PEER:
		plug_control_post(&agentd->control, action->peer.target,
		    action->peer.message);
		break;
	case PLUG_ACTION_UPSTREAM_CALL:
		plug_upstream_call(agentd->upstream, action->upstream.id,
		    action->upstream.procedure, action->upstream.budget_ms,
		    action->upstream.body);
		break;
	case PLUG_ACTION_UPSTREAM_CANCEL:
		plug_upstream_cancel(agentd->upstream, action->upstream.id);
		break;
	case PLUG_ACTION_UPSTREAM_RECONNECT:
		plug_upstream_reconnect(agentd->upstream);
		break;
	case PLUG_ACTION_FABRIC_RENEW:
		renew_fabric(agentd);
		break;
	case PLUG_ACTION_STOPPED:
		/* An agent that left for another reason keeps running: the
		 * host may come back into service. */
		if (agentd->stop_sent)
			atomic_store(&agentd->stopped, true);
		break;
	case PLUG_ACTION_WATCH:
	case PLUG_ACTION_UNWATCH:
	case PLUG_ACTION_VIEW:
		break;
	}
}

static void
handle_upstream_event(void *data, const struct plug_agent_event *event)
{
	struct agentd *agentd = data;

	plug_agent_handle(agentd->agent, agentd->now, event);
}

static void
handle_view(struct agentd *agentd)
{
	struct plug_agent_event event = { .kind = PLUG_AGENT_VIEW };

	event.view = atomic_exchange(&agentd->incoming, NULL);
	if (event.view == NULL)
		return;
	plug_view_release(agentd->view);
	agentd->view = event.view;
	plug_agent_handle(agentd->agent, agentd->now, &event);
}

/*
 * The clock is read after each receive, as a pause may end in it. The view is
 * collected after the check, as in entryd.c.
 */
static unsigned int
handle_batch(struct agentd *agentd)
{
	struct plug_agent_event event = { .kind = PLUG_AGENT_DATAGRAM };
	unsigned int count = plug_datagram_receive(agentd->datagram, false);
	bool usable;
	bool old;

	agentd->now = plug_clock_now();
	usable = plug_control_usable(&agentd->control, agentd->now);
	old = plug_pause_check(&agentd->pause, agentd->now, count);
	handle_view(agentd);
	if (old)
		atomic_fetch_add(&agentd->pause_dropped, count);
	else if (!usable)
		atomic_fetch_add(&agentd->unconfirmed_dropped, count);
	for (unsigned int i = 0; i < count && !old && usable; i++) {
		event.datagram.data = plug_datagram_packet(
		    agentd->datagram, i, &event.datagram.len);
		if (event.datagram.data != NULL)
			plug_agent_handle(agentd->agent, agentd->now, &event);
	}
	return count;
}

static void
handle_datagrams(struct agentd *agentd)
{
	for (int i = 0; i < BATCHES_MAX; i++) {
		if (handle_batch(agentd) < PLUG_DATAGRAM_BATCH)
			break;
	}
	plug_datagram_flush(agentd->datagram);
	plug_datagram_flush(agentd->fabric);
	atomic_store(&agentd->bad_gre, agentd->datagram->bad);
	atomic_store(
	    &agentd->send_lost, agentd->datagram->lost + agentd->fabric->lost);
}

static void
handle_messages(struct agentd *agentd)
{
	struct plug_agent_event event = { .kind = PLUG_AGENT_PEER };
	Plug__Message *message;

	plug_mailbox_clear(&agentd->inbox);
	for (int i = 0; i < MESSAGES_MAX; i++) {
		message = plug_mailbox_take(&agentd->inbox);
		if (message == NULL)
			return;
		event.peer = message;
		plug_agent_handle(agentd->agent, agentd->now, &event);
		plug__message__free_unpacked(message, NULL);
	}
}

static void
handle_timers(struct agentd *agentd)
{
	struct plug_agent_event event = { .kind = PLUG_AGENT_TICK };

	/* Without a confirmed view a tick could start requests that wait in a
	 * domain taken out during a pause. */
	if (agentd->now >= agentd->next_tick) {
		agentd->next_tick = agentd->now + AGENT_TICK;
		if (plug_control_usable(&agentd->control, agentd->now))
			plug_agent_handle(agentd->agent, agentd->now, &event);
	}
	if (atomic_load(&agentd->stopping) && !agentd->stop_sent) {
		agentd->stop_sent = true;
		event.kind = PLUG_AGENT_STOP;
		plug_agent_handle(agentd->agent, agentd->now, &event);
	}
}

static int
wait_ms(const struct agentd *agentd)
{
	plug_time left = agentd->next_tick - plug_clock_now();

	return left > 0 ? (int)((left + PLUG_MSEC - 1) / PLUG_MSEC) : 0;
}

/*
 * The view comes before datagrams and messages, so that a decision never acts
 * on an older view than the control thread has handed over.
 */
static void *
run_traffic(void *data)
{
	struct agentd *agentd = data;
	struct pollfd fds[POLL_COUNT];

	agentd->now = plug_clock_now();
	plug_pause_init(&agentd->pause, agentd->now);
	while (!atomic_load(&agentd->stopped)) {
		fds[POLL_DATAGRAM] =
		    (struct pollfd){ agentd->datagram->fd, POLLIN, 0 };
		fds[POLL_INBOX] =
		    (struct pollfd){ agentd->inbox.fd, POLLIN, 0 };
		plug_upstream_pollfd(agentd->upstream, &fds[POLL_UPSTREAM]);
		/* After a pause the wait ends with EINTR; without the input
		 * that waits, the upstream would seem silent. */
		if (poll(fds, POLL_COUNT, wait_ms(agentd)) < 0)
			(void)poll(fds, POLL_COUNT, 0);
		agentd->now = plug_clock_now();
		handle_view(agentd);
		handle_timers(agentd);
		plug_upstream_handle(
		    agentd->upstream, fds[POLL_UPSTREAM].revents, agentd->now);
		handle_messages(agentd);
		handle_datagrams(agentd);
	}
	return NULL;
}

static void
hand_over_view(void *data, struct plug_view *view)
{
	struct agentd *agentd = data;

	plug_view_release(
	    atomic_exchange(&agentd->incoming, plug_view_reference(view)));
}

static bool
hand_over_message(void *data, Plug__Message *message)
{
	struct agentd *agentd = data;

	if (plug_mailbox_put(&agentd->inbox, message))
		return true;
	atomic_fetch_add(&agentd->inbox_dropped, 1);
	return false;
}

static size_t
format_counters(void *data, char *buf, size_t size)
{
	struct agentd *agentd = data;
	size_t len = 0;
	int n = snprintf(buf, size,
	    "service=%s\ninbox_dropped=%llu\nunconfirmed_dropped=%llu\n"
	    "pause_dropped=%llu\nbad_gre=%llu\nsend_lost=%llu\n",
	    agentd->settings->service,
	    (unsigned long long)atomic_load(&agentd->inbox_dropped),
	    (unsigned long long)atomic_load(&agentd->unconfirmed_dropped),
	    (unsigned long long)atomic_load(&agentd->pause_dropped),
	    (unsigned long long)atomic_load(&agentd->bad_gre),
	    (unsigned long long)atomic_load(&agentd->send_lost));

	for (int i = 0; i < PLUG_COUNT_AGENT_COUNT; i++) {
		enum plug_agent_counter counter = (enum plug_agent_counter)i;

		if (n < 0 || (size_t)n >= size - len)
			return len;
		len += (size_t)n;
		n = snprintf(buf + len, size - len, "agent_%s=%llu\n",
		    plug_agent_counter_name(counter),
		    (unsigned long long)plug_agent_counter(
			agentd->agent, counter));
	}
	return n > 0 && (size_t)n < size - len ? len + (size_t)n : len;
}

static struct plug_bytecount *
thread_traffic(void *data, unsigned int thread)
{
	struct agentd *agentd = data;

	return thread == 0 ? agentd->bytes : NULL;
}

static enum plug_code
open_socket(void *data, struct plug_status *status)
{
	struct agentd *agentd = data;

	agentd->datagram =
	    plug_datagram_create(agentd->control.endpoint, false, 0, status);
	return agentd->datagram != NULL ? PLUG_OK : status->code;
}

static enum plug_code
open_ports(struct agentd *agentd, struct plug_status *status)
{
	const struct plug_control_hooks hooks = { .view = hand_over_view,
		.message = hand_over_message,
		.status = format_counters,
		.traffic = thread_traffic,
		.data = agentd };

	return plug_ports_open(
	    &agentd->control, agentd->settings, &hooks, open_socket, status);
}

static enum plug_code
create_agent(struct agentd *agentd, struct plug_status *status)
{
	const struct plug_settings *settings = agentd->settings;
	const struct plug_agent_config config = {
		.instance = agentd->control.instance,
		.endpoint = agentd->control.endpoint,
		.domain = plug_domain_hash(plug_str_from(settings->domain)),
		.service = settings->service_id,
		.fabric = settings->fabric,
	};
	const struct plug_endpoint any_port = { settings->listen.address, 0 };

	agentd->bytes = calloc(1, sizeof(*agentd->bytes));
	if (agentd->bytes == NULL)
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	plug_control_seed(&agentd->client, agentd->control.log);
	agentd->client.emit = emit;
	agentd->client.emit_data = agentd;
	agentd->fabric = plug_datagram_create(any_port, false, 0, status);
	if (agentd->fabric == NULL)
		return status->code;
	agentd->upstream =
	    plug_upstream_create(settings->upstream, settings->service_id,
		agentd->control.log, handle_upstream_event, agentd);
	agentd->agent =
	    plug_agent_create(&agentd->client, &config, plug_clock_now());
	if (agentd->upstream == NULL || agentd->agent == NULL)
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	return PLUG_OK;
}

static enum plug_code
start(struct agentd *agentd, struct plug_status *status)
{
	enum plug_code code = create_agent(agentd, status);

	if (code == PLUG_OK)
		code = plug_control_start(&agentd->control, status);
	if (code != PLUG_OK)
		return code;
	if (pthread_create(&agentd->thread, NULL, run_traffic, agentd) != 0)
		return plug_status_set(
		    status, PLUG_E_LIBRARY, "traffic thread can't be started");
	agentd->started = true;
	return PLUG_OK;
}

static void
finish(struct agentd *agentd)
{
	Plug__Message *message;

	atomic_store(&agentd->stopped, true);
	if (agentd->started)
		(void)pthread_join(agentd->thread, NULL);
	if (agentd->agent != NULL)
		plug_agent_destroy(agentd->agent);
	plug_upstream_destroy(agentd->upstream);
	plug_datagram_destroy(agentd->fabric);
	plug_datagram_destroy(agentd->datagram);
	plug_view_release(atomic_exchange(&agentd->incoming, NULL));
	plug_control_report_traffic(&agentd->control);
	plug_view_release(agentd->view);
	plug_control_finish(&agentd->control);
	free(agentd->bytes);
	while ((message = plug_mailbox_take(&agentd->inbox)) != NULL)
		plug__message__free_unpacked(message, NULL);
	plug_mailbox_finish(&agentd->inbox);
	free(agentd);
}

static void
run_control(struct agentd *agentd)
{
	plug_time end;

	while (!atomic_load(&agentd->stopped)) {
		if (plug_stop_requested() &&
		    !atomic_exchange(&agentd->stopping, true))
			plug_log_event(agentd->control.log, PLUG_LOG_INFO,
			    "event=stopping");
		plug_control_step(&agentd->control);
	}
	end = plug_clock_now() + FLUSH_TIME;
	while (plug_clock_now() < end)
		plug_control_step(&agentd->control);
}

/**
 * plug_agentd_run() - run an agent until its graceful stop is complete
 * @settings: settings of the process
 * @status: reason of a failure
 *
 * The calling thread becomes the control thread. plug_stop_install() and
 * apr_initialize() must have been called.
 */
enum plug_code
plug_agentd_run(
    const struct plug_settings *settings, struct plug_status *status)
{
	struct agentd *agentd = calloc(1, sizeof(*agentd));
	enum plug_code code;

	if (agentd == NULL)
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	agentd->settings = settings;
	if (!plug_mailbox_init(&agentd->inbox)) {
		free(agentd);
		return plug_status_set(
		    status, PLUG_E_IO, "no descriptor left for an eventfd");
	}
	code = open_ports(agentd, status);
	if (code != PLUG_OK) {
		plug_mailbox_finish(&agentd->inbox);
		free(agentd);
		return code;
	}
	code = start(agentd, status);
	if (code == PLUG_OK)
		run_control(agentd);
	finish(agentd);
	return code;
}
