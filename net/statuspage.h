#ifndef PLUG_STATUSPAGE_H
#define PLUG_STATUSPAGE_H

#include <poll.h>

#include "libplantainlug/client.h"
#include "libplantainlug/status.h"

#define PLUG_METRICS_PATH "/metrics"
#define PLUG_METRICS_SIZE 16384 /* bytes of the metrics */

/**
 * struct plug_statuspage_handlers - what the pages show
 * @ready: whether the process takes traffic
 * @metrics: writes one "name value" line for each metric, returns the length
 * @data: first argument of both
 */
struct plug_statuspage_handlers {
	bool (*ready)(void *data);
	size_t (*metrics)(void *data, char *buf, size_t size);
	void *data;
};

struct plug_statuspage;

/*
 * Readiness and metrics over HTTP, on libmicrohttpd without threads of its own.
 * The thread's loop adds plug_statuspage_fds() to its poll(2) set and calls
 * plug_statuspage_perform() when one of them is ready.
 */
struct plug_statuspage *plug_statuspage_create(struct plug_endpoint listen,
    const char *ready_path, const struct plug_statuspage_handlers *handlers,
    struct plug_status *status);
void plug_statuspage_destroy(struct plug_statuspage *page);
unsigned int plug_statuspage_fds(
    struct plug_statuspage *page, struct pollfd *fds, unsigned int max);
void plug_statuspage_perform(struct plug_statuspage *page);

#endif
