#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../libplantainlug/document.h"
#include "buffer.h"
#include "platform.h"
#include "pollset.h"

#define KEY_SIZE	96     /* bytes of a key, with the NUL */
#define URL_SIZE	256    /* bytes */
#define WATCHES_MAX	4096   /* keys of one process */
#define WAIT_S		30     /* seconds that a query blocks */
#define TIMEOUT_MS	40000L /* the service may answer a little later */
#define CONNECT_MS	1000L  /* to open a connection */
#define KEEPALIVE_S	3L     /* idle time and interval of probes */
#define BACKOFF_MIN_MS	100    /* after the first failure */
#define BACKOFF_MAX_MS	2000   /* below the 7 s of a change, with retries */
#define SPACING_MS	50     /* between two queries for one key */
#define EARLY_ANSWER_MS 1000   /* an unchanged answer this early is a fault */
#define POLL_MAX_MS	100    /* longest wait of the loop */
#define INDEX_HEADER	"X-Consul-Index:"

/**
 * struct watch - a key that is read again and again
 * @platform: owner
 * @key: key
 * @index: last version that was handed on; queries wait for another one
 * @easy: transfer; running when @running
 * @missing: the service has said that the key does not exist
 * @missing_index: index to wait for while it is missing
 * @replica: replica that is asked
 * @failures: failures in a row
 * @started: time of the query, milliseconds
 * @due: time of the next query when not @running
 * @answer_index: index of the running query's answer
 * @body: answer
 * @len: length of @body in bytes
 * @capacity: its allocated size in bytes
 */
struct watch {
	struct plug_platform *platform;
	char key[KEY_SIZE];
	uint64_t index;
	CURL *easy;
	bool running;
	bool missing;
	uint64_t missing_index;
	unsigned int replica;
	unsigned int failures;
	int64_t started;
	int64_t due;
	uint64_t answer_index;
	uint8_t *body;
	size_t len;
	size_t capacity;
};

struct plug_platform {
	CURLM *multi;
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
 * Return: the reader, or NULL when memory ran out or libcurl failed.
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
	if (curl_global_init(CURL_GLOBAL_DEFAULT) != CURLE_OK) {
		free(platform);
		return NULL;
	}
	platform->multi = curl_multi_init();
	if (platform->multi == NULL) {
		plug_platform_destroy(platform);
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
	if (watch->running)
		(void)curl_multi_remove_handle(
		    watch->platform->multi, watch->easy);
	curl_easy_cleanup(watch->easy);
	free(watch->body);
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
	if (platform->multi != NULL)
		(void)curl_multi_cleanup(platform->multi);
	curl_global_cleanup();
	free(platform);
}

static size_t
on_body(char *data, size_t size, size_t count, void *user)
{
	struct watch *watch = user;
	size_t len = size * count;

	if (len > PLUG_DOCUMENT_SIZE_MAX - watch->len)
		return 0;
	if (!plug_buffer_reserve(
		&watch->body, &watch->capacity, watch->len + len))
		return 0;
	memcpy(watch->body + watch->len, data, len);
	watch->len += len;
	return len;
}

/* libcurl's header lines are not terminated by a NUL. */
static size_t
on_header(char *data, size_t size, size_t count, void *user)
{
	const size_t prefix = strlen(INDEX_HEADER);
	struct watch *watch = user;
	size_t len = size * count;
	char text[32];

	if (len > prefix && len - prefix < sizeof(text) &&
	    curl_strnequal(data, INDEX_HEADER, prefix)) {
		memcpy(text, data + prefix, len - prefix);
		text[len - prefix] = '\0';
		watch->answer_index = strtoull(text, NULL, 10);
	}
	return len;
}

static struct watch *
create_watch(
    struct plug_platform *platform, struct plug_str key, uint64_t index)
{
	struct watch *watch = calloc(1, sizeof(*watch));

	if (watch == NULL)
		return NULL;
	watch->easy = curl_easy_init();
	if (watch->easy == NULL) {
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
	char url[URL_SIZE], address[32];
	CURL *easy = watch->easy;

	(void)plug_endpoint_format(
	    platform->replicas[watch->replica], address, sizeof(address));
	(void)snprintf(url, sizeof(url),
	    "http://%s/v1/kv/%s%sindex=%llu&wait=%ds", address, watch->key,
	    strchr(watch->key, '?') == NULL ? "?raw&" : "&",
	    (unsigned long long)index, WAIT_S);
	watch->len = 0;
	watch->answer_index = 0;
	watch->started = now;
	(void)curl_easy_setopt(easy, CURLOPT_URL, url);
	(void)curl_easy_setopt(easy, CURLOPT_PRIVATE, watch);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, watch);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, watch);
	(void)curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
	(void)curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_MS);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPALIVE, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPIDLE, KEEPALIVE_S);
	(void)curl_easy_setopt(easy, CURLOPT_TCP_KEEPINTVL, KEEPALIVE_S);
	(void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http");
	watch->running =
	    curl_multi_add_handle(platform->multi, easy) == CURLM_OK;
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
finish_query(struct watch *watch, CURLcode result, long http, int64_t now)
{
	struct plug_platform *platform = watch->platform;
	const struct plug_platform_handlers *handlers = &platform->handlers;
	char key[KEY_SIZE], reason[96];
	uint8_t *body = watch->body;
	struct plug_str bytes = { (const char *)body, watch->len };
	uint64_t version = watch->answer_index;
	bool early = now - watch->started < EARLY_ANSWER_MS;
	bool was_missing = watch->missing;

	(void)memcpy(key, watch->key, sizeof(key));
	(void)curl_multi_remove_handle(platform->multi, watch->easy);
	watch->running = false;
	watch->due = now + SPACING_MS;
	if (result == CURLE_OK && http == 404 && version > 0) {
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
	if (result != CURLE_OK || http != 200 || version == 0) {
		(void)snprintf(reason, sizeof(reason), "%s, status %ld",
		    curl_easy_strerror(result), http);
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
	watch->body = NULL;
	watch->capacity = 0;
	handlers->value(handlers->data, plug_str_from(key), version, bytes);
	free(body);
}

/**
 * plug_platform_fds() - descriptors to wait for
 * @platform: reader
 * @fds: receives descriptors and events
 * @max: room in @fds
 *
 * Return: descriptors stored. libcurl reports those below FD_SETSIZE.
 */
unsigned int
plug_platform_fds(
    struct plug_platform *platform, struct pollfd *fds, unsigned int max)
{
	fd_set in, out, error;
	int top = -1;

	FD_ZERO(&in);
	FD_ZERO(&out);
	FD_ZERO(&error);
	(void)curl_multi_fdset(platform->multi, &in, &out, &error, &top);
	return plug_pollset_from(&in, &out, top, fds, max);
}

/**
 * plug_platform_timeout() - longest wait before plug_platform_perform()
 * @platform: reader
 *
 * Return: milliseconds, at most 100.
 */
int
plug_platform_timeout(struct plug_platform *platform)
{
	int64_t now = now_ms(), wait = POLL_MAX_MS;
	long curl_wait = -1;

	(void)curl_multi_timeout(platform->multi, &curl_wait);
	if (curl_wait >= 0 && curl_wait < wait)
		wait = curl_wait;
	for (unsigned int i = 0; i < platform->watch_count; i++) {
		const struct watch *watch = platform->watches[i];

		if (!watch->running && watch->due - now < wait)
			wait = watch->due - now;
	}
	return wait < 0 ? 0 : (int)wait;
}

/**
 * plug_platform_perform() - start due queries and hand on finished ones
 * @platform: reader
 *
 * Never blocks.
 */
void
plug_platform_perform(struct plug_platform *platform)
{
	int64_t now = now_ms();
	int running, queued;
	CURLMsg *message;

	for (unsigned int i = 0; i < platform->watch_count; i++) {
		struct watch *watch = platform->watches[i];

		if (!watch->running && watch->due <= now)
			start_query(watch, now);
	}
	(void)curl_multi_perform(platform->multi, &running);
	while ((message = curl_multi_info_read(platform->multi, &queued)) !=
	       NULL) {
		CURLcode result = message->data.result;
		CURL *easy = message->easy_handle;
		struct watch *watch = NULL;
		long http = 0;

		if (message->msg != CURLMSG_DONE)
			continue;
		(void)curl_easy_getinfo(easy, CURLINFO_PRIVATE, &watch);
		(void)curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http);
		finish_query(watch, result, http, now);
	}
}

/**
 * plug_platform_poll() - wait for the service, then perform
 * @platform: reader
 * @timeout_ms: longest wait in milliseconds
 */
void
plug_platform_poll(struct plug_platform *platform, int timeout_ms)
{
	int wait = plug_platform_timeout(platform);

	(void)curl_multi_poll(platform->multi, NULL, 0,
	    wait < timeout_ms ? wait : timeout_ms, NULL);
	plug_platform_perform(platform);
}
