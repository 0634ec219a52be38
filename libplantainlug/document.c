#include <sodium.h>
#include <stddef.h>
#include <string.h>
#include <xxhash.h>

#include "document.h"
#include "jsonread.h"

/* Limits of the keys, design section 7. */
#define PROCEDURE_MAX	 2147418112.0 /* 0x7fff0000; higher ones are reserved */
#define SLOTS_MAX	 1024	      /* of a host */
#define CONNECTIONS_MAX	 100000	      /* flows of a host */
#define QUEUE_MAX	 10000	      /* requests */
#define COLD_SECONDS_MAX 3600
#define DEADLINE_MS_MAX	 600000
#define BULK_SHARE_MIN	 0.1 /* of the slots */

/* The instance list of the entries is kept as if they were a service. */
#define RESERVED_NAME "entries"

#define KEY_DIGITS ((size_t)PLUG_TOKEN_KEY_SIZE * 2) /* hex digits of a key */

/**
 * plug_domain_hash() - identify a failure domain by its name
 * @name: name
 *
 * Return: XXH32 of the name, the same in every process.
 */
uint32_t
plug_domain_hash(struct plug_str name)
{
	return XXH32(name.data, name.len, 0);
}

/**
 * plug_document_domain_out() - whether a domain was taken out
 * @document: document
 * @domain: hash of the domain's name
 */
bool
plug_document_domain_out(const struct plug_document *document, uint32_t domain)
{
	for (unsigned int i = 0; i < document->domain_out_count; i++) {
		if (document->domains_out[i] == domain)
			return true;
	}
	return false;
}

/**
 * plug_document_operation() - find an operation by its procedure number
 * @document: document
 * @procedure: RPC procedure number
 *
 * Return: the operation, or NULL when the document doesn't declare it.
 */
const struct plug_operation *
plug_document_operation(
    const struct plug_document *document, uint32_t procedure)
{
	for (unsigned int i = 0; i < document->operation_count; i++) {
		if (document->operations[i].procedure == procedure)
			return &document->operations[i];
	}
	return NULL;
}

static enum plug_code
read_cold_start(struct plug_json *json, struct json_object *value, void *target)
{
	static const struct plug_json_field fields[] = {
		{ .name = "seconds",
		    .kind = PLUG_JSON_UINT,
		    .offset = offsetof(struct plug_document, cold_seconds),
		    .min = 1,
		    .max = COLD_SECONDS_MAX },
		{ .name = "slots",
		    .kind = PLUG_JSON_UINT,
		    .offset = offsetof(struct plug_document, cold_slots),
		    .min = 1,
		    .max = SLOTS_MAX },
	};

	return plug_json_read_object(
	    json, value, fields, sizeof(fields) / sizeof(fields[0]), target);
}

static enum plug_code
read_operation(struct plug_json *json, struct json_object *value, void *target)
{
	static const char *const classes[] = { "short", "bulk", NULL };
	static const struct plug_json_field fields[] = {
		{ .name = "procedure",
		    .kind = PLUG_JSON_UINT,
		    .offset = offsetof(struct plug_operation, procedure),
		    .min = 1,
		    .max = PROCEDURE_MAX },
		{ .name = "name",
		    .kind = PLUG_JSON_NAME,
		    .offset = offsetof(struct plug_operation, name) },
		{ .name = "idempotent",
		    .kind = PLUG_JSON_BOOL,
		    .offset = offsetof(struct plug_operation, idempotent) },
		{ .name = "class",
		    .kind = PLUG_JSON_CHOICE,
		    .offset = offsetof(struct plug_operation, class),
		    .names = classes },
		{ .name = "deadline_ms",
		    .kind = PLUG_JSON_UINT,
		    .offset = offsetof(struct plug_operation, deadline_ms),
		    .min = 1,
		    .max = DEADLINE_MS_MAX },
	};

	return plug_json_read_object(
	    json, value, fields, sizeof(fields) / sizeof(fields[0]), target);
}

static enum plug_code
read_operations(struct plug_json *json, struct json_object *value, void *target)
{
	struct plug_document *document = target;

	return plug_json_read_array(json, value, 1, PLUG_OPERATIONS_MAX,
	    read_operation, document->operations,
	    sizeof(document->operations[0]), &document->operation_count);
}

static enum plug_code
read_domain(struct plug_json *json, struct json_object *value, void *target)
{
	char name[PLUG_NAME_SIZE];
	enum plug_code code = plug_json_read_name(json, value, name);

	if (code == PLUG_OK)
		*(uint32_t *)target = plug_domain_hash(plug_str_from(name));
	return code;
}

static enum plug_code
read_domains(struct plug_json *json, struct json_object *value, void *target)
{
	struct plug_document *document = target;

	return plug_json_read_array(json, value, 0, PLUG_DOMAINS_MAX,
	    read_domain, document->domains_out,
	    sizeof(document->domains_out[0]), &document->domain_out_count);
}

static enum plug_code
read_key(struct plug_json *json, struct json_object *value, void *target)
{
	size_t len;

	if (!json_object_is_type(value, json_type_string))
		return plug_json_fail(
		    json, PLUG_E_TYPE, "token_keys: must be strings");
	if (json_object_get_string_len(value) != KEY_DIGITS ||
	    sodium_hex2bin(target, PLUG_TOKEN_KEY_SIZE,
		json_object_get_string(value), KEY_DIGITS, NULL, &len,
		NULL) != 0 ||
	    len != PLUG_TOKEN_KEY_SIZE)
		return plug_json_fail(json, PLUG_E_RANGE,
		    "token_keys: a key has %zu hex digits", KEY_DIGITS);
	return PLUG_OK;
}

static enum plug_code
read_keys(struct plug_json *json, struct json_object *value, void *target)
{
	struct plug_document *document = target;

	return plug_json_read_array(json, value, 1, PLUG_TOKEN_KEYS_MAX,
	    read_key, document->token_keys.keys, PLUG_TOKEN_KEY_SIZE,
	    &document->token_keys.count);
}

/* The schema decides how the rest is read, so it is checked by itself. */
static enum plug_code
check_schema(struct plug_json *json)
{
	struct json_object *schema;
	enum plug_code code = PLUG_OK;

	if (!json_object_object_get_ex(json->root, "schema", &schema))
		return PLUG_OK;
	json->path[json->depth++].key = "schema";
	if (!json_object_is_type(schema, json_type_int) ||
	    json_object_get_int64(schema) != PLUG_DOCUMENT_SCHEMA)
		code = plug_json_fail(json, PLUG_E_SCHEMA,
		    "unknown schema; this version reads schema %d",
		    PLUG_DOCUMENT_SCHEMA);
	json->depth--;
	return code;
}

static enum plug_code
read_schema(struct plug_json *json, struct json_object *value, void *target)
{
	(void)json;
	(void)value;
	(void)target;
	return PLUG_OK;
}

/* Rules between keys. */
static enum plug_code
check_document(struct plug_json *json, const struct plug_document *document)
{
	if (strcmp(document->name, RESERVED_NAME) == 0) {
		json->path[json->depth++].key = "service";
		return plug_json_fail(json, PLUG_E_RANGE,
		    "service: the name \"" RESERVED_NAME "\" is reserved");
	}
	if (document->cold_slots > document->slots) {
		json->path[json->depth++].key = "cold_start";
		json->path[json->depth++].key = "slots";
		return plug_json_fail(json, PLUG_E_RANGE,
		    "cold_start.slots: must be at most slots, %u",
		    document->slots);
	}
	for (unsigned int i = 1; i < document->operation_count; i++) {
		uint32_t procedure = document->operations[i].procedure;

		if (plug_document_operation(document, procedure) ==
		    &document->operations[i])
			continue;
		json->path[json->depth++].key = "operations";
		json->path[json->depth].key = NULL;
		json->path[json->depth++].index = i;
		return plug_json_fail(json, PLUG_E_RANGE,
		    "operations: procedure %u appears twice", procedure);
	}
	return PLUG_OK;
}

/**
 * plug_document_parse() - validate a service document
 * @text: JSON with comments
 * @document: receives the document; undefined after a failure
 * @status: receives the reason, with the line where possible, or NULL
 *
 * The result depends on the bytes of @text alone, so every process accepts or
 * refuses a document alike.
 *
 * Return: PLUG_OK, or the code of the first error.
 */
enum plug_code
plug_document_parse(struct plug_str text, struct plug_document *document,
    struct plug_status *status)
{
	static const struct plug_json_field fields[] = {
		{ .name = "schema",
		    .kind = PLUG_JSON_CUSTOM,
		    .read = read_schema },
		{ .name = "service",
		    .kind = PLUG_JSON_NAME,
		    .offset = offsetof(struct plug_document, name) },
		{ .name = "service_id",
		    .kind = PLUG_JSON_UINT,
		    .offset = offsetof(struct plug_document, service),
		    .min = 1,
		    .max = PLUG_SERVICE_ID_MAX },
		{ .name = "address",
		    .kind = PLUG_JSON_ENDPOINT,
		    .offset = offsetof(struct plug_document, address) },
		{ .name = "slots",
		    .kind = PLUG_JSON_UINT,
		    .offset = offsetof(struct plug_document, slots),
		    .min = 1,
		    .max = SLOTS_MAX },
		{ .name = "connections",
		    .kind = PLUG_JSON_UINT,
		    .offset = offsetof(struct plug_document, connections),
		    .min = 1,
		    .max = CONNECTIONS_MAX },
		{ .name = "queue",
		    .kind = PLUG_JSON_UINT,
		    .offset = offsetof(struct plug_document, queue),
		    .max = QUEUE_MAX },
		{ .name = "cold_start",
		    .kind = PLUG_JSON_CUSTOM,
		    .read = read_cold_start },
		{ .name = "operations",
		    .kind = PLUG_JSON_CUSTOM,
		    .read = read_operations },
		{ .name = "bulk_share",
		    .kind = PLUG_JSON_REAL,
		    .optional = true,
		    .offset = offsetof(struct plug_document, bulk_share),
		    .min = BULK_SHARE_MIN,
		    .max = 1.0 },
		{ .name = "domains_out",
		    .kind = PLUG_JSON_CUSTOM,
		    .optional = true,
		    .read = read_domains },
		{ .name = "token_keys",
		    .kind = PLUG_JSON_CUSTOM,
		    .read = read_keys },
	};
	struct plug_json json;
	enum plug_code code;

	memset(document, 0, sizeof(*document));
	document->bulk_share = 1.0;
	code = plug_json_open(&json, text, PLUG_DOCUMENT_SIZE_MAX, status);
	if (code != PLUG_OK)
		return code;
	code = check_schema(&json);
	if (code == PLUG_OK)
		code = plug_json_read_object(&json, json.root, fields,
		    sizeof(fields) / sizeof(fields[0]), document);
	if (code == PLUG_OK)
		code = check_document(&json, document);
	plug_json_close(&json);
	return code;
}
