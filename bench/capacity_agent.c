/*
 * What an agent's decisions cost by the number of flows: memory for each open
 * flow, with and without a stored answer, and processor time of a heartbeat,
 * a new flow, a request, a REPORT and a configuration change. Each figure is
 * the median of batches, measured at every size and fitted to a line.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

#include "common.h"
#include "rig.h"

#define BATCH	     16
#define ROUNDS	     1000
#define OPEN_ROUNDS  20 /* flows opened beyond each size, in batches */
#define TICK	     (10 * PLUG_MSEC)
#define NSEC_PER_SEC 1e9
#define PROCEDURE    2 /* not idempotent */

static const unsigned int sizes[] = { 500, 1000, 2000, 2600 };
#define SIZES (sizeof(sizes) / sizeof(sizes[0]))

enum figure {
	FLOW_BYTES,
	ANSWERED_FLOW_BYTES,
	HEARTBEAT,
	REQUEST,
	TICK_COST,
	OPEN,
	REPORT,
	CHANGE,
	FIGURES
};

static const char *const names[] = { "flow_bytes", "answered_flow_bytes",
	"heartbeat_ns", "request_ns", "tick_ns", "new_flow_ns", "report_ns",
	"change_ns" };

static struct bench_config config;
static struct plug_view *view, *other_view;
static plug_time now = 1000 * PLUG_SEC;
static struct bench_samples samples[FIGURES];
static double results[FIGURES][SIZES];

static double
allocated(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static double
time_calls(struct rig *rig, uint32_t procedure, unsigned int first)
{
	static uint8_t packets[BATCH][PLUG_PACKET_MAX];
	size_t lengths[BATCH];
	double start;

	for (unsigned int i = 0; i < BATCH; i++)
		lengths[i] = rig_prepare(
		    rig, (first + i) % rig->flow_count, procedure, packets[i]);
	start = bench_now();
	for (unsigned int i = 0; i < BATCH; i++)
		rig_deliver(rig, packets[i], lengths[i]);
	return (bench_now() - start) * NSEC_PER_SEC / BATCH;
}

static double
time_tick(struct rig *rig)
{
	double start = bench_now();

	rig_tick(rig);
	return (bench_now() - start) * NSEC_PER_SEC;
}

static double
time_report(struct rig *sibling)
{
	double start;

	/* The sibling reports every 500 ms; only its message is timed. */
	while (sibling->queued == 0) {
		now += TICK;
		rig_tick(sibling);
	}
	start = bench_now();
	rig_exchange(sibling);
	start = (bench_now() - start) * NSEC_PER_SEC;
	return start;
}

static double
time_change(struct rig *rig, unsigned int round)
{
	struct plug_agent_event event = { .kind = PLUG_AGENT_VIEW,
		.view = round % 2 == 0 ? other_view : view };
	double start = bench_now();

	plug_agent_handle(rig->agent, now, &event);
	return (bench_now() - start) * NSEC_PER_SEC;
}

/* Opening calls are included with their first heartbeat and its encoding. */
static double
time_opens(struct rig *rig)
{
	double start = bench_now();

	for (unsigned int i = 0; i < BATCH; i++)
		rig_open(rig);
	return (bench_now() - start) * NSEC_PER_SEC / BATCH;
}

static void
measure(size_t s)
{
	struct rig *rig = rig_create(&config, view, 0, &now);
	struct rig *sibling = rig_create(&config, view, 1, &now);
	double before = allocated();

	sibling->peer = rig;
	for (unsigned int i = 0; i < sizes[s]; i++)
		rig_open(rig);
	results[FLOW_BYTES][s] = allocated() - before;
	for (unsigned int i = 0; i < sizes[s]; i += BATCH)
		(void)time_calls(rig, PROCEDURE, i);
	results[ANSWERED_FLOW_BYTES][s] = allocated() - before;
	for (unsigned int round = 0; round < ROUNDS; round++) {
		unsigned int first = round * BATCH;

		now += TICK;
		bench_samples_add(&samples[HEARTBEAT],
		    time_calls(rig, PLUG_PROCEDURE_NULL, first));
		bench_samples_add(
		    &samples[REQUEST], time_calls(rig, PROCEDURE, first));
		bench_samples_add(&samples[TICK_COST], time_tick(rig));
		bench_samples_add(&samples[CHANGE], time_change(rig, round));
		if (round % 10 == 0)
			bench_samples_add(
			    &samples[REPORT], time_report(sibling));
	}
	/* Reports are the only control messages while nothing moves. */
	(void)printf("event=capacity name=agent figure=report flows=%u "
		     "messages=%llu bytes_per_message=%.1f\n",
	    sizes[s], (unsigned long long)sibling->peer_messages,
	    (double)sibling->peer_bytes / (double)sibling->peer_messages);
	for (unsigned int round = 0; round < OPEN_ROUNDS; round++)
		bench_samples_add(&samples[OPEN], time_opens(rig));
	for (int f = HEARTBEAT; f < FIGURES; f++) {
		bench_samples_sort(&samples[f]);
		results[f][s] = bench_samples_quantile(&samples[f], 0.5);
		samples[f].count = 0;
	}
	rig_destroy(rig);
	rig_destroy(sibling);
}

int
main(void)
{
	double flows[SIZES];

	bench_config_init(&config, 1, 1, 13);
	view = rig_view_create(&config);
	bench_config_document(&config, 0);
	other_view = rig_view_create(&config);
	for (size_t s = 0; s < SIZES; s++) {
		flows[s] = sizes[s];
		measure(s);
	}
	for (int f = 0; f < FIGURES; f++) {
		struct bench_fit fit = bench_fit_line(flows, results[f], SIZES);

		(void)printf("event=capacity name=agent figure=%s", names[f]);
		for (size_t s = 0; s < SIZES; s++)
			(void)printf(" at_%u=%.0f", sizes[s], results[f][s]);
		(void)printf(" slope_per_flow=%.4f intercept=%.0f error=%.3f\n",
		    fit.slope, fit.intercept, fit.error);
	}
	plug_view_release(view);
	plug_view_release(other_view);
	bench_config_finish(&config);
	return 0;
}
