#ifndef PLUG_HOSTPROBE_H
#define PLUG_HOSTPROBE_H

#include "adapter.h"
#include "fetch.h"
#include "libplantainlug/track/agent.h"

/**
 * struct plug_hostprobe - health checks of the host beside an agent
 * @adapter: how the host speaks
 * @host: its address
 * @path: path of its health check
 * @slot: the GET and the kept connection, which ends with the host
 * @client: log handler
 * @report: receives each answer of the host and each other change
 * @data: first argument of @report
 * @due: time of the next check
 * @requested: the next check is wanted as soon as none is under way
 * @started_at: start of the last check
 * @health: header of the answer under way
 * @last: last report
 * @unanswered: checks in a row that got no answer
 * @checks: checks so far
 */
struct plug_hostprobe {
	const struct plug_adapter *adapter;
	struct plug_endpoint host;
	char path[PLUG_HEALTH_PATH_SIZE];
	struct plug_fetch_slot *slot;
	const struct plug_client *client;
	void (*report)(void *data, const struct plug_host_report *report);
	void *data;
	plug_time due;
	bool requested;
	plug_time started_at;
	struct plug_health health;
	struct plug_host_report last;
	unsigned int unanswered;
	uint64_t checks;
};

bool plug_hostprobe_init(struct plug_hostprobe *probe,
    const struct plug_adapter *adapter, struct plug_endpoint host,
    struct plug_loop *loop, const struct plug_client *client,
    void (*report)(void *data, const struct plug_host_report *report),
    void *data);
void plug_hostprobe_finish(struct plug_hostprobe *probe);
void plug_hostprobe_request(struct plug_hostprobe *probe);
void plug_hostprobe_path(struct plug_hostprobe *probe, const char *path);
plug_time plug_hostprobe_step(struct plug_hostprobe *probe, plug_time now);

#endif
