#include <stdlib.h>

#include "lookup.h"
#include "mechanism.h"

#define FLOWS_MAX 200000 /* flows per entry; 40 MB at 200 bytes each */

/* A host that refuses a flow for a reason that applies to the next one, too,
 * gets no new flows for this long. A load report doesn't end that time early,
 * as the refusal may have another cause than load. */
#define REFUSED_AVOID_TIME (100 * PLUG_MSEC)

/* Clients retransmit a SYN 200 and 600 ms after the first one and give up
 * after 1.4 s. Past LAST_SYN_AGE, a copy is taken for the last one. A flow that
 * is still opening is removed OPENING_TIME after its last SYN. */
#define OPENING_TIME (2 * PLUG_SEC)
#define LAST_SYN_AGE (550 * PLUG_MSEC)

/* For this long, late segments of an ended flow are answered by a RST. */
#define ENDED_TIME PLUG_SEC

/* A flow whose client has sent a FIN or RST is removed this long after its last
 * segment: the rest of it needs no more than a few retransmissions. */
#define CLOSING_TIME (5 * PLUG_SEC)

/* An idle flow is removed IDLE_SLACK after the configured idle timeout, at
 * which its host drops it. Without a configuration, IDLE_DEFAULT applies. */
#define IDLE_DEFAULT (20 * PLUG_SEC)
#define IDLE_SLACK   (5 * PLUG_SEC)

/* A new flow may wait for a host for this fraction of its route's timeout. A
 * longer wait would leave little time for the answer and none for a retry. */
#define WAIT_FRACTION 0.5

#define LOOKUP_TICK (10 * PLUG_MSEC)  /* between steps of all lookups */
#define SWEEP_TICK  (500 * PLUG_MSEC) /* between sweeps, see @next_sweep */

/**
 * plug_track_entry_init() - initialize an entry without hosts
 * @entry: entry to fill
 * @driver: handlers; borrowed until plug_track_entry_finish()
 * @domain: hash of the name of the entry's failure domain
 *
 * Return: PLUG_OK or PLUG_E_MEMORY.
 */
enum plug_code
plug_track_entry_init(struct plug_track_entry *entry,
    struct plug_track_driver *driver, uint32_t domain)
{
	*entry = (struct plug_track_entry){
		.driver = driver,
		.domain = domain,
	};
	plug_balance_init(&entry->balance);
	return plug_conntable_init(
	    &entry->flows, sizeof(struct plug_entry_flow), FLOWS_MAX);
}

static void
end_lookup(struct plug_track_entry *entry, struct plug_entry_flow *flow)
{
	struct plug_lookup **link = &entry->lookups;

	if (flow->lookup == NULL)
		return;
	while (*link != flow->lookup)
		link = &(*link)->next;
	*link = flow->lookup->next;
	plug_lookup_destroy(flow->lookup);
	flow->lookup = NULL;
}

static void
remove_flow(struct plug_track_entry *entry, struct plug_entry_flow *flow)
{
	end_lookup(entry, flow);
	plug_conntable_remove(&entry->flows, &flow->conn);
}

/**
 * plug_track_entry_finish() - free all flows and release the fleet snapshot
 * @entry: entry
 */
void
plug_track_entry_finish(struct plug_track_entry *entry)
{
	while (entry->flows.oldest != NULL)
		remove_flow(
		    entry, (struct plug_entry_flow *)entry->flows.oldest);
	plug_conntable_finish(&entry->flows);
	plug_questions_finish(&entry->questions);
	plug_balance_finish(&entry->balance);
}

static void
log_flow(const struct plug_track_entry *entry, enum plug_log_level level,
    const char *event, const struct plug_entry_flow *flow, const char *reason)
{
	const struct plug_fleet *fleet = entry->balance.fleet;
	const struct plug_fleet_host *host =
	    plug_fleet_find_host(fleet, flow->host_id);
	const struct plug_endpoint agent = { flow->agent, 0 };
	char text[PLUG_TUPLE_TEXT], address[PLUG_ENDPOINT_TEXT];

	(void)plug_tuple_format(&flow->conn.tuple, text, sizeof(text));
	(void)plug_endpoint_format(agent, address, sizeof(address));
	plug_client_log(&entry->driver->client, level,
	    "event=%s flow=%s host=%s agent=%s reason=%s version=%llu "
	    "revision=%llu",
	    event, text, host == NULL ? "-" : host->name, address, reason,
	    fleet == NULL ? 0 : (unsigned long long)fleet->config->version,
	    fleet == NULL ? 0 : (unsigned long long)fleet->revision);
}

/* Logs the data behind a placement: the host's last load report and its age. */
static void
log_placement(const struct plug_track_entry *entry, plug_time now,
    const struct plug_entry_flow *flow, const char *reason)
{
	const struct plug_fleet *fleet = entry->balance.fleet;
	const struct plug_fleet_host *host =
	    plug_fleet_find_host(fleet, flow->host_id);
	const struct plug_host_load *load =
	    plug_balance_host_load(&entry->balance, flow->host_id);
	char text[PLUG_TUPLE_TEXT];

	if (host == NULL || load == NULL)
		return;
	(void)plug_tuple_format(&flow->conn.tuple, text, sizeof(text));
	plug_client_log(&entry->driver->client, PLUG_LOG_INFO,
	    "event=flow_placed flow=%s host=%s reason=%s flows=%u running=%u "
	    "waiting=%u sent=%u age_ms=%lld remote=%d version=%llu "
	    "revision=%llu",
	    text, host->name, reason, load->flows, load->running, load->waiting,
	    load->flows_sent,
	    load->reported_at == 0
		? -1LL
		: (long long)((now - load->reported_at) / PLUG_MSEC),
	    host->domain != entry->domain,
	    (unsigned long long)fleet->config->version,
	    (unsigned long long)fleet->revision);
}

/* Marks a flow as ended and sends a RST with @seq to its client. */
static void
reset_flow(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, uint32_t seq, const char *reason)
{
	end_lookup(entry, flow);
	flow->state = PLUG_ENTRY_ENDED;
	plug_conntable_touch(&entry->flows, &flow->conn, now);
	log_flow(entry, PLUG_LOG_INFO, "flow_reset", flow, reason);
	plug_track_reset_flow(entry->driver, &flow->conn.tuple, seq);
}

/* Return: the new flow, or NULL when memory ran out. A full table drops the
 * least recently used flow. */
static struct plug_entry_flow *
add_flow(struct plug_track_entry *entry, plug_time now,
    const struct plug_segment *segment)
{
	struct plug_entry_flow *flow;

	if (plug_conntable_is_full(&entry->flows))
		remove_flow(
		    entry, (struct plug_entry_flow *)entry->flows.oldest);
	flow = plug_conntable_add(&entry->flows, &segment->tuple, now);
	if (flow != NULL)
		flow->started = plug_built_with(PLUG_MECHANISM_AGE)
				    ? now - segment->syn_age
				    : now;
	return flow;
}

static uint32_t
cold_ms_left(const struct plug_fleet_host *host, plug_time now)
{
	return host->cold_until > now
		   ? (uint32_t)((host->cold_until - now) / PLUG_MSEC)
		   : 0;
}

/* How much longer a new flow may wait for a host; negative when too late. */
static plug_time
wait_time_left(const struct plug_entry_flow *flow,
    const struct plug_route *route, plug_time now)
{
	return flow->started +
	       (plug_time)(WAIT_FRACTION * route->request_timeout) - now;
}

static void
send_open(struct plug_track_entry *entry, plug_time now,
    const struct plug_entry_flow *flow, const struct plug_fleet_host *host,
    const struct plug_route *route, const struct plug_segment *segment)
{
	plug_time left = wait_time_left(flow, route, now);
	const struct plug_config *config = entry->balance.fleet->config;
	const struct plug_service_config *service =
	    plug_config_find_service(config, host->service);
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Open open = PLUG__OPEN__INIT;

	open.host = host->id;
	open.cold_ms = cold_ms_left(host, now);
	if (service != NULL) {
		open.cold_milli_per_s =
		    (uint32_t)(service->cold_per_s * 1000.0);
		open.cold_time_ms = (uint32_t)(service->cold_time / PLUG_MSEC);
	}
	open.slots = host->slots;
	open.wait_ms = left > 0 ? (uint32_t)(left / PLUG_MSEC) : 0;
	open.priority = route->priority;
	open.aim_ms = (uint32_t)(route->target_latency / PLUG_MSEC);
	open.aged_ms = (uint32_t)((now - flow->started) / PLUG_MSEC);
	open.version = config->version;
	open.idle_ms = (uint32_t)(config->idle_timeout / PLUG_MSEC);
	open.segment = plug_track_segment_field(segment->bytes);
	notice.body_case = PLUG__TRACK_NOTICE__BODY_OPEN;
	notice.open = &open;
	plug_balance_count_flow(&entry->balance, now, host);
	plug_track_notify(entry->driver, host->address, &notice);
}

/* Handles a SYN that no host can take now. If a refreshed host list may change
 * that before the client gives up, its next copy of the SYN is tried; otherwise
 * the flow is reset at once. */
static void
postpone_or_reset(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const char *reason)
{
	static const struct plug_track_action refresh = {
		.kind = PLUG_TRACK_REFRESH_HOSTS,
	};

	entry->counters[PLUG_ENTRY_NO_HOST]++;
	if (!flow->fleet_outdated || now - flow->started >= LAST_SYN_AGE) {
		reset_flow(entry, now, flow, 0, reason);
		return;
	}
	log_flow(entry, PLUG_LOG_INFO, "flow_postponed", flow, reason);
	flow->state = PLUG_ENTRY_OPENING;
	flow->agent = 0;
	flow->fleet_outdated = false;
	flow->excluded.count = 0;
	plug_track_emit(entry->driver, &refresh);
}

/* Sends a SYN to the best host, or calls postpone_or_reset() when there is none
 * or the wait would be too long. */
static void
place_flow(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment,
    const struct plug_route *route, const char *reason)
{
	const struct plug_fleet_host *host =
	    plug_balance_choose(&entry->balance, now,
		plug_route_choose_service(route, &segment->tuple),
		entry->domain, &flow->excluded);
	plug_time wait;

	if (host == NULL) {
		postpone_or_reset(entry, now, flow, "no_host");
		return;
	}
	wait = plug_balance_expected_wait(&entry->balance, now, host);
	if (plug_built_with(PLUG_MECHANISM_REFUSAL) && wait > 0 &&
	    (flow->immediate_only || wait > wait_time_left(flow, route, now))) {
		postpone_or_reset(entry, now, flow, "overloaded");
		return;
	}
	flow->state = PLUG_ENTRY_OPENING;
	flow->agent = host->address;
	flow->host_id = host->id;
	entry->counters[PLUG_ENTRY_OPENED]++;
	log_placement(entry, now, flow, reason);
	send_open(entry, now, flow, host, route, segment);
}

static const struct plug_route *
find_route(const struct plug_track_entry *entry, const struct plug_tuple *tuple)
{
	const struct plug_endpoint target = { tuple->service,
		tuple->service_port };

	return plug_config_find_route(entry->balance.fleet->config, target);
}

/* Sends a copy of a SYN to the same host again, or to another one if that host
 * has gone, is leaving, is in a domain that is out of service or doesn't
 * answer, or if its service no longer has a share of the route. */
static void
resend_open(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment,
    const struct plug_route *route)
{
	const struct plug_fleet_host *host =
	    plug_fleet_find_host(entry->balance.fleet, flow->host_id);
	const struct plug_host_load *load =
	    plug_balance_host_load(&entry->balance, flow->host_id);

	if (host == NULL || load == NULL || host->draining ||
	    plug_fleet_domain_is_out(entry->balance.fleet, host->domain) ||
	    plug_host_load_is_overdue(load, now)) {
		entry->counters[PLUG_ENTRY_REPLACED]++;
		flow->fleet_outdated = true;
		place_flow(entry, now, flow, segment, route, "host_silent");
		return;
	}
	if (!plug_route_allows(route, host->service)) {
		entry->counters[PLUG_ENTRY_REPLACED]++;
		place_flow(entry, now, flow, segment, route, "route_changed");
		return;
	}
	send_open(entry, now, flow, host, route, segment);
}

/* Whether the client has closed the flow and this SYN opens a new one from the
 * same port. A late copy of the old SYN doesn't. */
static bool
is_port_reused(
    const struct plug_entry_flow *flow, const struct plug_segment *segment)
{
	return flow->closing && segment->seq != flow->syn_seq;
}

static void
handle_syn(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment)
{
	const struct plug_route *route = find_route(entry, &segment->tuple);

	if (flow != NULL && flow->state == PLUG_ENTRY_OPEN &&
	    !is_port_reused(flow, segment)) {
		plug_track_send_segment(
		    entry->driver, PLUG_TRACK_TO_AGENT, flow->agent, segment);
		return;
	}
	if (flow != NULL && flow->state != PLUG_ENTRY_OPENING) {
		remove_flow(entry, flow);
		flow = NULL;
	}
	if (flow == NULL)
		flow = add_flow(entry, now, segment);
	if (flow == NULL)
		return;
	flow->syn_seq = segment->seq;
	if (route == NULL) {
		entry->counters[PLUG_ENTRY_NO_ROUTE]++;
		reset_flow(entry, now, flow, 0, "no_route");
		return;
	}
	if (flow->agent == 0)
		place_flow(entry, now, flow, segment, route, "new");
	else
		resend_open(entry, now, flow, segment, route);
}

/* Forwards the segments saved during the lookup. If the host was probed, it has
 * already got the first one. */
static void
send_saved_segments(
    struct plug_track_entry *entry, const struct plug_entry_flow *flow)
{
	const struct plug_lookup *lookup = flow->lookup;
	unsigned int i = plug_lookup_was_probed(lookup, flow->agent) ? 1 : 0;

	for (; i < lookup->saved_count; i++) {
		const struct plug_segment segment = {
			.tuple = flow->conn.tuple,
			.bytes = { (const char *)lookup->saved[i],
			    lookup->saved_len[i] },
		};

		plug_track_send_segment(
		    entry->driver, PLUG_TRACK_TO_AGENT, flow->agent, &segment);
	}
}

/* Logs an undecided lookup with the first agent without a definite answer. That
 * agent is stored in @flow for log_flow(), so @flow must be removed next. */
static void
log_undecided(
    const struct plug_track_entry *entry, struct plug_entry_flow *flow)
{
	const struct plug_lookup_host *host =
	    plug_lookup_first_undecided(flow->lookup);
	const char *reason = "host_list_out_of_date";

	if (!flow->lookup->expects_reply)
		reason = "nothing_asked";
	else if (host != NULL)
		reason = host->answered ? "agent_unsure" : "agent_silent";
	flow->agent = host == NULL ? 0 : host->agent;
	log_flow(entry, PLUG_LOG_INFO, "lookup_undecided", flow, reason);
}

static void
step_lookup(
    struct plug_track_entry *entry, plug_time now, struct plug_entry_flow *flow)
{
	switch (plug_lookup_step(flow->lookup, now, entry->balance.fleet,
	    entry->domain, entry->driver, &entry->questions)) {
	case PLUG_LOOKUP_PENDING:
		return;
	case PLUG_LOOKUP_FOUND:
		entry->counters[PLUG_ENTRY_FOUND]++;
		flow->state = PLUG_ENTRY_OPEN;
		flow->agent = flow->lookup->holder;
		flow->host_id = 0;
		log_flow(entry, PLUG_LOG_INFO, "flow_found", flow, "agent");
		send_saved_segments(entry, flow);
		end_lookup(entry, flow);
		return;
	case PLUG_LOOKUP_ABSENT:
		entry->counters[PLUG_ENTRY_ABSENT]++;
		reset_flow(
		    entry, now, flow, flow->lookup->ack, "no_host_has_it");
		return;
	case PLUG_LOOKUP_UNDECIDED:
		entry->counters[PLUG_ENTRY_UNDECIDED]++;
		log_undecided(entry, flow);
		remove_flow(entry, flow);
		return;
	}
}

/* Return: false when memory ran out; the flow is removed then. */
static bool
start_lookup(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment)
{
	flow->lookup = plug_lookup_create(flow, now);
	if (flow->lookup == NULL) {
		remove_flow(entry, flow);
		return false;
	}
	flow->lookup->next = entry->lookups;
	entry->lookups = flow->lookup;
	flow->state = PLUG_ENTRY_LOCATING;
	entry->counters[PLUG_ENTRY_LOOKUPS]++;
	plug_lookup_save_segment(flow->lookup, segment);
	return true;
}

static void
handle_known_flow(struct plug_track_entry *entry, struct plug_entry_flow *flow,
    const struct plug_segment *segment)
{
	if ((segment->flags & (PLUG_SEGMENT_FIN | PLUG_SEGMENT_RST)) != 0)
		flow->closing = true;
	switch (flow->state) {
	case PLUG_ENTRY_OPENING:
	case PLUG_ENTRY_OPEN:
		flow->state = PLUG_ENTRY_OPEN;
		plug_track_send_segment(
		    entry->driver, PLUG_TRACK_TO_AGENT, flow->agent, segment);
		return;
	case PLUG_ENTRY_LOCATING:
		plug_lookup_save_segment(flow->lookup, segment);
		return;
	case PLUG_ENTRY_ENDED:
		if ((segment->flags & PLUG_SEGMENT_RST) == 0)
			plug_track_reset_flow(
			    entry->driver, &segment->tuple, segment->ack);
		return;
	}
}

/* Resets the flow of a segment whose address has no route.
 *
 * Return: false when there is a route; nothing was done then. */
static bool
reset_if_unrouted(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment)
{
	if (find_route(entry, &segment->tuple) != NULL)
		return false;
	if (flow == NULL)
		flow = add_flow(entry, now, segment);
	if (flow != NULL && flow->state != PLUG_ENTRY_ENDED) {
		entry->counters[PLUG_ENTRY_NO_ROUTE]++;
		reset_flow(entry, now, flow, segment->ack, "no_route");
		return true;
	}
	plug_track_reset_flow(entry->driver, &segment->tuple, segment->ack);
	return true;
}

/**
 * plug_track_entry_segment() - process a segment of a client
 * @entry: entry
 * @now: current time
 * @segment: segment; borrowed
 *
 * Before the first fleet snapshot, segments are dropped; the client retransmits
 * them.
 */
void
plug_track_entry_segment(struct plug_track_entry *entry, plug_time now,
    const struct plug_segment *segment)
{
	struct plug_entry_flow *flow;

	entry->counters[PLUG_ENTRY_SEGMENTS]++;
	if ((segment->flags & PLUG_SEGMENT_BOUNCED) != 0) {
		entry->counters[PLUG_ENTRY_BAD]++;
		return;
	}
	if (entry->balance.fleet == NULL)
		return;
	flow = plug_conntable_find(&entry->flows, &segment->tuple);
	if (flow != NULL)
		plug_conntable_touch(&entry->flows, &flow->conn, now);
	if (plug_segment_opens_flow(segment)) {
		handle_syn(entry, now, flow, segment);
		return;
	}
	if ((segment->flags & PLUG_SEGMENT_RST) == 0 &&
	    reset_if_unrouted(entry, now, flow, segment))
		return;
	/* Its host was lost while the flow was opening, or no host could take
	 * its SYN. */
	if (flow != NULL && flow->state == PLUG_ENTRY_OPENING &&
	    flow->agent == 0) {
		remove_flow(entry, flow);
		flow = NULL;
	}
	if (flow != NULL) {
		handle_known_flow(entry, flow, segment);
		return;
	}
	if ((segment->flags & PLUG_SEGMENT_RST) != 0)
		return;
	flow = add_flow(entry, now, segment);
	if (flow == NULL)
		return;
	if (start_lookup(entry, now, flow, segment))
		step_lookup(entry, now, flow);
}

static void
exclude_host(struct plug_entry_flow *flow, uint64_t host)
{
	struct plug_excluded_hosts *excluded = &flow->excluded;

	if (excluded->count < PLUG_EXCLUDED_HOSTS_MAX)
		excluded->ids[excluded->count++] = host;
}

/* Whether the host would probably refuse the next flow for the same reason. A
 * busy host may have room for a more urgent flow, or a moment later. */
static bool
applies_to_host(Plug__RefusalReason reason)
{
	return reason == PLUG__REFUSAL_REASON__OTHER_HOST ||
	       reason == PLUG__REFUSAL_REASON__DRAINING ||
	       reason == PLUG__REFUSAL_REASON__BOUNCED;
}

/* Handles the refusal of a SYN by a host: offers the SYN to another host. */
static void
handle_refused(struct plug_track_entry *entry, plug_time now, uint32_t from,
    const Plug__Refused *refused)
{
	const struct plug_route *route;
	struct plug_entry_flow *flow;
	struct plug_segment segment;

	if (refused->load != NULL)
		plug_balance_record_report(&entry->balance, now, refused->load);
	if (applies_to_host(refused->reason))
		plug_balance_avoid(
		    &entry->balance, refused->host, now + REFUSED_AVOID_TIME);
	if (entry->balance.fleet == NULL ||
	    !plug_track_decode_segment(
		entry->driver, &refused->segment, &segment))
		return;
	flow = plug_conntable_find(&entry->flows, &segment.tuple);
	if (flow == NULL || flow->state != PLUG_ENTRY_OPENING ||
	    flow->agent != from)
		return;
	log_flow(entry, PLUG_LOG_INFO, "flow_refused", flow,
	    plug_refusal_name(refused->reason));
	exclude_host(flow, refused->host);
	flow->immediate_only =
	    plug_built_with(PLUG_MECHANISM_ROOM) &&
	    (flow->immediate_only || !applies_to_host(refused->reason));
	route = find_route(entry, &segment.tuple);
	if (route == NULL) {
		reset_flow(entry, now, flow, 0, "no_route");
		return;
	}
	entry->counters[PLUG_ENTRY_REPLACED]++;
	if (refused->reason == PLUG__REFUSAL_REASON__OTHER_HOST)
		flow->fleet_outdated = true;
	place_flow(entry, now, flow, &segment, route, "refused");
}

static void
handle_answer(struct plug_track_entry *entry, plug_time now, uint32_t from,
    const Plug__Answer *answer)
{
	struct plug_entry_flow *flow;
	struct plug_segment segment;
	struct plug_tuple tuple;

	if (!plug_tuple_read(answer->tuple, &tuple))
		return;
	flow = plug_conntable_find(&entry->flows, &tuple);
	if (flow == NULL)
		return;
	if (flow->state == PLUG_ENTRY_LOCATING) {
		plug_lookup_record_answer(
		    flow->lookup, from, answer->holding, answer->probed);
		step_lookup(entry, now, flow);
		return;
	}
	if (answer->holding != PLUG__HOLDING__NO || flow->agent != from ||
	    flow->state == PLUG_ENTRY_ENDED ||
	    !plug_track_decode_segment(
		entry->driver, &answer->segment, &segment) ||
	    plug_segment_opens_flow(&segment))
		return;
	/* The flow's host has returned this segment, so it has no such flow. */
	if (!start_lookup(entry, now, flow, &segment))
		return;
	plug_lookup_record_answer(
	    flow->lookup, from, PLUG__HOLDING__NO, answer->probed);
	step_lookup(entry, now, flow);
}

static void
handle_located(struct plug_track_entry *entry, plug_time now, uint32_t from,
    const Plug__Located *located)
{
	for (size_t i = 0; i < located->n_answers; i++)
		handle_answer(entry, now, from, located->answers[i]);
}

/* Handles the loss of a flow at its host. The agent has already sent a RST
 * to the client if the flow was open there. */
static void
handle_lost(struct plug_track_entry *entry, plug_time now, uint32_t from,
    const Plug__Lost *lost)
{
	struct plug_entry_flow *flow;
	struct plug_tuple tuple;

	if (!plug_tuple_read(lost->tuple, &tuple))
		return;
	flow = plug_conntable_find(&entry->flows, &tuple);
	if (flow == NULL || flow->agent != from)
		return;
	if (flow->state == PLUG_ENTRY_OPENING) {
		/* The next copy of the SYN goes to another host. */
		exclude_host(flow, flow->host_id);
		flow->agent = 0;
	} else if (flow->state == PLUG_ENTRY_OPEN) {
		flow->state = PLUG_ENTRY_ENDED;
		plug_conntable_touch(&entry->flows, &flow->conn, now);
		log_flow(entry, PLUG_LOG_INFO, "flow_ended", flow, "host_gone");
	}
}

/**
 * plug_track_entry_notice() - process a notice of an agent
 * @entry: entry
 * @now: current time
 * @from: address of the agent's machine
 * @notice: notice; one of a type that entries don't expect is only counted
 */
void
plug_track_entry_notice(struct plug_track_entry *entry, plug_time now,
    uint32_t from, const Plug__TrackNotice *notice)
{
	switch (notice->body_case) {
	case PLUG__TRACK_NOTICE__BODY_REFUSED:
		handle_refused(entry, now, from, notice->refused);
		return;
	case PLUG__TRACK_NOTICE__BODY_LOCATED:
		handle_located(entry, now, from, notice->located);
		return;
	case PLUG__TRACK_NOTICE__BODY_LOST:
		handle_lost(entry, now, from, notice->lost);
		return;
	case PLUG__TRACK_NOTICE__BODY_LOAD:
		plug_balance_record_report(&entry->balance, now, notice->load);
		return;
	default:
		entry->counters[PLUG_ENTRY_BAD]++;
		return;
	}
}

static void
step_lookups(struct plug_track_entry *entry, plug_time now)
{
	struct plug_lookup *lookup = entry->lookups;

	while (lookup != NULL) {
		struct plug_lookup *next = lookup->next;

		step_lookup(entry, now, lookup->flow);
		lookup = next;
	}
}

/**
 * plug_track_entry_adopt() - switch to a new fleet snapshot
 * @entry: entry
 * @now: current time
 * @fleet: snapshot; takes over the caller's reference, also on failure
 *
 * When memory runs out, the old snapshot stays.
 */
void
plug_track_entry_adopt(
    struct plug_track_entry *entry, plug_time now, struct plug_fleet *fleet)
{
	if (!plug_balance_adopt(&entry->balance, now, fleet))
		return;
	for (struct plug_lookup *lookup = entry->lookups; lookup != NULL;
	     lookup = lookup->next)
		lookup->hosts_outdated = true;
	step_lookups(entry, now);
}

/* Asks the agents of hosts that get no new flows for their load: without new
 * flows, an agent has no reason to report that its host can take some again. */
static void
send_inquiries(struct plug_track_entry *entry, plug_time now)
{
	const struct plug_fleet *fleet = entry->balance.fleet;
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Inquire inquiry = PLUG__INQUIRE__INIT;

	notice.body_case = PLUG__TRACK_NOTICE__BODY_INQUIRE;
	notice.inquire = &inquiry;
	for (unsigned int i = 0; plug_built_with(PLUG_MECHANISM_INQUIRY) &&
				 fleet != NULL && i < fleet->host_count;
	     i++) {
		if (plug_host_load_needs_query(
			&entry->balance.host_loads[i], now))
			plug_track_notify(
			    entry->driver, fleet->hosts[i].address, &notice);
	}
}

static plug_time
flow_lifetime(
    const struct plug_track_entry *entry, const struct plug_entry_flow *flow)
{
	const struct plug_fleet *fleet = entry->balance.fleet;

	if (flow->state == PLUG_ENTRY_ENDED)
		return ENDED_TIME;
	if (flow->state == PLUG_ENTRY_OPENING)
		return OPENING_TIME;
	if (flow->closing)
		return CLOSING_TIME;
	return fleet == NULL ? IDLE_DEFAULT
			     : fleet->config->idle_timeout + IDLE_SLACK;
}

static void
remove_expired_flows(struct plug_track_entry *entry, plug_time now)
{
	struct plug_conn *conn = entry->flows.oldest;

	while (conn != NULL && now - conn->touched_at > ENDED_TIME) {
		struct plug_entry_flow *flow = (struct plug_entry_flow *)conn;

		conn = conn->newer;
		if (flow->lookup == NULL &&
		    now - flow->conn.touched_at > flow_lifetime(entry, flow))
			remove_flow(entry, flow);
	}
}

/**
 * plug_track_entry_tick() - advance lookups and remove expired flows
 * @entry: entry
 * @now: current time
 *
 * Must also be called after each batch of segments and notices: it sends the
 * questions that they have led to.
 *
 * Return: the latest time for the next call.
 */
plug_time
plug_track_entry_tick(struct plug_track_entry *entry, plug_time now)
{
	if (now >= entry->next_lookup_step) {
		entry->next_lookup_step = now + LOOKUP_TICK;
		step_lookups(entry, now);
	}
	plug_questions_send(&entry->questions, entry->driver);
	if (now >= entry->next_sweep) {
		entry->next_sweep = now + SWEEP_TICK;
		send_inquiries(entry, now);
		remove_expired_flows(entry, now);
	}
	return entry->lookups != NULL ? entry->next_lookup_step
				      : entry->next_sweep;
}

/**
 * plug_track_entry_counter_name() - name of a counter in metrics
 * @counter: counter; less than PLUG_ENTRY_COUNTERS
 */
const char *
plug_track_entry_counter_name(enum plug_entry_counter counter)
{
	static const char *const names[PLUG_ENTRY_COUNTERS] = {
		[PLUG_ENTRY_SEGMENTS] = "segments",
		[PLUG_ENTRY_BAD] = "bad",
		[PLUG_ENTRY_OPENED] = "opened",
		[PLUG_ENTRY_REPLACED] = "replaced",
		[PLUG_ENTRY_NO_ROUTE] = "no_route",
		[PLUG_ENTRY_NO_HOST] = "no_host",
		[PLUG_ENTRY_LOOKUPS] = "lookups",
		[PLUG_ENTRY_FOUND] = "lookups_found",
		[PLUG_ENTRY_ABSENT] = "lookups_absent",
		[PLUG_ENTRY_UNDECIDED] = "lookups_undecided",
	};

	return names[counter];
}
