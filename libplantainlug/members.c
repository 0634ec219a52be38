#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "jsonread.h"
#include "view.h"

#define MEMBERS_MAX 8192 /* lines of an instance list */

static enum plug_code
read_domain(struct plug_json *json, struct json_object *value, void *target)
{
	struct plug_member *member = target;
	char name[PLUG_NAME_SIZE];
	enum plug_code code = plug_json_read_name(json, value, name);

	if (code == PLUG_OK)
		member->domain = plug_domain_hash(plug_str_from(name));
	return code;
}

static enum plug_code
read_member(struct plug_json *json, struct json_object *value, void *target)
{
	static const char *const states[] = { "live", "leaving", NULL };
	static const struct plug_json_field fields[] = {
		{ .name = "name",
		    .kind = PLUG_JSON_NAME,
		    .offset = offsetof(struct plug_member, name) },
		{ .name = "address",
		    .kind = PLUG_JSON_ENDPOINT,
		    .offset = offsetof(struct plug_member, endpoint) },
		{ .name = "domain",
		    .kind = PLUG_JSON_CUSTOM,
		    .read = read_domain },
		{ .name = "state",
		    .kind = PLUG_JSON_CHOICE,
		    .offset = offsetof(struct plug_member, state),
		    .names = states },
	};

	return plug_json_read_object(
	    json, value, fields, sizeof(fields) / sizeof(fields[0]), target);
}

static int
compare_name(const void *a, const void *b)
{
	const struct plug_member *first = a, *second = b;

	return strcmp(first->name, second->name);
}

/**
 * plug_members_parse() - read an instance list
 * @text: JSON with comments
 * @members: receives an array ordered by name, for the caller to free(3)
 * @count: receives its length
 * @status: receives the reason of a failure, or NULL
 *
 * Two names may share an address: a list that lags can show the leaving and
 * the new instance of a host at the same time.
 *
 * Return: PLUG_OK, or the code of the first error.
 */
enum plug_code
plug_members_parse(struct plug_str text, struct plug_member **members,
    unsigned int *count, struct plug_status *status)
{
	struct plug_json json;
	struct plug_member *list;
	enum plug_code code;

	code = plug_json_open(&json, text, PLUG_DOCUMENT_SIZE_MAX, status);
	if (code != PLUG_OK)
		return code;
	list = calloc(MEMBERS_MAX, sizeof(*list));
	if (list == NULL) {
		plug_json_close(&json);
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	}
	code = plug_json_read_array(&json, json.root, 0, MEMBERS_MAX,
	    read_member, list, sizeof(*list), count);
	plug_json_close(&json);
	if (code != PLUG_OK) {
		free(list);
		return code;
	}
	qsort(list, *count, sizeof(*list), compare_name);
	for (unsigned int i = 1; i < *count; i++) {
		if (compare_name(&list[i - 1], &list[i]) == 0) {
			code = plug_status_set(status, PLUG_E_RANGE,
			    "the name \"%s\" appears twice", list[i].name);
			free(list);
			return code;
		}
	}
	*members = realloc(list, (*count + 1) * sizeof(*list));
	if (*members == NULL)
		*members = list;
	return PLUG_OK;
}
