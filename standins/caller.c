#include <argtable2.h>
#include <errno.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "callerflow.h"
#include "standin.h"
#include "workload.h"

#define FLOWS_MAX	4096
#define PENDING_MAX	4 /* unsettled requests of one flow */
#define READ_BATCH	64
#define TICK		(5 * PLUG_MSEC)
#define PROGRESS	(1 * PLUG_SEC)
#define OPEN_SPREAD	(1 * PLUG_SEC)	  /* flows open within this */
#define REOPEN_WAIT	(500 * PLUG_MSEC) /* after a broken flow */
#define SHORT_DEADLINE	(5 * PLUG_SEC)
#define BULK_DEADLINE	(10 * PLUG_SEC)
#define SUBMITS_MAX	50 /* of one request that is refused each time */
#define RETRY_MIN	20 /* ms, before a refused request is retried */
#define WINDOW_RETRY	50 /* ms, when the window of the flow is full */
#define SHORT_ANSWER	64 /* bytes */
#define IDLE_EVERY	4  /* each 4th flow is mostly idle */
#define IDLE_FACTOR	8  /* and sends this many times less */
#define PERCENT		100
#define CONFIRM_PERCENT 30   /* of the requests are not idempotent */
#define MSEC_SCALE	1000 /* microseconds */

enum request_state {
	REQUEST_WAITING, /* refused, to be submitted again */
	REQUEST_SUBMITTED,
	REQUEST_SETTLED,
};

struct request {
	enum request_state state;
	uint32_t flow;
	uint32_t procedure;
	unsigned int submits;
	plug_time began;
	plug_time retry;
	plug_time deadline;
	struct plug_workload workload;
};

struct group;

struct link {
	struct plug_callerflow flow;
	struct plug_callerflow_handler handler;
	struct group *group;
	uint32_t index;
	int fd;
	bool opened;
	plug_time open_at;
	plug_time next_request;
	plug_time think;
	unsigned int pending;
};

struct counts {
	uint64_t sent, answered, not_run, unknown, wrong, broken, retries;
	uint64_t resends, renewals, moves;
};

/* All flows of the process. */
struct group {
	struct plug_client client;
	struct plug_endpoint service;
	uint32_t program;
	const char *name;
	uint32_t bulk_size;
	uint32_t bulk_percent;
	struct link *links;
	struct pollfd *polled; /* one for each link, and the signals */
	uint32_t link_count;
	struct request *requests;
	uint32_t request_count;
	uint32_t request_max;
	uint32_t first_unsettled;
	plug_time now;
	plug_time stop_at;
	plug_time *latencies; /* of answered short requests */
	uint32_t latency_count;
	FILE *record;
	struct counts counts;
};

static bool
open_port(struct link *link)
{
	struct sockaddr_in to = plug_standin_to_sockaddr(link->group->service);
	struct sockaddr_in in = { 0 };
	socklen_t len = sizeof(in);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (link->fd >= 0)
		(void)close(link->fd);
	link->fd = fd;
	link->group->polled[link->index].fd = fd;
	if (fd < 0 || connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&in, &len) != 0) {
		perror("socket");
		return false;
	}
	plug_callerflow_set_caller(&link->flow, plug_standin_from_sockaddr(in));
	return true;
}

static void
on_send(void *data, const uint8_t *packet, size_t len)
{
	const struct link *link = data;

	(void)send(
	    link->fd, packet + PLUG_PACKET_HEADER, len - PLUG_PACKET_HEADER, 0);
}

static void
end_request(struct group *group, struct request *request, const char *outcome)
{
	request->state = REQUEST_SETTLED;
	group->links[request->flow].pending--;
	(void)fprintf(group->record,
	    "event=settled request=%s procedure=%u outcome=%s flow=%u "
	    "submits=%u time_us=%lld\n",
	    request->workload.id, request->procedure, outcome, request->flow,
	    request->submits, (long long)plug_standin_wall_time());
}

static void
end_not_run(struct group *group, struct request *request)
{
	group->counts.not_run++;
	end_request(group, request, "not_run");
}

static void
end_answered(
    struct group *group, struct request *request, struct plug_str answer)
{
	group->counts.answered++;
	if (!plug_workload_check(&request->workload, answer)) {
		group->counts.wrong++;
		(void)fprintf(group->record,
		    "event=wrong_answer request=%s bytes=%zu\n",
		    request->workload.id, answer.len);
	}
	if (request->procedure != PLUG_WORKLOAD_IMAGE)
		group->latencies[group->latency_count++] =
		    group->now - request->began;
	end_request(group, request, "answered");
}

static void
on_settled(void *data, const struct plug_callerflow_result *result)
{
	const struct link *link = data;
	struct group *group = link->group;
	struct request *request = &group->requests[result->tag];
	uint32_t wait = result->retry_after_ms;

	switch (result->outcome) {
	case PLUG_CALLERFLOW_ANSWERED:
		end_answered(group, request, result->answer);
		return;
	case PLUG_CALLERFLOW_UNKNOWN:
		group->counts.unknown++;
		end_request(group, request, "unknown");
		return;
	case PLUG_CALLERFLOW_NOT_RUN:
		if (wait < RETRY_MIN)
			wait = RETRY_MIN;
		request->state = REQUEST_WAITING;
		request->retry = group->now + wait * PLUG_MSEC;
		group->counts.retries++;
		if (request->submits >= SUBMITS_MAX ||
		    request->retry >= request->deadline)
			end_not_run(group, request);
		return;
	}
}

static void
on_broken(void *data, enum plug_callerflow_reason reason)
{
	struct link *link = data;
	struct group *group = link->group;

	group->counts.broken++;
	link->opened = false;
	link->open_at = group->now + REOPEN_WAIT;
	(void)fprintf(group->record,
	    "event=broken name=%s flow=%u reason=%s time_us=%lld\n",
	    group->name, link->index, plug_callerflow_reason_name(reason),
	    (long long)plug_standin_wall_time());
}

static void
on_renew(void *data)
{
	struct link *link = data;

	(void)open_port(link);
}

static void
sum_counters(struct group *group, const struct link *link)
{
	group->counts.resends += link->flow.resends;
	group->counts.renewals += link->flow.renewals;
	group->counts.moves += link->flow.moves;
}

/* A new flow gets a new port, as late replies carry only an xid. */
static void
open_link(struct link *link)
{
	struct group *group = link->group;
	struct plug_endpoint none = { 0, 0 };

	sum_counters(group, link);
	plug_callerflow_finish(&link->flow);
	plug_callerflow_init(&link->flow, &group->client, &link->handler, none,
	    group->service, group->program);
	link->opened = open_port(link);
	link->open_at = group->now + REOPEN_WAIT;
	if (link->opened)
		plug_callerflow_open(&link->flow, group->now);
}

static void
submit(struct group *group, struct request *request)
{
	struct link *link = &group->links[request->flow];
	char body[PLUG_WORKLOAD_BODY_SIZE];
	struct plug_str s = { body, 0 };

	s.len = plug_workload_format(&request->workload, body);
	request->state = REQUEST_SUBMITTED;
	request->submits++;
	if (plug_callerflow_submit(&link->flow, group->now, request->procedure,
		s, request->procedure != PLUG_WORKLOAD_CONFIRM,
		request->deadline, (uint64_t)(request - group->requests),
		NULL) == PLUG_OK)
		return;
	request->submits--;
	request->state = REQUEST_WAITING;
	request->retry = group->now + WINDOW_RETRY * PLUG_MSEC;
}

static void
new_request(struct group *group, struct link *link)
{
	uint32_t index = group->request_count, draw;
	struct request *request;

	if (index == group->request_max)
		return;
	request = &group->requests[index];
	draw = plug_client_random(&group->client, PERCENT);
	if (draw < group->bulk_percent)
		request->procedure = PLUG_WORKLOAD_IMAGE;
	else if (draw < group->bulk_percent + CONFIRM_PERCENT)
		request->procedure = PLUG_WORKLOAD_CONFIRM;
	else
		request->procedure = PLUG_WORKLOAD_NEXT;
	request->flow = link->index;
	request->began = group->now;
	request->deadline =
	    group->now + (request->procedure == PLUG_WORKLOAD_IMAGE
				 ? BULK_DEADLINE
				 : SHORT_DEADLINE);
	request->workload.size = request->procedure == PLUG_WORKLOAD_IMAGE
				     ? group->bulk_size
				     : SHORT_ANSWER;
	(void)snprintf(request->workload.id, sizeof(request->workload.id),
	    "%u-%.40s-%u", group->program, group->name, index);
	group->request_count++;
	group->counts.sent++;
	link->pending++;
	(void)fprintf(group->record,
	    "event=sent request=%s procedure=%u flow=%u time_us=%lld\n",
	    request->workload.id, request->procedure, request->flow,
	    (long long)plug_standin_wall_time());
	submit(group, request);
}

static void
retry_requests(struct group *group)
{
	for (uint32_t i = group->first_unsettled; i < group->request_count;
	     i++) {
		struct request *request = &group->requests[i];

		if (request->state == REQUEST_SETTLED) {
			if (i == group->first_unsettled)
				group->first_unsettled++;
			continue;
		}
		if (request->state != REQUEST_WAITING ||
		    group->now < request->retry)
			continue;
		if (group->now >= request->deadline)
			end_not_run(group, request);
		else
			submit(group, request);
	}
}

static void
receive(struct link *link)
{
	struct group *group = link->group;
	uint8_t packet[PLUG_PACKET_MAX];
	int fd = link->fd;

	for (int i = 0; i < READ_BATCH && link->fd == fd; i++) {
		ssize_t n = recv(fd, packet + PLUG_PACKET_HEADER,
		    sizeof(packet) - PLUG_PACKET_HEADER, MSG_TRUNC);
		size_t len;

		if (n < 0)
			return;
		if ((size_t)n > sizeof(packet) - PLUG_PACKET_HEADER)
			continue;
		len = PLUG_PACKET_HEADER + (size_t)n;
		plug_packet_put_headers(packet, len, group->service,
		    link->flow.caller, PLUG_INITIAL_TTL);
		plug_callerflow_receive(&link->flow, group->now, packet, len);
	}
}

static void
tick_link(struct group *group, struct link *link)
{
	if (!link->opened) {
		if (group->now >= link->open_at && group->now < group->stop_at)
			open_link(link);
		return;
	}
	plug_callerflow_tick(&link->flow, group->now);
	if (group->now < link->next_request || group->now >= group->stop_at ||
	    link->pending >= PENDING_MAX || !link->opened)
		return;
	link->next_request = group->now + plug_client_random(&group->client,
					      (uint32_t)link->think * 2);
	new_request(group, link);
}

static uint64_t
pending(const struct counts *counts)
{
	return counts->sent - counts->answered - counts->not_run -
	       counts->unknown;
}

static void
show_progress(const struct group *group, plug_time began)
{
	const struct counts *counts = &group->counts;

	(void)printf("event=progress name=%s seconds=%lld sent=%llu "
		     "answered=%llu not_run=%llu unknown=%llu pending=%llu "
		     "broken_flows=%llu\n",
	    group->name, (long long)((group->now - began) / PLUG_SEC),
	    (unsigned long long)counts->sent,
	    (unsigned long long)counts->answered,
	    (unsigned long long)counts->not_run,
	    (unsigned long long)counts->unknown,
	    (unsigned long long)pending(counts),
	    (unsigned long long)counts->broken);
}

static void
run(struct group *group, plug_time seconds)
{
	struct pollfd *signals = &group->polled[group->link_count];
	plug_time began = plug_standin_now(), progress = began + PROGRESS;
	plug_time grace = BULK_DEADLINE + PLUG_SEC;
	int sig;

	group->now = began;
	group->stop_at = began + seconds;
	for (uint32_t i = 0; i < group->link_count; i++) {
		struct link *link = &group->links[i];

		link->open_at = began + plug_client_random(&group->client,
					    (uint32_t)OPEN_SPREAD);
		link->next_request =
		    link->open_at +
		    plug_client_random(&group->client, (uint32_t)link->think);
	}
	while (group->now < group->stop_at ||
	       (pending(&group->counts) > 0 &&
		   group->now < group->stop_at + grace)) {
		(void)poll(group->polled, group->link_count + 1,
		    (int)(TICK / PLUG_MSEC));
		group->now = plug_standin_now();
		for (uint32_t i = 0; i < group->link_count; i++) {
			if (group->polled[i].revents != 0)
				receive(&group->links[i]);
			tick_link(group, &group->links[i]);
		}
		retry_requests(group);
		if (group->now >= progress) {
			show_progress(group, began);
			progress += PROGRESS;
		}
		sig = plug_standin_take_signal(signals->fd);
		if ((sig == SIGTERM || sig == SIGINT) &&
		    group->stop_at > group->now)
			group->stop_at = group->now;
	}
}

static int
compare_times(const void *a, const void *b)
{
	plug_time x = *(const plug_time *)a, y = *(const plug_time *)b;

	return (x > y) - (x < y);
}

static double
percentile_ms(const struct group *group, uint32_t percent)
{
	uint64_t place = (uint64_t)group->latency_count * percent / PERCENT;

	return group->latency_count == 0
		   ? 0
		   : (double)group->latencies[place] / MSEC_SCALE;
}

static void
summarise(struct group *group)
{
	const struct counts *counts = &group->counts;

	for (uint32_t i = 0; i < group->link_count; i++)
		sum_counters(group, &group->links[i]);
	qsort(group->latencies, group->latency_count, sizeof(plug_time),
	    compare_times);
	(void)printf("event=caller_summary name=%s sent=%llu answered=%llu "
		     "not_run=%llu unknown=%llu lost=%llu broken_flows=%llu "
		     "wrong_answer=%llu retries=%llu resends=%llu "
		     "renewals=%llu moves=%llu short_p50_ms=%.1f "
		     "short_p99_ms=%.1f\n",
	    group->name, (unsigned long long)counts->sent,
	    (unsigned long long)counts->answered,
	    (unsigned long long)counts->not_run,
	    (unsigned long long)counts->unknown,
	    (unsigned long long)pending(counts),
	    (unsigned long long)counts->broken,
	    (unsigned long long)counts->wrong,
	    (unsigned long long)counts->retries,
	    (unsigned long long)counts->resends,
	    (unsigned long long)counts->renewals,
	    (unsigned long long)counts->moves, percentile_ms(group, 50),
	    percentile_ms(group, 99));
}

static bool
prepare(
    struct group *group, uint32_t flows, plug_time think, const char *record)
{
	group->link_count = flows;
	group->links = calloc(flows, sizeof(*group->links));
	group->polled = calloc(flows + 1, sizeof(*group->polled));
	group->requests = calloc(group->request_max, sizeof(struct request));
	group->latencies = calloc(group->request_max, sizeof(plug_time));
	group->record = fopen(record, "we");
	if (group->links == NULL || group->polled == NULL ||
	    group->requests == NULL || group->latencies == NULL ||
	    group->record == NULL) {
		perror(record);
		return false;
	}
	for (uint32_t i = 0; i < flows; i++) {
		struct link *link = &group->links[i];

		link->group = group;
		link->index = i;
		link->fd = -1;
		link->think = i % IDLE_EVERY == 0 ? think * IDLE_FACTOR : think;
		link->handler = (struct plug_callerflow_handler){ link, on_send,
			on_settled, on_broken, on_renew };
		group->polled[i] =
		    (struct pollfd){ .fd = -1, .events = POLLIN };
	}
	group->polled[flows] =
	    (struct pollfd){ .fd = plug_standin_signals(), .events = POLLIN };
	return group->polled[flows].fd >= 0;
}

static void
finish(struct group *group)
{
	for (uint32_t i = 0; group->links != NULL && i < group->link_count;
	     i++) {
		plug_callerflow_finish(&group->links[i].flow);
		if (group->links[i].fd >= 0)
			(void)close(group->links[i].fd);
	}
	if (group->record != NULL)
		(void)fclose(group->record);
	free(group->links);
	free(group->polled);
	free(group->requests);
	free(group->latencies);
}

/**
 * plug_standin_caller_main() - callers with long flows to one service
 * @argc: number of arguments
 * @argv: arguments, the first one is the subcommand
 *
 * Stops after --seconds or SIGTERM, when every request is settled. Return:
 * exit status, 0 also when requests failed.
 */
int
plug_standin_caller_main(int argc, char **argv)
{
	const char *think_help = "mean time between requests of a flow, 250";
	const char *size_help = "length of a download, 100000";
	struct arg_str *service =
	    arg_str1(NULL, "service", "IP:PORT", "service address");
	struct arg_int *program =
	    arg_int1(NULL, "service-id", "N", "RPC program number");
	struct arg_str *name =
	    arg_str0(NULL, "name", "NAME", "part of the request ids");
	struct arg_int *flows = arg_int0(NULL, "flows", "N", "flows, 20");
	struct arg_int *seconds =
	    arg_int0(NULL, "seconds", "S", "length of the load, 10");
	struct arg_int *think = arg_int0(NULL, "think-ms", "MS", think_help);
	struct arg_int *requests =
	    arg_int0(NULL, "requests", "N", "most requests, 100000");
	struct arg_int *bulk =
	    arg_int0(NULL, "bulk-percent", "N", "share of downloads, 5");
	struct arg_int *size = arg_int0(NULL, "bulk-size", "BYTES", size_help);
	struct arg_file *record =
	    arg_file1(NULL, "record", "FILE", "requests and their outcomes");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "random seed");
	struct arg_end *end = arg_end(4);
	void *table[] = { service, program, name, flows, seconds, think,
		requests, bulk, size, record, seed, end };
	struct group group = { 0 };
	int status;

	(void)setvbuf(stdout, NULL, _IOLBF, 0);
	if (!plug_arguments_parse(argc, argv, table, &status))
		goto out;
	status = EXIT_FAILURE;
	if (!plug_standin_endpoint(service->sval[0], &group.service))
		goto out;
	if (plug_arguments_int(flows, 20) < 1 ||
	    plug_arguments_int(flows, 20) > FLOWS_MAX ||
	    plug_arguments_int(think, 250) < 1 ||
	    plug_arguments_int(requests, 100000) < 1) {
		(void)fprintf(stderr,
		    "event=error text=\"flows, think-ms or requests is out of "
		    "range\"\n");
		goto out;
	}
	group.program = (uint32_t)program->ival[0];
	group.name = name->count > 0 ? name->sval[0] : "caller";
	group.bulk_percent = (uint32_t)plug_arguments_int(bulk, 5);
	group.bulk_size = (uint32_t)plug_arguments_int(size, 100000);
	group.request_max = (uint32_t)plug_arguments_int(requests, 100000);
	group.client.random[0] = (unsigned short)plug_arguments_int(seed, 1);
	if (prepare(&group, (uint32_t)plug_arguments_int(flows, 20),
		plug_arguments_int(think, 250) * PLUG_MSEC,
		record->filename[0])) {
		run(&group, plug_arguments_int(seconds, 10) * PLUG_SEC);
		summarise(&group);
		status = EXIT_SUCCESS;
	}
	finish(&group);
out:
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}
