#include <stdio.h>

#include "status.h"

/**
 * plug_status_init() - reset a status to PLUG_OK with an empty message
 * @status: status to reset
 */
void
plug_status_init(struct plug_status *status)
{
	status->code = PLUG_OK;
	status->message[0] = '\0';
}

/**
 * plug_status_set() - record a failure
 * @status: status to fill, or NULL when the caller wants the code only
 * @code: result code
 * @format: printf format of the message; longer messages are cut
 *
 * Return: @code, so that a function can return the result of this call.
 */
enum plug_code
plug_status_set(
    struct plug_status *status, enum plug_code code, const char *format, ...)
{
	va_list ap;

	if (status == NULL)
		return code;
	status->code = code;
	va_start(ap, format);
	(void)vsnprintf(status->message, sizeof(status->message), format, ap);
	va_end(ap);
	return code;
}

/**
 * plug_code_name() - short lower-case name of a result code
 * @code: result code
 *
 * Return: a constant string, "unknown_code" for a number without a name.
 */
const char *
plug_code_name(enum plug_code code)
{
	switch (code) {
	case PLUG_OK:
		return "ok";
	case PLUG_E_SYNTAX:
		return "syntax";
	case PLUG_E_UNKNOWN_KEY:
		return "unknown_key";
	case PLUG_E_MISSING_KEY:
		return "missing_key";
	case PLUG_E_TYPE:
		return "type";
	case PLUG_E_RANGE:
		return "range";
	case PLUG_E_SCHEMA:
		return "schema";
	case PLUG_E_USAGE:
		return "usage";
	case PLUG_E_TRUNCATED:
		return "truncated";
	case PLUG_E_OVERSIZE:
		return "oversize";
	case PLUG_E_VERSION:
		return "version";
	case PLUG_E_MALFORMED:
		return "malformed";
	case PLUG_E_TTL:
		return "ttl";
	case PLUG_E_TOKEN:
		return "token";
	case PLUG_E_SERVICE:
		return "service";
	case PLUG_E_FLOW_LOST:
		return "flow_lost";
	case PLUG_E_FULL:
		return "full";
	case PLUG_E_WINDOW:
		return "window";
	case PLUG_E_DEADLINE:
		return "deadline";
	case PLUG_E_LEAVING:
		return "leaving";
	case PLUG_E_DOMAIN_OUT:
		return "domain_out";
	case PLUG_E_DUPLICATE:
		return "duplicate";
	case PLUG_E_NO_UPSTREAM:
		return "no_upstream";
	case PLUG_E_STALE:
		return "stale";
	case PLUG_E_CONFLICT:
		return "conflict";
	case PLUG_E_NO_VIEW:
		return "no_view";
	case PLUG_E_MEMORY:
		return "memory";
	case PLUG_E_IO:
		return "io";
	case PLUG_E_LIBRARY:
		return "library";
	}
	return "unknown_code";
}
