#include <stdio.h>
#include <string.h>

#include "document.h"
#include "explain_internal.h"

/* A host whose lowest limit is at most this share of the highest one is hot
 * for its limit and not for what arrived: half the slots double the load. */
#define LIMIT_SHARE 2

/* Events of the host itself that are listed one by one. */
static const char *const listed[] = { "listening", "restart_detected", "limit",
	"upstream_lost", "upstream_open", "rebalance", "leaving", "domain_out",
	"domain_in", "stopping", "stopped", "unconfirmed" };

static void
count(struct plug_explain *explain, const struct plug_logline *line,
    const char *first, const char *second)
{
	struct plug_str a = plug_logline_get(line, first);
	struct plug_str b = plug_logline_get(line, second);
	char key[PLUG_TALLY_KEY_SIZE];

	(void)snprintf(key, sizeof(key), "%.*s %.*s %.*s", (int)line->event.len,
	    line->event.data, a.len < PLUG_NAME_SIZE ? (int)a.len : 0, a.data,
	    b.len < PLUG_NAME_SIZE ? (int)b.len : 0, b.data);
	if (!plug_tally_add(&explain->tally, key, 1, 0))
		explain->memory = true;
}

static void
count_target(struct plug_explain *explain, const struct plug_logline *line)
{
	struct plug_str target = plug_logline_get(line, "target");
	char key[PLUG_NAME_SIZE + 16];

	if (target.len == 0 || target.len >= PLUG_NAME_SIZE)
		return;
	(void)snprintf(
	    key, sizeof(key), "to %.*s", (int)target.len, target.data);
	if (!plug_tally_add(&explain->tally, key, 1, 0))
		explain->memory = true;
}

/**
 * plug_explain_host_feed() - take a line for the report on a host
 * @explain: explanation
 * @line: line
 */
bool
plug_explain_host_feed(
    struct plug_explain *explain, const struct plug_logline *line)
{
	const struct plug_explain_query *query = &explain->query;
	bool own = plug_str_equal(line->name, plug_str_from(query->host));
	bool placement = plug_str_equal(line->event, PLUG_STR("placement"));

	/* The address is needed even when the host started earlier. */
	if (own && plug_str_equal(line->event, PLUG_STR("listening")))
		return true;
	if (line->time < query->from || line->time > query->to)
		return false;
	if (!own) {
		if (placement && plug_logline_has(line, "verdict", "forward"))
			count_target(explain, line);
		return false;
	}
	if (placement)
		count(explain, line, "verdict", "reason");
	else if (plug_str_equal(line->event, PLUG_STR("refuse")))
		count(explain, line, "reason", "class");
	else if (plug_str_equal(line->event, PLUG_STR("move")))
		count(explain, line, "verdict", "peer");
	for (size_t i = 0; i < sizeof(listed) / sizeof(listed[0]); i++) {
		if (plug_str_equal(line->event, plug_str_from(listed[i])))
			return true;
	}
	return false;
}

/* What the lines of one host say; the figures that decide on the cause. */
struct figures {
	uint64_t kept;
	uint64_t received;
	uint64_t moves_in;
	uint64_t moves_out;
	uint64_t queue_full;
	uint64_t refused;
	uint64_t cold_starts;
	uint64_t limit_min;
	uint64_t limit_max;
	bool published;
};

static uint64_t
sum_prefix(const struct plug_explain *explain, const char *prefix)
{
	size_t len = strlen(prefix);
	uint64_t sum = 0;

	for (size_t i = 0; i < explain->tally.used; i++) {
		if (strncmp(explain->tally.entries[i].key, prefix, len) == 0)
			sum += explain->tally.entries[i].count;
	}
	return sum;
}

static void
take_limit(struct figures *figures, uint64_t limit)
{
	if (limit == 0)
		return;
	if (figures->limit_min == 0 || limit < figures->limit_min)
		figures->limit_min = limit;
	if (limit > figures->limit_max)
		figures->limit_max = limit;
}

static void
take_record(const struct plug_explain_record *record, struct figures *figures)
{
	const struct plug_logline *line = &record->line;

	if (plug_explain_is(record, "listening")) {
		figures->cold_starts++;
	} else if (plug_explain_is(record, "restart_detected")) {
		figures->cold_starts++;
		take_limit(figures, plug_logline_number(line, "limit"));
	} else if (plug_explain_is(record, "limit")) {
		take_limit(figures, plug_logline_number(line, "from"));
		take_limit(figures, plug_logline_number(line, "to"));
		take_limit(figures, plug_logline_number(line, "slots"));
		if (plug_logline_has(line, "reason", "published_load"))
			figures->published = true;
	}
}

static const char *
dominant_cause(const struct figures *figures)
{
	uint64_t arrived =
	    figures->kept + figures->received + figures->moves_in;

	if (figures->limit_min * LIMIT_SHARE <= figures->limit_max &&
	    figures->limit_max > 0) {
		if (figures->cold_starts > 0)
			return "cold_start";
		return figures->published ? "published_load" : "limit_lowered";
	}
	if (figures->moves_in > figures->kept &&
	    figures->moves_in >= figures->received)
		return "moves_in";
	if (figures->received > figures->kept)
		return "forwarded_opens";
	if (figures->kept > 0)
		return "kept_opens";
	if (arrived == 0 && figures->queue_full > 0)
		return "requests";
	return "none";
}

static void
report_tally(const struct plug_explain *explain,
    const struct plug_explain_output *output)
{
	for (size_t i = 0; i < explain->tally.used; i++) {
		const struct plug_tally_entry *entry =
		    &explain->tally.entries[i];
		char event[PLUG_NAME_SIZE] = "", a[PLUG_NAME_SIZE] = "",
		     b[PLUG_NAME_SIZE] = "";

		if (sscanf(entry->key, "%63s %63s %63s", event, a, b) < 2 ||
		    strcmp(event, "to") == 0)
			continue;
		plug_explain_row(output,
		    "event=count of=%s kind=%s detail=%s count=%llu", event, a,
		    b[0] == '\0' ? "-" : b, (unsigned long long)entry->count);
	}
}

/* Counts what siblings forwarded to each address that the host has had. */
static uint64_t
count_received(const struct plug_explain *explain)
{
	struct plug_str last = PLUG_STR("");
	uint64_t sum = 0;

	for (size_t i = 0; i < explain->count; i++) {
		const struct plug_explain_record *record = &explain->records[i];
		struct plug_str address;
		char key[PLUG_NAME_SIZE + 16];

		if (!plug_explain_is(record, "listening"))
			continue;
		address = plug_logline_get(&record->line, "address");
		if (address.len >= PLUG_NAME_SIZE ||
		    plug_str_equal(address, last))
			continue;
		last = address;
		(void)snprintf(key, sizeof(key), "to %.*s", (int)address.len,
		    address.data);
		sum += plug_tally_count(&explain->tally, key);
	}
	return sum;
}

/**
 * plug_explain_host_report() - what made a host hot
 * @explain: explanation
 * @output: receives the events of the host, counts of its decisions and a
 *	summary that names the dominant cause
 */
bool
plug_explain_host_report(const struct plug_explain *explain,
    const struct plug_explain_output *output)
{
	struct figures figures = { 0 };

	for (size_t i = 0; i < explain->count; i++) {
		const struct plug_explain_record *record = &explain->records[i];

		if (record->line.time < explain->query.from ||
		    record->line.time > explain->query.to)
			continue;
		take_record(record, &figures);
		output->row(output->data, plug_str_from(record->text));
	}
	report_tally(explain, output);
	figures.kept = sum_prefix(explain, "placement keep ");
	figures.received = count_received(explain);
	figures.moves_in = sum_prefix(explain, "move taken ");
	figures.moves_out = sum_prefix(explain, "move moved ");
	figures.queue_full = sum_prefix(explain, "refuse queue_full ");
	figures.refused = sum_prefix(explain, "refuse ");
	plug_explain_row(output,
	    "event=summary host=%s cause=%s kept=%llu forwarded_away=%llu "
	    "received_from_siblings=%llu moves_in=%llu moves_out=%llu "
	    "refused=%llu queue_full=%llu cold_starts=%llu limit_min=%llu "
	    "limit_max=%llu",
	    explain->query.host, dominant_cause(&figures),
	    (unsigned long long)figures.kept,
	    (unsigned long long)sum_prefix(explain, "placement forward "),
	    (unsigned long long)figures.received,
	    (unsigned long long)figures.moves_in,
	    (unsigned long long)figures.moves_out,
	    (unsigned long long)figures.refused,
	    (unsigned long long)figures.queue_full,
	    (unsigned long long)figures.cold_starts,
	    (unsigned long long)figures.limit_min,
	    (unsigned long long)figures.limit_max);
	return explain->count > 0 || figures.kept > 0 || figures.refused > 0 ||
	       figures.moves_in > 0;
}
