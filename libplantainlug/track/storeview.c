#include <stdlib.h>
#include <string.h>

#include "mechanism.h"
#include "storeview_internal.h"

/* A lost answer, or a store that drops its history and tells no waiting read,
 * keeps a process waiting for this long and the time of an answer, which
 * together stay below the 4 s after which a machine counts as being in touch
 * again. */
#define CHANGES_WAIT (2500 * PLUG_MSEC)

/**
 * plug_storeview_init() - start without any belief
 * @view: view to fill
 * @client: log handler; borrowed until plug_storeview_finish()
 */
void
plug_storeview_init(
    struct plug_storeview *view, const struct plug_client *client)
{
	*view = (struct plug_storeview){ .client = client };
}

/**
 * plug_storeview_finish() - free the hosts and release the configuration
 * @view: view
 */
void
plug_storeview_finish(struct plug_storeview *view)
{
	plug_config_release(view->config);
	free(view->pending.hosts);
	free(view->hosts.hosts);
}

/**
 * plug_storeview_note_restored() - note that the store has gone back
 * @view: view
 * @now: time
 * @read: kind of the read that shows it, for the log
 * @reason: "generation" or "revision", by which it shows; for the log
 * @generation: generation of the answer
 */
void
plug_storeview_note_restored(struct plug_storeview *view, plug_time now,
    const char *read, const char *reason, uint64_t generation)
{
	view->restored_at = now;
	/* Revisions are given out again. */
	view->domains_at = (struct plug_store_position){ 0 };
	view->counters[PLUG_STOREVIEW_RESTORED]++;
	plug_client_log(view->client, PLUG_LOG_WARN,
	    "event=store_restored read=%s reason=%s generation=%llu "
	    "before=%llu in_force=%llu version=%llu",
	    read, reason, (unsigned long long)generation,
	    (unsigned long long)view->generation,
	    (unsigned long long)view->position.revision,
	    view->config == NULL ? 0
				 : (unsigned long long)view->config->version);
}

/**
 * plug_storeview_note_generation() - note the generation that an answer names
 * @view: view
 * @now: time
 * @generation: generation; 0 when the answer names none
 * @read: kind of the read, for the log
 *
 * Return: whether the store was restored, so that a waiting read of changes is
 * to be given up and the operators' part to be read completely.
 */
bool
plug_storeview_note_generation(struct plug_storeview *view, plug_time now,
    uint64_t generation, const char *read)
{
	const bool first = view->generation == 0;

	if (generation <= view->generation)
		return false;
	if (!first) {
		plug_storeview_note_restored(
		    view, now, read, "generation", generation);
		view->changes_suffice = false;
	}
	view->generation = generation;
	return !first;
}

/**
 * plug_storeview_note_failure() - note a read without a usable answer
 * @view: view
 * @now: time
 */
void
plug_storeview_note_failure(struct plug_storeview *view, plug_time now)
{
	view->failed_at = now;
}

/**
 * plug_storeview_take_config() - take a configuration that was read
 * @view: view
 * @config: configuration; takes over the caller's reference
 *
 * A configuration never goes back within one run of the process.
 *
 * Return: whether it is in force now and was not before.
 */
bool
plug_storeview_take_config(
    struct plug_storeview *view, struct plug_config *config)
{
	uint64_t old = view->config == NULL ? 0 : view->config->version;

	if (config->version <= old) {
		if (config->version < old)
			plug_client_log(view->client, PLUG_LOG_WARN,
			    "event=config_ignored version=%llu in_force=%llu "
			    "reason=older",
			    (unsigned long long)config->version,
			    (unsigned long long)old);
		plug_config_release(config);
		return false;
	}
	plug_config_release(view->config);
	view->config = config;
	plug_client_log(view->client, PLUG_LOG_INFO,
	    "event=config_adopted version=%llu before=%llu routes=%u "
	    "services=%u",
	    (unsigned long long)config->version, (unsigned long long)old,
	    config->route_count, config->service_count);
	return true;
}

static void
take_back(struct plug_storeview *view, plug_time now, unsigned int index)
{
	view->back[view->back_count++ % PLUG_DOMAINS_OUT_MAX] =
	    (struct plug_storeview_back){ view->out[index], now };
	view->out[index] = view->out[--view->out_count];
}

static void
set_out(struct plug_storeview *view, plug_time now, uint32_t domain, bool out)
{
	unsigned int i = 0;

	while (i < view->out_count && view->out[i] != domain)
		i++;
	if (out && i == PLUG_DOMAINS_OUT_MAX) {
		plug_client_log(view->client, PLUG_LOG_WARN,
		    "event=domain_ignored domain=#%08x out=%u", domain, i);
		return;
	}
	if (out && i == view->out_count)
		view->out[view->out_count++] = domain;
	else if (!out && i < view->out_count)
		take_back(view, now, i);
	else
		return;
	plug_client_log(view->client, PLUG_LOG_INFO,
	    "event=domain_%s domain=#%08x", out ? "out" : "back", domain);
}

static void
add_domain(struct plug_storeview_domains *domains, uint32_t domain)
{
	if (domains->count < PLUG_DOMAINS_OUT_MAX)
		domains->ids[domains->count++] = domain;
}

/* Whether the domains were read alone at this position or a later one of the
 * same generation. */
static bool
domains_are_newer(
    const struct plug_storeview *view, struct plug_store_position position)
{
	return view->domains_at.generation == position.generation &&
	       view->domains_at.revision >= position.revision &&
	       position.revision != 0;
}

/**
 * plug_storeview_take_domain() - take the state of a domain that was read
 * @view: view
 * @now: time
 * @domain: hash of its name
 * @out: it is out of service
 * @position: generation of the answer and revision of the item, which is 0 if
 *   unknown
 *
 * Without effect if the domains were read alone since the item was written.
 */
void
plug_storeview_take_domain(struct plug_storeview *view, plug_time now,
    uint32_t domain, bool out, struct plug_store_position position)
{
	if (out)
		add_domain(&view->found, domain);
	if (!domains_are_newer(view, position))
		set_out(view, now, domain, out);
}

/**
 * plug_storeview_lacks_items() - whether a restore may have lost items
 * @view: view
 * @now: time
 *
 * Return: true until the store has had time to get back what it has lost.
 */
bool
plug_storeview_lacks_items(const struct plug_storeview *view, plug_time now)
{
	return view->restored_at != 0 &&
	       now - view->restored_at <= PLUG_STOREVIEW_TRUST_AFTER;
}

/**
 * plug_storeview_lacks_hosts() - whether the host list may lack hosts that live
 * @view: view
 * @now: time
 *
 * These are hosts that a restore has lost, and those whose entries lapsed while
 * the store was away.
 */
bool
plug_storeview_lacks_hosts(const struct plug_storeview *view, plug_time now)
{
	return plug_storeview_lacks_items(view, now) ||
	       (view->failed_at != 0 &&
		   now - view->failed_at <= PLUG_STOREVIEW_TRUST_AFTER);
}

/**
 * plug_storeview_next_changes() - whether to read changes next
 * @view: view
 * @now: time
 * @after_revision: receives the revision after which they are to be read
 *
 * Return: how long to wait for changes at most; 0 when the operators' part is
 * to be read completely.
 */
plug_time
plug_storeview_next_changes(
    const struct plug_storeview *view, plug_time now, uint64_t *after_revision)
{
	plug_time left =
	    view->restored_at + PLUG_STOREVIEW_TRUST_AFTER + 1 - now;

	*after_revision = view->operators_at.revision;
	if (!view->changes_suffice)
		return 0;
	if (!view->operators_unconfirmed)
		return CHANGES_WAIT;
	return left <= 0 ? 0 : left < CHANGES_WAIT ? left : CHANGES_WAIT;
}

/**
 * plug_storeview_restart_operators() - read the operators' part completely next
 * @view: view
 */
void
plug_storeview_restart_operators(struct plug_storeview *view)
{
	view->changes_suffice = false;
}

/**
 * plug_storeview_begin_operators() - an answer on the operators' part begins
 * @view: view
 * @generation: generation that it names, or 0
 * @changes: it has the changes since the last answer, not the complete part
 *
 * Revisions are given out again in a new generation: changes after a revision
 * of the old one leave out what was written before.
 *
 * Return: false when the answer can't be used; a complete read is due then.
 */
bool
plug_storeview_begin_operators(
    struct plug_storeview *view, uint64_t generation, bool changes)
{
	view->found.count = 0;
	if (!changes || generation == view->operators_at.generation)
		return true;
	plug_client_log(view->client, PLUG_LOG_INFO,
	    "event=changes_dropped after=%llu generation=%llu before=%llu",
	    (unsigned long long)view->operators_at.revision,
	    (unsigned long long)generation,
	    (unsigned long long)view->operators_at.generation);
	view->changes_suffice = false;
	return false;
}

static bool
contains(const struct plug_storeview_domains *domains, uint32_t domain)
{
	for (unsigned int i = 0; i < domains->count; i++) {
		if (domains->ids[i] == domain)
			return true;
	}
	return false;
}

/* What was taken back while the history was dropped is missed by the changes:
 * a complete read doesn't show it. */
static void
take_back_missing(struct plug_storeview *view, plug_time now,
    const struct plug_storeview_domains *found)
{
	for (unsigned int i = view->out_count; i-- > 0;) {
		uint32_t domain = view->out[i];

		if (!contains(found, domain))
			set_out(view, now, domain, false);
	}
}

/**
 * plug_storeview_end_operators() - an answer on the operators' part ends
 * @view: view
 * @now: time
 * @position: position that it was read at
 * @changes: as for plug_storeview_begin_operators()
 */
void
plug_storeview_end_operators(struct plug_storeview *view, plug_time now,
    struct plug_store_position position, bool changes)
{
	view->changes_suffice = true;
	if (!changes) {
		view->operators_unconfirmed =
		    plug_storeview_lacks_items(view, now);
		if (!view->operators_unconfirmed &&
		    !domains_are_newer(view, position))
			take_back_missing(view, now, &view->found);
	} else if (position.revision < view->operators_at.revision) {
		plug_storeview_note_restored(
		    view, now, "changes", "revision", position.generation);
		view->changes_suffice = false;
	}
	view->operators_at = position;
}

/**
 * plug_storeview_begin_domains() - a read of the domains alone begins
 * @view: view
 */
void
plug_storeview_begin_domains(struct plug_storeview *view)
{
	view->found_alone.count = 0;
}

/**
 * plug_storeview_add_domain() - add a domain that is out of service to the read
 * @view: view
 * @domain: hash of its name
 */
void
plug_storeview_add_domain(struct plug_storeview *view, uint32_t domain)
{
	add_domain(&view->found_alone, domain);
}

/**
 * plug_storeview_end_domains() - a read of the domains alone ends
 * @view: view
 * @now: time
 * @position: position that it was read at
 *
 * The operators' part may take long to arrive, or stand behind changes that
 * were missed. The domains are small; what the part says of them is skipped
 * then unless it is newer. A read that is older than the last answer on the
 * part is ignored.
 *
 * Return: whether the read counts.
 */
bool
plug_storeview_end_domains(struct plug_storeview *view, plug_time now,
    struct plug_store_position position)
{
	const struct plug_storeview_domains *found = &view->found_alone;

	if (position.generation != view->generation ||
	    (position.generation == view->operators_at.generation &&
		position.revision < view->operators_at.revision))
		return false;
	for (unsigned int i = 0; i < found->count; i++)
		set_out(view, now, found->ids[i], true);
	if (!plug_storeview_lacks_items(view, now)) {
		take_back_missing(view, now, found);
		view->domains_at = position;
	}
	return true;
}

/* When the hosts of a domain that was taken back count as warm; 0 if it wasn't.
 * They may be cold since then, which the list shows only after a while. */
static plug_time
cold_until(
    const struct plug_storeview *view, const struct plug_fleet_host *host)
{
	const struct plug_service_config *service =
	    plug_config_find_service(view->config, host->service);
	plug_time until = 0;

	for (unsigned int i = 0; service != NULL && i < view->back_count &&
				 i < PLUG_DOMAINS_OUT_MAX;
	     i++) {
		const struct plug_storeview_back *back = &view->back[i];

		if (back->domain == host->domain &&
		    back->at + service->cold_time > until)
			until = back->at + service->cold_time;
	}
	return until;
}

/**
 * plug_storeview_fleet() - snapshot for the traffic threads
 * @view: view
 * @now: time
 *
 * Return: snapshot for plug_fleet_release(); NULL while the configuration or
 * the host list is unknown, or when memory ran out.
 */
struct plug_fleet *
plug_storeview_fleet(const struct plug_storeview *view, plug_time now)
{
	struct plug_fleet *fleet;

	if (view->config == NULL || view->position.revision == 0)
		return NULL;
	fleet = plug_fleet_create(view->config, view->hosts.count);
	if (fleet == NULL)
		return NULL;
	if (view->hosts.count > 0)
		memcpy(fleet->hosts, view->hosts.hosts,
		    view->hosts.count * sizeof(*fleet->hosts));
	for (unsigned int i = 0; view->back_count > 0 && i < fleet->host_count;
	     i++) {
		const plug_time until = cold_until(view, &fleet->hosts[i]);

		if (until > fleet->hosts[i].cold_until)
			fleet->hosts[i].cold_until = until;
	}
	plug_fleet_complete(fleet);
	fleet->revision = view->position.revision;
	fleet->consistent_read_at = view->consistent_read_at;
	fleet->authoritative = !plug_built_with(PLUG_MECHANISM_TRUST) ||
			       !plug_storeview_lacks_hosts(view, now);
	fleet->out_domain_count = view->out_count;
	memcpy(fleet->out_domains, view->out, sizeof(fleet->out_domains));
	return fleet;
}
