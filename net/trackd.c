#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "clock.h"
#include "control.h"
#include "file.h"
#include "loop.h"
#include "statuspage.h"
#include "stop.h"
#include "storereader.h"
#include "trackd.h"
#include "tracktraffic.h"

#define SETTINGS_PERIOD (2 * PLUG_SEC) /* between looks at the file */

/* Routers check readiness twice a second and take a node out after two misses;
 * until then its flows need it. */
#define LEAVE_TIME (1800 * PLUG_MSEC)

/**
 * struct trackd - control thread of a tracking process
 * @path: settings file
 * @settings: settings at the start
 * @adapter: how the platform speaks
 * @log: log
 * @client: log handler and random state
 * @loop: event loop of the thread
 * @reader: reader of the store
 * @probe: checks of an agent's host
 * @page: readiness and metrics
 * @traffic: traffic thread
 * @wake: eventfd by which the traffic thread asks for a host list
 * @has_fleet: a snapshot was handed over
 * @leaving: a stop was requested
 * @leave_at: time when the process ends
 * @text: settings file as last read
 * @text_len: length of @text
 * @next_look: time of the next look at the settings file
 */
struct trackd {
	const char *path;
	const struct plug_track_settings *settings;
	const struct plug_adapter *adapter;
	struct plug_log *log;
	struct plug_client client;
	struct plug_loop *loop;
	struct plug_storereader *reader;
	struct plug_hostprobe probe;
	struct plug_statuspage *page;
	struct plug_tracktraffic traffic;
	int wake;
	bool has_fleet;
	bool leaving;
	plug_time leave_at;
	char *text;
	size_t text_len;
	plug_time next_look;
};

static bool
is_agent(const struct trackd *trackd)
{
	return trackd->settings->role == PLUG_ROLE_AGENT;
}

static bool
on_ready(void *data)
{
	const struct trackd *trackd = data;

	return !trackd->leaving && (is_agent(trackd) || trackd->has_fleet);
}

static size_t
append(char *buf, size_t size, size_t len, const char *name,
    unsigned long long value)
{
	int n = snprintf(
	    buf + len, size - len, "plantainlug_%s %llu\n", name, value);

	return n < 0 || (size_t)n >= size - len ? len : len + (size_t)n;
}

/* A cumulative histogram of the time from a request to its answer. */
static size_t
append_answers(struct trackd *trackd, char *buf, size_t size, size_t len)
{
	unsigned long long sum = 0;
	char name[64];

	for (unsigned int i = 0; i < PLUG_ANSWER_BUCKETS; i++) {
		sum += atomic_load(
		    &trackd->traffic.counts[PLUG_TRACKED_ANSWERS + i]);
		if (i + 1 == PLUG_ANSWER_BUCKETS)
			(void)snprintf(name, sizeof(name),
			    "answer_ms_bucket{le=\"+Inf\"}");
		else
			(void)snprintf(name, sizeof(name),
			    "answer_ms_bucket{le=\"%lld\"}",
			    (long long)((PLUG_ANSWER_FIRST_LIMIT << i) /
					PLUG_MSEC));
		len = append(buf, size, len, name, sum);
	}
	return len;
}

static size_t
on_metrics(void *data, char *buf, size_t size)
{
	static const char *const store_names[PLUG_STORE_COUNTERS] = {
		[PLUG_STORE_CALLS] = "store_calls",
		[PLUG_STORE_LAGGING] = "store_lagging_calls",
		[PLUG_STORE_FAILURES] = "store_failures",
		[PLUG_STORE_UNREADABLE] = "store_unreadable_items",
		[PLUG_STORE_IGNORED] = "store_lists_ignored",
		[PLUG_STORE_RESTORED] = "store_restores",
	};
	struct trackd *trackd = data;
	plug_time age = plug_storereader_age(trackd->reader, plug_clock_now());
	size_t len = 0;

	for (unsigned int i = 0; i < PLUG_TRACKED_COUNTS; i++) {
		const char *name =
		    plug_tracktraffic_count_name(&trackd->traffic, i);

		if (name != NULL)
			len = append(buf, size, len, name,
			    atomic_load(&trackd->traffic.counts[i]));
	}
	if (is_agent(trackd))
		len = append_answers(trackd, buf, size, len);
	for (unsigned int i = 0; i < PLUG_STORE_COUNTERS; i++)
		len = append(buf, size, len, store_names[i],
		    plug_storereader_count(trackd->reader, i));
	if (age >= 0)
		len = append(buf, size, len, "host_list_age_ms",
		    (unsigned long long)(age / PLUG_MSEC));
	len = append(buf, size, len, "host_checks", trackd->probe.checks);
	return append(
	    buf, size, len, "log_lines_dropped", plug_log_dropped(trackd->log));
}

static void
on_fleet(void *data, struct plug_fleet *fleet)
{
	struct trackd *trackd = data;
	const struct plug_track_message message = {
		.kind = PLUG_TRACK_FLEET,
		.fleet = fleet,
	};

	if (!trackd->has_fleet)
		plug_log_event(trackd->log, PLUG_LOG_INFO,
		    "event=ready version=%llu hosts=%u revision=%llu",
		    (unsigned long long)fleet->config->version,
		    fleet->host_count, (unsigned long long)fleet->revision);
	trackd->has_fleet = true;
	plug_tracktraffic_tell(&trackd->traffic, &message);
}

static void
on_config(void *data, const struct plug_config *config)
{
	struct trackd *trackd = data;
	const struct plug_track_message message = {
		.kind = PLUG_TRACK_IDLE,
		.idle = { config->version, config->idle_timeout },
	};
	const struct plug_service_config *backing;

	if (!is_agent(trackd))
		return;
	plug_tracktraffic_tell(&trackd->traffic, &message);
	backing = plug_config_find_service(
	    config, plug_str_hash(plug_str_from(trackd->settings->service)));
	if (backing != NULL && backing->health_path[0] != '\0')
		plug_hostprobe_path(&trackd->probe, backing->health_path);
}

static void
on_host(void *data, const struct plug_host_report *report)
{
	struct trackd *trackd = data;
	const struct plug_track_message message = {
		.kind = PLUG_TRACK_HOST,
		.host = *report,
	};

	plug_tracktraffic_tell(&trackd->traffic, &message);
}

static bool
open_parts(struct trackd *trackd, struct plug_status *status)
{
	const struct plug_storereader_handlers results = {
		.config = on_config,
		.fleet = is_agent(trackd) ? NULL : on_fleet,
		.data = trackd,
	};
	const struct plug_statuspage_handlers pages = {
		.ready = on_ready,
		.metrics = on_metrics,
		.data = trackd,
	};

	trackd->wake = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	trackd->loop = plug_loop_create();
	if (trackd->wake < 0 || trackd->loop == NULL ||
	    !plug_loop_watch(trackd->loop, trackd->wake)) {
		(void)plug_status_set(
		    status, PLUG_E_LIBRARY, "libevent can't be initialized");
		return false;
	}
	trackd->reader = plug_storereader_create(trackd->adapter,
	    trackd->settings->store, trackd->loop, &trackd->client, &results);
	if (trackd->reader == NULL ||
	    (is_agent(trackd) &&
		!plug_hostprobe_init(&trackd->probe, trackd->adapter,
		    trackd->settings->host, trackd->loop, &trackd->client,
		    on_host, trackd))) {
		(void)plug_status_set(status, PLUG_E_MEMORY, "out of memory");
		return false;
	}
	trackd->page =
	    plug_statuspage_create(trackd->loop, trackd->settings->ready,
		trackd->adapter->ready_path, &pages, status);
	return trackd->page != NULL;
}

static void
close_parts(struct trackd *trackd)
{
	plug_statuspage_destroy(trackd->page);
	if (is_agent(trackd) && trackd->probe.slot != NULL)
		plug_hostprobe_finish(&trackd->probe);
	plug_storereader_destroy(trackd->reader);
	plug_loop_destroy(trackd->loop);
	if (trackd->wake >= 0)
		(void)close(trackd->wake);
	free(trackd->text);
}

/* A changed file is checked and logged. The addresses are those of the start:
 * the platform restarts a process that shall have others. */
static void
look_at_settings(struct trackd *trackd, plug_time now)
{
	struct plug_track_settings settings;
	struct plug_status status;
	enum plug_code code;
	size_t len = 0;
	char *text = NULL;

	trackd->next_look = now + SETTINGS_PERIOD;
	plug_status_init(&status);
	code = plug_file_read(
	    trackd->path, PLUG_TRACK_SETTINGS_SIZE_MAX, &text, &len, &status);
	if (code == PLUG_OK && trackd->text != NULL &&
	    trackd->text_len == len && memcmp(trackd->text, text, len) == 0) {
		free(text);
		return;
	}
	if (code == PLUG_OK)
		code = plug_track_settings_parse(
		    (struct plug_str){ text, len }, &settings, &status);
	if (code != PLUG_OK)
		plug_log_event(trackd->log, PLUG_LOG_ERROR,
		    "event=settings_refused code=%d reason=\"%s\"", code,
		    status.message);
	else if (trackd->text != NULL)
		plug_log_event(trackd->log, PLUG_LOG_INFO,
		    "event=settings_reloaded name=%s service=%s", settings.name,
		    settings.service[0] != '\0' ? settings.service : "-");
	if (text != NULL) {
		free(trackd->text);
		trackd->text = text;
		trackd->text_len = len;
	}
}

static plug_time
earlier(plug_time a, plug_time b)
{
	return a < b ? a : b;
}

static void
step(struct trackd *trackd)
{
	plug_time now = plug_clock_now();
	plug_time next;
	eventfd_t value;

	if (plug_stop_reload_taken() || now >= trackd->next_look)
		look_at_settings(trackd, now);
	next = earlier(
	    trackd->next_look, plug_storereader_step(trackd->reader, now));
	if (is_agent(trackd))
		next = earlier(next, plug_hostprobe_step(&trackd->probe, now));
	if (trackd->leaving)
		next = earlier(next, trackd->leave_at);
	plug_loop_wait(trackd->loop, next - now);
	(void)eventfd_read(trackd->wake, &value);
	if (!atomic_exchange(&trackd->traffic.refresh, false))
		return;
	if (is_agent(trackd))
		plug_hostprobe_request(&trackd->probe);
	else
		plug_storereader_refresh(trackd->reader);
}

/* Return: whether the process may end now. An entry goes on until the routers
 * have taken it out; an agent returns the sooner the sooner it ends, and its
 * host's flows need it. */
static bool
check_stop(struct trackd *trackd)
{
	if (!plug_stop_requested())
		return false;
	if (!trackd->leaving) {
		trackd->leaving = true;
		trackd->leave_at = plug_clock_now();
		if (!is_agent(trackd))
			trackd->leave_at += LEAVE_TIME;
		plug_log_event(trackd->log, PLUG_LOG_INFO,
		    "event=stopping flows=%llu",
		    (unsigned long long)atomic_load(
			&trackd->traffic.counts[PLUG_TRACKED_FLOWS]));
	}
	return plug_clock_now() >= trackd->leave_at;
}

static enum plug_code
run(struct trackd *trackd, struct plug_status *status)
{
	enum plug_code code =
	    plug_tracktraffic_start(&trackd->traffic, trackd->settings,
		trackd->adapter, trackd->log, trackd->wake, status);

	if (code != PLUG_OK)
		return code;
	plug_log_event(trackd->log, PLUG_LOG_INFO,
	    "event=start role=%s domain=%s service=%s",
	    is_agent(trackd) ? "agent" : "entry", trackd->settings->domain,
	    is_agent(trackd) ? trackd->settings->service : "-");
	while (!check_stop(trackd))
		step(trackd);
	plug_tracktraffic_stop(&trackd->traffic);
	plug_log_event(trackd->log, PLUG_LOG_INFO, "event=stopped");
	return PLUG_OK;
}

/**
 * plug_trackd_run() - run a tracking entry or agent until it is stopped
 * @path: settings file, which is looked at again for changes
 * @settings: settings from this file
 * @adapter: how the platform speaks
 * @status: receives the reason of a failure
 *
 * Return: PLUG_OK, or the code of the failure.
 */
enum plug_code
plug_trackd_run(const char *path, const struct plug_track_settings *settings,
    const struct plug_adapter *adapter, struct plug_status *status)
{
	struct trackd trackd = {
		.path = path,
		.settings = settings,
		.adapter = adapter,
		.wake = -1,
	};
	enum plug_code code = PLUG_E_LIBRARY;

	trackd.log =
	    plug_log_create(settings->name, "", settings->log_level, status);
	if (trackd.log == NULL)
		return code;
	plug_control_seed(&trackd.client, trackd.log);
	if (open_parts(&trackd, status))
		code = run(&trackd, status);
	close_parts(&trackd);
	plug_log_destroy(trackd.log);
	return code;
}
