#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "hostprobe.h"

/* The check keeps its connection open, as hosts close one that has been idle
 * for 12 s, and tells of a host that begins to leave. It costs a moment of one
 * of the host's slots. */
#define CHECK_PERIOD (2 * PLUG_SEC)

#define REFUSED_PERIOD (100 * PLUG_MSEC) /* while nothing listens */
#define ANSWER_MS      1000L /* a busy host answers behind its queue */
#define UNANSWERED_MAX 3 /* checks without an answer that count as refused */
#define STATUS_HEALTHY 200
#define BODY_MAX       ((size_t)64 * 1024) /* bytes; the body is not used */

static void
on_header(void *data, struct plug_str line)
{
	struct plug_hostprobe *probe = data;

	probe->adapter->read_health(line, &probe->health);
}

/* Hands on an answer of the host or another change; logs changes only. */
static void
hand_on(struct plug_hostprobe *probe, const struct plug_host_report *report,
    const char *reason)
{
	bool changed = report->state != probe->last.state ||
		       report->host != probe->last.host ||
		       report->draining != probe->last.draining;

	if (changed)
		plug_client_log(probe->client, PLUG_LOG_INFO,
		    "event=host_%s host=%s before=%s draining=%d reason=\"%s\"",
		    plug_host_state_name(report->state),
		    probe->health.name[0] != '\0' ? probe->health.name : "-",
		    plug_host_state_name(probe->last.state), report->draining,
		    reason);
	if (!changed && report->checked_at == probe->last.checked_at)
		return;
	probe->last = *report;
	probe->report(probe->data, report);
}

static void
on_done(void *data, const struct plug_fetch_answer *answer)
{
	struct plug_hostprobe *probe = data;
	struct plug_host_report report = probe->last;
	plug_time now = plug_clock_now();
	const char *reason = answer->reason;

	probe->due = now + CHECK_PERIOD;
	if (answer->status != 0 && probe->health.host != 0) {
		probe->unanswered = 0;
		report.state = PLUG_HOST_UP;
		report.host = probe->health.host;
		report.draining = answer->status != STATUS_HEALTHY;
		report.checked_at = probe->started_at;
		reason = "answer";
	} else if (answer->refused) {
		report.state = PLUG_HOST_REFUSING;
		probe->due = now + REFUSED_PERIOD;
	} else if (++probe->unanswered >= UNANSWERED_MAX) {
		report.state = PLUG_HOST_REFUSING;
	} else {
		probe->due = now + REFUSED_PERIOD;
	}
	hand_on(probe, &report, reason);
}

/**
 * plug_hostprobe_init() - start checking the host
 * @probe: probe to fill
 * @adapter: how the host speaks
 * @host: its address
 * @loop: loop of the calling thread
 * @client: log handler; kept by the caller
 * @report: receives each answer of the host and each other change
 * @data: first argument of @report
 *
 * Return: false when memory ran out.
 */
bool
plug_hostprobe_init(struct plug_hostprobe *probe,
    const struct plug_adapter *adapter, struct plug_endpoint host,
    struct plug_loop *loop, const struct plug_client *client,
    void (*report)(void *data, const struct plug_host_report *report),
    void *data)
{
	const struct plug_fetch_handlers handlers = {
		.header = on_header,
		.done = on_done,
		.data = probe,
		.body_max = BODY_MAX,
	};

	*probe = (struct plug_hostprobe){
		.adapter = adapter,
		.host = host,
		.client = client,
		.report = report,
		.data = data,
	};
	plug_hostprobe_path(probe, adapter->health_path);
	probe->slot = plug_fetch_slot_create(loop, &handlers);
	return probe->slot != NULL;
}

/**
 * plug_hostprobe_finish() - stop checking
 * @probe: probe
 */
void
plug_hostprobe_finish(struct plug_hostprobe *probe)
{
	plug_fetch_slot_destroy(probe->slot);
}

/**
 * plug_hostprobe_request() - check as soon as no check is under way
 * @probe: probe
 */
void
plug_hostprobe_request(struct plug_hostprobe *probe)
{
	probe->requested = true;
}

/**
 * plug_hostprobe_path() - set the path of the health check
 * @probe: probe
 * @path: path, from the configuration
 */
void
plug_hostprobe_path(struct plug_hostprobe *probe, const char *path)
{
	(void)plug_str_copy(
	    plug_str_from(path), probe->path, sizeof(probe->path));
}

/**
 * plug_hostprobe_step() - check when it is time, or the connection has ended
 * @probe: probe
 * @now: time
 *
 * Return: time of the next call, at the latest.
 */
plug_time
plug_hostprobe_step(struct plug_hostprobe *probe, plug_time now)
{
	struct plug_host_report report = probe->last;
	char url[PLUG_FETCH_URL_SIZE], address[PLUG_ENDPOINT_TEXT];

	if (plug_fetch_busy(probe->slot))
		return now + PLUG_SEC;
	/* A leaving host closes the connection after each answer. */
	if (probe->last.state == PLUG_HOST_UP && !probe->last.draining &&
	    plug_fetch_closed(probe->slot)) {
		report.state = PLUG_HOST_UNKNOWN;
		hand_on(probe, &report, "the connection has ended");
		probe->due = now;
	}
	if (probe->due > now && !probe->requested)
		return probe->due;
	(void)plug_endpoint_format(probe->host, address, sizeof(address));
	(void)snprintf(url, sizeof(url), "http://%s%s", address, probe->path);
	probe->health = (struct plug_health){ 0 };
	probe->checks++;
	probe->requested = false;
	probe->started_at = now;
	if (!plug_fetch_start(probe->slot, url, ANSWER_MS))
		probe->due = now + CHECK_PERIOD;
	return now + PLUG_SEC;
}
