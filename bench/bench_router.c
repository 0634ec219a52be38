/*
 * Cost of the router's decision for a packet by the number of open flows and
 * by the number of services and hosts in the view. Sizes alternate within the
 * run; medians are compared.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "libplantainlug/router.h"
#include "path.h"

#define BATCH	     64	  /* packets timed together */
#define ROUNDS	     4000 /* batches for each size */
#define NSEC_PER_SEC 1e9

static const unsigned int flow_sizes[] = { 1000, 100000, 500000 };
static const unsigned int service_sizes[] = { 10, 100, 330 };
#define SIZES (sizeof(flow_sizes) / sizeof(flow_sizes[0]))

/* Never contacted. */
static const struct plug_endpoint first_host = { 0x0b000000, 4754 };
static struct plug_client client = { .random = { 1, 2, 3 } };
static struct bench_samples samples[SIZES];

/* The flow decides service, owner and id, as a sealed token of it would. */
static size_t
encode_packet(const struct plug_view *view, uint32_t flow, uint8_t *packet)
{
	const struct plug_service *service =
	    &view->services[flow % view->service_count];

	return path_call_encode(
	    service, &service->members[flow % PATH_HOSTS], flow, false, packet);
}

/* Packets are prepared outside the timed part, as a socket would deliver. */
static double
time_batch(struct plug_router *router, const struct plug_view *view,
    unsigned int flows)
{
	static uint8_t packets[BATCH][PLUG_PACKET_MAX];
	static struct plug_verdict verdict;
	size_t lengths[BATCH];
	double start;

	for (int i = 0; i < BATCH; i++)
		lengths[i] = encode_packet(
		    view, plug_client_random(&client, flows), packets[i]);
	start = bench_now();
	for (int i = 0; i < BATCH; i++) {
		plug_router_decide(
		    router, view, packets[i], lengths[i], &verdict);
		if (verdict.kind != PLUG_VERDICT_FORWARD)
			abort();
	}
	return (bench_now() - start) * NSEC_PER_SEC / BATCH;
}

static void
report(const char *what, const unsigned int *sizes)
{
	double first = 0;

	for (size_t s = 0; s < SIZES; s++) {
		double median;

		bench_samples_sort(&samples[s]);
		median = bench_samples_quantile(&samples[s], 0.5);
		if (s == 0)
			first = median;
		(void)printf(
		    "event=bench name=router %s=%u median_ns=%.1f p25_ns=%.1f "
		    "p75_ns=%.1f ratio=%.3f\n",
		    what, sizes[s], median,
		    bench_samples_quantile(&samples[s], 0.25),
		    bench_samples_quantile(&samples[s], 0.75), median / first);
		samples[s].count = 0;
	}
}

int
main(void)
{
	struct plug_view *views[SIZES];
	struct plug_router router;

	plug_router_init(&router, &client, 0);
	for (size_t s = 0; s < SIZES; s++)
		views[s] = path_view_create(service_sizes[s], first_host);
	for (int round = 0; round < ROUNDS; round++) {
		for (size_t s = 0; s < SIZES; s++)
			bench_samples_add(&samples[s],
			    time_batch(&router, views[0], flow_sizes[s]));
	}
	report("flows", flow_sizes);
	for (int round = 0; round < ROUNDS; round++) {
		for (size_t s = 0; s < SIZES; s++)
			bench_samples_add(&samples[s],
			    time_batch(&router, views[s], flow_sizes[1]));
	}
	report("services", service_sizes);
	for (size_t s = 0; s < SIZES; s++)
		plug_view_release(views[s]);
	return 0;
}
