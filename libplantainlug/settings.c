#include <stddef.h>
#include <string.h>

#include "jsonread.h"
#include "settings.h"

static enum plug_code
read_config_services(
    struct plug_json *json, struct json_object *value, void *target)
{
	struct plug_settings *settings = target;

	return plug_json_read_array(json, value, 0, PLUG_CONFIG_SERVICES_MAX,
	    plug_json_read_endpoint, settings->config_services,
	    sizeof(settings->config_services[0]),
	    &settings->config_service_count);
}

static enum plug_code
read_peers(struct plug_json *json, struct json_object *value, void *target)
{
	struct plug_settings *settings = target;

	return plug_json_read_array(json, value, 0, PLUG_SEEDS_MAX,
	    plug_json_read_endpoint, settings->seeds,
	    sizeof(settings->seeds[0]), &settings->seed_count);
}

static enum plug_code
read_log(struct plug_json *json, struct json_object *value, void *target)
{
	/* In the order of enum plug_log_level. */
	static const char *const levels[] = { "error", "warn", "info", "debug",
		NULL };
	static const struct plug_json_field fields[] = {
		{ .name = "level",
		    .kind = PLUG_JSON_CHOICE,
		    .optional = true,
		    .offset = offsetof(struct plug_settings, log_level),
		    .names = levels },
		{ .name = "file",
		    .kind = PLUG_JSON_TEXT,
		    .optional = true,
		    .offset = offsetof(struct plug_settings, log_file),
		    .max = PLUG_PATH_SIZE },
	};

	return plug_json_read_object(
	    json, value, fields, sizeof(fields) / sizeof(fields[0]), target);
}

/* Keys that only one role has, and that an agent must have. */
static enum plug_code
check_role(struct plug_json *json, const struct plug_settings *settings)
{
	static const char *const agent_keys[] = { "service", "service_id",
		"upstream" };
	bool agent = settings->role == PLUG_ROLE_AGENT;
	enum plug_code code;

	code = plug_json_check_agent_keys(json, agent_keys,
	    sizeof(agent_keys) / sizeof(agent_keys[0]), agent);
	if (code != PLUG_OK)
		return code;
	if (agent && json_object_object_get_ex(json->root, "threads", NULL)) {
		json->path[json->depth++].key = "threads";
		return plug_json_fail(json, PLUG_E_UNKNOWN_KEY,
		    "threads: only an entry has this key");
	}
	if (settings->config_service_count + settings->seed_count == 0)
		return plug_json_fail(json, PLUG_E_MISSING_KEY,
		    "needs an address in \"config_service\" or \"peers\"");
	return PLUG_OK;
}

/**
 * plug_settings_parse() - validate the settings of a process
 * @text: JSON with comments
 * @settings: receives the settings; undefined after a failure
 * @status: receives the reason, with the line where possible, or NULL
 *
 * Return: PLUG_OK, or the code of the first error.
 */
enum plug_code
plug_settings_parse(struct plug_str text, struct plug_settings *settings,
    struct plug_status *status)
{
	static const char *const roles[] = { "entry", "agent", NULL };
	static const struct plug_json_field fields[] = {
		{ .name = "role",
		    .kind = PLUG_JSON_CHOICE,
		    .offset = offsetof(struct plug_settings, role),
		    .names = roles },
		{ .name = "name",
		    .kind = PLUG_JSON_NAME,
		    .offset = offsetof(struct plug_settings, name) },
		{ .name = "domain",
		    .kind = PLUG_JSON_NAME,
		    .offset = offsetof(struct plug_settings, domain) },
		{ .name = "listen",
		    .kind = PLUG_JSON_LISTEN,
		    .offset = offsetof(struct plug_settings, listen) },
		{ .name = "config_service",
		    .kind = PLUG_JSON_CUSTOM,
		    .optional = true,
		    .read = read_config_services },
		{ .name = "peers",
		    .kind = PLUG_JSON_CUSTOM,
		    .optional = true,
		    .read = read_peers },
		{ .name = "log",
		    .kind = PLUG_JSON_CUSTOM,
		    .optional = true,
		    .read = read_log },
		{ .name = "threads",
		    .kind = PLUG_JSON_UINT,
		    .optional = true,
		    .offset = offsetof(struct plug_settings, threads),
		    .min = 1,
		    .max = PLUG_THREADS_MAX },
		{ .name = "fabric",
		    .kind = PLUG_JSON_ENDPOINT,
		    .offset = offsetof(struct plug_settings, fabric) },
		{ .name = "service",
		    .kind = PLUG_JSON_NAME,
		    .optional = true,
		    .offset = offsetof(struct plug_settings, service) },
		{ .name = "service_id",
		    .kind = PLUG_JSON_UINT,
		    .optional = true,
		    .offset = offsetof(struct plug_settings, service_id),
		    .min = 1,
		    .max = PLUG_SERVICE_ID_MAX },
		{ .name = "upstream",
		    .kind = PLUG_JSON_ENDPOINT,
		    .optional = true,
		    .offset = offsetof(struct plug_settings, upstream) },
	};
	struct plug_json json;
	enum plug_code code;

	memset(settings, 0, sizeof(*settings));
	settings->threads = 1;
	settings->log_level = PLUG_LOG_INFO;
	code = plug_json_open(&json, text, PLUG_DOCUMENT_SIZE_MAX, status);
	if (code != PLUG_OK)
		return code;
	code = plug_json_read_object(&json, json.root, fields,
	    sizeof(fields) / sizeof(fields[0]), settings);
	if (code == PLUG_OK)
		code = check_role(&json, settings);
	plug_json_close(&json);
	return code;
}
