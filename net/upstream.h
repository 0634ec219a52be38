#ifndef PLUG_UPSTREAM_H
#define PLUG_UPSTREAM_H

#include <poll.h>

#include "libplantainlug/agent.h"
#include "log.h"

struct plug_upstream;

/* Receives OPEN, CLOSED, REPLY and HEALTH events. */
typedef void (*plug_upstream_handler)(
    void *data, const struct plug_agent_event *event);

struct plug_upstream *
plug_upstream_create(struct plug_endpoint target, uint32_t service,
    struct plug_log *log, plug_upstream_handler handler, void *data);
void plug_upstream_destroy(struct plug_upstream *upstream);
void plug_upstream_call(struct plug_upstream *upstream, uint64_t id,
    uint32_t procedure, uint32_t budget_ms, struct plug_str body);
void plug_upstream_cancel(struct plug_upstream *upstream, uint64_t id);
void plug_upstream_reconnect(struct plug_upstream *upstream);
void plug_upstream_pollfd(
    const struct plug_upstream *upstream, struct pollfd *pollfd);
void plug_upstream_handle(
    struct plug_upstream *upstream, short events, plug_time now);

#endif
