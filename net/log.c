#include <errno.h>
#include <log4c.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "libplantainlug/document.h"
#include "log.h"

#define RING_SIZE     1024	/* lines, 0.6 MB; a power of two */
#define PAUSE_MIN     5000000L	/* nanoseconds between polls of a busy ring */
#define PAUSE_MAX     80000000L /* and of one that has long been empty */
#define TIME_SIZE     40	/* bytes of a formatted time, with NUL */
#define CACHE_LINE    64	/* bytes */
#define NSEC_PER_USEC 1000

/*
 * One line in the ring. sequence equals the position for which the slot is
 * free, and position + 1 once the line is complete.
 */
struct slot {
	atomic_size_t sequence;
	enum plug_log_level level;
	struct timespec time;
	size_t len;
	char line[PLUG_LOG_LINE_MAX];
};

/*
 * Producers change head only; what the writer changes is on another cache line.
 */
struct plug_log {
	_Alignas(CACHE_LINE) atomic_size_t head;
	char name[PLUG_NAME_SIZE];
	enum plug_log_level level;
	bool own_file;
	atomic_bool stopping;
	FILE *file;
	log4c_category_t *category;
	log4c_appender_t *appender;
	pthread_t writer;
	size_t tail;
	atomic_uint_fast64_t dropped;
	struct slot slots[RING_SIZE];
};

static int
append_line(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
	FILE *file = log4c_appender_get_udata(appender);

	return fprintf(file, "%s\n", event->evt_msg) < 0 ? -1 : 0;
}

static const log4c_appender_type_t line_appender = {
	.name = "plantainlug",
	.append = append_line,
};

static int
priority_of(enum plug_log_level level)
{
	switch (level) {
	case PLUG_LOG_ERROR:
		return LOG4C_PRIORITY_ERROR;
	case PLUG_LOG_WARN:
		return LOG4C_PRIORITY_WARN;
	case PLUG_LOG_INFO:
		return LOG4C_PRIORITY_INFO;
	case PLUG_LOG_DEBUG:
		break;
	}
	return LOG4C_PRIORITY_DEBUG;
}

static void
format_time(const struct timespec *time, char buf[TIME_SIZE])
{
	struct tm tm;
	size_t n;

	(void)gmtime_r(&time->tv_sec, &tm);
	n = strftime(buf, TIME_SIZE, "%Y-%m-%dT%H:%M:%S", &tm);
	(void)snprintf(
	    buf + n, TIME_SIZE - n, ".%06ldZ", time->tv_nsec / NSEC_PER_USEC);
}

static void
sink(struct plug_log *log, enum plug_log_level level,
    const struct timespec *time, const char *line, size_t len)
{
	char when[TIME_SIZE];

	format_time(time, when);
	log4c_category_log(log->category, priority_of(level),
	    "time=%s name=%s %.*s", when, log->name, (int)len, line);
}

static bool
write_next(struct plug_log *log)
{
	struct slot *slot = &log->slots[log->tail % RING_SIZE];

	if (atomic_load_explicit(&slot->sequence, memory_order_acquire) !=
	    log->tail + 1)
		return false;
	sink(log, slot->level, &slot->time, slot->line, slot->len);
	atomic_store_explicit(
	    &slot->sequence, log->tail + RING_SIZE, memory_order_release);
	log->tail++;
	return true;
}

static void
report_dropped(struct plug_log *log, uint64_t *reported)
{
	uint64_t dropped = plug_log_dropped(log);
	struct timespec now;
	char line[PLUG_LOG_LINE_MAX];
	int n;

	if (dropped == *reported)
		return;
	(void)clock_gettime(CLOCK_REALTIME, &now);
	n = snprintf(line, sizeof(line),
	    "event=log_dropped lines=%llu total=%llu",
	    (unsigned long long)(dropped - *reported),
	    (unsigned long long)dropped);
	sink(log, PLUG_LOG_WARN, &now, line, (size_t)n);
	*reported = dropped;
}

/*
 * Polls instead of waiting for a signal, so that a traffic thread never makes
 * a system call to write a line.
 */
static void *
run_writer(void *data)
{
	struct timespec pause = { 0, PAUSE_MIN };
	struct plug_log *log = data;
	uint64_t reported = 0;

	for (;;) {
		bool stopping = atomic_load(&log->stopping);

		bool wrote = false;

		while (write_next(log))
			wrote = true;
		report_dropped(log, &reported);
		if (wrote)
			(void)fflush(log->file);
		if (stopping)
			return NULL;
		/* Each wake-up costs; an idle process shall have few. */
		pause.tv_nsec = wrote			    ? PAUSE_MIN
				: pause.tv_nsec < PAUSE_MAX ? 2 * pause.tv_nsec
							    : PAUSE_MAX;
		(void)nanosleep(&pause, NULL);
	}
}

static enum plug_code
open_sink(struct plug_log *log, const char *path, struct plug_status *status)
{
	log->file = stderr;
	if (path[0] != '\0') {
		log->file = fopen(path, "ae");
		log->own_file = true;
	}
	if (log->file == NULL)
		return plug_status_set(status, PLUG_E_IO,
		    "open log file %s: %s", path, strerror(errno));
	log->category = log4c_category_get(log->name);
	log->appender = log4c_appender_get(log->name);
	if (log->category == NULL || log->appender == NULL)
		return plug_status_set(
		    status, PLUG_E_LIBRARY, "log4c can't be initialized");
	(void)log4c_appender_set_type(log->appender, &line_appender);
	(void)log4c_appender_set_udata(log->appender, log->file);
	(void)log4c_category_set_appender(log->category, log->appender);
	(void)log4c_category_set_additivity(log->category, 0);
	(void)log4c_category_set_priority(
	    log->category, priority_of(log->level));
	return PLUG_OK;
}

/**
 * plug_log_create() - open a log and start its writer thread
 * @name: instance name, in every line
 * @path: file to append to; empty for standard error
 * @level: least severe level that is written
 * @status: reason of a failure, or NULL
 *
 * Return: log for plug_log_destroy(), or NULL.
 */
struct plug_log *
plug_log_create(const char *name, const char *path, enum plug_log_level level,
    struct plug_status *status)
{
	struct plug_log *log =
	    aligned_alloc(CACHE_LINE, sizeof(struct plug_log));

	if (log == NULL) {
		(void)plug_status_set(status, PLUG_E_MEMORY, "out of memory");
		return NULL;
	}
	memset(log, 0, sizeof(*log));
	log->level = level;
	(void)plug_str_copy(plug_str_from(name), log->name, sizeof(log->name));
	for (size_t i = 0; i < RING_SIZE; i++)
		atomic_init(&log->slots[i].sequence, i);
	if (open_sink(log, path, status) != PLUG_OK)
		goto fail;
	if (pthread_create(&log->writer, NULL, run_writer, log) != 0) {
		(void)plug_status_set(
		    status, PLUG_E_LIBRARY, "log writer can't be started");
		goto fail;
	}
	return log;
fail:
	if (log->own_file && log->file != NULL)
		(void)fclose(log->file);
	free(log);
	return NULL;
}

/**
 * plug_log_destroy() - write what is queued, then close the log
 * @log: log, or NULL; no other thread may use it any more
 */
void
plug_log_destroy(struct plug_log *log)
{
	if (log == NULL)
		return;
	atomic_store(&log->stopping, true);
	(void)pthread_join(log->writer, NULL);
	if (log->own_file)
		(void)fclose(log->file);
	free(log);
}

/**
 * plug_log_write() - queue one line; the log handler of struct plug_client
 * @log: struct plug_log
 * @level: severity; less severe lines than the log's level are ignored
 * @line: key=value pairs without newline, cut to PLUG_LOG_LINE_MAX - 1 bytes
 *
 * Callable from any thread. Takes no lock and makes no blocking system call;
 * when the ring is full, the line is dropped and counted.
 */
void
plug_log_write(void *log, enum plug_log_level level, struct plug_str line)
{
	struct plug_log *l = log;
	size_t head = atomic_load_explicit(&l->head, memory_order_relaxed);
	struct slot *slot;

	if (level > l->level)
		return;
	for (;;) {
		size_t sequence;

		slot = &l->slots[head % RING_SIZE];
		sequence =
		    atomic_load_explicit(&slot->sequence, memory_order_acquire);
		if (sequence == head) {
			if (atomic_compare_exchange_weak_explicit(&l->head,
				&head, head + 1, memory_order_relaxed,
				memory_order_relaxed))
				break;
		} else if (sequence < head) {
			atomic_fetch_add_explicit(
			    &l->dropped, 1, memory_order_relaxed);
			return;
		} else {
			head = atomic_load_explicit(
			    &l->head, memory_order_relaxed);
		}
	}
	slot->level = level;
	(void)clock_gettime(CLOCK_REALTIME, &slot->time);
	slot->len =
	    line.len < PLUG_LOG_LINE_MAX ? line.len : PLUG_LOG_LINE_MAX - 1;
	memcpy(slot->line, line.data, slot->len);
	atomic_store_explicit(&slot->sequence, head + 1, memory_order_release);
}

/**
 * plug_log_event() - format and queue one line
 * @log: log
 * @level: severity
 * @format: printf format of the key=value pairs; the first one is event=
 */
void
plug_log_event(
    struct plug_log *log, enum plug_log_level level, const char *format, ...)
{
	char buf[PLUG_LOG_LINE_MAX];
	struct plug_str line;
	va_list ap;
	bool formatted;

	va_start(ap, format);
	formatted = plug_str_format(&line, buf, sizeof(buf), format, ap);
	va_end(ap);
	if (formatted)
		plug_log_write(log, level, line);
}

/**
 * plug_log_dropped() - lines that were dropped because the ring was full
 * @log: log
 */
uint64_t
plug_log_dropped(const struct plug_log *log)
{
	return atomic_load_explicit(&log->dropped, memory_order_relaxed);
}
