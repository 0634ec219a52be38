#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

#include "../libplantainlug/document.h"
#include "fetch.h"
#include "platform.h"

#define KEY_SIZE	96     /* bytes of a key, with the NUL */
#define WATCHES_MAX	4096   /* keys of one process */
#define WAIT_S		30     /* seconds that a query blocks */
#define TIMEOUT_MS	40000L /* the service may answer a little later */
#define BACKOFF_MIN_MS	100    /* after the first failure */
#define BACKOFF_MAX_MS	2000   /* below the 7 s of a change, with retries */
#define SPACING_MS	50     /* between two queries for one key */
#define EARLY_ANSWER_MS 1000   /* an unchanged answer this early is a fault */
#define INDEX_HEADER	"X-Consul-Index:"

/**
 * struct watch - a key that is read again and again
 * @platform: owner
 * @key: key
 * @index: last version that was handed on; queries wait for another one
 * @slot: the query's GET
 * @missing: the service has said that the key does not exist
 * @missing_index: index to wait for while it is missing
 * @replica: replica that is asked
 * @failures: failures in a row
 * @started: time of the query, milliseconds
 * @due: time of the next query when none is running
 * @answer_index: index of the running query's answer
 */
struct watch {
	struct plug_platform *platform;
	char key[KEY_SIZE];
	uint64_t index;
	struct plug_fetch_slot *slot;
	bool missing;
	uint64_t missing_index;
	unsigned int replica;
	unsigned int failures;
	int64_t started;
	int64_t due;
	uint64_t answer_index;
};

struct plug_platform {
	struct plug_loop *loop;
	struct plug_platform_handlers handlers;
	unsigned int replica_count;
	struct plug_endpoint replicas[PLUG_PLATFORM_REPLICAS];
	unsigned short random[3];
	unsigned int watch_count;
	struct watch *watches[WATCHES_MAX];
};

static int64_t
now_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

/**
 * plug_platform_create() - reader of the configuration service
 * @replicas: addresses, tried in turn
 * @replica_count: 1 to PLUG_PLATFORM_REPLICAS
 * @seed: seed of the jitter
 * @handlers: copied
 *
 * Return: the reader, or NULL when memory ran out or libevent failed.
 */
struct plug_platform *
plug_platform_create(const struct plug_endpoint *replicas,
    unsigned int replica_count, uint64_t seed,
    const struct plug_platform_handlers *handlers)
{
	struct plug_platform *platform = calloc(1, sizeof(*platform));

	if (platform == NULL || replica_count > PLUG_PLATFORM_REPLICAS) {
		free(platform);
		return NULL;
	}
	platform->loop = plug_loop_create();
	if (platform->loop == NULL) {
		free(platform);
		return NULL;
	}
	platform->handlers = *handlers;
	platform->replica_count = replica_count;
	for (unsigned int i = 0; i < replica_count; i++)
		platform->replicas[i] = replicas[i];
	for (unsigned int i = 0; i < 3; i++)
		platform->random[i] = (unsigned short)(seed >> 16 * i);
	return platform;
}

static void
free_watch(struct watch *watch)
{
	plug_fetch_slot_destroy(watch->slot);
	free(watch);
}

/**
 * plug_platform_destroy() - stop all watches
 * @platform: reader, or NULL; not from one of its handlers
 */
void
plug_platform_destroy(struct plug_platform *platform)
{
	if (platform == NULL)
		return;
	for (unsigned int i = 0; i < platform->watch_count; i++)
		free_watch(platform->watches[i]);
	plug_loop_destroy(platform->loop);
	free(platform);
}

/* Header lines are not terminated by a NUL. */
static void
on_header(void *data, struct plug_str line)
{
	const size_t prefix = strlen(INDEX_HEADER);
	struct watch *watch = data;
	char text[32];

	if (line.len > prefix && line.len - prefix < sizeof(text) &&
	    strncasecmp(line.data, INDEX_HEADER, prefix) == 0) {
		memcpy(text, line.data + prefix, line.len - prefix);
		text[line.len - prefix] = '\0';
		watch->answer_index = strtoull(text, NULL, 10);
	}
}

static void on_done(void *data, const struct plug_fetch_answer *answer);

static struct watch *
create_watch(
    struct plug_platform *platform, struct plug_str key, uint64_t index)
{
	struct watch *watch = calloc(1, sizeof(*watch));
	const struct plug_fetch_handlers handlers = {
		.header = on_header,
		.done = on_done,
		.data = watch,
		.body_max = PLUG_DOCUMENT_SIZE_MAX,
	};

	if (watch == NULL)
		return NULL;
	watch->slot = plug_fetch_slot_create(platform->loop, &handlers);
	if (watch->slot == NULL) {
		free(watch);
		return NULL;
	}
	watch->platform = platform;
	(void)plug_str_copy(key, watch->key, sizeof(watch->key));
	watch->index = index;
	watch->replica =
	    (unsigned int)(nrand48(platform->random) % platform->replica_count);
	watch->due = now_ms();
	return watch;
}

static unsigned int
find_watch(const struct plug_platform *platform, struct plug_str key)
{
	unsigned int i = 0;

	while (i < platform->watch_count &&
	       !plug_str_equal(key, plug_str_from(platform->watches[i]->key)))
		i++;
	return i;
}

/**
 * plug_platform_watch() - read a key now and after each change
 * @platform: reader
 * @key: key
 * @index: version that is held; the first answer is another one, or any when 0
 *
 * A running watch of the key is replaced. Return: PLUG_OK, PLUG_E_RANGE for a
 * key that is too long, PLUG_E_FULL, PLUG_E_NO_UPSTREAM without replicas, or
 * PLUG_E_MEMORY.
 */
enum plug_code
plug_platform_watch(
    struct plug_platform *platform, struct plug_str key, uint64_t index)
{
	struct watch *watch;

	if (key.len >= KEY_SIZE)
		return PLUG_E_RANGE;
	if (platform->replica_count == 0)
		return PLUG_E_NO_UPSTREAM;
	plug_platform_unwatch(platform, key);
	if (platform->watch_count == WATCHES_MAX)
		return PLUG_E_FULL;
	watch = create_watch(platform, key, index);
	if (watch == NULL)
		return PLUG_E_MEMORY;
	platform->watches[platform->watch_count++] = watch;
	return PLUG_OK;
}

/**
 * plug_platform_unwatch() - stop reading a key
 * @platform: reader
 * @key: key; nothing happens when it isn't watched
 */
void
plug_platform_unwatch(struct plug_platform *platform, struct plug_str key)
{
	unsigned int i = find_watch(platform, key);

	if (i == platform->watch_count)
		return;
	free_watch(platform->watches[i]);
	platform->watches[i] = platform->watches[--platform->watch_count];
}

static void
start_query(struct watch *watch, int64_t now)
{
	struct plug_platform *platform = watch->platform;
	uint64_t index = watch->missing ? watch->missing_index : watch->index;
	char url[PLUG_FETCH_URL_SIZE], address[32];

	(void)plug_endpoint_format(
	    platform->replicas[watch->replica], address, sizeof(address));
	(void)snprintf(url, sizeof(url),
	    "http://%s/v1/kv/%s%sindex=%llu&wait=%ds", address, watch->key,
	    strchr(watch->key, '?') == NULL ? "?raw&" : "&",
	    (unsigned long long)index, WAIT_S);
	watch->answer_index = 0;
	watch->started = now;
	(void)plug_fetch_start(watch->slot, url, TIMEOUT_MS);
	watch->due = now + BACKOFF_MAX_MS;
}

/* Waits between half and all of a doubling delay, then asks the next one. */
static void
back_off(struct watch *watch, int64_t now)
{
	int64_t delay = BACKOFF_MIN_MS;

	for (unsigned int i = 0; i < watch->failures && delay < BACKOFF_MAX_MS;
	     i++)
		delay *= 2;
	if (delay > BACKOFF_MAX_MS)
		delay = BACKOFF_MAX_MS;
	watch->failures++;
	watch->due =
	    now + delay / 2 + nrand48(watch->platform->random) % (delay / 2);
	watch->replica = (watch->replica + 1) % watch->platform->replica_count;
}

/*
 * Decides about the next query before the handler is called, since the
 * handler may stop this watch.
 */
static void
on_done(void *data, const struct plug_fetch_answer *answer)
{
	struct watch *watch = data;
	const struct plug_platform_handlers *handlers =
	    &watch->platform->handlers;
	char key[KEY_SIZE], reason[96];
	int64_t now = now_ms();
	uint64_t version = watch->answer_index;
	bool early = now - watch->started < EARLY_ANSWER_MS;
	bool was_missing = watch->missing;

	(void)memcpy(key, watch->key, sizeof(key));
	watch->due = now + SPACING_MS;
	if (answer->status == 404 && version > 0) {
		if (was_missing && version == watch->missing_index && early)
			back_off(watch, now);
		else
			watch->failures = 0;
		watch->missing = true;
		watch->missing_index = version;
		if (!was_missing)
			handlers->failure(handlers->data, plug_str_from(key),
			    "the key does not exist");
		return;
	}
	if (answer->status != 200 || version == 0) {
		(void)snprintf(reason, sizeof(reason), "%s, status %ld",
		    answer->reason, answer->status);
		back_off(watch, now);
		handlers->failure(handlers->data, plug_str_from(key), reason);
		return;
	}
	watch->missing = false;
	if (version == watch->index) {
		if (early)
			back_off(watch, now);
		return;
	}
	/* A replica that lags is left; what it said is still handed on, for
	 * the key store to refuse and log. */
	if (version < watch->index) {
		back_off(watch, now);
	} else {
		watch->failures = 0;
		watch->index = version;
	}
	handlers->value(
	    handlers->data, plug_str_from(key), version, answer->body);
}

static int64_t
start_due_queries(struct plug_platform *platform, int64_t wait)
{
	int64_t now = now_ms();

	for (unsigned int i = 0; i < platform->watch_count; i++) {
		struct watch *watch = platform->watches[i];

		if (plug_fetch_busy(watch->slot))
			continue;
		if (watch->due <= now)
			start_query(watch, now);
		else if (watch->due - now < wait)
			wait = watch->due - now;
	}
	return wait;
}

/**
 * plug_platform_poll() - start due queries and hand on finished ones
 * @platform: reader
 * @timeout_ms: longest wait in milliseconds
 */
void
plug_platform_poll(struct plug_platform *platform, int timeout_ms)
{
	int64_t wait = start_due_queries(platform, timeout_ms);

	plug_loop_wait(platform->loop, wait * PLUG_MSEC);
}
