#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "control.h"
#include "frame.h"

#define TICK_INTERVAL (100 * PLUG_MSEC)
#define POLL_WAIT     10 /* milliseconds; the service is polled as often */
#define STATUS_SIZE   ((size_t)256 * 1024) /* bytes of a status text */

/* A frame on its way from a traffic thread to a peer. */
struct posted {
	struct plug_endpoint target;
	uint8_t *frame;
	size_t len;
	bool answered;
	enum plug_bytecount_cause cause;
};

/**
 * plug_control_seed() - prepare a client of one thread
 * @client: client to fill; the caller sets its action handler
 * @log: log of the process
 */
void
plug_control_seed(struct plug_client *client, struct plug_log *log)
{
	memset(client, 0, sizeof(*client));
	client->log = plug_log_write;
	client->log_data = log;
	randombytes_buf(client->random, sizeof(client->random));
}

/* Names this process in a message; the copy borrows the original's body. */
static void
sign_message(const struct plug_control *control, const Plug__Message *message,
    Plug__Message *copy, Plug__Sender *sender)
{
	*copy = *message;
	plug__sender__init(sender);
	sender->instance = control->instance;
	sender->address = control->endpoint.address;
	sender->port = control->endpoint.port;
	sender->service = control->settings->role == PLUG_ROLE_AGENT
			      ? control->settings->service_id
			      : 0;
	sender->domain =
	    plug_domain_hash(plug_str_from(control->settings->domain));
	copy->sender = sender;
}

/* Reports and what goes to entries are control; the rest moves flows. */
static enum plug_bytecount_cause
message_cause(const Plug__Message *message)
{
	switch (message->body_case) {
	case PLUG__MESSAGE__BODY_PREPARE:
	case PLUG__MESSAGE__BODY_PREPARED:
	case PLUG__MESSAGE__BODY_COMMIT:
	case PLUG__MESSAGE__BODY_COMMITTED:
	case PLUG__MESSAGE__BODY_ABORT:
	case PLUG__MESSAGE__BODY_COMPLETION:
		return PLUG_BYTECOUNT_MOVE;
	default:
		return PLUG_BYTECOUNT_CONTROL;
	}
}

/* The frame's domain isn't known when no list shows its target; it is then
 * counted under the domain 0. */
static void
count_frame(struct plug_control *control, struct plug_endpoint target,
    enum plug_bytecount_cause cause, size_t len)
{
	const struct plug_settings *settings = control->settings;
	uint32_t domain = 0;

	(void)plug_bytecount_domain(control->view, target, &domain);
	plug_bytecount_add(control->traffic,
	    settings->role == PLUG_ROLE_AGENT ? settings->service_id : 0,
	    domain, cause, len);
}

static void
emit(void *data, const struct plug_action *action)
{
	struct plug_control *control = data;
	Plug__Message message;
	Plug__Sender sender;

	switch (action->kind) {
	case PLUG_ACTION_PEER:
		sign_message(control, action->peer.message, &message, &sender);
		plug_peers_send(control->peers, action->peer.target, &message);
		count_frame(control, action->peer.target,
		    message_cause(&message),
		    PLUG_FRAME_HEADER +
			plug__message__get_packed_size(&message));
		break;
	case PLUG_ACTION_WATCH:
		if (control->platform != NULL)
			(void)plug_platform_watch(control->platform,
			    action->watch.key, action->watch.index);
		break;
	case PLUG_ACTION_UNWATCH:
		if (control->platform != NULL)
			plug_platform_unwatch(
			    control->platform, action->watch.key);
		break;
	case PLUG_ACTION_VIEW:
		plug_view_release(control->view);
		control->view = plug_view_reference(action->view);
		control->hooks.view(control->hooks.data, action->view);
		break;
	case PLUG_ACTION_DATAGRAM:
	case PLUG_ACTION_UPSTREAM_CALL:
	case PLUG_ACTION_UPSTREAM_CANCEL:
	case PLUG_ACTION_UPSTREAM_RECONNECT:
	case PLUG_ACTION_FABRIC_RENEW:
	case PLUG_ACTION_STOPPED:
		break;
	}
}

/*
 * The node notices a gap between its ticks itself. confirmed is stored before
 * last_tick, so that a traffic thread that sees the new tick also sees the
 * result of the check.
 */
static void
tick(struct plug_control *control, plug_time now)
{
	const struct plug_node_event event = { .kind = PLUG_NODE_TICK };

	plug_node_handle(control->node, now, &event);
	atomic_store(
	    &control->confirmed, plug_node_confirmed(control->node, now));
	atomic_store(&control->last_tick, now);
}

/*
 * A pause usually ends while the control thread waits for input. The node has
 * to notice the gap before it takes that input for recent.
 */
static plug_time
tick_if_due(struct plug_control *control)
{
	plug_time now = plug_clock_now();

	if (now - atomic_load(&control->last_tick) >= TICK_INTERVAL)
		tick(control, now);
	return now;
}

static void
receive_value(
    void *data, struct plug_str key, uint64_t version, struct plug_str bytes)
{
	struct plug_control *control = data;
	const struct plug_node_event event = { .kind = PLUG_NODE_VALUE,
		.value = { .key = key, .version = version, .data = bytes } };

	plug_node_handle(control->node, tick_if_due(control), &event);
}

static void
receive_failure(void *data, struct plug_str key, const char *reason)
{
	struct plug_control *control = data;
	const struct plug_node_event event = { .kind = PLUG_NODE_FAILURE,
		.failure = key };

	plug_log_event(control->log, PLUG_LOG_WARN,
	    "event=config_query_failed key=%.*s reason=\"%s\"", (int)key.len,
	    key.data, reason);
	plug_node_handle(control->node, tick_if_due(control), &event);
}

static size_t
append(char *buf, size_t size, size_t len, const char *key, uint64_t value)
{
	int n = len < size ? snprintf(buf + len, size - len, "%s=%llu\n", key,
				 (unsigned long long)value)
			   : 0;

	return n > 0 && (size_t)n < size - len ? len + (size_t)n : len;
}

static size_t
append_keys(
    const struct plug_control *control, char *buf, size_t size, size_t len)
{
	const struct plug_keystore *store = plug_node_keystore(control->node);
	char name[PLUG_NAME_SIZE + 32];

	for (unsigned int i = 0; i < store->count; i++) {
		(void)snprintf(name, sizeof(name), "version.%.*s",
		    (int)store->entries[i].key.len, store->entries[i].key.data);
		len = append(buf, size, len, name, store->entries[i].version);
	}
	return len;
}

static size_t
format_status(struct plug_control *control, char *buf, size_t size)
{
	const struct plug_peers_counters *peers =
	    plug_peers_counters(control->peers);
	const struct plug_settings *settings = control->settings;
	char address[PLUG_ENDPOINT_TEXT];
	size_t len;
	int n;

	(void)plug_endpoint_format(control->endpoint, address, sizeof(address));
	n = snprintf(buf, size,
	    "role=%s\nname=%s\ndomain=%s\naddress=%s\ninstance=%016llx\n",
	    settings->role == PLUG_ROLE_AGENT ? "agent" : "entry",
	    settings->name, settings->domain, address,
	    (unsigned long long)control->instance);
	len = n > 0 && (size_t)n < size ? (size_t)n : 0;
	len = append(buf, size, len, "confirmed",
	    plug_control_usable(control, plug_clock_now()));
	len = append(buf, size, len, "services",
	    control->view != NULL ? control->view->service_count : 0);
	len = append(buf, size, len, "peer_frames_in", peers->frames_in);
	len = append(buf, size, len, "peer_frames_out", peers->frames_out);
	len = append(buf, size, len, "peer_dropped",
	    peers->dropped + atomic_load(&control->outbox_dropped));
	len = append(buf, size, len, "peer_malformed", peers->malformed);
	len = append(buf, size, len, "peer_refused", peers->refused);
	len = append(buf, size, len, "peer_replaced", peers->replaced);
	len = append(
	    buf, size, len, "log_dropped", plug_log_dropped(control->log));
	len +=
	    control->hooks.status(control->hooks.data, buf + len, size - len);
	return append_keys(control, buf, size, len);
}

static void
reply_status(struct plug_control *control, struct plug_link *link)
{
	Plug__StatusReply reply = PLUG__STATUS_REPLY__INIT;
	Plug__Message message = PLUG__MESSAGE__INIT;
	Plug__Message signed_message;
	Plug__Sender sender;
	char *text = calloc(1, STATUS_SIZE);

	if (text == NULL)
		return;
	(void)format_status(control, text, STATUS_SIZE);
	reply.text = text;
	message.body_case = PLUG__MESSAGE__BODY_STATUS_REPLY;
	message.status_reply = &reply;
	sign_message(control, &message, &signed_message, &sender);
	plug_link_reply(link, &signed_message);
	free(text);
}

static bool
receive_message(void *data, struct plug_link *link, Plug__Message *message)
{
	struct plug_control *control = data;
	struct plug_node_event event = { .kind = PLUG_NODE_PEER };

	switch (message->body_case) {
	case PLUG__MESSAGE__BODY_STATUS_REQUEST:
		reply_status(control, link);
		return false;
	case PLUG__MESSAGE__BODY_REPORT:
	case PLUG__MESSAGE__BODY_PREPARE:
	case PLUG__MESSAGE__BODY_PREPARED:
	case PLUG__MESSAGE__BODY_COMMIT:
	case PLUG__MESSAGE__BODY_COMMITTED:
	case PLUG__MESSAGE__BODY_ABORT:
	case PLUG__MESSAGE__BODY_COMPLETION:
		return message->sender != NULL &&
		       control->hooks.message != NULL &&
		       control->hooks.message(control->hooks.data, message);
	default:
		break;
	}
	/* A message without a sender can't be answered. */
	if (message->sender == NULL)
		return false;
	event.peer = message;
	plug_node_handle(control->node, tick_if_due(control), &event);
	return false;
}

/**
 * plug_control_init() - open the log and the control port
 * @control: control to fill
 * @settings: settings; outlive @control
 * @hooks: hooks of the role
 * @status: reason of a failure
 *
 * The port is known afterwards, so that the traffic sockets can bind the same
 * number before plug_control_start().
 */
enum plug_code
plug_control_init(struct plug_control *control,
    const struct plug_settings *settings,
    const struct plug_control_hooks *hooks, struct plug_status *status)
{
	memset(control, 0, sizeof(*control));
	if (sodium_init() < 0)
		return plug_status_set(
		    status, PLUG_E_LIBRARY, "libsodium can't be initialized");
	control->settings = settings;
	control->hooks = *hooks;
	control->endpoint = settings->listen;
	randombytes_buf(&control->instance, sizeof(control->instance));
	if (!plug_mailbox_init(&control->outbox))
		return plug_status_set(
		    status, PLUG_E_IO, "no descriptor left for an eventfd");
	control->traffic = calloc(1, sizeof(*control->traffic));
	if (control->traffic == NULL) {
		plug_mailbox_finish(&control->outbox);
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	}
	control->log = plug_log_create(
	    settings->name, settings->log_file, settings->log_level, status);
	if (control->log == NULL) {
		free(control->traffic);
		plug_mailbox_finish(&control->outbox);
		return status->code;
	}
	control->peers = plug_peers_create(
	    &control->endpoint, control->log, receive_message, control, status);
	if (control->peers == NULL) {
		plug_control_finish(control);
		return status->code;
	}
	plug_control_seed(&control->client, control->log);
	control->client.emit = emit;
	control->client.emit_data = control;
	return PLUG_OK;
}

/**
 * plug_control_start() - create the node and announce the address
 * @control: control after plug_control_init()
 * @status: reason of a failure
 */
enum plug_code
plug_control_start(struct plug_control *control, struct plug_status *status)
{
	const struct plug_settings *settings = control->settings;
	const bool agent = settings->role == PLUG_ROLE_AGENT;
	const struct plug_node_config config = {
		.instance = control->instance,
		.endpoint = control->endpoint,
		.domain = plug_domain_hash(plug_str_from(settings->domain)),
		.domain_name = plug_str_from(settings->domain),
		.service = agent ? settings->service_id : 0,
		.service_name =
		    agent ? plug_str_from(settings->service) : PLUG_STR(""),
		.seeds = settings->seeds,
		.seed_count = settings->seed_count,
	};
	char address[PLUG_ENDPOINT_TEXT];

	if (settings->config_service_count > 0) {
		const struct plug_platform_handlers handlers = { receive_value,
			receive_failure, control };

		control->platform = plug_platform_create(
		    settings->config_services, settings->config_service_count,
		    control->instance, &handlers);
		if (control->platform == NULL)
			return plug_status_set(status, PLUG_E_LIBRARY,
			    "libevent can't be initialized");
	}
	control->node =
	    plug_node_create(&control->client, &config, plug_clock_now());
	if (control->node == NULL)
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	(void)plug_endpoint_format(control->endpoint, address, sizeof(address));
	(void)printf("event=listening address=%s\n", address);
	(void)fflush(stdout);
	plug_log_event(control->log, PLUG_LOG_INFO,
	    "event=listening role=%s address=%s instance=%016llx domain=%s "
	    "service=%s",
	    agent ? "agent" : "entry", address,
	    (unsigned long long)control->instance, settings->domain,
	    agent ? settings->service : "-");
	return PLUG_OK;
}

static void
drain_outbox(struct plug_control *control, bool send)
{
	struct posted *posted;

	while ((posted = plug_mailbox_take(&control->outbox)) != NULL) {
		if (send) {
			count_frame(control, posted->target, posted->cause,
			    posted->len);
			plug_peers_send_frame(control->peers, posted->target,
			    posted->frame, posted->len, posted->answered);
		} else {
			free(posted->frame);
		}
		free(posted);
	}
}

/**
 * plug_control_finish() - stop everything that init and start began
 * @control: control; no traffic thread may use it any more
 */
void
plug_control_finish(struct plug_control *control)
{
	if (control->platform != NULL)
		plug_platform_destroy(control->platform);
	if (control->node != NULL)
		plug_node_destroy(control->node);
	drain_outbox(control, false);
	plug_peers_destroy(control->peers);
	plug_view_release(control->view);
	plug_mailbox_finish(&control->outbox);
	plug_log_destroy(control->log);
	free(control->traffic);
}

/**
 * plug_control_report_traffic() - log the traffic since the last report
 * @control: control
 *
 * The control thread calls it once in PLUG_BYTECOUNT_INTERVAL by itself; a role
 * calls it once more after its traffic threads have ended.
 */
void
plug_control_report_traffic(struct plug_control *control)
{
	const struct plug_settings *settings = control->settings;
	const struct plug_bytecount_place place = {
		.domain = settings->domain,
		.service =
		    settings->role == PLUG_ROLE_AGENT ? settings->service : "",
		.view = control->view,
	};
	struct plug_bytecount *traffic[PLUG_THREADS_MAX + 1] = {
		control->traffic
	};
	unsigned int count = 1;

	while (count <= PLUG_THREADS_MAX &&
	       (traffic[count] = control->hooks.traffic(
		    control->hooks.data, count - 1)) != NULL)
		count++;
	plug_bytecount_report(traffic, count, &place, control->log);
}

/**
 * plug_control_step() - one pass of the control thread
 * @control: control
 *
 * Waits for events for up to POLL_WAIT.
 */
void
plug_control_step(struct plug_control *control)
{
	plug_time now = tick_if_due(control);

	atomic_store(
	    &control->confirmed, plug_node_confirmed(control->node, now));
	if (control->next_traffic == 0)
		control->next_traffic = now + PLUG_BYTECOUNT_INTERVAL;
	if (now >= control->next_traffic) {
		control->next_traffic = now + PLUG_BYTECOUNT_INTERVAL;
		plug_control_report_traffic(control);
	}
	drain_outbox(control, true);
	plug_peers_poll(control->peers, POLL_WAIT);
	if (control->platform != NULL)
		plug_platform_poll(control->platform, 0);
}

/**
 * plug_control_usable() - whether traffic may act on the view
 * @control: control
 * @now: current time
 *
 * Callable from any thread. False while the control thread is late, as after a
 * pause of the process, and while its view isn't confirmed.
 */
bool
plug_control_usable(struct plug_control *control, plug_time now)
{
	return now - atomic_load(&control->last_tick) <= PLUG_TICK_GAP_MAX &&
	       atomic_load(&control->confirmed);
}

/**
 * plug_control_post() - send a message to a peer from a traffic thread
 * @control: control
 * @target: control address of the peer
 * @message: message; encoded before the call returns
 */
void
plug_control_post(struct plug_control *control, struct plug_endpoint target,
    const Plug__Message *message)
{
	struct posted *posted = malloc(sizeof(*posted));
	Plug__Message copy;
	Plug__Sender sender;

	if (posted == NULL) {
		atomic_fetch_add(&control->outbox_dropped, 1);
		return;
	}
	sign_message(control, message, &copy, &sender);
	posted->target = target;
	posted->answered = plug_peers_answered(message);
	posted->cause = message_cause(message);
	posted->frame = plug_frame_encode(&copy, &posted->len);
	if (posted->frame == NULL ||
	    !plug_mailbox_put(&control->outbox, posted)) {
		atomic_fetch_add(&control->outbox_dropped, 1);
		free(posted->frame);
		free(posted);
		return;
	}
	plug_peers_wake(control->peers);
}
