#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "segment.h"

/**
 * plug_tuple_equal() - whether two tuples identify the same flow
 * @a: first tuple
 * @b: second tuple
 */
bool
plug_tuple_equal(const struct plug_tuple *a, const struct plug_tuple *b)
{
	return a->client == b->client && a->service == b->service &&
	       a->client_port == b->client_port &&
	       a->service_port == b->service_port;
}

/**
 * plug_tuple_hash() - hash a flow's tuple
 * @tuple: flow
 *
 * Return: 64-bit hash, the same on every node.
 */
uint64_t
plug_tuple_hash(const struct plug_tuple *tuple)
{
	const uint64_t words[2] = {
		(uint64_t)tuple->client << 32 | tuple->service,
		(uint64_t)tuple->client_port << 16 | tuple->service_port,
	};

	return XXH64(words, sizeof(words), 0);
}

/**
 * plug_tuple_format() - format a flow's tuple for logs
 * @tuple: flow
 * @buf: receives "client:port-service:port" with NUL, truncated if too long
 * @size: bytes at @buf, at least 1; PLUG_TUPLE_TEXT is enough for any tuple
 *
 * Return: length of the text, without the NUL.
 */
size_t
plug_tuple_format(const struct plug_tuple *tuple, char *buf, size_t size)
{
	const struct plug_endpoint client = { tuple->client,
		tuple->client_port };
	const struct plug_endpoint service = { tuple->service,
		tuple->service_port };
	char a[PLUG_ENDPOINT_TEXT], b[PLUG_ENDPOINT_TEXT];
	int n;

	(void)plug_endpoint_format(client, a, sizeof(a));
	(void)plug_endpoint_format(service, b, sizeof(b));
	n = snprintf(buf, size, "%s-%s", a, b);
	return n < 0 ? 0 : (size_t)n < size ? (size_t)n : size - 1;
}
