#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "config.h"

#define ENTRY_ADDRESS 0x0b000000U /* address of entry 0 */
#define HOST_ADDRESS  0x0c000000U /* address of host 0 of service 0 */
#define MEMBER_BYTES  128	  /* most bytes of one instance */
#define DOCUMENT_SIZE 2048	  /* most bytes of a document */

/**
 * bench_entry_endpoint() - address of an entry
 * @entry: its number
 */
struct plug_endpoint
bench_entry_endpoint(unsigned int entry)
{
	return (struct plug_endpoint){ ENTRY_ADDRESS + entry, BENCH_PORT };
}

/**
 * bench_host_endpoint() - address of an agent
 * @config: configuration
 * @service: number of its service
 * @host: its number within the service
 */
struct plug_endpoint
bench_host_endpoint(
    const struct bench_config *config, unsigned int service, unsigned int host)
{
	return (struct plug_endpoint){
		HOST_ADDRESS + service * config->hosts + host, BENCH_PORT
	};
}

/* Replaces a value and raises its version. */
static char *
renew(struct bench_value *value, size_t size)
{
	free(value->text);
	value->text = malloc(size);
	if (value->text == NULL)
		abort();
	value->text[0] = '\0';
	value->version++;
	return value->text;
}

static size_t __attribute__((format(printf, 4, 5)))
append(char *text, size_t size, size_t len, const char *format, ...)
{
	va_list ap;
	int n;

	va_start(ap, format);
	n = vsnprintf(text + len, size - len, format, ap);
	va_end(ap);
	if (n < 0 || (size_t)n >= size - len)
		abort();
	return len + (size_t)n;
}

static size_t
append_member(char *text, size_t size, size_t len, const char *name,
    struct plug_endpoint endpoint, unsigned int number)
{
	char address[32];

	(void)plug_endpoint_format(endpoint, address, sizeof(address));
	return append(text, size, len,
	    "%s{\"name\": \"%s-%u\", \"address\": \"%s\", "
	    "\"domain\": \"domain-%u\", \"state\": \"live\"}",
	    len > 1 ? ",\n" : "", name, number, address,
	    number % BENCH_DOMAINS);
}

/**
 * bench_config_document() - publish a new version of a document
 * @config: configuration
 * @service: number of the service
 */
void
bench_config_document(struct bench_config *config, unsigned int service)
{
	struct bench_value *value = &config->values[BENCH_DOCUMENT(service)];
	char *text = renew(value, DOCUMENT_SIZE);

	(void)append(text, DOCUMENT_SIZE, 0,
	    "{\"schema\": 1, \"service\": \"s%u\", \"service_id\": %u, "
	    "\"address\": \"10.1.%u.%u:80\", \"slots\": %llu, "
	    "\"connections\": 4000, \"queue\": 100, "
	    "\"cold_start\": {\"seconds\": 10, \"slots\": 1}, "
	    "\"operations\": ["
	    "{\"procedure\": 1, \"name\": \"next-block\", \"idempotent\": "
	    "true, "
	    "\"class\": \"short\", \"deadline_ms\": 1000}, "
	    "{\"procedure\": 2, \"name\": \"confirm\", \"idempotent\": false, "
	    "\"class\": \"short\", \"deadline_ms\": 5000}, "
	    "{\"procedure\": 3, \"name\": \"image\", \"idempotent\": true, "
	    "\"class\": \"bulk\", \"deadline_ms\": 60000}], "
	    "\"bulk_share\": 0.5, \"domains_out\": [], "
	    "\"token_keys\": [\"000102030405060708090a0b0c0d0e0f\"]}",
	    service, service + 1, service / 256, service % 256,
	    2 + (unsigned long long)value->version % 8);
}

/**
 * bench_config_members() - publish a new version of an instance list
 * @config: configuration
 * @service: number of the service
 * @missing: hosts left out, from the first one on
 */
void
bench_config_members(
    struct bench_config *config, unsigned int service, unsigned int missing)
{
	size_t size = (config->hosts + 1) * (size_t)MEMBER_BYTES;
	char *text = renew(&config->values[BENCH_MEMBERS(service)], size);
	char name[16];
	size_t len = append(text, size, 0, "[");

	(void)snprintf(name, sizeof(name), "s%u", service);
	for (unsigned int i = missing; i < config->hosts; i++)
		len = append_member(text, size, len, name,
		    bench_host_endpoint(config, service, i), i);
	(void)append(text, size, len, "]");
}

/**
 * bench_config_entries() - publish a new version of a list of entries
 * @config: configuration
 * @domain: number of the domain
 */
void
bench_config_entries(struct bench_config *config, unsigned int domain)
{
	size_t size = (config->entries + 1) * (size_t)MEMBER_BYTES;
	char *text = renew(&config->values[BENCH_ENTRIES(domain)], size);
	size_t len = append(text, size, 0, "[");

	for (unsigned int i = domain; i < config->entries; i += BENCH_DOMAINS)
		len = append_member(
		    text, size, len, "entry", bench_entry_endpoint(i), i);
	(void)append(text, size, len, "]");
}

static void
publish_listing(struct bench_config *config)
{
	size_t size = (config->services + 1) * (size_t)MEMBER_BYTES;
	char *text = renew(&config->values[BENCH_LISTING], size);
	size_t len = append(text, size, 0, "[");

	for (unsigned int i = 0; i < config->services; i++)
		len = append(
		    text, size, len, "%s\"service/s%u\"", i > 0 ? ", " : "", i);
	(void)append(text, size, len, "]");
}

static void
publish_domains(struct bench_config *config)
{
	const size_t size = (BENCH_DOMAINS + 1) * (size_t)MEMBER_BYTES;
	char *text = renew(&config->values[BENCH_DOMAIN_LIST], size);
	size_t len = append(text, size, 0, "[");

	for (unsigned int i = 0; i < BENCH_DOMAINS; i++) {
		struct bench_value *value = &config->values[BENCH_ENTRIES(i)];

		(void)snprintf(value->key, sizeof(value->key),
		    "instances/entries/domain-%u", i);
		len = append(
		    text, size, len, "%s\"%s\"", i > 0 ? ", " : "", value->key);
		bench_config_entries(config, i);
	}
	(void)append(text, size, len, "]");
}

/**
 * bench_config_init() - publish version 1 of all values
 * @config: object to fill
 * @entries: entries in the fleet
 * @services: services
 * @hosts: hosts of each service
 */
void
bench_config_init(struct bench_config *config, unsigned int entries,
    unsigned int services, unsigned int hosts)
{
	*config = (struct bench_config){ .entries = entries,
		.services = services,
		.hosts = hosts,
		.count = BENCH_DOCUMENT(services) };
	config->values = calloc(config->count, sizeof(*config->values));
	if (config->values == NULL)
		abort();
	(void)strcpy(config->values[BENCH_LISTING].key, "service/?keys");
	(void)strcpy(
	    config->values[BENCH_DOMAIN_LIST].key, "instances/entries/?keys");
	publish_listing(config);
	publish_domains(config);
	for (unsigned int i = 0; i < services; i++) {
		(void)snprintf(config->values[BENCH_DOCUMENT(i)].key,
		    sizeof(config->values[0].key), "service/s%u", i);
		(void)snprintf(config->values[BENCH_MEMBERS(i)].key,
		    sizeof(config->values[0].key), "instances/s%u", i);
		bench_config_document(config, i);
		bench_config_members(config, i, 0);
	}
}

/**
 * bench_config_finish() - free all values
 * @config: configuration
 */
void
bench_config_finish(struct bench_config *config)
{
	for (unsigned int i = 0; i < config->count; i++)
		free(config->values[i].text);
	free(config->values);
}

/**
 * bench_config_find() - place of a key
 * @config: configuration
 * @key: key
 *
 * Return: the place in the values, or -1.
 */
int
bench_config_find(const struct bench_config *config, struct plug_str key)
{
	const char *digits = memchr(key.data, '/', key.len);
	char text[32];
	unsigned int number;

	if (digits == NULL || key.len >= sizeof(text))
		return -1;
	if (plug_str_equal(key, PLUG_STR("service/?keys")))
		return BENCH_LISTING;
	if (plug_str_equal(key, PLUG_STR("instances/entries/?keys")))
		return BENCH_DOMAIN_LIST;
	(void)plug_str_copy(key, text, sizeof(text));
	if (sscanf(text, "instances/entries/domain-%u", &number) == 1)
		return number < BENCH_DOMAINS ? (int)BENCH_ENTRIES(number) : -1;
	number =
	    (unsigned int)strtoul(text + (digits - key.data) + 2, NULL, 10);
	if (number >= config->services)
		return -1;
	return (int)(key.data[0] == 's' ? BENCH_DOCUMENT(number)
					: BENCH_MEMBERS(number));
}
