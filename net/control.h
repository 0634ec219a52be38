#ifndef PLUG_CONTROL_H
#define PLUG_CONTROL_H

#include <stdatomic.h>

#include "libplantainlug/node.h"
#include "libplantainlug/settings.h"
#include "log.h"
#include "mailbox.h"
#include "peer.h"
#include "platform.h"
#include "bytecount.h"

/**
 * struct plug_control_hooks - what a role adds to the control thread
 * @view: receives each new view; takes its own reference
 * @message: receives reports and transfers; true to keep the message; or NULL
 * @status: appends key=value lines of the role, returns their length
 * @traffic: counters of a traffic thread, or NULL after the last one
 * @data: first argument of the hooks
 */
struct plug_control_hooks {
	void (*view)(void *data, struct plug_view *view);
	bool (*message)(void *data, Plug__Message *message);
	size_t (*status)(void *data, char *buf, size_t size);
	struct plug_bytecount *(*traffic)(void *data, unsigned int thread);
	void *data;
};

/**
 * struct plug_control - control thread of a process
 * @settings: settings of the process; kept by the caller
 * @hooks: hooks of the role
 * @endpoint: own address with the port taken
 * @instance: random id of this run
 * @log: log of the process
 * @client: handlers and random state of the control thread
 * @peers: control connections
 * @node: control state
 * @platform: queries at the configuration service; NULL without replicas
 * @outbox: frames that a traffic thread sends to peers
 * @outbox_dropped: frames dropped because @outbox was full
 * @view: newest view, one reference
 * @traffic: counters of the control thread
 * @next_traffic: time of the next report on traffic
 * @last_tick: time of the last tick
 * @confirmed: plug_node_confirmed() at the last tick
 */
struct plug_control {
	const struct plug_settings *settings;
	struct plug_control_hooks hooks;
	struct plug_endpoint endpoint;
	uint64_t instance;
	struct plug_log *log;
	struct plug_client client;
	struct plug_peers *peers;
	struct plug_node *node;
	struct plug_platform *platform;
	struct plug_mailbox outbox;
	atomic_uint_fast64_t outbox_dropped;
	struct plug_view *view;
	struct plug_bytecount *traffic;
	plug_time next_traffic;
	_Atomic(plug_time) last_tick;
	atomic_bool confirmed;
};

enum plug_code plug_control_init(struct plug_control *control,
    const struct plug_settings *settings,
    const struct plug_control_hooks *hooks, struct plug_status *status);
enum plug_code
plug_control_start(struct plug_control *control, struct plug_status *status);
void plug_control_finish(struct plug_control *control);
void plug_control_step(struct plug_control *control);
void plug_control_report_traffic(struct plug_control *control);
bool plug_control_usable(struct plug_control *control, plug_time now);
void plug_control_post(struct plug_control *control,
    struct plug_endpoint target, const Plug__Message *message);
void plug_control_seed(struct plug_client *client, struct plug_log *log);

#endif
