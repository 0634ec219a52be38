/*
 * An agent's decisions with a fake upstream that answers at once: requests a
 * second, cost of a tick and memory by the number of flows, and cost of a
 * move of 64 flows to a sibling. Sizes alternate within the run.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "common.h"
#include "libplantainlug/transfer.h"
#include "rig.h"

#define BATCH	     32	  /* requests timed together */
#define ROUNDS	     2000 /* batches for each size */
#define MOVES	     200
#define MOVE_STEPS   1000 /* ticks after which a move has failed */
#define TICK	     (10 * PLUG_MSEC)
#define USEC_PER_SEC 1e6
#define KIB	     1024.0
#define PROCEDURE    2 /* not idempotent */

static const unsigned int sizes[] = { 500, 1000, 2000 };
#define SIZES (sizeof(sizes) / sizeof(sizes[0]))

static struct bench_config config;
static struct plug_view *view;
static plug_time now = 1000 * PLUG_SEC;
static struct bench_samples samples[2][SIZES];

static double
allocated(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static void
open_flows(struct rig *rig, unsigned int flows)
{
	for (unsigned int i = 0; i < flows; i++)
		rig_open(rig);
}

static void
measure_memory(struct rig **rigs)
{
	for (size_t s = 0; s < SIZES; s++) {
		double resident, before;

		rigs[s] = rig_create(&config, view, 0, &now);
		resident = bench_resident_kib();
		before = allocated();
		open_flows(rigs[s], sizes[s]);
		(void)printf("event=bench name=agent figure=memory flows=%u "
			     "allocated_per_flow=%.0f resident_per_flow=%.0f\n",
		    sizes[s], (allocated() - before) / sizes[s],
		    (bench_resident_kib() - resident) * KIB / sizes[s]);
	}
}

static double
time_requests(struct rig *rig)
{
	static uint8_t packets[BATCH][PLUG_PACKET_MAX];
	size_t lengths[BATCH];
	uint64_t done = rig->done;
	double start;

	for (unsigned int i = 0; i < BATCH; i++)
		lengths[i] = rig_prepare(rig,
		    plug_client_random(&rig->client, rig->flow_count),
		    PROCEDURE, packets[i]);
	start = bench_now();
	for (unsigned int i = 0; i < BATCH; i++)
		rig_deliver(rig, packets[i], lengths[i]);
	start = bench_now() - start;
	if (rig->done - done != BATCH)
		abort();
	return start * USEC_PER_SEC / BATCH;
}

static double
time_tick(struct rig *rig)
{
	double start = bench_now();

	rig_tick(rig);
	return (bench_now() - start) * USEC_PER_SEC;
}

static void
print_times(const char *figure, const char *size_name, unsigned int size,
    struct bench_samples *times)
{
	double median;

	bench_samples_sort(times);
	median = bench_samples_quantile(times, 0.5);
	(void)printf("event=bench name=agent figure=%s %s=%u p25_us=%.2f "
		     "p50_us=%.2f p75_us=%.2f p99_us=%.2f p999_us=%.2f "
		     "max_us=%.2f per_sec=%.0f\n",
	    figure, size_name, size, bench_samples_quantile(times, 0.25),
	    median, bench_samples_quantile(times, 0.75),
	    bench_samples_quantile(times, 0.99),
	    bench_samples_quantile(times, 0.999),
	    bench_samples_quantile(times, 1), USEC_PER_SEC / median);
	times->count = 0;
}

/* Moves every flow of a leaving agent; returns the time of both agents. */
static double
time_move(void)
{
	const struct plug_agent_event stop = { .kind = PLUG_AGENT_STOP };
	struct rig *source = rig_create(&config, view, 0, &now);
	struct rig *target = rig_create(&config, view, 1, &now);
	double elapsed, start;

	open_flows(source, PLUG_BATCH_FLOWS_MAX);
	source->peer = target;
	target->peer = source;
	/* Reports first, so that the source knows its sibling. */
	for (int i = 0; i < PLUG_REPORT_INTERVAL / TICK + 1; i++) {
		now += TICK;
		rig_tick(source);
		rig_tick(target);
		rig_exchange(source);
		rig_exchange(target);
	}
	start = bench_now();
	plug_agent_handle(source->agent, now, &stop);
	for (int i = 0; plug_agent_counter(source->agent,
			    PLUG_COUNT_MOVED_OUT) != PLUG_BATCH_FLOWS_MAX;
	     i++) {
		if (i == MOVE_STEPS)
			abort();
		now += TICK;
		rig_tick(source);
		rig_exchange(source);
		rig_exchange(target);
		rig_exchange(source);
	}
	elapsed = (bench_now() - start) * USEC_PER_SEC;
	rig_destroy(source);
	rig_destroy(target);
	return elapsed;
}

int
main(void)
{
	struct rig *rigs[SIZES];

	bench_config_init(&config, 1, 1, 13);
	view = rig_view_create(&config);
	measure_memory(rigs);
	for (int round = 0; round < ROUNDS; round++) {
		now += TICK;
		for (size_t s = 0; s < SIZES; s++) {
			bench_samples_add(
			    &samples[0][s], time_requests(rigs[s]));
			bench_samples_add(&samples[1][s], time_tick(rigs[s]));
		}
	}
	for (size_t s = 0; s < SIZES; s++) {
		print_times("request", "flows", sizes[s], &samples[0][s]);
		print_times("tick", "flows", sizes[s], &samples[1][s]);
		rig_destroy(rigs[s]);
	}
	for (int round = 0; round < MOVES; round++)
		bench_samples_add(&samples[0][0], time_move());
	print_times("move", "moved", PLUG_BATCH_FLOWS_MAX, &samples[0][0]);
	plug_view_release(view);
	bench_config_finish(&config);
	return 0;
}
