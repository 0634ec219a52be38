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

#define BATCH	     64	  /* packets timed together */
#define ROUNDS	     4000 /* batches for each size */
#define HOSTS	     13	  /* agents of one service: 4,300 over 330 */
#define NSEC_PER_SEC 1e9

static const unsigned int flow_sizes[] = { 1000, 100000, 500000 };
static const unsigned int service_sizes[] = { 10, 100, 330 };
#define SIZES (sizeof(flow_sizes) / sizeof(flow_sizes[0]))

static struct plug_client client = { .random = { 1, 2, 3 } };
static struct bench_samples samples[SIZES];

static struct plug_view *
create_view(unsigned int services)
{
	struct plug_view *view = plug_view_create(services, 0);

	for (unsigned int i = 0; i < services; i++) {
		struct plug_service *service = &view->services[i];

		service->document.service = i + 1;
		service->document.address.address = 0x0a000000 + i;
		service->document.address.port = 80;
		service->document.token_keys.count = 1;
		service->member_count = HOSTS;
		service->members = calloc(HOSTS, sizeof(*service->members));
		for (unsigned int j = 0; j < HOSTS; j++) {
			service->members[j].endpoint.address =
			    0x0b000000 + i * HOSTS + j;
			service->members[j].endpoint.port = 4754;
			service->members[j].domain = j % 9;
		}
	}
	return view;
}

/* The flow decides service, owner and id, as a sealed token of it would. */
static size_t
encode_packet(const struct plug_view *view, uint32_t flow, uint8_t *packet)
{
	const struct plug_service *service =
	    &view->services[flow % view->service_count];
	struct plug_call call = {
		.caller = { 0xc0000000 + flow, 1000 },
		.service = service->document.address,
		.ttl = PLUG_INITIAL_TTL,
		.xid = 1,
		.program = service->document.service,
		.procedure = 1,
		.has_token = true,
		.body = PLUG_STR("0123456789abcdef0123456789abcdef"),
	};
	const struct plug_member *owner = &service->members[flow % HOSTS];
	struct plug_token token = {
		.service = service->document.service,
		.agent = owner->endpoint,
		.domain = owner->domain,
		.flow = flow * 0x9e3779b97f4a7c15ULL,
	};

	plug_token_seal(&token, &service->document.token_keys, call.token);
	return plug_packet_encode_call(&call, packet, PLUG_PACKET_MAX);
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
		views[s] = create_view(service_sizes[s]);
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
