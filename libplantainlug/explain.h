#ifndef PLUG_EXPLAIN_H
#define PLUG_EXPLAIN_H

#include "logline.h"
#include "status.h"

enum plug_explain_kind {
	PLUG_EXPLAIN_FLOW,    /* the life of a flow and why it broke */
	PLUG_EXPLAIN_HOST,    /* what made a host hot */
	PLUG_EXPLAIN_TRAFFIC, /* bytes between failure domains */
	PLUG_EXPLAIN_TRACKED, /* the same as FLOW, in the tracking mode */
	PLUG_EXPLAIN_STORE,   /* where entries differ about the store */
};

/**
 * struct plug_explain_query - what to explain
 * @kind: selects the members in use
 * @flow: flow id
 * @tuple: addresses and ports of a tracked flow, as logs have them
 * @host: name of an agent
 * @from: first time of interest, microseconds since 1970
 * @to: last time of interest; for PLUG_EXPLAIN_STORE 0 for the end of the logs
 */
struct plug_explain_query {
	enum plug_explain_kind kind;
	uint64_t flow;
	const char *tuple;
	const char *host;
	plug_time from;
	plug_time to;
};

/**
 * struct plug_explain_output - receives the lines of a report
 * @row: one key=value line without newline, valid during the call
 * @data: first argument of @row
 */
struct plug_explain_output {
	void (*row)(void *data, struct plug_str line);
	void *data;
};

struct plug_explain;

struct plug_explain *
plug_explain_create(const struct plug_explain_query *query);
void plug_explain_destroy(struct plug_explain *explain);
enum plug_code plug_explain_feed(struct plug_explain *explain,
    struct plug_str text, struct plug_status *status);
bool plug_explain_report(
    struct plug_explain *explain, const struct plug_explain_output *output);

#endif
