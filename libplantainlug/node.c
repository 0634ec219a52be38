#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "gossip.h"
#include "rank.h"

#define WATCHERS	  3		    /* entries that watch a key */
#define INQUIRY_WAIT	  (1 * PLUG_SEC)    /* without an answer */
#define TICK_GAP	  (500 * PLUG_MSEC) /* the process was paused */
#define VIEW_INTERVAL	  (50 * PLUG_MSEC)
#define RANK_INTERVAL	  (500 * PLUG_MSEC)
#define AGENT_START_WAIT  (2 * PLUG_SEC) /* until an agent watches by itself */
#define AGENT_SILENT_WAIT (5 * PLUG_SEC) /* and when peers fall silent */

/* Further random delay of an agent that reads by itself, and the mean time to
 * its next reading. 4,300 agents with 3 keys make 215 calls a second, below a
 * limit of 300, when all do so. */
#define AGENT_SPREAD (60 * PLUG_SEC)

struct plug_node {
	struct plug_gossip gossip;
	bool joined;
	plug_time started;
	plug_time next_reading; /* 0: an agent's peers are enough */
	plug_time next_rank;
	plug_time next_view;
	uint64_t view_sequence;
	atomic_llong last_tick;
	atomic_bool confirmed;
};

static bool
is_agent(const struct plug_node *node)
{
	return node->gossip.config.service != 0;
}

static void
emit_watch(struct plug_node *node, enum plug_action_kind kind,
    struct plug_item *item, uint64_t index)
{
	struct plug_action action = { .kind = kind };

	action.watch.key = plug_str_from(item->key);
	action.watch.index = index;
	item->watched = kind == PLUG_ACTION_WATCH;
	item->unread = item->watched && index == 0;
	item->failed = false;
	plug_client_emit(node->gossip.client, &action);
}

/* Asks again for every watched key, from whatever the service holds now. */
static void
reread_watched(struct plug_node *node)
{
	for (unsigned int i = 0; i < node->gossip.catalog.count; i++) {
		struct plug_item *item = node->gossip.catalog.items[i];

		if (!item->watched)
			continue;
		emit_watch(node, PLUG_ACTION_UNWATCH, item, 0);
		emit_watch(node, PLUG_ACTION_WATCH, item, 0);
	}
}

/* Whether this entry is among the highest-ranked live entries for a key. */
static bool
entry_ranks(const struct plug_node *node, plug_time now,
    const struct plug_item *item, bool only_common)
{
	uint64_t id = plug_str_hash(plug_str_from(item->key));
	uint64_t own = plug_rank_weight(id, node->gossip.config.endpoint);
	unsigned int better = 0;

	/* A newcomer would otherwise watch every key until it has read the
	 * lists of entries. */
	if (only_common && item->kind != PLUG_ITEM_ENTRIES &&
	    item->kind != PLUG_ITEM_DOMAINS && item->kind != PLUG_ITEM_LISTING)
		return false;
	for (unsigned int i = 0;
	     i < node->gossip.peers.count && better < WATCHERS; i++) {
		const struct plug_peer *peer = &node->gossip.peers.peers[i];

		better += (peer->kinds & PLUG_PEER_ENTRY) != 0 &&
			  plug_peer_live(peer, now) &&
			  plug_rank_weight(id, peer->endpoint) > own;
	}
	return better < WATCHERS;
}

/* Whether the agent can't rely on its peers. */
static bool
peers_fail(const struct plug_node *node, plug_time now)
{
	if (node->gossip.heard == PLUG_NEVER)
		return now - node->started >= AGENT_START_WAIT;
	if (now - node->gossip.heard >= AGENT_SILENT_WAIT)
		return true;
	return plug_catalog_entry_count(&node->gossip.catalog) == 0 &&
	       !node->gossip.inquiry.open;
}

/* Whether the service has answered for every key. */
static bool
all_read(const struct plug_node *node)
{
	for (unsigned int i = 0; i < node->gossip.catalog.count; i++) {
		const struct plug_item *item = node->gossip.catalog.items[i];

		if (!item->watched || item->unread || item->failed)
			return false;
	}
	return true;
}

/*
 * An agent without peers watches its keys. One whose peers fail reads them
 * once, at a random time, and again later: its siblings may all be in the same
 * state, and waiting calls of all agents would be renewed too often.
 */
static bool
agent_watches(struct plug_node *node, plug_time now)
{
	if (node->gossip.peers.count == 0)
		return true;
	if (!peers_fail(node, now)) {
		node->next_reading = 0;
		return false;
	}
	if (node->next_reading == 0)
		node->next_reading =
		    now + plug_client_random(
			      node->gossip.client, (uint32_t)AGENT_SPREAD);
	else if (now >= node->next_reading && all_read(node))
		node->next_reading = now + AGENT_SPREAD / 2 +
				     plug_client_random(node->gossip.client,
					 (uint32_t)AGENT_SPREAD);
	return now >= node->next_reading;
}

/* Whether the entry has still to learn of a list of entries, or to read it. */
static bool
entries_unknown(const struct plug_node *node)
{
	for (unsigned int i = 0; i < node->gossip.catalog.count; i++) {
		const struct plug_item *item = node->gossip.catalog.items[i];

		if ((item->kind == PLUG_ITEM_DOMAINS ||
			item->kind == PLUG_ITEM_ENTRIES) &&
		    item->version == 0 && (item->unread || !item->watched))
			return true;
	}
	return false;
}

static void
update_watches(struct plug_node *node, plug_time now)
{
	bool agent = is_agent(node) && agent_watches(node, now);
	bool only_common = node->gossip.inquiry.open && entries_unknown(node);

	node->gossip.peers_changed = false;
	node->next_rank = now + RANK_INTERVAL;
	for (unsigned int i = 0; i < node->gossip.catalog.count; i++) {
		struct plug_item *item = node->gossip.catalog.items[i];
		bool watch = is_agent(node)
				 ? agent
				 : entry_ranks(node, now, item, only_common);

		if (watch && !item->watched)
			emit_watch(node, PLUG_ACTION_WATCH, item,
			    is_agent(node) ? 0 : item->version);
		else if (!watch && item->watched)
			emit_watch(node, PLUG_ACTION_UNWATCH, item, 0);
	}
}

static bool
is_entry_list(const struct plug_item *item)
{
	return item->kind == PLUG_ITEM_ENTRIES ||
	       item->kind == PLUG_ITEM_DOMAINS;
}

static void
handle_service_value(
    struct plug_node *node, const struct plug_node_event *event)
{
	struct plug_item *item =
	    plug_catalog_add(&node->gossip.catalog, event->value.key);
	enum plug_code code;

	if (item == NULL)
		return;
	code = plug_gossip_accept(&node->gossip, item, event->value.version,
	    event->value.data, "config_service");
	/* A replica that lags has not told the current version. */
	if (code != PLUG_E_STALE)
		item->unread = false;
	item->failed = code == PLUG_E_STALE;
	node->gossip.peers_changed |= is_agent(node) || is_entry_list(item);
}

static void
handle_service_failure(struct plug_node *node, struct plug_str key)
{
	struct plug_item *item = plug_catalog_add(&node->gossip.catalog, key);

	if (item == NULL)
		return;
	item->unread = false;
	item->failed = true;
	node->gossip.peers_changed |= is_agent(node) || is_entry_list(item);
}

static void
open_inquiry(struct plug_node *node, plug_time now)
{
	struct plug_inquiry *inquiry = &node->gossip.inquiry;

	memset(inquiry, 0, sizeof(*inquiry));
	inquiry->open = true;
	inquiry->started = now;
	inquiry->answer = now;
	inquiry->nonce = plug_client_random_id(node->gossip.client);
	atomic_store(&node->confirmed, false);
	plug_gossip_inquire(&node->gossip, now);
}

static const char *
inquiry_result(const struct plug_node *node, plug_time now)
{
	const struct plug_inquiry *inquiry = &node->gossip.inquiry;
	unsigned int needed = 1, watched = 0;
	bool wanted = false, unread = false, failed = false;

	for (unsigned int i = 0; i < node->gossip.catalog.count; i++) {
		const struct plug_item *item = node->gossip.catalog.items[i];

		wanted |= plug_item_wanted(item);
		unread |= item->unread;
		failed |= item->failed;
		watched += item->watched;
	}
	/* A newcomer that watches a key has also asked the service for it. */
	if (!node->joined) {
		needed = node->gossip.peers.count < PLUG_INQUIRY_PEERS
			     ? node->gossip.peers.count
			     : PLUG_INQUIRY_PEERS;
		if (inquiry->answered_count >= needed && !wanted && !unread &&
		    needed + watched > 0)
			return "answers";
		/* Some of the asked peers may never answer. */
		if (now - inquiry->started >= INQUIRY_WAIT && !wanted)
			return "timeout";
	} else if (inquiry->answered_count >= needed && !wanted) {
		return "peer";
	} else if (watched == node->gossip.catalog.count && !unread &&
		   !failed) {
		return "config_service";
	}
	return now - inquiry->answer >= INQUIRY_WAIT ? "timeout" : NULL;
}

static void
emit_view(struct plug_node *node, plug_time now)
{
	struct plug_action action = { .kind = PLUG_ACTION_VIEW };

	if (!node->joined || now < node->next_view ||
	    node->view_sequence == node->gossip.catalog.view_sequence)
		return;
	action.view = plug_catalog_view(&node->gossip.catalog);
	if (action.view == NULL)
		return;
	if (action.view->service_count > 0) {
		node->view_sequence = node->gossip.catalog.view_sequence;
		node->next_view = now + VIEW_INTERVAL;
		plug_client_log(node->gossip.client, PLUG_LOG_INFO,
		    "event=view services=%u entries=%u",
		    action.view->service_count, action.view->entry_count);
		plug_client_emit(node->gossip.client, &action);
	}
	plug_view_release(action.view);
}

static void
check_inquiry(struct plug_node *node, plug_time now)
{
	const char *result;

	if (!node->gossip.inquiry.open)
		return;
	result = inquiry_result(node, now);
	if (result == NULL) {
		if (now >= node->gossip.inquiry.repeat_at)
			plug_gossip_inquire(&node->gossip, now);
		return;
	}
	node->gossip.inquiry.open = false;
	node->gossip.peers_changed = true;
	plug_client_log(node->gossip.client, PLUG_LOG_INFO,
	    "event=%s by=%s answers=%u after_ms=%lld",
	    node->joined ? "confirmed" : "joined", result,
	    node->gossip.inquiry.answered_count,
	    (long long)((now - node->gossip.inquiry.started) / PLUG_MSEC));
	node->joined = true;
	/* Traffic may go on only under the view that was confirmed. */
	node->next_view = now;
	emit_view(node, now);
	atomic_store(&node->confirmed, true);
}

static void
check_gap(struct plug_node *node, plug_time now)
{
	plug_time gap = now - atomic_load(&node->last_tick);

	if (gap <= TICK_GAP)
		return;
	atomic_store(&node->last_tick, now);
	plug_client_log(node->gossip.client, PLUG_LOG_WARN,
	    "event=unconfirmed gap_ms=%lld", (long long)(gap / PLUG_MSEC));
	open_inquiry(node, now);
	reread_watched(node);
}

/**
 * plug_node_create() - control state of a process
 * @client: handlers and random state; must outlive the node
 * @config: copied
 * @now: time
 *
 * Sends nothing before the first event.
 *
 * Return: the node, or NULL when memory ran out.
 */
struct plug_node *
plug_node_create(struct plug_client *client,
    const struct plug_node_config *config, plug_time now)
{
	struct plug_node *node = calloc(1, sizeof(*node));

	if (node == NULL)
		return NULL;
	node->started = now;
	atomic_init(&node->last_tick, now);
	atomic_init(&node->confirmed, false);
	if (plug_gossip_init(&node->gossip, client, config, now) != PLUG_OK) {
		plug_node_destroy(node);
		return NULL;
	}
	return node;
}

/**
 * plug_node_destroy() - free a node
 * @node: node, or NULL
 */
void
plug_node_destroy(struct plug_node *node)
{
	if (node == NULL)
		return;
	plug_gossip_finish(&node->gossip);
	free(node);
}

/**
 * plug_node_handle() - process one event
 * @node: node
 * @now: time of the same clock at each call
 * @event: event; borrowed for the call
 */
void
plug_node_handle(
    struct plug_node *node, plug_time now, const struct plug_node_event *event)
{
	check_gap(node, now);
	if (node->gossip.inquiry.nonce == 0)
		open_inquiry(node, now);
	switch (event->kind) {
	case PLUG_NODE_TICK:
		atomic_store(&node->last_tick, now);
		plug_gossip_tick(&node->gossip, now);
		break;
	case PLUG_NODE_PEER:
		plug_gossip_handle(&node->gossip, now, event->peer);
		break;
	case PLUG_NODE_VALUE:
		handle_service_value(node, event);
		break;
	case PLUG_NODE_FAILURE:
		handle_service_failure(node, event->failure);
		break;
	}
	if (node->gossip.peers_changed || now >= node->next_rank)
		update_watches(node, now);
	check_inquiry(node, now);
	emit_view(node, now);
}

/**
 * plug_node_confirmed() - whether the view may be acted on
 * @node: node
 * @now: time of the clock that plug_node_handle() receives
 *
 * May be called by any thread, so that a traffic thread that resumes before
 * the control thread forwards nothing.
 */
bool
plug_node_confirmed(const struct plug_node *node, plug_time now)
{
	return atomic_load(&node->confirmed) &&
	       now - atomic_load(&node->last_tick) <= TICK_GAP;
}

/**
 * plug_node_keystore() - accepted values
 * @node: node
 */
const struct plug_keystore *
plug_node_keystore(const struct plug_node *node)
{
	return &node->gossip.catalog.store;
}
