#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "explain_internal.h"

#define FIRST_SIZE 256	/* records */
#define ROW_SIZE   1024 /* bytes of a row of a report, with NUL */

/**
 * plug_explain_create() - prepare an explanation
 * @query: copied; the host name is borrowed
 *
 * Return: explanation for plug_explain_destroy(), or NULL without memory.
 */
struct plug_explain *
plug_explain_create(const struct plug_explain_query *query)
{
	struct plug_explain *explain = calloc(1, sizeof(*explain));

	if (explain == NULL)
		return NULL;
	explain->query = *query;
	plug_tally_init(&explain->tally);
	plug_tally_init(&explain->domains);
	return explain;
}

/**
 * plug_explain_destroy() - free an explanation
 * @explain: explanation, or NULL
 */
void
plug_explain_destroy(struct plug_explain *explain)
{
	if (explain == NULL)
		return;
	for (size_t i = 0; i < explain->count; i++) {
		free(explain->records[i].text);
	}
	free(explain->records);
	plug_tally_finish(&explain->tally);
	plug_tally_finish(&explain->domains);
	free(explain);
}

/**
 * plug_explain_row() - format one row of a report
 * @output: receiver
 * @format: printf format of key=value pairs
 */
void
plug_explain_row(
    const struct plug_explain_output *output, const char *format, ...)
{
	char buf[ROW_SIZE];
	va_list ap;

	va_start(ap, format);
	(void)vsnprintf(buf, sizeof(buf), format, ap);
	va_end(ap);
	output->row(output->data, plug_str_from(buf));
}

/**
 * plug_explain_is() - whether a record shows an event
 * @record: record
 * @event: name of the event
 */
bool
plug_explain_is(const struct plug_explain_record *record, const char *event)
{
	return plug_str_equal(record->line.event, plug_str_from(event));
}

static bool
make_room(struct plug_explain *explain)
{
	size_t size = explain->size == 0 ? FIRST_SIZE : explain->size * 2;
	struct plug_explain_record *records;

	if (explain->count < explain->size)
		return true;
	records = realloc(explain->records, size * sizeof(*records));
	if (records == NULL)
		return false;
	explain->records = records;
	explain->size = size;
	return true;
}

static bool
keep(struct plug_explain *explain, struct plug_str text)
{
	struct plug_explain_record *record;
	char *copy;

	if (!make_room(explain))
		return false;
	copy = malloc(text.len + 1);
	if (copy == NULL)
		return false;
	memcpy(copy, text.data, text.len);
	copy[text.len] = '\0';
	record = &explain->records[explain->count];
	record->order = explain->count++;
	record->text = copy;
	(void)plug_logline_parse(
	    (struct plug_str){ copy, text.len }, &record->line, NULL);
	return true;
}

static bool
wants(struct plug_explain *explain, const struct plug_logline *line)
{
	switch (explain->query.kind) {
	case PLUG_EXPLAIN_FLOW:
		return plug_explain_flow_feed(explain, line);
	case PLUG_EXPLAIN_HOST:
		return plug_explain_host_feed(explain, line);
	case PLUG_EXPLAIN_TRAFFIC:
		return plug_explain_traffic_feed(explain, line);
	case PLUG_EXPLAIN_TRACKED:
		return plug_explain_tracked_feed(explain, line);
	case PLUG_EXPLAIN_STORE:
		return plug_explain_store_feed(explain, line);
	}
	return false;
}

#define PREFIX_MAX 64 /* bytes that a collector of logs puts before a line */

/* Leaves out what a collector has put before the line: a time of its own and
 * the name of the machine. */
static struct plug_str
without_prefix(struct plug_str text)
{
	static const char start[] = " time=";
	const size_t len = sizeof(start) - 1;

	for (size_t i = 0; i + len <= text.len && i < PREFIX_MAX; i++) {
		if (memcmp(text.data + i, start, len) == 0)
			return (struct plug_str){ text.data + i + 1,
				text.len - i - 1 };
	}
	return text;
}

/**
 * plug_explain_feed() - take one line of a log
 * @explain: explanation
 * @text: line without its newline
 * @status: reason of a failure
 *
 * Lines may come in any order. Return: PLUG_OK; PLUG_E_SYNTAX for a line that
 * can't be read, which is counted; PLUG_E_MEMORY.
 */
enum plug_code
plug_explain_feed(struct plug_explain *explain, struct plug_str text,
    struct plug_status *status)
{
	struct plug_logline line;
	enum plug_code code;

	if (text.len == 0)
		return PLUG_OK;
	text = without_prefix(text);
	code = plug_logline_parse(text, &line, status);
	if (code != PLUG_OK) {
		explain->unreadable++;
		return code;
	}
	if (wants(explain, &line) && !keep(explain, text))
		explain->memory = true;
	return explain->memory
		   ? plug_status_set(status, PLUG_E_MEMORY, "out of memory")
		   : PLUG_OK;
}

static int
compare_records(const void *a, const void *b)
{
	const struct plug_explain_record *x = a;
	const struct plug_explain_record *y = b;

	if (x->line.time != y->line.time)
		return x->line.time < y->line.time ? -1 : 1;
	return x->order < y->order ? -1 : x->order > y->order;
}

/**
 * plug_explain_report() - answer the question
 * @explain: explanation that was fed all lines
 * @output: receives the report
 *
 * Return: whether the logs hold anything on the question.
 */
bool
plug_explain_report(
    struct plug_explain *explain, const struct plug_explain_output *output)
{
	bool found = false;

	if (explain->count > 0)
		qsort(explain->records, explain->count,
		    sizeof(*explain->records), compare_records);
	switch (explain->query.kind) {
	case PLUG_EXPLAIN_FLOW:
		found = plug_explain_flow_report(explain, output);
		break;
	case PLUG_EXPLAIN_HOST:
		found = plug_explain_host_report(explain, output);
		break;
	case PLUG_EXPLAIN_TRAFFIC:
		found = plug_explain_traffic_report(explain, output);
		break;
	case PLUG_EXPLAIN_TRACKED:
		found = plug_explain_tracked_report(explain, output);
		break;
	case PLUG_EXPLAIN_STORE:
		found = plug_explain_store_report(explain, output);
		break;
	}
	if (explain->unreadable > 0)
		plug_explain_row(output, "event=unreadable lines=%llu",
		    (unsigned long long)explain->unreadable);
	return found;
}
