#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "client.h"

/**
 * plug_client_emit() - hand one action to the driver
 * @client: client
 * @action: action; borrowed for the call
 */
void
plug_client_emit(
    const struct plug_client *client, const struct plug_action *action)
{
	if (client->emit != NULL)
		client->emit(client->emit_data, action);
}

/**
 * plug_client_log() - write one log line
 * @client: client
 * @level: severity
 * @format: printf format of the key=value pairs; the first one is event=
 */
void
plug_client_log(const struct plug_client *client, enum plug_log_level level,
    const char *format, ...)
{
	char buf[PLUG_LOG_LINE_MAX];
	struct plug_str line;
	va_list ap;
	bool formatted;

	if (client->log == NULL)
		return;
	va_start(ap, format);
	formatted = plug_str_format(&line, buf, sizeof(buf), format, ap);
	va_end(ap);
	if (formatted)
		client->log(client->log_data, level, line);
}

/**
 * plug_client_random() - uniform random number
 * @client: client
 * @below: exclusive upper bound; 0 and 1 yield 0
 */
uint32_t
plug_client_random(struct plug_client *client, uint32_t below)
{
	if (below < 2)
		return 0;
	return (uint32_t)((uint64_t)nrand48(client->random) * below >> 31);
}

/**
 * plug_client_random_id() - random 64-bit id that is never 0
 * @client: client
 */
uint64_t
plug_client_random_id(struct plug_client *client)
{
	uint64_t id;

	do {
		id = (uint64_t)nrand48(client->random) << 33 ^
		     (uint64_t)nrand48(client->random) << 16 ^
		     (uint64_t)nrand48(client->random);
	} while (id == 0);
	return id;
}
