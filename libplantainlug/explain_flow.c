#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "explain_internal.h"

/* How far before a refusal its reason is looked for. The ramp of a cold
 * upstream usually takes less than a minute. */
#define COLD_LOOKBACK (60 * PLUG_SEC)

/* A silent connection is noticed only after a while, in which requests that
 * wait may already miss their deadline. */
#define SILENCE_LOOKAHEAD (4 * PLUG_SEC)

/* A request's deadline is at most this long after a pause that delayed it, for
 * the operations that callers wait on. */
#define PAUSE_LOOKBACK (10 * PLUG_SEC)

#define FLOW_DIGITS 16 /* of a flow id in logs */

/* Events of processes that may explain what happened to a flow. */
static const char *const context[] = { "listening", "stopping", "stopped",
	"leaving", "domain_out", "domain_in", "restart_detected",
	"upstream_closed", "upstream_lost", "unconfirmed", "refused" };

static bool
of_flow(const struct plug_explain *explain, const struct plug_logline *line)
{
	char wanted[FLOW_DIGITS + 1];

	(void)snprintf(wanted, sizeof(wanted), "%016llx",
	    (unsigned long long)explain->query.flow);
	return plug_logline_has(line, "flow", wanted);
}

/**
 * plug_explain_flow_feed() - take a line for the report on a flow
 * @explain: explanation
 * @line: line
 */
bool
plug_explain_flow_feed(
    struct plug_explain *explain, const struct plug_logline *line)
{
	if (of_flow(explain, line))
		return true;
	for (size_t i = 0; i < sizeof(context) / sizeof(context[0]); i++) {
		if (plug_str_equal(line->event, plug_str_from(context[i])))
			return true;
	}
	return false;
}

/**
 * struct life - where a flow was
 * @explain: records
 * @owner: name of the process that owns the flow at the record looked at
 * @address: its address, empty when no log names it
 * @service: its service, empty when no log names it
 * @since: time since when it owns the flow
 * @first: first record of the flow, or NULL
 * @last: last record of the flow, or NULL
 */
struct life {
	const struct plug_explain *explain;
	struct plug_str owner;
	struct plug_str address;
	struct plug_str service;
	plug_time since;
	const struct plug_explain_record *first;
	const struct plug_explain_record *last;
};

/* What broke a flow or a request, and the record that shows why. */
struct cause {
	const char *name;
	const char *effect;
	const struct plug_explain_record *symptom;
	const struct plug_explain_record *evidence;
	struct plug_str node;
};

static bool
has(const struct plug_explain_record *record, const char *key,
    const char *value)
{
	return plug_logline_has(&record->line, key, value);
}

static struct plug_str
get(const struct plug_explain_record *record, const char *key)
{
	return plug_logline_get(&record->line, key);
}

/* Last record of an event from a time to another; any process if name is
 * empty. */
static const struct plug_explain_record *
last_of(const struct life *life, struct plug_str name, const char *event,
    plug_time from, plug_time to)
{
	const struct plug_explain_record *found = NULL;

	for (size_t i = 0; i < life->explain->count; i++) {
		const struct plug_explain_record *record =
		    &life->explain->records[i];

		if (record->line.time > to)
			break;
		if (record->line.time >= from &&
		    plug_explain_is(record, event) &&
		    (name.len == 0 || plug_str_equal(record->line.name, name)))
			found = record;
	}
	return found;
}

static void
set_owner(struct life *life, const struct plug_explain_record *record)
{
	const struct plug_explain_record *start =
	    last_of(life, record->line.name, "listening", 0, record->line.time);

	life->owner = record->line.name;
	life->since = record->line.time;
	life->address = start != NULL ? get(start, "address") : PLUG_STR("");
	life->service = start != NULL ? get(start, "service") : PLUG_STR("");
}

static bool
is_taken(const struct plug_explain_record *record)
{
	return (plug_explain_is(record, "placement") &&
		   has(record, "verdict", "keep")) ||
	       (plug_explain_is(record, "move") &&
		   has(record, "verdict", "taken"));
}

/* Another service has taken the address of the owner. Its agent answers "flow
 * lost" without a record of the flow, and logs only some of these answers. */
static bool
is_reuse(const struct life *life, const struct plug_explain_record *record)
{
	return plug_explain_is(record, "listening") && life->address.len > 0 &&
	       life->service.len > 0 && record->line.time > life->since &&
	       plug_str_equal(get(record, "address"), life->address) &&
	       !plug_str_equal(get(record, "service"), life->service);
}

/* The flow ended for its caller. */
static bool
is_break(const struct life *life, const struct plug_explain_record *record)
{
	if (is_reuse(life, record))
		return true;
	if (plug_explain_is(record, "domain_out") ||
	    (plug_explain_is(record, "stopped") &&
		has(record, "reason", "no_sibling")))
		return life->owner.len > 0 &&
		       plug_str_equal(record->line.name, life->owner);
	if (!of_flow(life->explain, &record->line))
		return false;
	return plug_explain_is(record, "flow_lost") ||
	       plug_explain_is(record, "foreign") ||
	       (plug_explain_is(record, "move") &&
		   has(record, "verdict", "lost")) ||
	       (plug_explain_is(record, "route") &&
		   has(record, "verdict", "reply"));
}

/* A request of the flow failed. A refusal during a move is no fault: the caller
 * comes back to the new owner at once. */
static bool
is_failure(const struct life *life, const struct plug_explain_record *record)
{
	if (!of_flow(life->explain, &record->line))
		return false;
	return plug_explain_is(record, "unknown") ||
	       (plug_explain_is(record, "refuse") &&
		   !has(record, "reason", "moving") &&
		   !has(record, "reason", "leaving"));
}

/* Another service at the address of the owner. */
static const struct plug_explain_record *
reuse_of(const struct life *life, plug_time to)
{
	for (size_t i = 0; i < life->explain->count; i++) {
		const struct plug_explain_record *record =
		    &life->explain->records[i];

		if (record->line.time > to)
			break;
		if (is_reuse(life, record))
			return record;
	}
	return NULL;
}

static void
blame(struct cause *cause, const char *name,
    const struct plug_explain_record *evidence)
{
	cause->name = name;
	cause->evidence = evidence;
	cause->node = evidence->line.name;
}

/* Why the owner of a flow has no record of it any more. */
static void
explain_owner(const struct life *life, struct cause *cause)
{
	plug_time end = cause->symptom->line.time;
	const struct plug_explain_record *record;

	if (life->owner.len == 0) {
		blame(cause, "owner_unknown", cause->symptom);
		return;
	}
	record = last_of(life, life->owner, "domain_out", life->since, end);
	if (record != NULL) {
		blame(cause, "domain_out", record);
		return;
	}
	record = last_of(life, life->owner, "stopped", life->since, end);
	if (record != NULL && has(record, "reason", "no_sibling")) {
		blame(cause, "stopped_with_flows", record);
		return;
	}
	record = reuse_of(life, end);
	if (record != NULL) {
		blame(cause, "address_reused", record);
		return;
	}
	record = last_of(life, life->owner, "listening", life->since + 1, end);
	if (record != NULL) {
		blame(cause, "agent_restarted", record);
		return;
	}
	blame(cause, "agent_killed", cause->symptom);
	cause->node = life->owner;
}

/* A flow that was committed to a target which has gone. */
static void
explain_lost_move(const struct life *life, struct cause *cause)
{
	struct plug_str peer = get(cause->symptom, "peer");
	struct life target = *life;

	target.owner = peer;
	target.address = peer;
	for (size_t i = 0; i < life->explain->count; i++) {
		const struct plug_explain_record *record =
		    &life->explain->records[i];

		if (record->line.time > cause->symptom->line.time)
			break;
		if (plug_explain_is(record, "listening") &&
		    plug_str_equal(get(record, "address"), peer))
			target.owner = record->line.name;
	}
	explain_owner(&target, cause);
}

static void
explain_break(const struct life *life, struct cause *cause)
{
	const struct plug_explain_record *symptom = cause->symptom;

	cause->effect = "flow_lost";
	if (plug_explain_is(symptom, "domain_out") ||
	    has(symptom, "reason", "domain_out"))
		blame(cause, "domain_out", symptom);
	else if (plug_explain_is(symptom, "stopped"))
		blame(cause, "stopped_with_flows", symptom);
	else if (plug_explain_is(symptom, "foreign") ||
		 plug_explain_is(symptom, "listening"))
		blame(cause, "address_reused", symptom);
	else if (plug_explain_is(symptom, "move"))
		explain_lost_move(life, cause);
	else if (has(symptom, "reason", "connections"))
		blame(cause, "connections_full", symptom);
	else if (has(symptom, "reason", "bad_token"))
		blame(cause, "token_rejected", symptom);
	else if (has(symptom, "reason", "closed"))
		blame(cause, "closed_idle", symptom);
	else
		explain_owner(life, cause);
}

/* A connection that was found silent around a time: by the driver or by the
 * agent, whichever was first. */
static const struct plug_explain_record *
silence_of(const struct life *life, struct plug_str node, plug_time end)
{
	static const char *const events[] = { "upstream_closed",
		"upstream_lost" };

	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		const struct plug_explain_record *record = last_of(life, node,
		    events[i], end - COLD_LOOKBACK, end + SILENCE_LOOKAHEAD);

		if (record != NULL && has(record, "reason", "silent"))
			return record;
	}
	return NULL;
}

static bool
explain_upstream(const struct life *life, struct cause *cause)
{
	plug_time end = cause->symptom->line.time;
	plug_time from = end - COLD_LOOKBACK;
	struct plug_str node = cause->symptom->line.name;
	const struct plug_explain_record *silent = silence_of(life, node, end);
	const struct plug_explain_record *lost =
	    last_of(life, node, "upstream_lost", from, end);
	const struct plug_explain_record *cold =
	    last_of(life, node, "restart_detected", from, end);

	if (silent != NULL)
		blame(cause, "upstream_silent", silent);
	else if (lost != NULL && has(lost, "reason", "request_stuck"))
		blame(cause, "upstream_stuck", lost);
	else if (cold != NULL)
		blame(cause, "upstream_cold", cold);
	else if (lost != NULL)
		blame(cause, "upstream_lost", lost);
	else
		return false;
	return true;
}

static bool
explain_pause(const struct life *life, struct cause *cause)
{
	plug_time end = cause->symptom->line.time;
	const struct plug_explain_record *pause = last_of(
	    life, PLUG_STR(""), "unconfirmed", end - PAUSE_LOOKBACK, end);
	const struct plug_explain_record *start;

	if (pause == NULL)
		return false;
	start =
	    last_of(life, pause->line.name, "listening", 0, pause->line.time);
	if (plug_str_equal(pause->line.name, life->owner))
		blame(cause, "agent_paused", pause);
	else if (start == NULL || has(start, "role", "entry"))
		blame(cause, "entry_paused", pause);
	else
		return false;
	return true;
}

static const char *
refusal_name(const struct plug_explain_record *symptom)
{
	static const char *const names[][2] = { { "deadline",
						    "deadline_passed" },
		{ "queue_full", "queue_full" }, { "domain_out", "domain_out" },
		{ "no_operation", "no_operation" },
		{ "answers_full", "answers_full" }, { "memory", "memory" },
		{ "no_upstream", "upstream_lost" },
		{ "upstream_shed", "upstream_shed" },
		{ "cancelled", "cancelled" } };

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (has(symptom, "reason", names[i][0]))
			return names[i][1];
	}
	return "request_failed";
}

/* Watching entries refuse a document for the whole fleet, so the refusal is
 * looked for at any process. */
static const struct plug_explain_record *
refusal_of(const struct life *life, plug_time from, plug_time to)
{
	char key[PLUG_LOG_LINE_MAX];

	(void)snprintf(key, sizeof(key), "service/%.*s", (int)life->service.len,
	    life->service.data);
	for (size_t i = 0; i < life->explain->count; i++) {
		const struct plug_explain_record *record =
		    &life->explain->records[i];

		if (record->line.time >= from && record->line.time <= to &&
		    plug_explain_is(record, "refused") &&
		    has(record, "key", key))
			return record;
	}
	return NULL;
}

static void
explain_failure(const struct life *life, struct cause *cause)
{
	const struct plug_explain_record *symptom = cause->symptom;
	const struct plug_explain_record *refused =
	    refusal_of(life, 0, symptom->line.time);

	cause->effect = plug_explain_is(symptom, "unknown") ? "request_unknown"
							    : "request_refused";
	if (has(symptom, "reason", "no_operation") && refused != NULL) {
		blame(cause, "config_refused", refused);
		return;
	}
	if (has(symptom, "reason", "domain_out")) {
		blame(cause, "domain_out", symptom);
		return;
	}
	if (explain_upstream(life, cause))
		return;
	if (has(symptom, "reason", "deadline") && explain_pause(life, cause))
		return;
	blame(cause, refusal_name(symptom), symptom);
}

/* Nothing of the flow failed; what slowed it down or was refused while it lived
 * is still told. */
static bool
explain_delay(const struct life *life, struct cause *cause)
{
	plug_time from = life->first->line.time;
	plug_time to = life->last->line.time;
	const struct plug_explain_record *record;

	cause->effect = "delay";
	record = life->owner.len == 0
		     ? NULL
		     : last_of(life, life->owner, "restart_detected",
			   life->since, INT64_MAX);
	if (record != NULL) {
		cause->symptom = record;
		return explain_upstream(life, cause);
	}
	record = last_of(life, PLUG_STR(""), "unconfirmed", from, to);
	if (record != NULL) {
		cause->symptom = record;
		if (explain_pause(life, cause))
			return true;
	}
	cause->effect = "none";
	record = refusal_of(life, from, INT64_MAX);
	if (record == NULL)
		return false;
	cause->symptom = record;
	blame(cause, "config_refused", record);
	return true;
}

static void
report_cause(const struct life *life, const struct cause *cause,
    const struct plug_explain_output *output)
{
	struct plug_str reason, version;
	char when[PLUG_LOGLINE_TIME_SIZE];

	if (cause->symptom == NULL) {
		plug_explain_row(output,
		    "event=cause cause=none effect=none flow=%016llx",
		    (unsigned long long)life->explain->query.flow);
		return;
	}
	reason = get(cause->symptom, "reason");
	version = get(cause->evidence, "version");
	plug_logline_format_time(cause->evidence->line.time, when);
	plug_explain_row(output,
	    "event=cause cause=%s effect=%s flow=%016llx node=%.*s time=%s "
	    "symptom=%.*s symptom_node=%.*s symptom_reason=\"%.*s\" "
	    "version=%.*s",
	    cause->name, cause->effect,
	    (unsigned long long)life->explain->query.flow, (int)cause->node.len,
	    cause->node.data, when, (int)cause->symptom->line.event.len,
	    cause->symptom->line.event.data, (int)cause->symptom->line.name.len,
	    cause->symptom->line.name.data,
	    reason.len > 0 ? (int)reason.len : 1,
	    reason.len > 0 ? reason.data : "-",
	    version.len > 0 ? (int)version.len : 1,
	    version.len > 0 ? version.data : "-");
}

/* Events of the process that owns the flow belong to its life. */
static bool
is_told(const struct life *life, const struct plug_explain_record *record)
{
	if (of_flow(life->explain, &record->line))
		return true;
	return life->first != NULL && life->owner.len > 0 &&
	       plug_str_equal(record->line.name, life->owner);
}

/**
 * plug_explain_flow_report() - the life of a flow and why it broke
 * @explain: explanation
 * @output: receives the lines of the flow and of the processes that owned it
 *	in time order, then one line event=cause
 *
 * The first break of the flow is explained; without one, the first request that
 * failed.
 */
bool
plug_explain_flow_report(const struct plug_explain *explain,
    const struct plug_explain_output *output)
{
	struct life life = { .explain = explain };
	struct life at_break, at_failure;
	struct cause cause = { 0 };
	const struct plug_explain_record *broken = NULL, *failed = NULL;

	for (size_t i = 0; i < explain->count; i++) {
		const struct plug_explain_record *record = &explain->records[i];

		if (is_told(&life, record))
			output->row(output->data, plug_str_from(record->text));
		if (broken == NULL && is_break(&life, record)) {
			broken = record;
			at_break = life;
		}
		if (failed == NULL && is_failure(&life, record)) {
			failed = record;
			at_failure = life;
		}
		if (!of_flow(explain, &record->line))
			continue;
		if (life.first == NULL)
			life.first = record;
		life.last = record;
		if (is_taken(record))
			set_owner(&life, record);
	}
	if (life.first == NULL)
		return false;
	cause.symptom = broken != NULL ? broken : failed;
	if (broken != NULL)
		explain_break(&at_break, &cause);
	else if (failed != NULL)
		explain_failure(&at_failure, &cause);
	else if (!explain_delay(&life, &cause))
		cause.symptom = NULL;
	report_cause(&life, &cause, output);
	return true;
}
