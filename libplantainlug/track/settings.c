#include <stddef.h>
#include <string.h>

#include "../jsonread.h"
#include "settings.h"

/* Seconds, for a platform that doesn't tell. A shorter time only costs more
 * health checks. */
#define ADDRESS_REUSE_DEFAULT 1.0
#define SECONDS_MAX	      86400.0

/* Seconds, for a platform that doesn't tell. A longer time only costs memory,
 * and a restarted agent asks its host about unknown flows for longer. */
#define FLOW_AGE_MAX_DEFAULT 3600.0

#define FIELD(key, type, member)       \
	.name = (key), .kind = (type), \
	.offset = offsetof(struct plug_track_settings, member)

/**
 * plug_track_settings_parse() - parse a tracking process's settings
 * @text: JSON with comments
 * @settings: receives the settings; undefined on failure
 * @status: receives the error, with its line if known; may be NULL
 *
 * Return: PLUG_OK, or the code of the first error.
 */
enum plug_code
plug_track_settings_parse(struct plug_str text,
    struct plug_track_settings *settings, struct plug_status *status)
{
	static const char *const agent_keys[] = { "host", "host_output" };
	static const char *const roles[] = { "entry", "agent", NULL };
	/* In the order of enum plug_log_level. */
	static const char *const levels[] = { "error", "warn", "info", "debug",
		NULL };
	static const struct plug_json_field fields[] = {
		{ FIELD("role", PLUG_JSON_CHOICE, role), .names = roles },
		{ FIELD("name", PLUG_JSON_NAME, name) },
		{ FIELD("domain", PLUG_JSON_NAME, domain) },
		{ FIELD("segments", PLUG_JSON_ENDPOINT, segments) },
		{ FIELD("ready", PLUG_JSON_ENDPOINT, ready) },
		{ FIELD("store", PLUG_JSON_ENDPOINT, store) },
		{ FIELD("notice_port", PLUG_JSON_UINT, notice_port), .min = 1,
		    .max = UINT16_MAX },
		{ FIELD("log_level", PLUG_JSON_CHOICE, log_level),
		    .optional = true, .names = levels },
		{ FIELD("host_output", PLUG_JSON_ENDPOINT, host_output),
		    .optional = true },
		{ FIELD("host", PLUG_JSON_ENDPOINT, host), .optional = true },
		{ FIELD("service", PLUG_JSON_NAME, service), .optional = true },
		{ FIELD("address_reuse_s", PLUG_JSON_REAL, address_reuse_s),
		    .optional = true, .max = SECONDS_MAX },
		{ FIELD("flow_age_max_s", PLUG_JSON_REAL, flow_age_max_s),
		    .optional = true, .max = SECONDS_MAX },
	};
	struct plug_json json;
	enum plug_code code;

	memset(settings, 0, sizeof(*settings));
	settings->log_level = PLUG_LOG_INFO;
	settings->address_reuse_s = ADDRESS_REUSE_DEFAULT;
	settings->flow_age_max_s = FLOW_AGE_MAX_DEFAULT;
	code = plug_json_open(&json, text, PLUG_DOCUMENT_SIZE_MAX, status);
	if (code != PLUG_OK)
		return code;
	code = plug_json_read_object(&json, json.root, fields,
	    sizeof(fields) / sizeof(fields[0]), settings);
	if (code == PLUG_OK)
		code = plug_json_check_agent_keys(&json, agent_keys,
		    sizeof(agent_keys) / sizeof(agent_keys[0]),
		    settings->role == PLUG_ROLE_AGENT);
	plug_json_close(&json);
	return code;
}
