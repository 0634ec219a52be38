#include <stdlib.h>

#include "lookup.h"
#include "mechanism.h"

#define FLOWS_MAX 200000 /* flows of one entry; 40 MB at 200 bytes each */

/* A flow that a host has refused is offered to others; the refusing host gets
 * no other new flow for this long. Its agent's next report lifts nothing, as
 * the refusal may have another cause than its load. */
#define REFUSED_AVOID (100 * PLUG_MSEC)

/* Copies of a SYN come 200 and 600 ms after the first one, and the client
 * gives up after 1.4 s. */
#define OPENING_TIME (2 * PLUG_SEC)
#define LAST_COPY    (550 * PLUG_MSEC)

/* Late segments of a flow that has ended are answered by a reset this long. */
#define ENDED_TIME PLUG_SEC

/* After a FIN, the rest of a flow needs no more than a few retransmissions. */
#define CLOSING_TIME (5 * PLUG_SEC)

/* Flows are forgotten when they have been idle for longer than their hosts keep
 * them; without a configuration, after this time. */
#define IDLE_DEFAULT (20 * PLUG_SEC)
#define IDLE_SLACK   (5 * PLUG_SEC)

/* A new flow may wait for a host for this part of its route's time-out. After
 * that there would be little time left for an answer, and none to ask again. */
#define WAIT_PART 0.5

#define LOOKUP_TICK (10 * PLUG_MSEC)  /* while a lookup is in progress */
#define IDLE_TICK   (500 * PLUG_MSEC) /* else */

/**
 * plug_track_entry_init() - prepare an entry without hosts
 * @entry: entry to fill
 * @driver: handlers; kept by the caller
 * @domain: hash of the own domain's name
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
forget(struct plug_track_entry *entry, struct plug_entry_flow *flow)
{
	end_lookup(entry, flow);
	plug_conntable_remove(&entry->flows, &flow->conn);
}

/**
 * plug_track_entry_finish() - free all flows
 * @entry: entry
 */
void
plug_track_entry_finish(struct plug_track_entry *entry)
{
	while (entry->flows.oldest != NULL)
		forget(entry, (struct plug_entry_flow *)entry->flows.oldest);
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

/* What the choice was made from: the last report and its age. */
static void
log_placement(const struct plug_track_entry *entry, plug_time now,
    const struct plug_entry_flow *flow, const char *reason)
{
	const struct plug_fleet *fleet = entry->balance.fleet;
	const struct plug_fleet_host *host =
	    plug_fleet_find_host(fleet, flow->host_id);
	const struct plug_host_load *target =
	    plug_balance_host_load(&entry->balance, flow->host_id);
	char text[PLUG_TUPLE_TEXT];

	if (host == NULL || target == NULL)
		return;
	(void)plug_tuple_format(&flow->conn.tuple, text, sizeof(text));
	plug_client_log(&entry->driver->client, PLUG_LOG_INFO,
	    "event=flow_placed flow=%s host=%s reason=%s flows=%u running=%u "
	    "waiting=%u sent=%u age_ms=%lld remote=%d version=%llu "
	    "revision=%llu",
	    text, host->name, reason, target->flows, target->running,
	    target->waiting, target->flows_sent,
	    target->reported_at == 0
		? -1LL
		: (long long)((now - target->reported_at) / PLUG_MSEC),
	    host->domain != entry->domain,
	    (unsigned long long)fleet->config->version,
	    (unsigned long long)fleet->revision);
}

static void
end_flow(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, uint32_t seq, const char *reason)
{
	end_lookup(entry, flow);
	flow->state = PLUG_ENTRY_ENDED;
	plug_conntable_touch(&entry->flows, &flow->conn, now);
	log_flow(entry, PLUG_LOG_INFO, "flow_reset", flow, reason);
	plug_track_reset_flow(entry->driver, &flow->conn.tuple, seq);
}

static struct plug_entry_flow *
add_flow(struct plug_track_entry *entry, plug_time now,
    const struct plug_segment *segment)
{
	struct plug_entry_flow *flow;

	if (plug_conntable_is_full(&entry->flows))
		forget(entry, (struct plug_entry_flow *)entry->flows.oldest);
	flow = plug_conntable_add(&entry->flows, &segment->tuple, now);
	if (flow != NULL)
		flow->started = plug_built_with(PLUG_MECHANISM_AGE)
				    ? now - segment->syn_age
				    : now;
	return flow;
}

static uint32_t
cold_ms(const struct plug_fleet_host *host, plug_time now)
{
	return host->cold_until > now
		   ? (uint32_t)((host->cold_until - now) / PLUG_MSEC)
		   : 0;
}

/* For which a new flow may still wait. */
static plug_time
time_left(const struct plug_entry_flow *flow, const struct plug_route *route,
    plug_time now)
{
	return flow->started + (plug_time)(WAIT_PART * route->request_timeout) -
	       now;
}

static void
send_open(struct plug_track_entry *entry, plug_time now,
    const struct plug_entry_flow *flow, const struct plug_fleet_host *host,
    const struct plug_route *route, const struct plug_segment *segment)
{
	plug_time left = time_left(flow, route, now);
	const struct plug_service_config *backing = plug_config_find_service(
	    entry->balance.fleet->config, host->service);
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Open open = PLUG__OPEN__INIT;

	open.host = host->id;
	open.cold_ms = cold_ms(host, now);
	if (backing != NULL)
		open.cold_milli_per_s =
		    (uint32_t)(backing->cold_per_s * 1000.0);
	open.slots = host->slots;
	open.wait_ms = left > 0 ? (uint32_t)(left / PLUG_MSEC) : 0;
	open.priority = route->priority;
	open.aim_ms = (uint32_t)(route->target_latency / PLUG_MSEC);
	open.aged_ms = (uint32_t)((now - flow->started) / PLUG_MSEC);
	open.segment = plug_track_segment_field(segment->bytes);
	notice.body_case = PLUG__TRACK_NOTICE__BODY_OPEN;
	notice.open = &open;
	plug_balance_count_flow(&entry->balance, now, host);
	plug_track_notify(entry->driver, host->address, &notice);
}

/* No host can take the SYN now. When that may change before the client gives
 * up, its next copy is tried; else it is told at once. */
static void
give_up(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const char *reason)
{
	static const struct plug_track_action refresh = {
		.kind = PLUG_TRACK_REFRESH_HOSTS,
	};

	entry->counters[PLUG_ENTRY_NO_HOST]++;
	if (!flow->fleet_outdated || now - flow->started >= LAST_COPY) {
		end_flow(entry, now, flow, 0, reason);
		return;
	}
	log_flow(entry, PLUG_LOG_INFO, "flow_postponed", flow, reason);
	flow->state = PLUG_ENTRY_OPENING;
	flow->agent = 0;
	flow->fleet_outdated = false;
	flow->excluded.count = 0;
	plug_track_emit(entry->driver, &refresh);
}

/* Sends a SYN to the best host. */
static void
place(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment,
    const struct plug_route *route, const char *reason)
{
	const struct plug_fleet_host *host =
	    plug_balance_choose(&entry->balance, now,
		plug_route_choose_service(route, &segment->tuple),
		entry->domain, &flow->excluded);
	plug_time wait;

	if (host == NULL) {
		give_up(entry, now, flow, "no_host");
		return;
	}
	wait = plug_balance_expected_wait(&entry->balance, now, host);
	if (plug_built_with(PLUG_MECHANISM_REFUSAL) && wait > 0 &&
	    (flow->immediate_only || wait > time_left(flow, route, now))) {
		give_up(entry, now, flow, "overloaded");
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
route_of(const struct plug_track_entry *entry, const struct plug_tuple *tuple)
{
	const struct plug_endpoint target = { tuple->service,
		tuple->service_port };

	return plug_config_find_route(entry->balance.fleet->config, target);
}

/* A copy of a SYN goes to the same host, unless that doesn't answer. */
static void
open_again(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment,
    const struct plug_route *route)
{
	const struct plug_fleet_host *host =
	    plug_fleet_find_host(entry->balance.fleet, flow->host_id);
	const struct plug_host_load *target =
	    plug_balance_host_load(&entry->balance, flow->host_id);

	if (host == NULL || target == NULL || host->draining ||
	    plug_fleet_domain_is_out(entry->balance.fleet, host->domain) ||
	    plug_host_load_is_overdue(target, now)) {
		entry->counters[PLUG_ENTRY_REPLACED]++;
		flow->fleet_outdated = true;
		place(entry, now, flow, segment, route, "host_silent");
		return;
	}
	send_open(entry, now, flow, host, route, segment);
}

/* Whether the client has closed the flow and uses its port for a new one. A
 * copy of the old SYN may still come late. */
static bool
is_reused(
    const struct plug_entry_flow *flow, const struct plug_segment *segment)
{
	return flow->closing && segment->seq != flow->syn_seq;
}

static void
handle_opening(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment)
{
	const struct plug_route *route = route_of(entry, &segment->tuple);

	if (flow != NULL && flow->state == PLUG_ENTRY_OPEN &&
	    !is_reused(flow, segment)) {
		plug_track_send_segment(
		    entry->driver, PLUG_TRACK_TO_AGENT, flow->agent, segment);
		return;
	}
	if (flow != NULL && flow->state != PLUG_ENTRY_OPENING) {
		forget(entry, flow);
		flow = NULL;
	}
	if (flow == NULL)
		flow = add_flow(entry, now, segment);
	if (flow == NULL)
		return;
	flow->syn_seq = segment->seq;
	if (route == NULL) {
		entry->counters[PLUG_ENTRY_NO_ROUTE]++;
		end_flow(entry, now, flow, 0, "no_route");
		return;
	}
	if (flow->agent == 0)
		place(entry, now, flow, segment, route, "new");
	else
		open_again(entry, now, flow, segment, route);
}

/* The host has got the first segment already if it was asked by it. */
static void
send_saved(struct plug_track_entry *entry, const struct plug_entry_flow *flow)
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

/* Names the agent that was waited for. */
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
		send_saved(entry, flow);
		end_lookup(entry, flow);
		return;
	case PLUG_LOOKUP_ABSENT:
		entry->counters[PLUG_ENTRY_ABSENT]++;
		end_flow(entry, now, flow, flow->lookup->ack, "no_host_has_it");
		return;
	case PLUG_LOOKUP_UNDECIDED:
		entry->counters[PLUG_ENTRY_UNDECIDED]++;
		log_undecided(entry, flow);
		forget(entry, flow);
		return;
	}
}

/* Return: false when memory ran out; the flow is forgotten then. */
static bool
start_lookup(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment)
{
	flow->lookup = plug_lookup_create(flow, now);
	if (flow->lookup == NULL) {
		forget(entry, flow);
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
handle_known(struct plug_track_entry *entry, struct plug_entry_flow *flow,
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

/* Segments of a dropped route end their flow. */
static bool
is_dropped(struct plug_track_entry *entry, plug_time now,
    struct plug_entry_flow *flow, const struct plug_segment *segment)
{
	if (route_of(entry, &segment->tuple) != NULL)
		return false;
	if (flow == NULL)
		flow = add_flow(entry, now, segment);
	if (flow != NULL && flow->state != PLUG_ENTRY_ENDED) {
		entry->counters[PLUG_ENTRY_NO_ROUTE]++;
		end_flow(entry, now, flow, segment->ack, "no_route");
		return true;
	}
	plug_track_reset_flow(entry->driver, &segment->tuple, segment->ack);
	return true;
}

/**
 * plug_track_entry_segment() - a segment of a client has arrived
 * @entry: entry
 * @now: time
 * @segment: segment
 *
 * Without a configuration it is dropped: the client sends it again.
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
		handle_opening(entry, now, flow, segment);
		return;
	}
	if ((segment->flags & PLUG_SEGMENT_RST) == 0 &&
	    is_dropped(entry, now, flow, segment))
		return;
	/* Its host has gone while it was being opened. */
	if (flow != NULL && flow->state == PLUG_ENTRY_OPENING &&
	    flow->agent == 0) {
		forget(entry, flow);
		flow = NULL;
	}
	if (flow != NULL) {
		handle_known(entry, flow, segment);
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
exclude(struct plug_entry_flow *flow, uint64_t host)
{
	struct plug_excluded_hosts *excluded = &flow->excluded;

	if (excluded->count < PLUG_EXCLUDED_HOSTS_MAX)
		excluded->ids[excluded->count++] = host;
}

/* Whether a refusal is likely to meet the next flow, too. A busy host may have
 * room for a more urgent one, or a moment later. */
static bool
is_about_host(Plug__RefusalReason reason)
{
	return reason == PLUG__REFUSAL_REASON__OTHER_HOST ||
	       reason == PLUG__REFUSAL_REASON__DRAINING ||
	       reason == PLUG__REFUSAL_REASON__BOUNCED;
}

/* The host didn't take the SYN: another one may. */
static void
handle_refused(struct plug_track_entry *entry, plug_time now, uint32_t from,
    const Plug__Refused *refused)
{
	const struct plug_route *route;
	struct plug_entry_flow *flow;
	struct plug_segment segment;

	if (refused->load != NULL)
		plug_balance_record_report(&entry->balance, now, refused->load);
	if (is_about_host(refused->reason))
		plug_balance_avoid(
		    &entry->balance, refused->host, now + REFUSED_AVOID);
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
	exclude(flow, refused->host);
	flow->immediate_only =
	    plug_built_with(PLUG_MECHANISM_ROOM) &&
	    (flow->immediate_only || !is_about_host(refused->reason));
	route = route_of(entry, &segment.tuple);
	if (route == NULL) {
		end_flow(entry, now, flow, 0, "no_route");
		return;
	}
	entry->counters[PLUG_ENTRY_REPLACED]++;
	if (refused->reason == PLUG__REFUSAL_REASON__OTHER_HOST)
		flow->fleet_outdated = true;
	place(entry, now, flow, &segment, route, "refused");
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
		plug_lookup_record_answer(flow->lookup, from, answer->holding);
		step_lookup(entry, now, flow);
		return;
	}
	if (answer->holding != PLUG__HOLDING__NO || flow->agent != from ||
	    flow->state == PLUG_ENTRY_ENDED ||
	    !plug_track_decode_segment(
		entry->driver, &answer->segment, &segment) ||
	    plug_segment_opens_flow(&segment))
		return;
	/* This host has returned a segment of the flow. */
	if (!start_lookup(entry, now, flow, &segment))
		return;
	plug_lookup_record_answer(flow->lookup, from, PLUG__HOLDING__NO);
	step_lookup(entry, now, flow);
}

static void
handle_located(struct plug_track_entry *entry, plug_time now, uint32_t from,
    const Plug__Located *located)
{
	for (size_t i = 0; i < located->n_answers; i++)
		handle_answer(entry, now, from, located->answers[i]);
}

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
		/* A copy of the SYN finds another host. */
		exclude(flow, flow->host_id);
		flow->agent = 0;
	} else if (flow->state == PLUG_ENTRY_OPEN) {
		flow->state = PLUG_ENTRY_ENDED;
		plug_conntable_touch(&entry->flows, &flow->conn, now);
		log_flow(entry, PLUG_LOG_INFO, "flow_ended", flow, "host_gone");
	}
}

/**
 * plug_track_entry_notice() - an agent has sent a notice
 * @entry: entry
 * @now: time
 * @from: address of the agent's machine
 * @notice: notice; one that entries don't expect is ignored
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
 * plug_track_entry_adopt() - act on a new snapshot
 * @entry: entry
 * @now: time
 * @fleet: snapshot; the caller's reference is taken over
 */
void
plug_track_entry_adopt(
    struct plug_track_entry *entry, plug_time now, struct plug_fleet *fleet)
{
	if (!plug_balance_adopt(&entry->balance, fleet))
		return;
	for (struct plug_lookup *lookup = entry->lookups; lookup != NULL;
	     lookup = lookup->next)
		lookup->hosts_outdated = true;
	step_lookups(entry, now);
}

/* An agent whose host gets no new flow has no reason to report that this may
 * change: it is asked. */
static void
inquire(struct plug_track_entry *entry, plug_time now)
{
	const struct plug_fleet *fleet = entry->balance.fleet;
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Inquire question = PLUG__INQUIRE__INIT;

	notice.body_case = PLUG__TRACK_NOTICE__BODY_INQUIRE;
	notice.inquire = &question;
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
lifetime(
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
sweep(struct plug_track_entry *entry, plug_time now)
{
	struct plug_conn *conn = entry->flows.oldest;

	while (conn != NULL && now - conn->touched_at > ENDED_TIME) {
		struct plug_entry_flow *flow = (struct plug_entry_flow *)conn;

		conn = conn->newer;
		if (flow->lookup == NULL &&
		    now - flow->conn.touched_at > lifetime(entry, flow))
			forget(entry, flow);
	}
}

/**
 * plug_track_entry_tick() - go on with lookups and forget old flows
 * @entry: entry
 * @now: time
 *
 * To be called after each round of segments and notices, too: it sends the
 * questions that these have raised.
 *
 * Return: time of the next call, at the latest.
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
		entry->next_sweep = now + IDLE_TICK;
		inquire(entry, now);
		sweep(entry, now);
	}
	return entry->lookups != NULL ? entry->next_lookup_step
				      : entry->next_sweep;
}

/**
 * plug_track_entry_counter_name() - name of a counter in metrics
 * @counter: counter
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
