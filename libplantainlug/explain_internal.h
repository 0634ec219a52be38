#ifndef PLUG_EXPLAIN_INTERNAL_H
#define PLUG_EXPLAIN_INTERNAL_H

/* Shared by the files of the explanation; not part of the public interface. */

#include "explain.h"
#include "tally.h"

/**
 * struct plug_explain_record - a line that was kept
 * @line: parsed from @text
 * @text: copy of the line
 * @order: number of the line in the order of reading
 */
struct plug_explain_record {
	struct plug_logline line;
	char *text;
	size_t order;
};

/**
 * struct plug_explain - lines and sums from any number of logs
 * @query: what to explain
 * @records: kept lines, ordered by time from the report on
 * @count: length of @records
 * @size: allocated length of @records
 * @tally: sums, with keys of the kind that is explained
 * @domains: names of the failure domains under the hash that logs show
 * @unreadable: lines that couldn't be read
 * @memory: whether memory ran out
 */
struct plug_explain {
	struct plug_explain_query query;
	struct plug_explain_record *records;
	size_t count;
	size_t size;
	struct plug_tally tally;
	struct plug_tally domains;
	uint64_t unreadable;
	bool memory;
};

void plug_explain_row(const struct plug_explain_output *output,
    const char *format, ...) __attribute__((format(printf, 2, 3)));
bool
plug_explain_is(const struct plug_explain_record *record, const char *event);

/* Each returns whether the line is to be kept. */
bool plug_explain_flow_feed(
    struct plug_explain *explain, const struct plug_logline *line);
bool plug_explain_host_feed(
    struct plug_explain *explain, const struct plug_logline *line);
bool plug_explain_traffic_feed(
    struct plug_explain *explain, const struct plug_logline *line);
bool plug_explain_tracked_feed(
    struct plug_explain *explain, const struct plug_logline *line);
bool plug_explain_store_feed(
    struct plug_explain *explain, const struct plug_logline *line);

/* Each returns whether the logs hold anything on the question. */
bool plug_explain_flow_report(const struct plug_explain *explain,
    const struct plug_explain_output *output);
bool plug_explain_host_report(const struct plug_explain *explain,
    const struct plug_explain_output *output);
bool plug_explain_traffic_report(const struct plug_explain *explain,
    const struct plug_explain_output *output);
bool plug_explain_tracked_report(const struct plug_explain *explain,
    const struct plug_explain_output *output);
bool plug_explain_store_report(const struct plug_explain *explain,
    const struct plug_explain_output *output);

#endif
