#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "logline.h"
#include "status.h"

#define NUMBER_SIZE 32 /* bytes of a number as text, with NUL */

static bool
is_key_char(char c)
{
	return islower((unsigned char)c) || isdigit((unsigned char)c) ||
	       c == '_';
}

/* Length of the key at the start of a text that is followed by "=", or 0. */
static size_t
key_length(struct plug_str text)
{
	size_t n = 0;

	while (n < text.len && is_key_char(text.data[n]))
		n++;
	return n < text.len && text.data[n] == '=' ? n : 0;
}

static struct plug_str
skip(struct plug_str text, size_t n)
{
	return (struct plug_str){ text.data + n, text.len - n };
}

/*
 * A reason may quote what it complains about without escapes, so a quote ends
 * the value only at the end of the line or before another key.
 */
static size_t
quoted_length(struct plug_str text)
{
	for (size_t i = 1; i < text.len; i++) {
		if (text.data[i] != '"')
			continue;
		if (i + 1 == text.len)
			return i + 1;
		if (text.data[i + 1] == ' ' &&
		    key_length(skip(text, i + 2)) > 0)
			return i + 1;
	}
	return 0;
}

static enum plug_code
take_field(struct plug_str *text, struct plug_logline_field *field,
    struct plug_status *status)
{
	size_t n = key_length(*text);

	if (n == 0)
		return plug_status_set(status, PLUG_E_SYNTAX,
		    "expected key=value at \"%.*s\"",
		    text->len < 32 ? (int)text->len : 32, text->data);
	field->key = (struct plug_str){ text->data, n };
	*text = skip(*text, n + 1);
	if (text->len > 0 && text->data[0] == '"') {
		n = quoted_length(*text);
		if (n == 0)
			return plug_status_set(status, PLUG_E_SYNTAX,
			    "%.*s: the quoted value has no end",
			    (int)field->key.len, field->key.data);
		field->value = (struct plug_str){ text->data + 1, n - 2 };
	} else {
		for (n = 0; n < text->len && text->data[n] != ' '; n++)
			continue;
		field->value = (struct plug_str){ text->data, n };
	}
	*text = skip(*text, n);
	if (text->len > 0)
		*text = skip(*text, 1);
	return PLUG_OK;
}

static enum plug_code
take_named(struct plug_str *text, const char *key, struct plug_str *value,
    struct plug_status *status)
{
	struct plug_logline_field field = { 0 };
	enum plug_code code = take_field(text, &field, status);

	if (code != PLUG_OK)
		return code;
	if (!plug_str_equal(field.key, plug_str_from(key)) ||
	    field.value.len == 0)
		return plug_status_set(status, PLUG_E_SYNTAX,
		    "the line has no %s in its place", key);
	*value = field.value;
	return PLUG_OK;
}

static bool
read_digits(struct plug_str text, size_t at, size_t n, int *value)
{
	*value = 0;
	if (at + n > text.len)
		return false;
	for (size_t i = at; i < at + n; i++) {
		if (!isdigit((unsigned char)text.data[i]))
			return false;
		*value = *value * 10 + (text.data[i] - '0');
	}
	return true;
}

/* Fraction of a second in microseconds; further digits are ignored. */
static bool
read_fraction(struct plug_str text, plug_time *fraction)
{
	plug_time unit = PLUG_SEC / 10;

	*fraction = 0;
	if (text.len == 0)
		return true;
	if (text.data[0] != '.' || text.len == 1)
		return false;
	for (size_t i = 1; i < text.len; i++, unit /= 10) {
		if (!isdigit((unsigned char)text.data[i]))
			return false;
		*fraction += unit * (text.data[i] - '0');
	}
	return true;
}

/**
 * plug_logline_time() - read a time in UTC
 * @text: YYYY-MM-DDTHH:MM:SS, with a fraction or not, with a final Z or not
 * @time: result in microseconds since 1970
 *
 * Return: false when @text is not such a time.
 */
bool
plug_logline_time(struct plug_str text, plug_time *time)
{
	static const char separators[] = "--T::";
	static const size_t at[] = { 0, 5, 8, 11, 14, 17 };
	static const size_t digits[] = { 4, 2, 2, 2, 2, 2 };
	static const int last[] = { 9999, 12, 31, 23, 59, 60 };
	plug_time fraction;
	struct tm tm = { 0 };
	int v[6];

	if (text.len > 0 && text.data[text.len - 1] == 'Z')
		text.len--;
	for (size_t i = 0; i < 6; i++) {
		if (!read_digits(text, at[i], digits[i], &v[i]) ||
		    v[i] > last[i] ||
		    (i > 0 && text.data[at[i] - 1] != separators[i - 1]))
			return false;
	}
	if (v[0] < 1970 || v[1] == 0 || v[2] == 0 ||
	    !read_fraction(skip(text, 19), &fraction))
		return false;
	tm.tm_year = v[0] - 1900;
	tm.tm_mon = v[1] - 1;
	tm.tm_mday = v[2];
	tm.tm_hour = v[3];
	tm.tm_min = v[4];
	tm.tm_sec = v[5];
	*time = (plug_time)timegm(&tm) * PLUG_SEC + fraction;
	return true;
}

/**
 * plug_logline_format_time() - write a time as the logs do
 * @time: microseconds since 1970
 * @buf: result
 */
void
plug_logline_format_time(plug_time time, char buf[PLUG_LOGLINE_TIME_SIZE])
{
	time_t seconds = (time_t)(time / PLUG_SEC);
	struct tm tm;
	size_t n;

	(void)gmtime_r(&seconds, &tm);
	n = strftime(buf, PLUG_LOGLINE_TIME_SIZE, "%Y-%m-%dT%H:%M:%S", &tm);
	(void)snprintf(buf + n, PLUG_LOGLINE_TIME_SIZE - n, ".%06lldZ",
	    (long long)(time % PLUG_SEC));
}

/**
 * plug_logline_parse() - read one line of a log
 * @text: line without its newline; must outlive @line
 * @line: result
 * @status: reason of a failure
 *
 * A line begins with time, name and event. Return: PLUG_OK or PLUG_E_SYNTAX.
 */
enum plug_code
plug_logline_parse(
    struct plug_str text, struct plug_logline *line, struct plug_status *status)
{
	struct plug_str time = PLUG_STR("");
	enum plug_code code;

	line->count = 0;
	code = take_named(&text, "time", &time, status);
	if (code == PLUG_OK && !plug_logline_time(time, &line->time))
		code = plug_status_set(status, PLUG_E_SYNTAX,
		    "time: \"%.*s\" is not a time in UTC",
		    time.len < 40 ? (int)time.len : 40, time.data);
	if (code == PLUG_OK)
		code = take_named(&text, "name", &line->name, status);
	if (code == PLUG_OK)
		code = take_named(&text, "event", &line->event, status);
	while (code == PLUG_OK && text.len > 0) {
		if (line->count == PLUG_LOGLINE_FIELDS_MAX)
			return plug_status_set(status, PLUG_E_SYNTAX,
			    "more than %d fields", PLUG_LOGLINE_FIELDS_MAX);
		code = take_field(&text, &line->fields[line->count++], status);
	}
	return code;
}

/**
 * plug_logline_get() - value of a field
 * @line: line
 * @key: key other than time, name and event
 *
 * Return: the first value, empty when there is none.
 */
struct plug_str
plug_logline_get(const struct plug_logline *line, const char *key)
{
	struct plug_str wanted = plug_str_from(key);

	for (unsigned int i = 0; i < line->count; i++) {
		if (plug_str_equal(line->fields[i].key, wanted))
			return line->fields[i].value;
	}
	return PLUG_STR("");
}

/**
 * plug_logline_has() - whether a field has a value
 * @line: line
 * @key: key
 * @value: value
 */
bool
plug_logline_has(
    const struct plug_logline *line, const char *key, const char *value)
{
	return plug_str_equal(
	    plug_logline_get(line, key), plug_str_from(value));
}

/**
 * plug_logline_number() - value of a decimal field
 * @line: line
 * @key: key
 *
 * Return: the number, 0 when there is none.
 */
uint64_t
plug_logline_number(const struct plug_logline *line, const char *key)
{
	char buf[NUMBER_SIZE];

	(void)plug_str_copy(plug_logline_get(line, key), buf, sizeof(buf));
	return strtoull(buf, NULL, 10);
}
