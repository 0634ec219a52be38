#include "clock.h"
#include "traffic.h"

/**
 * plug_traffic_init() - prepare the traffic path of one thread
 * @traffic: zeroed object whose @datagram is set
 * @control: control thread of the process; must outlive the object
 * @fabric: gateway that delivers replies
 * @domain: hash of the entry's own failure domain
 *
 * The caller sets the random state and the log handler of @traffic->client.
 */
void
plug_traffic_init(struct plug_traffic *traffic, struct plug_control *control,
    struct plug_endpoint fabric, uint32_t domain)
{
	traffic->control = control;
	traffic->fabric = fabric;
	plug_router_init(&traffic->router, &traffic->client, domain);
	plug_pause_init(&traffic->pause, plug_clock_now());
}

/**
 * plug_traffic_finish() - give up the views
 * @traffic: object, whose thread has ended
 */
void
plug_traffic_finish(struct plug_traffic *traffic)
{
	plug_view_release(traffic->view);
	traffic->view = NULL;
	plug_view_release(atomic_exchange(&traffic->incoming, NULL));
}

/**
 * plug_traffic_offer() - hand over a new view; callable from any thread
 * @traffic: object
 * @view: view; the object takes its own reference
 */
void
plug_traffic_offer(struct plug_traffic *traffic, struct plug_view *view)
{
	plug_view_release(
	    atomic_exchange(&traffic->incoming, plug_view_reference(view)));
}

static void
collect_view(struct plug_traffic *traffic)
{
	struct plug_view *view;

	if (atomic_load_explicit(&traffic->incoming, memory_order_relaxed) ==
	    NULL)
		return;
	view = atomic_exchange(&traffic->incoming, NULL);
	if (view == NULL)
		return;
	plug_view_release(traffic->view);
	traffic->view = view;
}

static void
publish_counter(
    struct plug_traffic *traffic, unsigned int counter, uint64_t value)
{
	atomic_store_explicit(
	    &traffic->counters[counter], value, memory_order_relaxed);
}

static void
publish_counters(struct plug_traffic *traffic)
{
	publish_counter(traffic, PLUG_TRAFFIC_PACKETS, traffic->packets);
	publish_counter(traffic, PLUG_TRAFFIC_BAD_GRE, traffic->datagram->bad);
	publish_counter(
	    traffic, PLUG_TRAFFIC_SEND_LOST, traffic->datagram->lost);
	publish_counter(
	    traffic, PLUG_TRAFFIC_PAUSE_DROPPED, traffic->pause_dropped);
	for (unsigned int i = 0; i < PLUG_ROUTE_REASON_COUNT; i++)
		publish_counter(traffic, PLUG_TRAFFIC_ROUTES + i,
		    traffic->router.counters[i]);
}

static void
route_packet(struct plug_traffic *traffic, const struct plug_view *view,
    unsigned int index)
{
	struct plug_verdict verdict;
	size_t len;
	uint8_t *packet = plug_datagram_packet(traffic->datagram, index, &len);

	if (packet == NULL)
		return;
	plug_router_decide(&traffic->router, view, packet, len, &verdict);
	switch (verdict.kind) {
	case PLUG_VERDICT_FORWARD:
		plug_bytecount_add(&traffic->bytes, verdict.service,
		    verdict.target_domain, PLUG_BYTECOUNT_REQUEST,
		    PLUG_GRE_SIZE + len);
		plug_datagram_forward(traffic->datagram, index, verdict.target);
		break;
	case PLUG_VERDICT_REPLY:
		plug_bytecount_add(&traffic->bytes, verdict.service,
		    traffic->router.domain, PLUG_BYTECOUNT_ANSWER,
		    PLUG_GRE_SIZE + verdict.reply_len);
		plug_datagram_send(traffic->datagram, traffic->fabric,
		    verdict.reply, verdict.reply_len);
		break;
	case PLUG_VERDICT_DROP:
		break;
	}
}

/**
 * plug_traffic_step() - receive a batch, decide for each packet and send
 * @traffic: object of the calling thread
 * @wait: wait for the first datagram
 *
 * The control thread stores a view before it confirms it, so the view is
 * collected after the check: a confirmed batch never meets the older view. A
 * batch that was decided before a pause is not sent after it.
 *
 * Return: datagrams received.
 */
unsigned int
plug_traffic_step(struct plug_traffic *traffic, bool wait)
{
	unsigned int count = plug_datagram_receive(traffic->datagram, wait);
	plug_time now = plug_clock_now();
	bool usable = plug_control_usable(traffic->control, now);
	bool old = plug_pause_check(&traffic->pause, now, count);

	collect_view(traffic);
	traffic->packets += count;
	if (old)
		traffic->pause_dropped += count;
	for (unsigned int i = 0; i < count && !old; i++)
		route_packet(traffic, usable ? traffic->view : NULL, i);
	if (count > 0 && plug_clock_now() - now > PLUG_TICK_GAP_MAX)
		plug_datagram_discard(traffic->datagram);
	plug_datagram_flush(traffic->datagram);
	publish_counters(traffic);
	return count;
}

/**
 * plug_traffic_count() - read a counter; callable from any thread
 * @traffic: object
 * @counter: which one, up to PLUG_TRAFFIC_COUNTERS
 */
uint64_t
plug_traffic_count(
    struct plug_traffic *traffic, enum plug_traffic_counter counter)
{
	return atomic_load_explicit(
	    &traffic->counters[counter], memory_order_relaxed);
}

/**
 * plug_traffic_counter_name() - name of a counter in the status output
 * @counter: counter; from PLUG_TRAFFIC_ROUTES on the name of the reason
 */
const char *
plug_traffic_counter_name(enum plug_traffic_counter counter)
{
	switch (counter) {
	case PLUG_TRAFFIC_PACKETS:
		return "packets";
	case PLUG_TRAFFIC_BAD_GRE:
		return "bad_gre";
	case PLUG_TRAFFIC_SEND_LOST:
		return "send_lost";
	case PLUG_TRAFFIC_PAUSE_DROPPED:
		return "pause_dropped";
	default:
		return plug_route_reason_name(
		    (enum plug_route_reason)(counter - PLUG_TRAFFIC_ROUTES));
	}
}
