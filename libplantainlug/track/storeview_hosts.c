#include <stdlib.h>

#include "storeview_internal.h"

/*
 * The host list of the view: which list is in force, and what a list may lack
 * after an interruption of the store.
 */

/* An older list than the newest one that was seen is not adopted; when only
 * such lists come for this long, the list in force is out of date. */
#define LAG_MAX PLUG_SEC

/* A restored store lists hosts that have gone since its copy was made, until
 * their entries lapse after three heartbeats of about 1.2 s. */
#define LAPSE_AFTER (PLUG_STOREVIEW_TRUST_AFTER + 3600 * PLUG_MSEC)

/**
 * plug_storeview_begin_hosts() - a read of the host list begins
 * @view: view
 */
void
plug_storeview_begin_hosts(struct plug_storeview *view)
{
	view->pending.count = 0;
}

/* Return: the copy of @host in @list, or NULL when memory ran out. */
static struct plug_fleet_host *
add_host(struct plug_storeview_list *list, const struct plug_fleet_host *host)
{
	if (list->count == list->capacity) {
		unsigned int capacity = list->capacity * 2 + 16;
		struct plug_fleet_host *hosts =
		    realloc(list->hosts, capacity * sizeof(*hosts));

		if (hosts == NULL)
			return NULL;
		list->hosts = hosts;
		list->capacity = capacity;
	}
	list->hosts[list->count] = *host;
	return &list->hosts[list->count++];
}

/**
 * plug_storeview_add_host() - add a host to the list that is being read
 * @view: view
 * @now: time
 * @host: host; its cold_until counts from 0. It is left out when memory runs
 *   out
 */
void
plug_storeview_add_host(struct plug_storeview *view, plug_time now,
    const struct plug_fleet_host *host)
{
	struct plug_fleet_host *added = add_host(&view->pending, host);

	if (added != NULL && host->cold_until > 0)
		added->cold_until += now;
}

static struct plug_storeview_departed *
find_departed(struct plug_storeview *view, const struct plug_fleet_host *host)
{
	for (unsigned int i = 0;
	     i < view->departed_count && i < PLUG_STOREVIEW_DEPARTED_MAX; i++) {
		if (view->departed[i].id == host->id &&
		    view->departed[i].started_ms == host->started_ms)
			return &view->departed[i];
	}
	return NULL;
}

/* Keeps what is known of a host where the copy is older. */
static void
merge_host(struct plug_fleet_host *host, const struct plug_fleet_host *known)
{
	if (host->started_ms < known->started_ms) {
		*host = *known;
	} else if (host->started_ms == known->started_ms) {
		host->draining = host->draining || known->draining;
		if (host->cold_until < known->cold_until)
			host->cold_until = known->cold_until;
	}
}

/* Hosts that have gone since the copy was made get no new flows, but may be
 * asked for flows: one that had lost touch with the store may be back. */
static void
mark_departed(struct plug_storeview *view)
{
	for (unsigned int i = 0; i < view->pending.count; i++) {
		struct plug_fleet_host *host = &view->pending.hosts[i];

		if (find_departed(view, host) != NULL)
			host->draining = true;
	}
}

/* Adds what is known to a list that may lack some of it: hosts don't go, and a
 * host that drains isn't ready again. */
static void
merge_known(struct plug_storeview *view, plug_time now)
{
	const unsigned int read_count = view->pending.count;
	unsigned int i = 0, kept = 0;

	if (read_count > 0)
		qsort(view->pending.hosts, read_count,
		    sizeof(*view->pending.hosts), plug_fleet_host_compare);
	for (unsigned int j = 0; j < view->hosts.count; j++) {
		const struct plug_fleet_host *known = &view->hosts.hosts[j];

		while (i < read_count && view->pending.hosts[i].id < known->id)
			i++;
		if (i < read_count && view->pending.hosts[i].id == known->id) {
			merge_host(&view->pending.hosts[i], known);
		} else if (add_host(&view->pending, known) != NULL) {
			kept++;
		}
	}
	if (kept > 0)
		plug_client_log(view->client, PLUG_LOG_INFO,
		    "event=hosts_kept count=%u reason=%s", kept,
		    plug_storeview_lacks_items(view, now) ? "store_restored"
							  : "store_was_away");
}

static void
log_host(const struct plug_storeview *view, const struct plug_fleet_host *host,
    const char *event, struct plug_store_position position)
{
	plug_client_log(view->client, PLUG_LOG_INFO,
	    "event=%s host=%s draining=%d generation=%llu revision=%llu", event,
	    host->name, host->draining, (unsigned long long)position.generation,
	    (unsigned long long)position.revision);
}

static void
note_departed(struct plug_storeview *view, const struct plug_fleet_host *host,
    struct plug_store_position position)
{
	const unsigned int i =
	    view->departed_count++ % PLUG_STOREVIEW_DEPARTED_MAX;

	log_host(view, host, "host_gone", position);
	view->departed[i] = (struct plug_storeview_departed){
		.id = host->id,
		.started_ms = host->started_ms,
	};
}

/* A host that is in use again hasn't gone. */
static void
forget_departed(struct plug_storeview *view, const struct plug_fleet_host *host)
{
	struct plug_storeview_departed *departed;

	if (host->draining)
		return;
	departed = find_departed(view, host);
	if (departed != NULL)
		*departed = (struct plug_storeview_departed){ 0 };
}

static void
note_listed(struct plug_storeview *view, const struct plug_fleet_host *host,
    struct plug_store_position position)
{
	log_host(view, host, "host_listed", position);
	forget_departed(view, host);
}

static void
note_state(struct plug_storeview *view, const struct plug_fleet_host *old,
    const struct plug_fleet_host *new, struct plug_store_position position)
{
	if (new->draining == old->draining)
		return;
	log_host(view, new, new->draining ? "host_draining" : "host_ready",
	    position);
	forget_departed(view, new);
}

/* Notes each host that comes, goes, begins to leave or is ready again. */
static void
note_changes(struct plug_storeview *view, struct plug_store_position position)
{
	const struct plug_storeview_list *old = &view->hosts;
	const struct plug_storeview_list *new = &view->pending;
	unsigned int i = 0, j = 0;

	while (i < old->count || j < new->count) {
		if (j == new->count ||
		    (i < old->count && old->hosts[i].id < new->hosts[j].id))
			note_departed(view, &old->hosts[i++], position);
		else if (i == old->count || new->hosts[j].id < old->hosts[i].id)
			note_listed(view, &new->hosts[j++], position);
		else
			note_state(
			    view, &old->hosts[i++], &new->hosts[j++], position);
	}
}

/* Counts a list that is older than the one in force. Lists that may lag are for
 * a moment; when all are for longer, the list in force is out of date. */
static void
note_ignored(struct plug_storeview *view, plug_time now,
    struct plug_store_position position)
{
	view->counters[PLUG_STOREVIEW_IGNORED]++;
	if (view->ignored_count++ == 0)
		view->ignored_since = now;
	if (view->ignored_logged || now - view->ignored_since <= LAG_MAX)
		return;
	view->ignored_logged = true;
	plug_client_log(view->client, PLUG_LOG_WARN,
	    "event=host_lists_ignored reason=older count=%u generation=%llu "
	    "revision=%llu generation_in_force=%llu in_force=%llu",
	    view->ignored_count, (unsigned long long)position.generation,
	    (unsigned long long)position.revision,
	    (unsigned long long)view->position.generation,
	    (unsigned long long)view->position.revision);
}

static void
end_ignoring(struct plug_storeview *view, plug_time now,
    struct plug_store_position position)
{
	if (view->ignored_logged)
		plug_client_log(view->client, PLUG_LOG_INFO,
		    "event=host_list_current ignored=%u for_ms=%lld "
		    "generation=%llu revision=%llu",
		    view->ignored_count,
		    (long long)((now - view->ignored_since) / PLUG_MSEC),
		    (unsigned long long)position.generation,
		    (unsigned long long)position.revision);
	view->ignored_count = 0;
	view->ignored_logged = false;
}

static void
adopt_list(struct plug_storeview *view, plug_time now,
    struct plug_store_position position)
{
	const struct plug_storeview_list old = view->hosts;

	end_ignoring(view, now, position);
	if (view->restored_at != 0 && now - view->restored_at <= LAPSE_AFTER)
		mark_departed(view);
	if (plug_storeview_lacks_hosts(view, now))
		merge_known(view, now);
	if (view->pending.count > 0)
		qsort(view->pending.hosts, view->pending.count,
		    sizeof(*view->pending.hosts), plug_fleet_host_compare);
	note_changes(view, position);
	view->hosts = view->pending;
	view->position = position;
	view->adopted_at = now;
	view->pending = old;
	view->pending.count = 0;
}

static bool
is_before(struct plug_store_position a, struct plug_store_position b)
{
	return a.generation != b.generation ? a.generation < b.generation
					    : a.revision < b.revision;
}

/**
 * plug_storeview_end_hosts() - a read of the host list ends
 * @view: view
 * @now: time
 * @read: what was read
 *
 * A list that is older than the one in force is ignored, unless it was read
 * consistently: then the store has gone back without naming a generation.
 *
 * Return: whether the list is in force now.
 */
bool
plug_storeview_end_hosts(struct plug_storeview *view, plug_time now,
    const struct plug_storeview_read *read)
{
	if (is_before(read->position, view->position)) {
		if (!read->consistent) {
			note_ignored(view, now, read->position);
			return false;
		}
		plug_storeview_note_restored(
		    view, now, "hosts", "revision", read->position.generation);
	}
	if (read->consistent)
		view->consistent_read_at = read->began;
	adopt_list(view, now, read->position);
	return true;
}

/**
 * plug_storeview_is_outdated() - whether a consistent read of the list is due
 * @view: view
 * @now: time
 *
 * Return: true when lists are ignored and none was adopted for a while.
 */
bool
plug_storeview_is_outdated(const struct plug_storeview *view, plug_time now)
{
	return view->ignored_count > 0 && now - view->adopted_at > LAG_MAX;
}
