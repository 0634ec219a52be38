#include <argtable2.h>
#include <dirent.h>
#include <errno.h>
#include <json-c/json.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include "net/datagram.h"
#include "standin.h"

#define SERVICES_MAX	16
#define ENTRIES_MAX	64
#define DATAGRAM_SIZE	(PLUG_GRE_SIZE + PLUG_PACKET_MAX)
#define READ_BATCH	256 /* datagrams from one socket before the next */
#define RELOAD_INTERVAL (200 * PLUG_MSEC)
#define LONGEST_POLL	(200 * PLUG_MSEC)
#define PATH_BYTES	4096 /* bytes of a path, with the NUL */

/* A datagram that waits for its delay to pass. */
struct delayed {
	struct delayed *next;
	plug_time due;
	int fd;
	struct plug_endpoint target;
	size_t len;
	uint8_t data[DATAGRAM_SIZE];
};

struct fabric {
	struct plug_client client;
	struct pollfd polled[SERVICES_MAX + 2]; /* services, gateway, signals */
	struct plug_endpoint services[SERVICES_MAX];
	size_t service_count;
	int gateway;
	struct plug_endpoint entries[ENTRIES_MAX];
	size_t entry_count;
	const char *entries_path; /* instance list, or directory of lists */
	struct timespec entries_time;
	plug_time reload_due;
	double loss;
	double duplication;
	plug_time delay;
	plug_time jitter;
	struct delayed *queue; /* by due time */
	uint64_t to_entries, to_callers, lost, duplicated, dropped;
};

static bool
happens(struct fabric *fabric, double share)
{
	const uint32_t scale = 1000000;

	return share > 0 &&
	       plug_client_random(&fabric->client, scale) < share * scale;
}

static void
transmit(int fd, struct plug_endpoint target, const uint8_t *data, size_t len)
{
	struct sockaddr_in in = plug_standin_to_sockaddr(target);

	(void)sendto(fd, data, len, 0, (struct sockaddr *)&in, sizeof(in));
}

static void
delay(struct fabric *fabric, plug_time now, int fd, struct plug_endpoint target,
    const uint8_t *data, size_t len)
{
	struct delayed *item, **place = &fabric->queue;

	item = malloc(sizeof(*item));
	if (item == NULL)
		return;
	item->due =
	    now + fabric->delay +
	    plug_client_random(&fabric->client, (uint32_t)fabric->jitter + 1);
	item->fd = fd;
	item->target = target;
	item->len = len;
	memcpy(item->data, data, len);
	while (*place != NULL && (*place)->due <= item->due)
		place = &(*place)->next;
	item->next = *place;
	*place = item;
}

static void
carry(struct fabric *fabric, plug_time now, int fd, struct plug_endpoint target,
    const uint8_t *data, size_t len)
{
	int copies = 1;

	if (happens(fabric, fabric->loss)) {
		fabric->lost++;
		return;
	}
	if (happens(fabric, fabric->duplication)) {
		fabric->duplicated++;
		copies = 2;
	}
	while (copies-- > 0) {
		if (fabric->delay + fabric->jitter > 0)
			delay(fabric, now, fd, target, data, len);
		else
			transmit(fd, target, data, len);
	}
}

static plug_time
release(struct fabric *fabric, plug_time now)
{
	while (fabric->queue != NULL && fabric->queue->due <= now) {
		struct delayed *item = fabric->queue;

		fabric->queue = item->next;
		transmit(item->fd, item->target, item->data, item->len);
		free(item);
	}
	return fabric->queue != NULL ? fabric->queue->due : INT64_MAX;
}

/* Any entry may get any packet of a flow. */
static void
from_caller(struct fabric *fabric, plug_time now, size_t service)
{
	uint8_t buf[DATAGRAM_SIZE];
	uint8_t *packet = buf + PLUG_GRE_SIZE;
	struct plug_endpoint caller, entry;
	struct sockaddr_in in = { 0 };
	socklen_t in_len;
	size_t len;
	ssize_t n;

	for (int i = 0; i < READ_BATCH; i++) {
		in_len = sizeof(in);
		n = recvfrom(fabric->polled[service].fd,
		    packet + PLUG_PACKET_HEADER,
		    PLUG_PACKET_MAX - PLUG_PACKET_HEADER, MSG_TRUNC,
		    (struct sockaddr *)&in, &in_len);
		if (n < 0)
			return;
		if (n > PLUG_PACKET_MAX - PLUG_PACKET_HEADER ||
		    fabric->entry_count == 0) {
			fabric->dropped++;
			continue;
		}
		caller = plug_standin_from_sockaddr(in);
		len = PLUG_PACKET_HEADER + (size_t)n;
		plug_gre_encode(buf);
		plug_packet_put_headers(packet, len, caller,
		    fabric->services[service], PLUG_INITIAL_TTL);
		entry = fabric->entries[plug_client_random(
		    &fabric->client, (uint32_t)fabric->entry_count)];
		fabric->to_entries++;
		carry(fabric, now, fabric->gateway, entry, buf,
		    PLUG_GRE_SIZE + len);
	}
}

static void
from_inside(struct fabric *fabric, plug_time now)
{
	uint8_t buf[DATAGRAM_SIZE];
	const uint8_t *packet = buf + PLUG_GRE_SIZE;
	struct plug_endpoint source, caller;
	size_t service, packet_len;
	uint8_t ttl;
	ssize_t n;

	for (int i = 0; i < READ_BATCH; i++) {
		n = recv(fabric->gateway, buf, sizeof(buf), MSG_TRUNC);
		if (n < 0)
			return;
		packet_len = (size_t)n - PLUG_GRE_SIZE;
		if ((size_t)n > sizeof(buf) ||
		    !plug_gre_valid(buf, (size_t)n) ||
		    plug_packet_get_headers(packet, packet_len, &source,
			&caller, &ttl, NULL) != PLUG_OK) {
			fabric->dropped++;
			continue;
		}
		for (service = 0; service < fabric->service_count; service++) {
			if (plug_endpoint_equal(
				fabric->services[service], source))
				break;
		}
		if (service == fabric->service_count) {
			fabric->dropped++;
			continue;
		}
		fabric->to_callers++;
		carry(fabric, now, fabric->polled[service].fd, caller,
		    packet + PLUG_PACKET_HEADER,
		    packet_len - PLUG_PACKET_HEADER);
	}
}

/* Adds the entries of an instance list; only live ones get packets. */
static void
load_list(struct fabric *fabric, const char *path)
{
	struct json_object *list = json_object_from_file(path);
	size_t count = fabric->entry_count;

	if (list == NULL || !json_object_is_type(list, json_type_array)) {
		(void)fprintf(stderr,
		    "event=error text=\"entries file is not a JSON array\"\n");
		json_object_put(list);
		return;
	}
	for (size_t i = 0;
	     i < json_object_array_length(list) && count < ENTRIES_MAX; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		const char *state = json_object_get_string(
		    json_object_object_get(item, "state"));
		const char *address = json_object_get_string(
		    json_object_object_get(item, "address"));

		if (state != NULL && strcmp(state, "live") == 0 &&
		    address != NULL &&
		    plug_standin_endpoint(address, &fabric->entries[count]))
			count++;
	}
	json_object_put(list);
	fabric->entry_count = count;
}

static void
load_entries(struct fabric *fabric)
{
	char path[PATH_BYTES];
	DIR *dir = opendir(fabric->entries_path);
	struct dirent *file;

	fabric->entry_count = 0;
	if (dir == NULL)
		load_list(fabric, fabric->entries_path);
	while (dir != NULL && (file = readdir(dir)) != NULL) {
		int n = snprintf(path, sizeof(path), "%s/%s",
		    fabric->entries_path, file->d_name);

		if (file->d_name[0] != '.' && n > 0 && (size_t)n < sizeof(path))
			load_list(fabric, path);
	}
	if (dir != NULL)
		(void)closedir(dir);
	(void)printf("event=entries count=%zu\n", fabric->entry_count);
}

/* Renaming a file into the directory changes the directory's time. */
static void
reload_entries(struct fabric *fabric, plug_time now)
{
	struct stat st;

	if (fabric->entries_path == NULL || now < fabric->reload_due)
		return;
	fabric->reload_due = now + RELOAD_INTERVAL;
	if (stat(fabric->entries_path, &st) != 0 ||
	    (st.st_mtim.tv_sec == fabric->entries_time.tv_sec &&
		st.st_mtim.tv_nsec == fabric->entries_time.tv_nsec))
		return;
	fabric->entries_time = st.st_mtim;
	load_entries(fabric);
}

static void
run(struct fabric *fabric)
{
	size_t gateway = fabric->service_count, signals = gateway + 1;
	plug_time now = plug_standin_now(), due;
	int sig;

	for (;;) {
		reload_entries(fabric, now);
		due = release(fabric, now);
		if (poll(fabric->polled, signals + 1,
			plug_standin_poll_wait(now, due, LONGEST_POLL)) < 0 &&
		    errno != EINTR)
			return;
		now = plug_standin_now();
		for (size_t i = 0; i < gateway; i++) {
			if (fabric->polled[i].revents != 0)
				from_caller(fabric, now, i);
		}
		if (fabric->polled[gateway].revents != 0)
			from_inside(fabric, now);
		sig = plug_standin_take_signal(fabric->polled[signals].fd);
		if (sig == SIGTERM || sig == SIGINT)
			return;
	}
}

static bool
open_sockets(
    struct fabric *fabric, struct arg_str *services, const char *listen)
{
	struct plug_endpoint endpoint;
	char text[PLUG_ENDPOINT_TEXT];
	size_t n = 0;

	for (int i = 0; i < services->count; i++) {
		if (!plug_standin_endpoint(services->sval[i], &endpoint))
			return false;
		fabric->polled[n].fd = plug_standin_bind(SOCK_DGRAM, &endpoint);
		if (fabric->polled[n].fd < 0)
			return false;
		fabric->services[n++] = endpoint;
		(void)plug_endpoint_format(endpoint, text, sizeof(text));
		(void)printf("event=service address=%s\n", text);
	}
	fabric->service_count = n;
	if (!plug_standin_endpoint(listen, &endpoint))
		return false;
	fabric->gateway = plug_standin_bind(SOCK_DGRAM, &endpoint);
	fabric->polled[n].fd = fabric->gateway;
	fabric->polled[n + 1].fd = plug_standin_signals();
	if (fabric->gateway < 0 || fabric->polled[n + 1].fd < 0)
		return false;
	for (size_t i = 0; i < n + 2; i++)
		fabric->polled[i].events = POLLIN;
	(void)plug_endpoint_format(endpoint, text, sizeof(text));
	(void)printf("event=listening address=%s\n", text);
	return true;
}

static void
finish(struct fabric *fabric)
{
	while (fabric->queue != NULL) {
		struct delayed *item = fabric->queue;

		fabric->queue = item->next;
		free(item);
	}
	for (size_t i = 0; i < fabric->service_count + 2; i++) {
		if (fabric->polled[i].fd > 0)
			(void)close(fabric->polled[i].fd);
	}
	(void)printf("event=fabric_summary to_entries=%llu to_callers=%llu "
		     "lost=%llu duplicated=%llu dropped=%llu\n",
	    (unsigned long long)fabric->to_entries,
	    (unsigned long long)fabric->to_callers,
	    (unsigned long long)fabric->lost,
	    (unsigned long long)fabric->duplicated,
	    (unsigned long long)fabric->dropped);
}

static plug_time
milliseconds(const struct arg_dbl *arg)
{
	return (plug_time)(plug_arguments_double(arg, 0) * (double)PLUG_MSEC);
}

/**
 * plug_standin_fabric_main() - fabric that sprays packets over the entries
 * @argc: number of arguments
 * @argv: arguments, the first one is the subcommand
 *
 * Prints event=service for each service address in the order given and
 * event=listening for the gateway. Return: exit status.
 */
int
plug_standin_fabric_main(int argc, char **argv)
{
	struct arg_str *services = arg_strn(NULL, "service", "IP:PORT", 1,
	    SERVICES_MAX, "service address for callers; port 0 is ephemeral");
	struct arg_str *listen = arg_str1(
	    NULL, "listen", "IP:PORT", "gateway for replies in GRE-in-UDP");
	struct arg_str *entries =
	    arg_strn(NULL, "entry", "IP:PORT", 0, ENTRIES_MAX, "entry address");
	struct arg_file *file = arg_file0(NULL, "entries", "PATH",
	    "instance list of the entries, or a directory of such lists into "
	    "which files are renamed; read again when it changes");
	struct arg_dbl *loss =
	    arg_dbl0(NULL, "loss", "SHARE", "packets lost, 0 to 1");
	struct arg_dbl *duplication =
	    arg_dbl0(NULL, "duplicate", "SHARE", "packets sent twice, 0 to 1");
	struct arg_dbl *wait = arg_dbl0(NULL, "delay", "MS", "one-way delay");
	struct arg_dbl *jitter =
	    arg_dbl0(NULL, "jitter", "MS", "further delay, up to this, random");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
	struct arg_end *end = arg_end(4);
	void *table[] = { services, listen, entries, file, loss, duplication,
		wait, jitter, seed, end };
	struct fabric *fabric = NULL;
	int status;

	(void)setvbuf(stdout, NULL, _IOLBF, 0);
	if (!plug_arguments_parse(argc, argv, table, &status))
		goto out;
	status = EXIT_FAILURE;
	fabric = calloc(1, sizeof(*fabric));
	if (fabric == NULL)
		goto out;
	fabric->client.random[0] = (unsigned short)plug_arguments_int(seed, 1);
	fabric->loss = plug_arguments_double(loss, 0);
	fabric->duplication = plug_arguments_double(duplication, 0);
	fabric->delay = milliseconds(wait);
	fabric->jitter = milliseconds(jitter);
	fabric->entries_path = file->count > 0 ? file->filename[0] : NULL;
	for (int i = 0; i < entries->count; i++) {
		if (!plug_standin_endpoint(
			entries->sval[i], &fabric->entries[i]))
			goto out;
		fabric->entry_count++;
	}
	if (open_sockets(fabric, services, listen->sval[0])) {
		run(fabric);
		status = EXIT_SUCCESS;
	}
	finish(fabric);
out:
	free(fabric);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
