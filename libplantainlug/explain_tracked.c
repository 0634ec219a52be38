#include <string.h>

#include "explain_internal.h"

/*
 * Follows a flow of the tracking mode, named by its four addresses and ports,
 * through the logs of entries and agents.
 */

static bool
is_event(const struct plug_logline *line, const char *const *events)
{
	for (; *events != NULL; events++) {
		if (plug_str_equal(line->event, plug_str_from(*events)))
			return true;
	}
	return false;
}

/**
 * plug_explain_tracked_feed() - take a line for the report on a flow
 * @explain: explanation
 * @line: line
 *
 * Return: whether it names the flow, or tells what has become of a host.
 */
bool
plug_explain_tracked_feed(
    struct plug_explain *explain, const struct plug_logline *line)
{
	static const char *const about_hosts[] = { "host_refusing", "host_dead",
		"host_up", NULL };

	return plug_logline_has(line, "flow", explain->query.tuple) ||
	       is_event(line, about_hosts);
}

static bool
names_flow(const struct plug_explain *explain,
    const struct plug_explain_record *record)
{
	return plug_logline_has(&record->line, "flow", explain->query.tuple);
}

/* What ended the flow, or delayed an answer, as a line of the log shows it;
 * NULL for other lines. */
static const char *
cause_of(const struct plug_explain_record *record)
{
	static const struct {
		const char *event;
		const char *key;
		const char *value;
		const char *cause;
	} causes[] = {
		{ "flow_reset", "reason", "no_host", "no_host_could_take_it" },
		{ "flow_reset", "reason", "no_route", "no_route" },
		{ "flow_reset", "reason", "host_dead", "host_crashed" },
		{ "flow_reset", "reason", "host_replaced", "host_crashed" },
		{ "flow_reset", "reason", "host_returned_it",
		    "host_has_restarted" },
		{ "flow_reset", "reason", "no_host_has_it",
		    "host_has_restarted" },
		{ "lookup_undecided", "reason", "agent_silent",
		    "agent_unreachable" },
		{ "lookup_undecided", "reason", "agent_unsure",
		    "host_unreachable" },
		{ "lookup_undecided", "reason", "host_list_out_of_date",
		    "store_unreachable" },
		{ "request_failed", "reason", "host_reset_it",
		    "host_failed_it" },
		{ "request_failed", "reason", "client_gave_up",
		    "host_did_not_answer" },
		{ "answer_slow", "cold", "1", "host_cold" },
		{ "answer_slow", "cold", "0", "host_overloaded" },
	};

	for (size_t i = 0; i < sizeof(causes) / sizeof(causes[0]); i++) {
		if (plug_explain_is(record, causes[i].event) &&
		    plug_logline_has(
			&record->line, causes[i].key, causes[i].value))
			return causes[i].cause;
	}
	return NULL;
}

static void
print_step(const struct plug_explain_output *output,
    const struct plug_explain_record *record)
{
	struct plug_str name = record->line.name, event = record->line.event;
	struct plug_str reason = plug_logline_get(&record->line, "reason");
	char time[PLUG_LOGLINE_TIME_SIZE];

	plug_logline_format_time(record->line.time, time);
	plug_explain_row(output,
	    "event=step time=%s name=%.*s what=%.*s "
	    "reason=%.*s",
	    time, (int)name.len, name.data, (int)event.len, event.data,
	    reason.len > 0 ? (int)reason.len : 1,
	    reason.len > 0 ? reason.data : "-");
}

/* The last event of the host beside the agent that wrote the line. */
static const struct plug_explain_record *
host_event_before(
    const struct plug_explain *explain, const struct plug_explain_record *at)
{
	const struct plug_explain_record *record = at;

	while (record-- > explain->records) {
		if (!names_flow(explain, record) &&
		    plug_str_equal(record->line.name, at->line.name))
			return record;
	}
	return NULL;
}

/**
 * plug_explain_tracked_report() - the steps of a flow and what broke it
 * @explain: explanation that was fed all lines
 * @output: receives the report
 *
 * Return: whether the logs name the flow.
 */
bool
plug_explain_tracked_report(const struct plug_explain *explain,
    const struct plug_explain_output *output)
{
	const struct plug_explain_record *decisive = NULL, *before;
	bool found = false;
	struct plug_str name;

	for (size_t i = 0; i < explain->count; i++) {
		const struct plug_explain_record *record = &explain->records[i];

		if (!names_flow(explain, record))
			continue;
		found = true;
		print_step(output, record);
		/* What comes after the reset only repeats it. */
		if (cause_of(record) != NULL &&
		    (decisive == NULL ||
			!plug_explain_is(decisive, "flow_reset")))
			decisive = record;
	}
	if (!found)
		return false;
	if (decisive == NULL) {
		plug_explain_row(output, "event=cause cause=none");
		return true;
	}
	before = host_event_before(explain, decisive);
	if (before != NULL)
		print_step(output, before);
	name = decisive->line.name;
	plug_explain_row(output, "event=cause cause=%s by=%.*s",
	    cause_of(decisive), (int)name.len, name.data);
	return true;
}
