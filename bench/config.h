#ifndef BENCH_CONFIG_H
#define BENCH_CONFIG_H

#include "libplantainlug/node.h"

/* Values by place: 0 lists the services, 1 the domains, then follow the lists
 * of the domains' entries; each service has a document and an instance list. */
#define BENCH_LISTING	  0
#define BENCH_DOMAIN_LIST 1
#define BENCH_ENTRIES(i)  (2 + (i))
#define BENCH_DOCUMENT(i) (2 + BENCH_DOMAINS + 2 * (i))
#define BENCH_MEMBERS(i)  (3 + BENCH_DOMAINS + 2 * (i))
#define BENCH_PORT	  4754
#define BENCH_DOMAINS	  9 /* failure domains, design section 2 */

/**
 * struct bench_value - a value of the stand-in for the configuration service
 * @key: key
 * @version: modify index
 * @text: value; owned
 */
struct bench_value {
	char key[32];
	uint64_t version;
	char *text;
};

/**
 * struct bench_config - all values of one fleet
 * @entries: entries in the fleet
 * @services: services
 * @hosts: hosts of each service
 * @count: length of @values
 * @values: values
 */
struct bench_config {
	unsigned int entries;
	unsigned int services;
	unsigned int hosts;
	unsigned int count;
	struct bench_value *values;
};

void bench_config_init(struct bench_config *config, unsigned int entries,
    unsigned int services, unsigned int hosts);
void bench_config_finish(struct bench_config *config);
void bench_config_document(struct bench_config *config, unsigned int service);
void bench_config_members(
    struct bench_config *config, unsigned int service, unsigned int missing);
void bench_config_entries(struct bench_config *config, unsigned int domain);
int bench_config_find(const struct bench_config *config, struct plug_str key);
struct plug_endpoint bench_entry_endpoint(unsigned int entry);
struct plug_endpoint bench_host_endpoint(
    const struct bench_config *config, unsigned int service, unsigned int host);

#endif
