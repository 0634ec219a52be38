#ifndef PLUG_PLATFORM_H
#define PLUG_PLATFORM_H

#include "../libplantainlug/packet.h"

#define PLUG_PLATFORM_REPLICAS 4 /* replicas of the configuration service */

/**
 * struct plug_platform_handlers - results of the watches
 * @value: the key has this version and these bytes; they are borrowed
 * @failure: a query failed and is tried again, or the key does not exist;
 *           @reason is for the log
 * @data: first argument of both
 *
 * Both are called from plug_platform_poll(), and may start and stop watches.
 */
struct plug_platform_handlers {
	void (*value)(void *data, struct plug_str key, uint64_t version,
	    struct plug_str bytes);
	void (*failure)(void *data, struct plug_str key, const char *reason);
	void *data;
};

struct plug_platform;

/* Reader of the configuration service, for one thread. */
struct plug_platform *plug_platform_create(const struct plug_endpoint *replicas,
    unsigned int replica_count, uint64_t seed,
    const struct plug_platform_handlers *handlers);
void plug_platform_destroy(struct plug_platform *platform);
enum plug_code plug_platform_watch(
    struct plug_platform *platform, struct plug_str key, uint64_t index);
void plug_platform_unwatch(struct plug_platform *platform, struct plug_str key);
void plug_platform_poll(struct plug_platform *platform, int timeout_ms);

#endif
