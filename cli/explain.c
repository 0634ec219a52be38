#include <argtable2.h>
#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/types.h>

#include "commands.h"
#include "libplantainlug/explain.h"

#define FILES_MAX   4096 /* logs in one call */
#define ROW_SIZE    2048 /* bytes of a row and what is put in front */
#define FLOW_DIGITS 16	 /* most hexadecimal digits of a flow id */

static const char usage[] =
    "usage: plantainlug explain flow ID [--json] [FILE...]\n"
    "       plantainlug explain flow IP:PORT-IP:PORT [--json] [FILE...]\n"
    "       plantainlug explain host NAME --from TIME --to TIME [--json] "
    "[FILE...]\n"
    "       plantainlug explain traffic [--json] [FILE...]\n"
    "       plantainlug explain store [--to TIME] [--json] [FILE...]\n"
    "FILE is a log, or - for standard input, which is the default.\n"
    "TIME is in UTC, as 2026-01-31T12:00:00Z.\n"
    "Exit codes: 0 answered, 1 nothing found or a log can't be opened, "
    "2 wrong usage.\n"
    "A line that can't be read is reported, counted and passed over.\n";

static void
print_row(void *data, struct plug_str line)
{
	(void)data;
	(void)printf("%.*s\n", (int)line.len, line.data);
}

static void
add_field(
    struct json_object *object, struct plug_str key, struct plug_str value)
{
	char name[PLUG_LOG_LINE_MAX];

	(void)plug_str_copy(key, name, sizeof(name));
	(void)json_object_object_add(object, name,
	    json_object_new_string_len(value.data, (int)value.len));
}

/* Rows have the form of log lines, but those of the summary have neither time
 * nor name; the parser gets both in front. */
static void
add_row(void *data, struct plug_str row)
{
	static const char front[] = "time=1970-01-01T00:00:00Z name=- ";
	struct json_object *object = json_object_new_object();
	char buf[ROW_SIZE];
	struct plug_logline line;
	bool own = row.len < 5 || memcmp(row.data, "time=", 5) != 0;
	int n = snprintf(buf, sizeof(buf), "%s%.*s", own ? front : "",
	    (int)row.len, row.data);
	char when[PLUG_LOGLINE_TIME_SIZE];

	if (n < 0 || (size_t)n >= sizeof(buf) ||
	    plug_logline_parse(
		(struct plug_str){ buf, (size_t)n }, &line, NULL) != PLUG_OK) {
		json_object_put(object);
		return;
	}
	if (!own) {
		plug_logline_format_time(line.time, when);
		add_field(object, PLUG_STR("time"), plug_str_from(when));
		add_field(object, PLUG_STR("name"), line.name);
	}
	add_field(object, PLUG_STR("event"), line.event);
	for (unsigned int i = 0; i < line.count; i++)
		add_field(object, line.fields[i].key, line.fields[i].value);
	(void)json_object_array_add(data, object);
}

static void
feed_line(struct plug_explain *explain, const char *path, unsigned long number,
    struct plug_str line)
{
	struct plug_status status;

	plug_status_init(&status);
	if (plug_explain_feed(explain, line, &status) != PLUG_OK)
		(void)fprintf(
		    stderr, "%s:%lu: %s\n", path, number, status.message);
}

static bool
read_log(struct plug_explain *explain, const char *path)
{
	bool is_input = strcmp(path, "-") == 0;
	FILE *file = is_input ? stdin : fopen(path, "re");
	unsigned long number = 0;
	char *line = NULL;
	size_t size = 0;
	ssize_t len;
	bool failed;

	if (file == NULL) {
		(void)fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return false;
	}
	while ((len = getline(&line, &size, file)) >= 0) {
		size_t n = (size_t)len;

		if (n > 0 && line[n - 1] == '\n')
			n--;
		feed_line(
		    explain, path, ++number, (struct plug_str){ line, n });
	}
	failed = ferror(file) != 0;
	if (failed)
		(void)fprintf(stderr, "%s: %s\n", path, strerror(errno));
	free(line);
	if (!is_input)
		(void)fclose(file);
	return !failed;
}

static bool
print_report(struct plug_explain *explain, bool json)
{
	struct plug_explain_output output = { print_row, NULL };
	bool found;

	if (!json)
		return plug_explain_report(explain, &output);
	output.row = add_row;
	output.data = json_object_new_array();
	found = plug_explain_report(explain, &output);
	(void)printf("%s\n", json_object_to_json_string_ext(
				 output.data, JSON_C_TO_STRING_PRETTY));
	json_object_put(output.data);
	return found;
}

static int
explain_files(
    const struct plug_explain_query *query, char **paths, int count, bool json)
{
	struct plug_explain *explain = plug_explain_create(query);
	int result = PLUG_EXIT_OK;

	if (explain == NULL) {
		(void)fprintf(stderr, "explain: out of memory\n");
		return PLUG_EXIT_FAILURE;
	}
	for (int i = 0; i < count; i++) {
		if (!read_log(explain, paths[i]))
			result = PLUG_EXIT_FAILURE;
	}
	if (count == 0 && !read_log(explain, "-"))
		result = PLUG_EXIT_FAILURE;
	if (!print_report(explain, json)) {
		(void)fprintf(
		    stderr, "explain: the logs hold nothing on this\n");
		result = PLUG_EXIT_FAILURE;
	}
	plug_explain_destroy(explain);
	return result;
}

static bool
read_flow(const char *text, uint64_t *flow)
{
	size_t len = strlen(text);

	if (len == 0 || len > FLOW_DIGITS ||
	    strspn(text, "0123456789abcdefABCDEF") != len)
		return false;
	*flow = strtoull(text, NULL, 16);
	return true;
}

/* Reads the question; *used is the number of words that it takes. */
static bool
read_query(const struct arg_str *words, const struct arg_str *from,
    const struct arg_str *to, struct plug_explain_query *query, int *used)
{
	const char *kind = words->sval[0];
	bool times = from->count + to->count > 0;

	*used = 2;
	if (strcmp(kind, "traffic") == 0) {
		query->kind = PLUG_EXPLAIN_TRAFFIC;
		*used = 1;
		return !times;
	}
	if (strcmp(kind, "store") == 0) {
		query->kind = PLUG_EXPLAIN_STORE;
		*used = 1;
		return from->count == 0 &&
		       (to->count == 0 ||
			   plug_logline_time(
			       plug_str_from(to->sval[0]), &query->to));
	}
	if (words->count < 2)
		return false;
	if (strcmp(kind, "flow") == 0) {
		query->kind = PLUG_EXPLAIN_FLOW;
		if (strchr(words->sval[1], '-') != NULL) {
			query->kind = PLUG_EXPLAIN_TRACKED;
			query->tuple = words->sval[1];
			return !times;
		}
		return !times && read_flow(words->sval[1], &query->flow);
	}
	if (strcmp(kind, "host") != 0 || from->count == 0 || to->count == 0)
		return false;
	query->kind = PLUG_EXPLAIN_HOST;
	query->host = words->sval[1];
	return plug_logline_time(plug_str_from(from->sval[0]), &query->from) &&
	       plug_logline_time(plug_str_from(to->sval[0]), &query->to) &&
	       query->from <= query->to;
}

/**
 * plug_cli_explain() - subcommand "explain": read logs and report causes
 * @argc: argument count
 * @argv: arguments
 */
int
plug_cli_explain(int argc, char **argv)
{
	struct arg_lit *json = arg_lit0(NULL, "json", "print JSON");
	struct arg_str *from =
	    arg_str0(NULL, "from", "TIME", "first time, for host");
	struct arg_str *to =
	    arg_str0(NULL, "to", "TIME", "last time, for host and store");
	struct arg_str *words = arg_strn(NULL, NULL, "WORD", 1, FILES_MAX + 2,
	    "flow ID [FILE...] (of a tracked flow, IP:PORT-IP:PORT of client "
	    "and service), host NAME [FILE...], traffic [FILE...] or store "
	    "[FILE...]; FILE - is standard input");
	void *table[] = { json, from, to, words, arg_end(8) };
	struct plug_explain_query query = { 0 };
	int result, used;

	if (plug_arguments_parse(argc, argv, table, &result)) {
		if (read_query(words, from, to, &query, &used)) {
			result =
			    explain_files(&query, (char **)words->sval + used,
				words->count - used, json->count > 0);
		} else {
			(void)fprintf(stderr, "%s", usage);
			result = PLUG_EXIT_USAGE;
		}
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
