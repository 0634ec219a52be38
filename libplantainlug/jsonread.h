#ifndef PLUG_JSONREAD_H
#define PLUG_JSONREAD_H

#include <json-c/json.h>

#include "status.h"
#include "str.h"

#define PLUG_JSON_DEPTH 8 /* levels of a path to a value */

/**
 * struct plug_json - a JSON text that is being read
 * @text: source, for line numbers
 * @status: receives the first error; may be NULL
 * @root: parsed value
 * @depth: length of @path
 * @path: where the reader is: keys, or NULL and an index for array elements
 */
struct plug_json {
	struct plug_str text;
	struct plug_status *status;
	struct json_object *root;
	unsigned int depth;
	struct {
		const char *key;
		size_t index;
	} path[PLUG_JSON_DEPTH];
};

typedef enum plug_code
plug_json_read(struct plug_json *json, struct json_object *value, void *target);

enum plug_json_kind {
	PLUG_JSON_UINT,	    /* uint32_t, min to max */
	PLUG_JSON_REAL,	    /* double, min to max */
	PLUG_JSON_BOOL,	    /* bool */
	PLUG_JSON_NAME,	    /* char[PLUG_NAME_SIZE]: letters, digits, "._-" */
	PLUG_JSON_TEXT,	    /* char[max], any characters */
	PLUG_JSON_ENDPOINT, /* struct plug_endpoint from "ip:port" */
	PLUG_JSON_LISTEN,   /* the same, with port 0 for an ephemeral one */
	PLUG_JSON_CHOICE,   /* index in names as an unsigned int */
	PLUG_JSON_CUSTOM,   /* the read function fills the whole target */
};

/**
 * struct plug_json_field - one key of an object
 * @name: key
 * @kind: type, and how the value is stored
 * @optional: the key may be missing; the target then keeps its default
 * @offset: place in the target structure
 * @min: least number
 * @max: greatest number, or size of the buffer of a text
 * @names: choices, closed by NULL
 * @read: reader of a PLUG_JSON_CUSTOM value; receives the target structure
 */
struct plug_json_field {
	const char *name;
	enum plug_json_kind kind;
	bool optional;
	size_t offset;
	double min;
	double max;
	const char *const *names;
	plug_json_read *read;
};

enum plug_code plug_json_open(struct plug_json *json, struct plug_str text,
    size_t max_len, struct plug_status *status);
void plug_json_close(struct plug_json *json);
enum plug_code plug_json_fail(const struct plug_json *json, enum plug_code code,
    const char *format, ...) __attribute__((format(printf, 3, 4)));
enum plug_code
plug_json_read_object(struct plug_json *json, struct json_object *value,
    const struct plug_json_field *fields, size_t field_count, void *target);
enum plug_code plug_json_read_array(struct plug_json *json,
    struct json_object *value, size_t min, size_t max, plug_json_read *read,
    void *target, size_t stride, unsigned int *count);
enum plug_code plug_json_read_name(
    struct plug_json *json, struct json_object *value, void *target);
enum plug_code plug_json_read_endpoint(
    struct plug_json *json, struct json_object *value, void *target);
enum plug_code plug_json_check_agent_keys(struct plug_json *json,
    const char *const *keys, size_t count, bool is_agent);
bool plug_name_valid(struct plug_str name);

#endif
