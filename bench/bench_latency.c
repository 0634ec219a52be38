/*
 * Latency of one hop: from sending a datagram to receiving it, directly,
 * through a bare forwarder and through an entry's traffic path. One datagram
 * is under way at a time; variants alternate within the run.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "common.h"
#include "net/clock.h"
#include "net/traffic.h"
#include "path.h"

#define ROUNDS	     400
#define PER_ROUND    100 /* samples of a variant in each round */
#define RECEIVE_WAIT 20	 /* milliseconds */
#define USEC_PER_SEC 1e6
#define FLOWS	     1024

enum variant { DIRECT, BARE, ENTRY, VARIANTS };

static const char *const names[] = { "direct", "bare", "entry" };

static struct plug_client client = { .random = { 1, 2, 3 } };
static struct plug_control control;
static struct plug_traffic traffic;
static struct plug_datagram *bare, *sink;
static uint16_t sink_port;
static atomic_bool stopping;
static struct path_packet packets[FLOWS];
static struct bench_samples samples[VARIANTS];
static unsigned int lost;

static void *
run_bare(void *data)
{
	unsigned int next = 0;

	(void)data;
	while (!atomic_load(&stopping))
		(void)path_step_bare(bare, sink_port, &next);
	return NULL;
}

static void *
run_entry(void *data)
{
	(void)data;
	while (!atomic_load(&stopping))
		(void)plug_traffic_step(&traffic, true);
	return NULL;
}

static int
connect_to(uint16_t port)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
		.sin_port = htons(port),
	};
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || connect(fd, (const struct sockaddr *)&address,
			  sizeof(address)) != 0)
		abort();
	return fd;
}

static void
sample(enum variant variant, int fd, const struct path_packet *packet)
{
	uint8_t buf[PLUG_DATAGRAM_SIZE];
	double start = bench_now();

	if (send(fd, packet->bytes, packet->len, 0) < 0 ||
	    recv(sink->fd, buf, sizeof(buf), 0) < 0) {
		lost++;
		return;
	}
	bench_samples_add(
	    &samples[variant], (bench_now() - start) * USEC_PER_SEC);
}

static void
print_times(enum variant variant)
{
	static const double quantiles[] = { 0.25, 0.5, 0.75, 0.99, 0.999, 1 };
	static const char *const labels[] = { "p25", "p50", "p75", "p99",
		"p999", "max" };

	(void)printf("event=bench name=latency path=%s count=%zu",
	    names[variant], samples[variant].count);
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		(void)printf(" %s_us=%.1f", labels[i],
		    bench_samples_quantile(&samples[variant], quantiles[i]));
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		(void)printf(" added_%s_us=%.1f", labels[i],
		    bench_samples_quantile(&samples[variant], quantiles[i]) -
			bench_samples_quantile(
			    &samples[variant - 1], quantiles[i]));
	(void)printf(" over=%s lost=%u\n", names[variant - 1], lost);
}

int
main(void)
{
	const struct plug_endpoint any = { INADDR_ANY, 0 };
	const struct plug_endpoint local = { INADDR_LOOPBACK, 0 };
	struct plug_view *view;
	pthread_t threads[2];
	int fds[VARIANTS];

	sink = path_socket(any, false, RECEIVE_WAIT);
	sink_port = path_port(sink);
	view = path_view_create(PATH_SERVICES,
	    (struct plug_endpoint){ INADDR_LOOPBACK + 1, sink_port });
	for (uint32_t i = 0; i < FLOWS; i++)
		path_packet_create(&packets[i], view, i, false);
	bare = path_socket(local, false, RECEIVE_WAIT);
	atomic_store(&control.confirmed, true);
	atomic_store(&control.last_tick, plug_clock_now());
	traffic.datagram = path_socket(local, false, RECEIVE_WAIT);
	traffic.client = client;
	plug_traffic_init(&traffic, &control, local, 0);
	plug_traffic_offer(&traffic, view);
	fds[DIRECT] = connect_to(sink_port);
	fds[BARE] = connect_to(path_port(bare));
	fds[ENTRY] = connect_to(path_port(traffic.datagram));
	if (pthread_create(&threads[0], NULL, run_bare, NULL) != 0 ||
	    pthread_create(&threads[1], NULL, run_entry, NULL) != 0)
		return 1;
	for (unsigned int round = 0; round < ROUNDS; round++) {
		for (int v = DIRECT; v < VARIANTS; v++) {
			atomic_store(&control.last_tick, plug_clock_now());
			for (unsigned int i = 0; i < PER_ROUND; i++)
				sample((enum variant)v, fds[v],
				    &packets[(round + i) % FLOWS]);
		}
	}
	atomic_store(&stopping, true);
	for (int i = 0; i < 2; i++)
		(void)pthread_join(threads[i], NULL);
	for (int v = DIRECT; v < VARIANTS; v++)
		bench_samples_sort(&samples[v]);
	print_times(BARE);
	print_times(ENTRY);
	for (int v = DIRECT; v < VARIANTS; v++)
		(void)close(fds[v]);
	plug_datagram_destroy(sink);
	plug_datagram_destroy(bare);
	plug_datagram_destroy(traffic.datagram);
	plug_traffic_finish(&traffic);
	plug_view_release(view);
	return 0;
}
