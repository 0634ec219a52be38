#ifndef PLUG_STATUSPAGE_H
#define PLUG_STATUSPAGE_H

#include "loop.h"
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
 * Readiness and metrics over HTTP, on libevent. Requests are answered, and the
 * handlers are called, in plug_loop_wait().
 */
struct plug_statuspage *
plug_statuspage_create(struct plug_loop *loop, struct plug_endpoint listen,
    const char *ready_path, const struct plug_statuspage_handlers *handlers,
    struct plug_status *status);
void plug_statuspage_destroy(struct plug_statuspage *page);

#endif
