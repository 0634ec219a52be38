#include <argtable2.h>
#include <arpa/inet.h>
#include <dirent.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "../libplantainlug/document.h"
#include "../net/arguments.h"
#include "../net/file.h"
#include "configservice.h"

#define KEY_SIZE	96    /* bytes of a key, with the NUL */
#define PATH_BYTES	4096  /* bytes of a path, with the NUL */
#define FILES_MAX	1024  /* keys */
#define SCAN_MS		50    /* between two looks at the directory */
#define WAIT_DEFAULT_MS 30000 /* of a query without wait */
#define URL_PREFIX	"/v1/kv/"
#define FILE_SUFFIX	".json"

/* One key. */
struct item {
	char key[KEY_SIZE];
	uint64_t version;
	char *data;
	size_t len;
	bool seen;
};

/* One request; waiting ones are linked and suspended. */
struct request {
	struct MHD_Connection *connection;
	int64_t deadline;
	bool waiting;
	struct request *next;
};

struct plug_standin_config {
	char dir[PATH_BYTES];
	struct plug_endpoint listen;
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock;
	bool stopping;
	uint64_t counter; /* last version that was given */
	uint64_t listing; /* version of the set of keys */
	unsigned int count;
	struct item items[FILES_MAX];
	struct request *waiting;
};

static volatile sig_atomic_t stop_requested;

static int64_t
now_ms(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static struct item *
find_item(struct plug_standin_config *service, const char *key)
{
	for (unsigned int i = 0; i < service->count; i++) {
		if (strcmp(service->items[i].key, key) == 0)
			return &service->items[i];
	}
	return NULL;
}

/* Takes the bytes. Returns whether the key is new or its content changed. */
static bool
store_item(struct plug_standin_config *service, const char *key, char *data,
    size_t len)
{
	struct item *item = find_item(service, key);

	if (item == NULL) {
		if (service->count == FILES_MAX) {
			free(data);
			return false;
		}
		item = &service->items[service->count++];
		memset(item, 0, sizeof(*item));
		(void)snprintf(item->key, sizeof(item->key), "%s", key);
	} else if (item->len == len && memcmp(item->data, data, len) == 0) {
		item->seen = true;
		free(data);
		return false;
	}
	free(item->data);
	item->data = data;
	item->len = len;
	item->seen = true;
	item->version = ++service->counter;
	return true;
}

static bool
has_suffix(const char *name, const char *suffix)
{
	size_t len = strlen(name), n = strlen(suffix);

	return len > n && strcmp(name + len - n, suffix) == 0;
}

static bool
scan_file(
    struct plug_standin_config *service, const char *kind, const char *name)
{
	char path[PATH_BYTES + 600], key[KEY_SIZE];
	size_t len, name_len = strlen(name);
	char *data;
	int n;

	if (name[0] == '.' || has_suffix(name, ".tmp"))
		return false;
	if (has_suffix(name, FILE_SUFFIX))
		name_len -= strlen(FILE_SUFFIX);
	n = snprintf(key, sizeof(key), "%s/%.*s", kind, (int)name_len, name);
	if (n < 0 || (size_t)n >= sizeof(key))
		return false;
	(void)snprintf(
	    path, sizeof(path), "%s/%s/%s", service->dir, kind, name);
	if (plug_file_read(path, PLUG_DOCUMENT_SIZE_MAX, &data, &len, NULL) !=
	    PLUG_OK)
		return false;
	return store_item(service, key, data, len);
}

static bool
scan_kind(struct plug_standin_config *service, const char *kind)
{
	char path[PATH_BYTES + 300];
	struct dirent *entry;
	bool changed = false;
	DIR *dir;

	(void)snprintf(path, sizeof(path), "%s/%s", service->dir, kind);
	dir = kind[0] == '.' ? NULL : opendir(path);
	if (dir == NULL)
		return false;
	while ((entry = readdir(dir)) != NULL)
		changed |= scan_file(service, kind, entry->d_name);
	(void)closedir(dir);
	return changed;
}

/* Removes the keys whose file is gone. */
static bool
drop_unseen(struct plug_standin_config *service)
{
	unsigned int kept = 0;
	bool dropped;

	for (unsigned int i = 0; i < service->count; i++) {
		if (service->items[i].seen)
			service->items[kept++] = service->items[i];
		else
			free(service->items[i].data);
	}
	dropped = kept != service->count;
	service->count = kept;
	return dropped;
}

static void
resume_waiting(struct plug_standin_config *service, bool all)
{
	struct request **link = &service->waiting;
	int64_t now = now_ms();

	while (*link != NULL) {
		struct request *request = *link;

		if (!all && request->deadline > now) {
			link = &request->next;
			continue;
		}
		*link = request->next;
		request->waiting = false;
		MHD_resume_connection(request->connection);
	}
}

/**
 * plug_standin_config_scan() - read the directory and wake waiting queries
 * @service: service
 */
void
plug_standin_config_scan(struct plug_standin_config *service)
{
	struct dirent *entry;
	unsigned int before;
	bool changed = false, dropped;
	DIR *dir;

	(void)pthread_mutex_lock(&service->lock);
	before = service->count;
	for (unsigned int i = 0; i < service->count; i++)
		service->items[i].seen = false;
	dir = opendir(service->dir);
	while (dir != NULL && (entry = readdir(dir)) != NULL)
		changed |= scan_kind(service, entry->d_name);
	/* The only keys below a key's directory. */
	changed |= scan_kind(service, "instances/entries");
	if (dir != NULL)
		(void)closedir(dir);
	if (service->count != before)
		service->listing = ++service->counter;
	dropped = drop_unseen(service);
	if (dropped)
		service->listing = ++service->counter;
	resume_waiting(service, changed || dropped);
	(void)pthread_mutex_unlock(&service->lock);
}

static enum MHD_Result
respond(struct MHD_Connection *connection, unsigned int code, uint64_t index,
    const char *data, size_t len)
{
	/* MHD copies the bytes and doesn't write to them. */
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    len, (void *)data, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;
	char text[32];

	if (response == NULL)
		return MHD_NO;
	(void)snprintf(text, sizeof(text), "%llu", (unsigned long long)index);
	(void)MHD_add_response_header(response, "X-Consul-Index", text);
	result = MHD_queue_response(connection, code, response);
	MHD_destroy_response(response);
	return result;
}

/* JSON array of the keys below a prefix; their characters need no escape. */
static enum MHD_Result
respond_listing(struct plug_standin_config *service,
    struct MHD_Connection *connection, const char *prefix)
{
	char *text = malloc((size_t)service->count * (KEY_SIZE + 3) + 3);
	enum MHD_Result result;
	size_t len = 0;

	if (text == NULL)
		return MHD_NO;
	text[len++] = '[';
	for (unsigned int i = 0; i < service->count; i++) {
		const char *key = service->items[i].key;

		if (strncmp(key, prefix, strlen(prefix)) == 0)
			len += (size_t)sprintf(
			    text + len, "%s\"%s\"", len > 1 ? "," : "", key);
	}
	text[len++] = ']';
	result = respond(connection, len > 2 ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND,
	    service->listing, text, len);
	free(text);
	return result;
}

static int64_t
parse_wait(const char *text)
{
	char *end;
	unsigned long n;

	if (text == NULL)
		return WAIT_DEFAULT_MS;
	n = strtoul(text, &end, 10);
	return strcmp(end, "ms") == 0 ? (int64_t)n : (int64_t)n * 1000;
}

/* Answers, or suspends the connection until a change or its deadline. */
static enum MHD_Result
serve(struct plug_standin_config *service, struct request *request,
    const char *key)
{
	struct MHD_Connection *connection = request->connection;
	const char *index_text = MHD_lookup_connection_value(
	    connection, MHD_GET_ARGUMENT_KIND, "index");
	uint64_t index =
	    index_text == NULL ? 0 : strtoull(index_text, NULL, 10);
	bool listing =
	    MHD_lookup_connection_value_n(connection, MHD_GET_ARGUMENT_KIND,
		"keys", 4, NULL, NULL) == MHD_YES;
	const struct item *item = find_item(service, key);
	uint64_t version = listing	  ? service->listing
			   : item != NULL ? item->version
					  : service->counter;

	if (request->deadline == 0)
		request->deadline =
		    now_ms() + parse_wait(MHD_lookup_connection_value(
				   connection, MHD_GET_ARGUMENT_KIND, "wait"));
	if (index > 0 && version <= index && !service->stopping &&
	    now_ms() < request->deadline) {
		request->waiting = true;
		request->next = service->waiting;
		service->waiting = request;
		MHD_suspend_connection(connection);
		return MHD_YES;
	}
	if (listing)
		return respond_listing(service, connection, key);
	if (item == NULL)
		return respond(connection, MHD_HTTP_NOT_FOUND, version, "", 0);
	return respond(connection, MHD_HTTP_OK, version, item->data, item->len);
}

static enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload,
    size_t *upload_size, void **state)
{
	struct plug_standin_config *service = data;
	struct request *request = *state;
	enum MHD_Result result;

	(void)version;
	(void)upload;
	(void)upload_size;
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0 ||
	    strncmp(url, URL_PREFIX, strlen(URL_PREFIX)) != 0)
		return respond(connection, MHD_HTTP_BAD_REQUEST, 0, "", 0);
	if (request == NULL) {
		request = calloc(1, sizeof(*request));
		if (request == NULL)
			return MHD_NO;
		request->connection = connection;
		*state = request;
		return MHD_YES;
	}
	(void)pthread_mutex_lock(&service->lock);
	result = serve(service, request, url + strlen(URL_PREFIX));
	(void)pthread_mutex_unlock(&service->lock);
	return result;
}

static void
on_completed(void *data, struct MHD_Connection *connection, void **state,
    enum MHD_RequestTerminationCode code)
{
	struct plug_standin_config *service = data;
	struct request *request = *state;

	(void)connection;
	(void)code;
	if (request == NULL)
		return;
	(void)pthread_mutex_lock(&service->lock);
	for (struct request **link = &service->waiting; *link != NULL;
	     link = &(*link)->next) {
		if (*link == request) {
			*link = request->next;
			break;
		}
	}
	(void)pthread_mutex_unlock(&service->lock);
	free(request);
	*state = NULL;
}

/**
 * plug_standin_config_start() - serve a directory
 * @dir: directory
 * @listen: address; port 0 takes a free port
 * @first_version: version of the first key, at least 1
 * @status: receives the reason of a failure
 *
 * Return: the service, or NULL.
 */
struct plug_standin_config *
plug_standin_config_start(const char *dir, struct plug_endpoint listen,
    uint64_t first_version, struct plug_status *status)
{
	struct plug_standin_config *service = calloc(1, sizeof(*service));
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons(listen.port),
		.sin_addr = { htonl(listen.address) } };
	const union MHD_DaemonInfo *info;

	if (service == NULL) {
		(void)plug_status_set(status, PLUG_E_MEMORY, "out of memory");
		return NULL;
	}
	(void)snprintf(service->dir, sizeof(service->dir), "%s", dir);
	service->listen = listen;
	service->counter = first_version - 1;
	service->listing = first_version;
	(void)pthread_mutex_init(&service->lock, NULL);
	plug_standin_config_scan(service);
	service->daemon =
	    MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_AUTO |
				 MHD_ALLOW_SUSPEND_RESUME,
		listen.port, NULL, NULL, on_request, service,
		MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, service,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (service->daemon == NULL) {
		(void)plug_status_set(status, PLUG_E_IO, "can't listen");
		plug_standin_config_stop(service);
		return NULL;
	}
	info = MHD_get_daemon_info(service->daemon, MHD_DAEMON_INFO_BIND_PORT);
	if (info != NULL)
		service->listen.port = info->port;
	return service;
}

/**
 * plug_standin_config_address() - where the service listens
 * @service: service
 */
struct plug_endpoint
plug_standin_config_address(const struct plug_standin_config *service)
{
	return service->listen;
}

/**
 * plug_standin_config_stop() - answer waiting queries and stop
 * @service: service, or NULL
 */
void
plug_standin_config_stop(struct plug_standin_config *service)
{
	if (service == NULL)
		return;
	(void)pthread_mutex_lock(&service->lock);
	service->stopping = true;
	if (service->daemon != NULL)
		resume_waiting(service, true);
	(void)pthread_mutex_unlock(&service->lock);
	if (service->daemon != NULL)
		MHD_stop_daemon(service->daemon);
	for (unsigned int i = 0; i < service->count; i++)
		free(service->items[i].data);
	(void)pthread_mutex_destroy(&service->lock);
	free(service);
}

static void
on_signal(int number)
{
	(void)number;
	stop_requested = 1;
}

/* plug_endpoint_parse() refuses port 0, which asks for a free port here. */
static int
serve_until_signal(
    const char *dir, struct plug_endpoint listen, uint64_t first_version)
{
	const struct timespec pause = { 0, SCAN_MS * 1000000L };
	struct sigaction action = { .sa_handler = on_signal };
	struct plug_standin_config *service;
	struct plug_status status;
	char address[PLUG_ENDPOINT_TEXT];

	service =
	    plug_standin_config_start(dir, listen, first_version, &status);
	if (service == NULL) {
		(void)fprintf(
		    stderr, "plantainlug-standin config: %s\n", status.message);
		return 1;
	}
	(void)sigaction(SIGTERM, &action, NULL);
	(void)sigaction(SIGINT, &action, NULL);
	(void)plug_endpoint_format(
	    plug_standin_config_address(service), address, sizeof(address));
	(void)printf("event=listening address=%s\n", address);
	(void)fflush(stdout);
	while (!stop_requested) {
		(void)nanosleep(&pause, NULL);
		plug_standin_config_scan(service);
	}
	plug_standin_config_stop(service);
	return 0;
}

/**
 * plug_standin_config_main() - the subcommand config
 * @argc: arguments, with the name of the subcommand
 * @argv: --listen ip:port --dir DIR [--first-version N]
 *
 * Return: exit status: 0 after SIGTERM or SIGINT, 1 when the service can't
 * start, 2 for wrong arguments.
 */
int
plug_standin_config_main(int argc, char **argv)
{
	struct arg_str *listen_text =
	    arg_str1(NULL, "listen", "IP:PORT", "address; port 0: any");
	struct arg_str *dir = arg_str1(NULL, "dir", "DIR", "keys to serve");
	struct arg_int *first = arg_int0(
	    NULL, "first-version", "N", "version of the first key (1)");
	void *table[] = { listen_text, dir, first, arg_end(8) };
	struct plug_endpoint listen;
	struct plug_status status;
	int result;

	first->ival[0] = 1;
	if (!plug_arguments_parse(argc, argv, table, &result))
		goto out;
	result = PLUG_EXIT_USAGE;
	if (plug_endpoint_parse_listen(plug_str_from(listen_text->sval[0]),
		&listen, &status) != PLUG_OK)
		(void)fprintf(
		    stderr, "plantainlug-standin config: %s\n", status.message);
	else if (first->ival[0] < 1)
		(void)fprintf(stderr,
		    "plantainlug-standin config: --first-version is below 1\n");
	else
		result = serve_until_signal(
		    dir->sval[0], listen, (uint64_t)first->ival[0]);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
