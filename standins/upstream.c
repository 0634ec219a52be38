#include <argtable2.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "libplantainlug/agent.h"
#include "connection.h"
#include "standin.h"
#include "workload.h"

#define CONNECTIONS_MAX 16
#define ANSWER_MAX	(4 << 20) /* bytes */
#define VERF_SIZE	16	  /* bytes: floor, attempt, budget_ms, offset */
#define VERF_BUDGET	2	  /* place of budget_ms among them */
#define QUEUE_PER_SLOT	8	  /* requests that wait when warm */
#define SAMPLE_INTERVAL (100 * PLUG_MSEC)
#define SAMPLES		600 /* one minute of load samples */
#define LONGEST_POLL	(100 * PLUG_MSEC)
#define LOAD_SCALE	1000 /* the load is published in thousandths */
#define BULK_MIN	(PLUG_BLOCK_SIZE + 1) /* bytes of a bulk answer */
#define LINE_SIZE	240 /* bytes of one line in the record file */

struct job {
	struct job *next;
	uint64_t connection;
	uint32_t xid;
	uint32_t procedure;
	bool running;
	plug_time ends; /* of service when running, else the deadline */
	struct plug_workload workload;
};

struct upstream {
	struct plug_client client;
	uint32_t service;
	unsigned int slots;
	unsigned int cold_slots;
	plug_time cold_time;
	double cold_factor;
	bool cold_fails;
	plug_time short_time;
	plug_time bulk_time;
	plug_time health_lag;
	int health_lie; /* thousandths, -1 for the true load */
	int record;
	int listener;
	int signals;
	plug_time started;
	bool draining;
	uint64_t next_id;
	struct plug_connection connections[CONNECTIONS_MAX];
	struct job *jobs; /* in order of arrival */
	unsigned int running;
	unsigned int waiting;
	plug_time sample_due;
	uint64_t sample_count;
	uint32_t samples[SAMPLES];
	uint64_t done, shed, failed, cancelled, restarts;
};

static void
remove_job(struct upstream *up, struct job **place)
{
	struct job *job = *place;

	*place = job->next;
	if (job->running)
		up->running--;
	else
		up->waiting--;
	free(job);
}

/* Work that runs goes on without its connection; what waits is dropped. */
static void
close_connection(struct upstream *up, struct plug_connection *connection)
{
	struct job **place = &up->jobs;

	while (*place != NULL) {
		if ((*place)->connection == connection->id &&
		    !(*place)->running)
			remove_job(up, place);
		else
			place = &(*place)->next;
	}
	plug_connection_close(connection);
}

static struct plug_connection *
find_connection(struct upstream *up, uint64_t id)
{
	for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
		struct plug_connection *connection = &up->connections[i];

		if (connection->fd >= 0 && connection->id == id)
			return connection;
	}
	return NULL;
}

static void
reply(struct upstream *up, uint64_t to, uint32_t xid, enum accept_stat stat,
    enum plug_upstream_result result, const uint8_t *body, uint32_t len)
{
	struct plug_connection *connection = find_connection(up, to);

	if (connection != NULL)
		plug_connection_reply(connection, xid, stat, result, body, len);
}

static double
warmth(const struct upstream *up, plug_time now)
{
	double share;

	if (up->cold_time == 0)
		return 1;
	share = (double)(now - up->started) / (double)up->cold_time;
	return share < 1 ? share : 1;
}

/* Requests that this upstream bears at a time; it grows while cold. */
static unsigned int
capacity(const struct upstream *up, plug_time now)
{
	double grown = warmth(up, now) * (up->slots - up->cold_slots);
	unsigned int whole = (unsigned int)grown;

	return up->cold_slots + whole + (whole < grown);
}

/*
 * An arrival is recorded with the requests that the upstream then holds and
 * with what it bears at its age.
 */
static void
write_record(const struct upstream *up, plug_time now, const char *event,
    const struct job *job)
{
	char line[LINE_SIZE];
	int n = snprintf(line, sizeof(line),
	    "event=%s service=%u request=%s procedure=%u time_us=%lld "
	    "connection=%llu held=%u capacity=%u cold=%d\n",
	    event, up->service, job->workload.id, job->procedure,
	    (long long)plug_standin_wall_time(),
	    (unsigned long long)job->connection, up->running + up->waiting,
	    capacity(up, now), warmth(up, now) < 1);

	if (up->record >= 0 && n > 0 && write(up->record, line, (size_t)n) != n)
		perror("record");
}

static void
start(struct upstream *up, plug_time now, struct job *job)
{
	bool bulk = job->workload.size >= BULK_MIN;
	plug_time time = bulk ? up->bulk_time : up->short_time;
	double factor =
	    up->cold_factor - (up->cold_factor - 1) * warmth(up, now);

	/* Service times vary by half both ways. */
	time = time / 2 + plug_client_random(&up->client, (uint32_t)time + 1);
	job->running = true;
	job->ends = now + (plug_time)((double)time * factor);
	up->running++;
	write_record(up, now, "start", job);
}

static void
answer(struct upstream *up, const struct job *job)
{
	uint32_t size = job->workload.size;
	uint8_t *body;

	if (size > ANSWER_MAX)
		size = ANSWER_MAX;
	body = malloc(size + 1);
	if (body == NULL)
		return;
	plug_workload_fill(&job->workload, body, size);
	reply(up, job->connection, job->xid, SUCCESS, PLUG_UPSTREAM_DONE, body,
	    size);
	free(body);
	up->done++;
}

/* Ends and starts work; returns the time of the next change. */
static plug_time
work(struct upstream *up, plug_time now)
{
	struct job **place = &up->jobs;
	plug_time due = INT64_MAX;

	while (*place != NULL) {
		struct job *job = *place;

		if (job->ends <= now) {
			if (job->running) {
				answer(up, job);
			} else {
				reply(up, job->connection, job->xid, SUCCESS,
				    PLUG_UPSTREAM_CANCELLED, NULL, 0);
				up->cancelled++;
			}
			remove_job(up, place);
			continue;
		}
		place = &job->next;
	}
	for (struct job *job = up->jobs; job != NULL; job = job->next) {
		if (!job->running && up->running < capacity(up, now)) {
			up->waiting--;
			start(up, now, job);
		}
		if (job->ends < due)
			due = job->ends;
	}
	return due;
}

static void
refuse(struct upstream *up, uint64_t to, uint32_t xid)
{
	reply(up, to, xid, SUCCESS, PLUG_UPSTREAM_SHED, NULL, 0);
	up->shed++;
}

static void
submit(struct upstream *up, plug_time now, uint64_t from, uint32_t xid,
    uint32_t procedure, plug_time deadline, struct plug_str body)
{
	unsigned int limit = up->slots + up->slots * QUEUE_PER_SLOT;
	bool cold = warmth(up, now) < 1;
	struct job *job, **place = &up->jobs;

	if (cold)
		limit = capacity(up, now);
	job = calloc(1, sizeof(*job));
	if (job == NULL || !plug_workload_parse(body, &job->workload)) {
		free(job);
		reply(up, from, xid, GARBAGE_ARGS, 0, NULL, 0);
		return;
	}
	job->connection = from;
	job->xid = xid;
	job->procedure = procedure;
	job->ends = deadline;
	up->waiting++;
	write_record(up, now, "arrival", job);
	up->waiting--;
	if (up->draining || up->running + up->waiting >= limit) {
		if (cold && up->cold_fails && !up->draining) {
			write_record(up, now, "start", job);
			reply(up, from, xid, SUCCESS, PLUG_UPSTREAM_FAILED,
			    NULL, 0);
			up->failed++;
		} else {
			refuse(up, from, xid);
		}
		free(job);
		return;
	}
	while (*place != NULL)
		place = &(*place)->next;
	*place = job;
	up->waiting++;
}

static void
cancel(struct upstream *up, uint64_t from, struct plug_str body)
{
	struct job **place = &up->jobs;
	uint32_t xid;

	if (body.len != sizeof(xid))
		return;
	memcpy(&xid, body.data, sizeof(xid));
	xid = ntohl(xid);
	while (*place != NULL) {
		struct job *job = *place;

		if (job->connection == from && job->xid == xid &&
		    !job->running) {
			reply(up, from, xid, SUCCESS, PLUG_UPSTREAM_CANCELLED,
			    NULL, 0);
			up->cancelled++;
			remove_job(up, place);
			return;
		}
		place = &job->next;
	}
}

static void
report_health(struct upstream *up, plug_time now, uint64_t to, uint32_t xid)
{
	uint64_t back = (uint64_t)(up->health_lag / SAMPLE_INTERVAL) + 1;
	uint32_t load = 0, numbers[3];

	if (back > SAMPLES)
		back = SAMPLES;
	if (up->sample_count >= back)
		load = up->samples[(up->sample_count - back) % SAMPLES];
	if (up->health_lie >= 0)
		load = (uint32_t)up->health_lie;
	numbers[0] = htonl((uint32_t)((now - up->started) / PLUG_SEC));
	numbers[1] = htonl(load);
	numbers[2] = htonl(up->draining);
	reply(up, to, xid, SUCCESS, PLUG_UPSTREAM_DONE,
	    (const uint8_t *)numbers, sizeof(numbers));
}

static void
sample_load(struct upstream *up, plug_time now)
{
	while (up->sample_due <= now) {
		up->samples[up->sample_count++ % SAMPLES] =
		    (up->running + up->waiting) * LOAD_SCALE / up->slots;
		up->sample_due += SAMPLE_INTERVAL;
	}
}

static bool
get_arguments(XDR *xdr, struct plug_str *body)
{
	uint32_t len;

	*body = (struct plug_str){ NULL, 0 };
	if (!xdr_uint32_t(xdr, &len) || len > PLUG_CONNECTION_RECORD_MAX)
		return false;
	if (len > 0) {
		body->data = (char *)XDR_INLINE(xdr, RNDUP(len));
		if (body->data == NULL)
			return false;
	}
	body->len = len;
	return true;
}

/* Returns the time left in the call's verifier, or that of no verifier. */
static plug_time
time_left(const struct opaque_auth *verf)
{
	uint32_t numbers[VERF_SIZE / sizeof(uint32_t)];
	const plug_time unlimited = 600 * PLUG_SEC;

	if (verf->oa_flavor != (enum_t)PLUG_CALL_VERF_FLAVOR ||
	    verf->oa_length != sizeof(numbers))
		return unlimited;
	memcpy(numbers, verf->oa_base, sizeof(numbers));
	return ntohl(numbers[VERF_BUDGET]) * PLUG_MSEC;
}

static bool
handle_call(struct upstream *up, plug_time now, uint64_t from,
    const struct plug_bytes *record)
{
	char cred[MAX_AUTH_BYTES], verf[MAX_AUTH_BYTES];
	struct rpc_msg msg = { 0 };
	struct call_body *call = &msg.rm_call;
	struct plug_str body;
	XDR xdr;

	call->cb_cred.oa_base = cred;
	call->cb_verf.oa_base = verf;
	xdrmem_create(
	    &xdr, (char *)record->data, (u_int)record->len, XDR_DECODE);
	if (!xdr_callmsg(&xdr, &msg))
		return false;
	if (call->cb_prog != up->service) {
		reply(up, from, msg.rm_xid, PROG_UNAVAIL, 0, NULL, 0);
		return true;
	}
	if (!get_arguments(&xdr, &body) &&
	    call->cb_proc != PLUG_PROCEDURE_NULL &&
	    call->cb_proc != PLUG_PROCEDURE_HEALTH) {
		reply(up, from, msg.rm_xid, GARBAGE_ARGS, 0, NULL, 0);
		return true;
	}
	switch (call->cb_proc) {
	case PLUG_PROCEDURE_CANCEL:
		cancel(up, from, body);
		/* FALLTHROUGH */
	case PLUG_PROCEDURE_NULL:
		reply(
		    up, from, msg.rm_xid, SUCCESS, PLUG_UPSTREAM_DONE, NULL, 0);
		break;
	case PLUG_PROCEDURE_HEALTH:
		report_health(up, now, from, msg.rm_xid);
		break;
	default:
		submit(up, now, from, msg.rm_xid, (uint32_t)call->cb_proc,
		    now + time_left(&call->cb_verf), body);
	}
	return true;
}

/* Handles whole calls; returns false on a protocol error. */
static bool
handle_calls(
    struct upstream *up, plug_time now, struct plug_connection *connection)
{
	for (;;) {
		switch (plug_connection_next(connection)) {
		case PLUG_CONNECTION_INCOMPLETE:
			return true;
		case PLUG_CONNECTION_INVALID:
			return false;
		case PLUG_CONNECTION_RECORD:
			if (!handle_call(
				up, now, connection->id, &connection->record))
				return false;
			connection->record.len = 0;
			break;
		}
	}
}

static void
read_connection(
    struct upstream *up, plug_time now, struct plug_connection *connection)
{
	uint8_t buf[PLUG_CONNECTION_RECORD_MAX];
	ssize_t n = recv(connection->fd, buf, sizeof(buf), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0 || !plug_connection_receive(connection, buf, (size_t)n) ||
	    !handle_calls(up, now, connection))
		close_connection(up, connection);
}

static void
accept_connection(struct upstream *up)
{
	int fd =
	    accept4(up->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd < 0)
		return;
	for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
		struct plug_connection *connection = &up->connections[i];

		if (connection->fd >= 0)
			continue;
		*connection =
		    (struct plug_connection){ .fd = fd, .id = ++up->next_id };
		return;
	}
	(void)close(fd);
}

/* Forgets all work without a notice, as a process that crashed would. */
static void
restart_cold(struct upstream *up, plug_time now)
{
	struct linger reset = { .l_onoff = 1, .l_linger = 0 };

	while (up->jobs != NULL)
		remove_job(up, &up->jobs);
	for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
		if (up->connections[i].fd < 0)
			continue;
		(void)setsockopt(up->connections[i].fd, SOL_SOCKET, SO_LINGER,
		    &reset, sizeof(reset));
		close_connection(up, &up->connections[i]);
	}
	up->started = now;
	up->sample_count = 0;
	up->restarts++;
	(void)printf("event=cold_restart\n");
}

/* Connections that are open fail without a notice; new ones work. */
static void
silence_connections(struct upstream *up)
{
	for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
		if (up->connections[i].fd >= 0)
			up->connections[i].silent = true;
	}
	(void)printf("event=silent\n");
}

static bool
flushed(const struct upstream *up)
{
	for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
		if (up->connections[i].fd >= 0 && !up->connections[i].silent &&
		    up->connections[i].out.len > 0)
			return false;
	}
	return true;
}

static void
handle_signal(struct upstream *up, plug_time now)
{
	switch (plug_standin_take_signal(up->signals)) {
	case SIGTERM:
	case SIGINT:
		up->draining = true;
		break;
	case SIGUSR1:
		restart_cold(up, now);
		break;
	case SIGUSR2:
		silence_connections(up);
		break;
	default:
		break;
	}
}

static void
run(struct upstream *up)
{
	struct pollfd polled[CONNECTIONS_MAX + 2];
	plug_time now = plug_standin_now(), due;

	while (!up->draining || up->jobs != NULL || !flushed(up)) {
		sample_load(up, now);
		due = work(up, now);
		for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
			struct plug_connection *connection =
			    &up->connections[i];

			polled[i] = (struct pollfd){
				.fd = connection->silent ? -1 : connection->fd,
				.events = POLLIN
			};
			if (connection->fd >= 0 && connection->out.len > 0)
				polled[i].events |= POLLOUT;
		}
		polled[CONNECTIONS_MAX] =
		    (struct pollfd){ .fd = up->draining ? -1 : up->listener,
			    .events = POLLIN };
		polled[CONNECTIONS_MAX + 1] =
		    (struct pollfd){ .fd = up->signals, .events = POLLIN };
		(void)poll(polled, CONNECTIONS_MAX + 2,
		    plug_standin_poll_wait(now, due, LONGEST_POLL));
		now = plug_standin_now();
		for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
			struct plug_connection *connection =
			    &up->connections[i];

			if (polled[i].revents & POLLOUT)
				plug_connection_flush(connection);
			if (!connection->silent &&
			    connection->fd == polled[i].fd &&
			    polled[i].revents & (POLLIN | POLLHUP | POLLERR))
				read_connection(up, now, connection);
		}
		if (polled[CONNECTIONS_MAX].revents != 0)
			accept_connection(up);
		handle_signal(up, now);
	}
}

static void
finish(struct upstream *up)
{
	for (size_t i = 0; i < CONNECTIONS_MAX; i++) {
		if (up->connections[i].fd >= 0)
			close_connection(up, &up->connections[i]);
	}
	(void)close(up->listener);
	(void)close(up->signals);
	if (up->record >= 0)
		(void)close(up->record);
	(void)printf("event=upstream_summary service=%u done=%llu shed=%llu "
		     "failed=%llu cancelled=%llu restarts=%llu\n",
	    up->service, (unsigned long long)up->done,
	    (unsigned long long)up->shed, (unsigned long long)up->failed,
	    (unsigned long long)up->cancelled,
	    (unsigned long long)up->restarts);
}

static bool
open_files(struct upstream *up, const char *listen, const char *record)
{
	struct plug_endpoint endpoint;
	char text[PLUG_ENDPOINT_TEXT];

	if (!plug_standin_endpoint(listen, &endpoint))
		return false;
	up->listener = plug_standin_bind(SOCK_STREAM, &endpoint);
	up->signals = plug_standin_signals();
	if (up->listener < 0 || up->signals < 0)
		return false;
	if (record != NULL) {
		up->record = open(
		    record, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
		if (up->record < 0) {
			perror(record);
			return false;
		}
	}
	(void)plug_endpoint_format(endpoint, text, sizeof(text));
	(void)printf("event=listening address=%s\n", text);
	return true;
}

/**
 * plug_standin_upstream_main() - server that runs the requests of one service
 * @argc: number of arguments
 * @argv: arguments, the first one is the subcommand
 *
 * SIGTERM drains and stops; SIGUSR1 is an unannounced cold restart; SIGUSR2
 * silences the open connections for good. The record file has one line for
 * each request that arrived and for each that was started. Return: exit
 * status.
 */
int
plug_standin_upstream_main(int argc, char **argv)
{
	const char *short_help =
	    "service time of an answer that fits a packet, 10";
	struct arg_str *listen =
	    arg_str1(NULL, "listen", "IP:PORT", "port 0 is ephemeral");
	struct arg_int *service =
	    arg_int1(NULL, "service-id", "N", "RPC program number");
	struct arg_int *slots =
	    arg_int0(NULL, "slots", "N", "requests at a time, 2");
	struct arg_int *short_ms = arg_int0(NULL, "short-ms", "MS", short_help);
	struct arg_int *bulk_ms = arg_int0(
	    NULL, "bulk-ms", "MS", "service time of larger answers, 50");
	struct arg_int *cold_slots =
	    arg_int0(NULL, "cold-slots", "N", "slots right after a start, 1");
	struct arg_int *cold_ms =
	    arg_int0(NULL, "cold-ms", "MS", "time until warm, 0");
	struct arg_dbl *cold_factor = arg_dbl0(NULL, "cold-factor", "X",
	    "service time right after a start, in multiples, 1");
	struct arg_lit *cold_fails = arg_lit0(NULL, "cold-fails",
	    "fail instead of shed what exceeds the slots while cold");
	struct arg_int *lag =
	    arg_int0(NULL, "health-lag-ms", "MS", "age of the published load");
	struct arg_int *lie = arg_int0(
	    NULL, "health-load", "N", "published load in thousandths, false");
	struct arg_file *record =
	    arg_file0(NULL, "record", "FILE", "requests started");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
	struct arg_end *end = arg_end(4);
	void *table[] = { listen, service, slots, short_ms, bulk_ms, cold_slots,
		cold_ms, cold_factor, cold_fails, lag, lie, record, seed, end };
	struct upstream *up = NULL;
	int status;

	(void)setvbuf(stdout, NULL, _IOLBF, 0);
	if (!plug_arguments_parse(argc, argv, table, &status))
		goto out;
	status = EXIT_FAILURE;
	up = calloc(1, sizeof(*up));
	if (up == NULL)
		goto out;
	up->service = (uint32_t)service->ival[0];
	up->slots = (unsigned int)plug_arguments_int(slots, 2);
	up->cold_slots = (unsigned int)plug_arguments_int(cold_slots, 1);
	if (up->slots < 1 || up->cold_slots < 1 || up->cold_slots > up->slots) {
		(void)fprintf(stderr, "event=error text=\"slots must be at "
				      "least 1 and not below cold slots\"\n");
		goto out;
	}
	up->short_time = plug_arguments_int(short_ms, 10) * PLUG_MSEC;
	up->bulk_time = plug_arguments_int(bulk_ms, 50) * PLUG_MSEC;
	up->cold_time = plug_arguments_int(cold_ms, 0) * PLUG_MSEC;
	up->cold_factor = plug_arguments_double(cold_factor, 1);
	up->cold_fails = cold_fails->count > 0;
	up->health_lag = plug_arguments_int(lag, 0) * PLUG_MSEC;
	up->health_lie = plug_arguments_int(lie, -1);
	up->client.random[0] = (unsigned short)plug_arguments_int(seed, 1);
	up->record = -1;
	for (size_t i = 0; i < CONNECTIONS_MAX; i++)
		up->connections[i].fd = -1;
	up->started = up->sample_due = plug_standin_now();
	if (open_files(up, listen->sval[0],
		record->count > 0 ? record->filename[0] : NULL)) {
		run(up);
		finish(up);
		status = EXIT_SUCCESS;
	}
out:
	free(up);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
