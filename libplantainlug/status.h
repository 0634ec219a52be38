#ifndef PLUG_STATUS_H
#define PLUG_STATUS_H

#include <stdarg.h>

#define PLUG_STATUS_MESSAGE_SIZE 256 /* bytes, with the final NUL */

/*
 * Result codes. The numbers are stable; docs/ERRORS.md lists them.
 * 1xx: input, 2xx: packets, 3xx: flows and requests, 4xx: configuration,
 * 5xx: operating system and libraries.
 */
enum plug_code {
	PLUG_OK = 0,

	PLUG_E_SYNTAX = 100,
	PLUG_E_UNKNOWN_KEY = 101,
	PLUG_E_MISSING_KEY = 102,
	PLUG_E_TYPE = 103,
	PLUG_E_RANGE = 104,
	PLUG_E_SCHEMA = 105,
	PLUG_E_USAGE = 106,

	PLUG_E_TRUNCATED = 200,
	PLUG_E_OVERSIZE = 201,
	PLUG_E_VERSION = 202,
	PLUG_E_MALFORMED = 203,
	PLUG_E_TTL = 204,
	PLUG_E_TOKEN = 205,
	PLUG_E_SERVICE = 206,

	PLUG_E_FLOW_LOST = 300,
	PLUG_E_FULL = 301,
	PLUG_E_WINDOW = 302,
	PLUG_E_DEADLINE = 303,
	PLUG_E_LEAVING = 304,
	PLUG_E_DOMAIN_OUT = 305,
	PLUG_E_DUPLICATE = 306,
	PLUG_E_NO_UPSTREAM = 307,

	PLUG_E_STALE = 400,
	PLUG_E_CONFLICT = 401,
	PLUG_E_NO_VIEW = 402,

	PLUG_E_MEMORY = 500,
	PLUG_E_IO = 501,
	PLUG_E_LIBRARY = 502,
};

/**
 * struct plug_status - the result of the last failed operation
 * @code: numbered result code
 * @message: text for an operator, without a final newline
 */
struct plug_status {
	enum plug_code code;
	char message[PLUG_STATUS_MESSAGE_SIZE];
};

void plug_status_init(struct plug_status *status);
enum plug_code plug_status_set(struct plug_status *status, enum plug_code code,
    const char *format, ...) __attribute__((format(printf, 3, 4)));
const char *plug_code_name(enum plug_code code);

#endif
