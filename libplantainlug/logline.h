#ifndef PLUG_LOGLINE_H
#define PLUG_LOGLINE_H

#include "client.h"

#define PLUG_LOGLINE_FIELDS_MAX 24 /* fields after time, name and event */
#define PLUG_LOGLINE_TIME_SIZE	40 /* bytes of a formatted time, with NUL */

struct plug_logline_field {
	struct plug_str key;
	struct plug_str value;
};

/**
 * struct plug_logline - a parsed log line; borrows the text
 * @time: time of the event, microseconds since 1970 in UTC
 * @name: name of the process
 * @event: name of the event
 * @count: length of @fields
 * @fields: the other fields in the order of the line, without quotes
 */
struct plug_logline {
	plug_time time;
	struct plug_str name;
	struct plug_str event;
	unsigned int count;
	struct plug_logline_field fields[PLUG_LOGLINE_FIELDS_MAX];
};

enum plug_code plug_logline_parse(struct plug_str text,
    struct plug_logline *line, struct plug_status *status);
struct plug_str
plug_logline_get(const struct plug_logline *line, const char *key);
bool plug_logline_has(
    const struct plug_logline *line, const char *key, const char *value);
uint64_t plug_logline_number(const struct plug_logline *line, const char *key);
bool plug_logline_time(struct plug_str text, plug_time *time);
void plug_logline_format_time(plug_time time, char buf[PLUG_LOGLINE_TIME_SIZE]);

#endif
