/*
 * Packets a second through an entry's traffic path against a bare UDP
 * forwarder with the same batched system calls, and with a decision line for
 * each new flow against the same traffic without logs. Variants alternate
 * within the run. Senders offer more than a forwarder can take, so the rate
 * is that of the forwarder. The rate for each second of processor time of the
 * forwarding threads is printed as well, since other work on the machine
 * changes it less.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common.h"
#include "net/clock.h"
#include "net/traffic.h"
#include "path.h"

#define ROUNDS	       9
#define PHASE_PERIODS  8     /* each phase takes this many PERIOD_USEC */
#define PERIOD_USEC    50000 /* between refreshes of the control tick */
#define RECEIVE_WAIT   20    /* milliseconds */
#define THREADS_MAX    4
#define SOURCES	       16   /* sockets of a sender, spread by SO_REUSEPORT */
#define POOL	       4096 /* prepared packets */
#define NEW_FLOWS      5000 /* opening flows a second, design section 2 */
#define OPEN_EVERY_MIN 16   /* packets for each opening flow at the least */
#define NSEC_PER_SEC   1e9
#define BATCH	       PLUG_DATAGRAM_BATCH

enum variant { BARE, ENTRY, SILENT, LOGGED, VARIANTS };

struct forwarder {
	pthread_t thread;
	enum variant variant;
	struct plug_traffic traffic;
	uint64_t packets;
	double cpu;
};

static const unsigned int thread_counts[] = { 1, 2, 4 };
static const char *const variant_names[] = { "bare", "entry", "silent",
	"logged" };

static struct plug_client client = { .random = { 1, 2, 3 } };
static struct plug_control control;
static struct plug_view *view;
static struct plug_log *decision_log;
static struct plug_endpoint sink, target;
static struct path_packet owned[POOL], opening[POOL];
static atomic_uint open_every; /* 0: no opening flows */
static atomic_bool stopping, phase_over;
static struct plug_datagram *sink_socket;
static struct bench_samples samples;
static double rates[VARIANTS][ROUNDS], cpu_rates[VARIANTS][ROUNDS];

static void *
run_sink(void *data)
{
	struct plug_datagram *datagram = data;

	while (!atomic_load(&stopping))
		(void)plug_datagram_receive(datagram, true);
	return NULL;
}

static void *
run_sender(void *data)
{
	unsigned short random[3] = { 4, 5, (unsigned short)(uintptr_t)data };
	struct mmsghdr messages[BATCH];
	struct iovec vectors[BATCH];
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(target.address),
		.sin_port = htons(target.port),
	};
	int fds[SOURCES];
	unsigned int sent = 0;

	memset(messages, 0, sizeof(messages));
	for (int i = 0; i < SOURCES; i++) {
		fds[i] = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
		if (fds[i] < 0 || connect(fds[i], (struct sockaddr *)&address,
				      sizeof(address)) != 0)
			abort();
	}
	for (int i = 0; i < BATCH; i++) {
		messages[i].msg_hdr.msg_iov = &vectors[i];
		messages[i].msg_hdr.msg_iovlen = 1;
	}
	for (unsigned int n = 0; !atomic_load(&phase_over); n++) {
		unsigned int every = atomic_load(&open_every);

		for (int i = 0; i < BATCH; i++) {
			struct path_packet *pool =
			    every > 0 && ++sent % every == 0 ? opening : owned;
			struct path_packet *packet =
			    &pool[nrand48(random) % POOL];

			vectors[i].iov_base = packet->bytes;
			vectors[i].iov_len = packet->len;
		}
		(void)sendmmsg(fds[n % SOURCES], messages, BATCH, MSG_DONTWAIT);
	}
	for (int i = 0; i < SOURCES; i++)
		(void)close(fds[i]);
	return NULL;
}

static double
thread_cpu(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / NSEC_PER_SEC;
}

static void *
run_forwarder(void *data)
{
	struct forwarder *forwarder = data;
	struct plug_traffic *traffic = &forwarder->traffic;
	double start = thread_cpu();
	unsigned int next = 0;

	while (!atomic_load_explicit(&phase_over, memory_order_relaxed))
		forwarder->packets +=
		    forwarder->variant == BARE
			? path_step_bare(traffic->datagram, sink.port, &next)
			: plug_traffic_step(traffic, true);
	forwarder->cpu = thread_cpu() - start;
	return NULL;
}

static void
start_thread(pthread_t *thread, void *(*run)(void *), void *data)
{
	if (pthread_create(thread, NULL, run, data) != 0)
		abort();
}

static void
open_forwarder(struct forwarder *forwarder, enum variant variant, bool shared)
{
	struct plug_traffic *traffic = &forwarder->traffic;

	memset(forwarder, 0, sizeof(*forwarder));
	forwarder->variant = variant;
	traffic->datagram = path_socket(target, shared, RECEIVE_WAIT);
	target.port = path_port(traffic->datagram);
	traffic->client = client;
	if (variant == LOGGED) {
		traffic->client.log = plug_log_write;
		traffic->client.log_data = decision_log;
	}
	plug_traffic_init(traffic, &control, sink, 0);
	plug_traffic_offer(traffic, view);
}

/* One phase of one variant; returns decision lines a second. */
static double
measure(enum variant variant, unsigned int threads, unsigned int round)
{
	static struct forwarder forwarders[THREADS_MAX];
	pthread_t senders[THREADS_MAX];
	double start, elapsed, packets = 0, cpu = 0, opens = 0;

	target = (struct plug_endpoint){ INADDR_LOOPBACK, 0 };
	for (unsigned int i = 0; i < threads; i++)
		open_forwarder(&forwarders[i], variant, threads > 1);
	atomic_store(&phase_over, false);
	atomic_store(&control.last_tick, plug_clock_now());
	start = bench_now();
	for (unsigned int i = 0; i < threads; i++) {
		start_thread(
		    &forwarders[i].thread, run_forwarder, &forwarders[i]);
		start_thread(&senders[i], run_sender, (void *)(uintptr_t)i);
	}
	for (int i = 0; i < PHASE_PERIODS; i++) {
		(void)usleep(PERIOD_USEC);
		atomic_store(&control.last_tick, plug_clock_now());
	}
	elapsed = bench_now() - start;
	atomic_store(&phase_over, true);
	for (unsigned int i = 0; i < threads; i++) {
		struct forwarder *forwarder = &forwarders[i];

		(void)pthread_join(senders[i], NULL);
		(void)pthread_join(forwarder->thread, NULL);
		packets += (double)forwarder->packets;
		cpu += forwarder->cpu;
		opens += (double)forwarder->traffic.router
			     .counters[PLUG_ROUTE_OPEN_LOCAL];
		if (variant != BARE &&
		    forwarder->traffic.router.counters[PLUG_ROUTE_OWNER] == 0)
			abort();
		plug_datagram_destroy(forwarder->traffic.datagram);
		plug_traffic_finish(&forwarder->traffic);
	}
	rates[variant][round] = packets / elapsed;
	cpu_rates[variant][round] = packets / cpu;
	return opens / elapsed;
}

static void
print_ratio(const char *what, double values[VARIANTS][ROUNDS],
    enum variant measured, enum variant base, unsigned int threads,
    double target_ratio, double lines)
{
	double median;

	samples.count = 0;
	for (int i = 0; i < ROUNDS; i++)
		bench_samples_add(&samples, values[base][i]);
	bench_samples_sort(&samples);
	median = bench_samples_quantile(&samples, 0.5);
	samples.count = 0;
	for (int i = 0; i < ROUNDS; i++)
		bench_samples_add(
		    &samples, values[measured][i] / values[base][i]);
	bench_samples_sort(&samples);
	(void)printf(
	    "event=bench name=entry figure=%s variant=%s base=%s threads=%u "
	    "base_rate=%.0f ratio=%.3f p25=%.3f p75=%.3f min=%.3f max=%.3f "
	    "target=%.2f opens_per_sec=%.0f log_dropped=%llu\n",
	    what, variant_names[measured], variant_names[base], threads, median,
	    bench_samples_quantile(&samples, 0.5),
	    bench_samples_quantile(&samples, 0.25),
	    bench_samples_quantile(&samples, 0.75),
	    bench_samples_quantile(&samples, 0),
	    bench_samples_quantile(&samples, 1), target_ratio, lines,
	    (unsigned long long)plug_log_dropped(decision_log));
	(void)fflush(stdout);
}

static void
compare(unsigned int threads)
{
	double lines = 0;
	unsigned int every;

	for (unsigned int round = 0; round < ROUNDS; round++) {
		atomic_store(&open_every, 0);
		if (round % 2 == 0)
			(void)measure(BARE, threads, round);
		(void)measure(ENTRY, threads, round);
		if (round % 2 != 0)
			(void)measure(BARE, threads, round);
		every = (unsigned int)(rates[ENTRY][round] / NEW_FLOWS);
		atomic_store(&open_every,
		    every < OPEN_EVERY_MIN ? OPEN_EVERY_MIN : every);
		/* The order alternates, as a load that drifts would favor one
		 * of them. */
		if (round % 2 == 0)
			(void)measure(SILENT, threads, round);
		lines += measure(LOGGED, threads, round) / ROUNDS;
		if (round % 2 != 0)
			(void)measure(SILENT, threads, round);
	}
	print_ratio("wall", rates, ENTRY, BARE, threads, 0.8, 0);
	print_ratio("cpu", cpu_rates, ENTRY, BARE, threads, 0.8, 0);
	print_ratio("wall", rates, LOGGED, SILENT, threads, 0.95, lines);
	print_ratio("cpu", cpu_rates, LOGGED, SILENT, threads, 0.95, lines);
}

int
main(void)
{
	char path[] = "/tmp/bench_entry.XXXXXX";
	pthread_t thread;
	int fd = mkstemp(path);

	if (fd < 0)
		return 1;
	(void)close(fd);
	decision_log = plug_log_create("bench", path, PLUG_LOG_INFO, NULL);
	if (decision_log == NULL)
		return 1;
	atomic_store(&control.confirmed, true);
	sink_socket = path_socket(
	    (struct plug_endpoint){ INADDR_ANY, 0 }, false, RECEIVE_WAIT);
	sink.port = path_port(sink_socket);
	sink.address = INADDR_LOOPBACK;
	view = path_view_create(PATH_SERVICES,
	    (struct plug_endpoint){ INADDR_LOOPBACK + 1, sink.port });
	for (uint32_t i = 0; i < POOL; i++) {
		path_packet_create(&owned[i], view, i, false);
		path_packet_create(&opening[i], view, i, true);
	}
	start_thread(&thread, run_sink, sink_socket);
	for (size_t i = 0; i < sizeof(thread_counts) / sizeof(thread_counts[0]);
	     i++)
		compare(thread_counts[i]);
	atomic_store(&stopping, true);
	(void)pthread_join(thread, NULL);
	plug_datagram_destroy(sink_socket);
	plug_view_release(view);
	plug_log_destroy(decision_log);
	(void)unlink(path);
	return 0;
}
