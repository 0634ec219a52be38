#include <ctype.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "document.h"
#include "jsonread.h"

#define NAME_COMPARE_MAX  32 /* bytes of a key that are compared for a hint */
#define HINT_DISTANCE_MAX 8  /* edits; a key further away is no hint */

static size_t
skip_comment(struct plug_str text, size_t at)
{
	bool block;

	if (at + 1 >= text.len ||
	    (text.data[at + 1] != '/' && text.data[at + 1] != '*'))
		return at + 1;
	block = text.data[at + 1] == '*';
	for (at += 2; at < text.len; at++) {
		if (!block && text.data[at] == '\n')
			return at;
		if (block && text.data[at] == '/' && text.data[at - 1] == '*')
			return at + 1;
	}
	return text.len;
}

/* json-c accepts single quotes as well. Returns the closing quote. */
static size_t
skip_string(struct plug_str text, size_t at)
{
	char quote = text.data[at];

	for (at++; at < text.len && text.data[at] != quote; at++) {
		if (text.data[at] == '\\')
			at++;
	}
	return at < text.len ? at : text.len;
}

/* Scan state: one level per open object or array. */
struct scan {
	const struct plug_json *json;
	unsigned int depth;
	unsigned int matched; /* path components that enclose the position */
	bool object[JSON_TOKENER_DEFAULT_DEPTH + 1];
	size_t index[JSON_TOKENER_DEFAULT_DEPTH + 1];
	bool key_next;
	size_t keys;
};

/* Whether the key, or the element when key.data is NULL, completes the path. */
static bool
scan_match(struct scan *scan, struct plug_str key)
{
	const struct plug_json *json = scan->json;
	unsigned int at = scan->depth - 1;

	if (scan->matched != at || at >= json->depth)
		return false;
	if (key.data != NULL) {
		if (json->path[at].key == NULL ||
		    !plug_str_equal(key, plug_str_from(json->path[at].key)))
			return false;
	} else if (json->path[at].key != NULL ||
		   json->path[at].index != scan->index[scan->depth]) {
		return false;
	}
	scan->matched++;
	return scan->matched == json->depth;
}

/*
 * json-c keeps no positions. Scans a text that json-c has accepted for the
 * value that the path names, and counts the keys on the way.
 */
static size_t
scan_path(struct scan *scan)
{
	struct plug_str text = scan->json->text;

	for (size_t at = 0; at < text.len; at++) {
		char c = text.data[at];
		size_t start = at;

		if (isspace((unsigned char)c) || c == ':')
			continue;
		if (c == '/') {
			at = skip_comment(text, at) - 1;
			continue;
		}
		if (c == '}' || c == ']') {
			if (scan->depth > 0)
				scan->depth--;
			if (scan->matched > scan->depth)
				scan->matched = scan->depth;
			scan->key_next = false;
			continue;
		}
		if (c == ',') {
			scan->index[scan->depth]++;
			scan->key_next = scan->object[scan->depth];
			if (scan->depth > 0 && scan->matched >= scan->depth)
				scan->matched = scan->depth - 1;
			continue;
		}
		if (scan->depth > 0 && !scan->object[scan->depth] &&
		    scan_match(scan, (struct plug_str){ NULL, 0 }))
			return start;
		if (c == '"' || c == '\'') {
			at = skip_string(text, at);
			if (!scan->key_next)
				continue;
			scan->keys++;
			scan->key_next = false;
			if (scan_match(
				scan, (struct plug_str){ &text.data[start + 1],
					  at - start - 1 }))
				return start;
		} else if (c == '{' || c == '[') {
			if (scan->depth == JSON_TOKENER_DEFAULT_DEPTH)
				return text.len;
			scan->depth++;
			scan->object[scan->depth] = c == '{';
			scan->index[scan->depth] = 0;
			scan->key_next = c == '{';
		}
	}
	return text.len;
}

static unsigned int
line_of(struct plug_str text, size_t at)
{
	unsigned int line = 1;

	for (size_t i = 0; i < at && i < text.len; i++)
		line += text.data[i] == '\n';
	return line;
}

/**
 * plug_json_fail() - report an error at the value that is being read
 * @json: reader
 * @code: result code
 * @format: printf format of the reason
 *
 * Return: @code. The message starts with "line N: " when the value was found.
 */
enum plug_code
plug_json_fail(
    const struct plug_json *json, enum plug_code code, const char *format, ...)
{
	char reason[PLUG_STATUS_MESSAGE_SIZE];
	struct scan scan = { .json = json };
	size_t at = 0;
	va_list ap;

	va_start(ap, format);
	(void)vsnprintf(reason, sizeof(reason), format, ap);
	va_end(ap);
	if (json->depth > 0)
		at = scan_path(&scan);
	if (at >= json->text.len)
		return plug_status_set(json->status, code, "%s", reason);
	return plug_status_set(
	    json->status, code, "line %u: %s", line_of(json->text, at), reason);
}

static size_t
count_keys(struct json_object *value)
{
	size_t count = 0;

	if (json_object_is_type(value, json_type_object)) {
		json_object_object_foreach(value, key, member)
		{
			(void)key;
			count += 1 + count_keys(member);
		}
	} else if (json_object_is_type(value, json_type_array)) {
		for (size_t i = 0; i < json_object_array_length(value); i++)
			count +=
			    count_keys(json_object_array_get_idx(value, i));
	}
	return count;
}

/* Whether only white space and comments follow the value. */
static bool
rest_is_blank(struct plug_str text, size_t at)
{
	while (at < text.len) {
		if (text.data[at] == '/' && at + 1 < text.len &&
		    (text.data[at + 1] == '/' || text.data[at + 1] == '*'))
			at = skip_comment(text, at);
		else if (isspace((unsigned char)text.data[at]))
			at++;
		else
			return false;
	}
	return true;
}

/**
 * plug_json_open() - parse a JSON text with comments
 * @json: reader to initialize; close it only after success
 * @text: text; must outlive the reader
 * @max_len: longest accepted text in bytes
 * @status: receives the first error of this and all later calls, or NULL
 *
 * Return: PLUG_OK, PLUG_E_OVERSIZE or PLUG_E_SYNTAX. A key that appears twice
 * in one object is a syntax error.
 */
enum plug_code
plug_json_open(struct plug_json *json, struct plug_str text, size_t max_len,
    struct plug_status *status)
{
	struct scan scan = { .json = json };
	struct json_tokener *tokener;
	enum json_tokener_error error;
	size_t end;

	memset(json, 0, sizeof(*json));
	json->text = text;
	json->status = status;
	if (text.len > max_len)
		return plug_status_set(status, PLUG_E_OVERSIZE,
		    "%zu bytes; at most %zu are accepted", text.len, max_len);
	if (text.len == 0 || memchr(text.data, '\0', text.len) != NULL)
		return plug_status_set(
		    status, PLUG_E_SYNTAX, "line 1: empty text or NUL byte");
	tokener = json_tokener_new();
	if (tokener == NULL)
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	json_tokener_set_flags(tokener, JSON_TOKENER_VALIDATE_UTF8);
	json->root = json_tokener_parse_ex(tokener, text.data, (int)text.len);
	error = json_tokener_get_error(tokener);
	end = json_tokener_get_parse_end(tokener);
	/* A bare number at the end of the text is complete only with a NUL. */
	if (error == json_tokener_continue)
		error = json_tokener_error_parse_eof;
	json_tokener_free(tokener);
	if (error == json_tokener_success && !rest_is_blank(text, end))
		error = json_tokener_error_parse_unexpected;
	if (error != json_tokener_success) {
		plug_json_close(json);
		return plug_status_set(status, PLUG_E_SYNTAX, "line %u: %s",
		    line_of(text, end), json_tokener_error_desc(error));
	}
	(void)scan_path(&scan);
	if (scan.keys != count_keys(json->root)) {
		plug_json_close(json);
		return plug_status_set(
		    status, PLUG_E_SYNTAX, "a key appears twice in an object");
	}
	return PLUG_OK;
}

/**
 * plug_json_close() - free the parsed value
 * @json: reader
 */
void
plug_json_close(struct plug_json *json)
{
	(void)json_object_put(json->root);
	json->root = NULL;
}

static enum plug_code
fail_type(const struct plug_json *json, const char *wanted)
{
	const char *key = NULL;

	for (unsigned int i = json->depth; i > 0 && key == NULL; i--)
		key = json->path[i - 1].key;
	return plug_json_fail(
	    json, PLUG_E_TYPE, "%s: must be %s", key ? key : "value", wanted);
}

/* Levenshtein distance of the first NAME_COMPARE_MAX bytes. */
static unsigned int
edit_distance(const char *a, const char *b)
{
	size_t len_a = strnlen(a, NAME_COMPARE_MAX);
	size_t len_b = strnlen(b, NAME_COMPARE_MAX);
	unsigned int row[NAME_COMPARE_MAX + 1];

	for (size_t j = 0; j <= len_b; j++)
		row[j] = (unsigned int)j;
	for (size_t i = 1; i <= len_a; i++) {
		unsigned int diagonal = row[0];

		row[0] = (unsigned int)i;
		for (size_t j = 1; j <= len_b; j++) {
			unsigned int best =
			    diagonal + (a[i - 1] != b[j - 1] ? 1 : 0);

			diagonal = row[j];
			if (row[j] + 1 < best)
				best = row[j] + 1;
			if (row[j - 1] + 1 < best)
				best = row[j - 1] + 1;
			row[j] = best;
		}
	}
	return row[len_b];
}

static enum plug_code
check_known(struct plug_json *json, const char *key,
    const struct plug_json_field *fields, size_t field_count)
{
	unsigned int best = HINT_DISTANCE_MAX + 1;
	const char *nearest = NULL;
	enum plug_code code;

	for (size_t i = 0; i < field_count; i++) {
		unsigned int distance = edit_distance(key, fields[i].name);

		if (strcmp(key, fields[i].name) == 0)
			return PLUG_OK;
		if (distance < best) {
			best = distance;
			nearest = fields[i].name;
		}
	}
	json->path[json->depth++].key = key;
	code = nearest == NULL
		   ? plug_json_fail(
			 json, PLUG_E_UNKNOWN_KEY, "unknown key \"%.64s\"", key)
		   : plug_json_fail(json, PLUG_E_UNKNOWN_KEY,
			 "unknown key \"%.64s\"; did you mean \"%s\"?", key,
			 nearest);
	json->depth--;
	return code;
}

/**
 * plug_name_valid() - whether a text may name a service, domain or process
 * @name: text
 *
 * Names appear in log lines and in keys, so only letters, digits, ".", "_" and
 * "-" are allowed, and at most PLUG_NAME_SIZE - 1 bytes.
 */
bool
plug_name_valid(struct plug_str name)
{
	if (name.len == 0 || name.len >= PLUG_NAME_SIZE)
		return false;
	for (size_t i = 0; i < name.len; i++) {
		unsigned char c = (unsigned char)name.data[i];

		if (c > 127 ||
		    (!isalnum(c) && c != '.' && c != '_' && c != '-'))
			return false;
	}
	return true;
}

static struct plug_str
text_of(struct json_object *value)
{
	struct plug_str text = { json_object_get_string(value),
		(size_t)json_object_get_string_len(value) };

	return text;
}

/**
 * plug_json_read_name() - read a name
 * @json: reader
 * @value: JSON value
 * @target: char[PLUG_NAME_SIZE]
 *
 * Return: PLUG_OK, PLUG_E_TYPE or PLUG_E_RANGE.
 */
enum plug_code
plug_json_read_name(
    struct plug_json *json, struct json_object *value, void *target)
{
	if (!json_object_is_type(value, json_type_string))
		return fail_type(json, "a string");
	if (!plug_name_valid(text_of(value)))
		return plug_json_fail(json, PLUG_E_RANGE,
		    "a name has 1 to %d letters, digits, \".\", \"_\" or \"-\"",
		    PLUG_NAME_SIZE - 1);
	(void)plug_str_copy(text_of(value), target, PLUG_NAME_SIZE);
	return PLUG_OK;
}

static enum plug_code
read_endpoint(struct plug_json *json, struct json_object *value,
    enum plug_code (*parse)(struct plug_str text,
	struct plug_endpoint *endpoint, struct plug_status *status),
    struct plug_endpoint *target)
{
	if (!json_object_is_type(value, json_type_string))
		return fail_type(json, "an \"ip:port\" string");
	if (parse(text_of(value), target, NULL) != PLUG_OK)
		return plug_json_fail(json, PLUG_E_RANGE,
		    "\"%.64s\" is no \"ip:port\" address",
		    json_object_get_string(value));
	return PLUG_OK;
}

/**
 * plug_json_read_endpoint() - read an "ip:port" string
 * @json: reader
 * @value: JSON value
 * @target: struct plug_endpoint
 *
 * Return: PLUG_OK, PLUG_E_TYPE or PLUG_E_RANGE.
 */
enum plug_code
plug_json_read_endpoint(
    struct plug_json *json, struct json_object *value, void *target)
{
	return read_endpoint(json, value, plug_endpoint_parse, target);
}

static enum plug_code
read_number(struct plug_json *json, struct json_object *value,
    const struct plug_json_field *field, void *target)
{
	bool real = field->kind == PLUG_JSON_REAL;
	double number;

	if (!json_object_is_type(value, json_type_int) &&
	    !(real && json_object_is_type(value, json_type_double)))
		return fail_type(json, real ? "a number" : "a whole number");
	number = json_object_get_double(value);
	if (!isfinite(number) || number < field->min || number > field->max)
		return plug_json_fail(json, PLUG_E_RANGE,
		    "%s: must be from %.10g to %.10g", field->name, field->min,
		    field->max);
	if (real)
		memcpy(target, &number, sizeof(number));
	else
		*(uint32_t *)target = (uint32_t)number;
	return PLUG_OK;
}

static enum plug_code
read_text(struct plug_json *json, struct json_object *value,
    const struct plug_json_field *field, char *target)
{
	struct plug_str text = text_of(value);

	if (!json_object_is_type(value, json_type_string))
		return fail_type(json, "a string");
	if (text.len >= (size_t)field->max ||
	    memchr(text.data, '\0', text.len) != NULL)
		return plug_json_fail(json, PLUG_E_RANGE,
		    "%s: at most %.0f bytes without NUL", field->name,
		    field->max - 1);
	(void)plug_str_copy(text, target, (size_t)field->max);
	return PLUG_OK;
}

static enum plug_code
read_choice(struct plug_json *json, struct json_object *value,
    const struct plug_json_field *field, unsigned int *target)
{
	if (!json_object_is_type(value, json_type_string))
		return fail_type(json, "a string");
	for (unsigned int i = 0; field->names[i] != NULL; i++) {
		if (plug_str_equal(
			text_of(value), plug_str_from(field->names[i]))) {
			*target = i;
			return PLUG_OK;
		}
	}
	return plug_json_fail(json, PLUG_E_RANGE, "%s: unknown value \"%.64s\"",
	    field->name, json_object_get_string(value));
}

static enum plug_code
read_field(struct plug_json *json, struct json_object *value,
    const struct plug_json_field *field, char *target)
{
	void *place = target + field->offset;

	switch (field->kind) {
	case PLUG_JSON_UINT:
	case PLUG_JSON_REAL:
		return read_number(json, value, field, place);
	case PLUG_JSON_BOOL:
		if (!json_object_is_type(value, json_type_boolean))
			return fail_type(json, "true or false");
		*(bool *)place = json_object_get_boolean(value);
		return PLUG_OK;
	case PLUG_JSON_NAME:
		return plug_json_read_name(json, value, place);
	case PLUG_JSON_TEXT:
		return read_text(json, value, field, place);
	case PLUG_JSON_ENDPOINT:
		return plug_json_read_endpoint(json, value, place);
	case PLUG_JSON_LISTEN:
		return read_endpoint(
		    json, value, plug_endpoint_parse_listen, place);
	case PLUG_JSON_CHOICE:
		return read_choice(json, value, field, place);
	case PLUG_JSON_CUSTOM:
		return field->read(json, value, target);
	}
	return PLUG_E_TYPE;
}

/**
 * plug_json_read_object() - check and store every key of an object
 * @json: reader
 * @value: JSON value
 * @fields: known keys
 * @field_count: length of @fields
 * @target: structure that the offsets refer to
 *
 * Return: PLUG_OK, or the code of the first wrong, unknown or missing key.
 */
enum plug_code
plug_json_read_object(struct plug_json *json, struct json_object *value,
    const struct plug_json_field *fields, size_t field_count, void *target)
{
	enum plug_code code;

	if (!json_object_is_type(value, json_type_object))
		return fail_type(json, "an object");
	json_object_object_foreach(value, key, ignored)
	{
		(void)ignored;
		code = check_known(json, key, fields, field_count);
		if (code != PLUG_OK)
			return code;
	}
	for (size_t i = 0; i < field_count; i++) {
		struct json_object *member;

		if (!json_object_object_get_ex(
			value, fields[i].name, &member)) {
			if (fields[i].optional)
				continue;
			return plug_json_fail(json, PLUG_E_MISSING_KEY,
			    "missing key \"%s\"", fields[i].name);
		}
		json->path[json->depth++].key = fields[i].name;
		code = read_field(json, member, &fields[i], target);
		if (code != PLUG_OK)
			return code;
		json->depth--;
	}
	return PLUG_OK;
}

/**
 * plug_json_read_array() - read every element of an array
 * @json: reader
 * @value: JSON value
 * @min: least number of elements
 * @max: greatest number of elements
 * @read: reader of one element
 * @target: first element to fill
 * @stride: size of one element in bytes
 * @count: receives the number of elements
 *
 * Return: PLUG_OK, PLUG_E_TYPE, PLUG_E_RANGE or the code of @read.
 */
enum plug_code
plug_json_read_array(struct plug_json *json, struct json_object *value,
    size_t min, size_t max, plug_json_read *read, void *target, size_t stride,
    unsigned int *count)
{
	size_t length;

	if (!json_object_is_type(value, json_type_array))
		return fail_type(json, "an array");
	length = json_object_array_length(value);
	if (length < min || length > max)
		return plug_json_fail(json, PLUG_E_RANGE,
		    "%zu elements; %zu to %zu are accepted", length, min, max);
	json->path[json->depth++].key = NULL;
	for (size_t i = 0; i < length; i++) {
		enum plug_code code;

		json->path[json->depth - 1].index = i;
		code = read(json, json_object_array_get_idx(value, i),
		    (char *)target + i * stride);
		if (code != PLUG_OK)
			return code;
	}
	json->depth--;
	*count = (unsigned int)length;
	return PLUG_OK;
}

/**
 * plug_json_check_agent_keys() - check the keys that only agents have
 * @json: reader, at the root of a settings file
 * @keys: keys that an agent must have and an entry must not
 * @count: length of @keys
 * @is_agent: the settings are those of an agent
 *
 * Return: PLUG_OK, PLUG_E_MISSING_KEY or PLUG_E_UNKNOWN_KEY.
 */
enum plug_code
plug_json_check_agent_keys(struct plug_json *json, const char *const *keys,
    size_t count, bool is_agent)
{
	for (size_t i = 0; i < count; i++) {
		bool present =
		    json_object_object_get_ex(json->root, keys[i], NULL);

		if (is_agent && !present)
			return plug_json_fail(json, PLUG_E_MISSING_KEY,
			    "missing key \"%s\" of an agent", keys[i]);
		if (!is_agent && present) {
			json->path[json->depth++].key = keys[i];
			return plug_json_fail(json, PLUG_E_UNKNOWN_KEY,
			    "%s: only an agent has this key", keys[i]);
		}
	}
	return PLUG_OK;
}
