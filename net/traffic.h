#ifndef PLUG_TRAFFIC_H
#define PLUG_TRAFFIC_H

#include <stdatomic.h>

#include "bytecount.h"
#include "control.h"
#include "datagram.h"
#include "libplantainlug/router.h"
#include "pause.h"

enum plug_traffic_counter {
	PLUG_TRAFFIC_PACKETS,
	PLUG_TRAFFIC_BAD_GRE,
	PLUG_TRAFFIC_SEND_LOST,
	PLUG_TRAFFIC_PAUSE_DROPPED,
	PLUG_TRAFFIC_ROUTES, /* first of PLUG_ROUTE_REASON_COUNT */
	PLUG_TRAFFIC_COUNTERS = PLUG_TRAFFIC_ROUTES + PLUG_ROUTE_REASON_COUNT,
};

/**
 * struct plug_traffic - traffic path of one thread of an entry
 * @control: control thread of the process; kept by the caller
 * @fabric: gateway that delivers replies
 * @datagram: socket of the thread; kept by the caller
 * @client: random state and log handler of the thread
 * @router: decides for each packet
 * @view: view that the thread acts on
 * @pause: notices that the thread stood still
 * @bytes: bytes sent, by service, target domain and cause
 * @packets: datagrams received
 * @pause_dropped: datagrams dropped after a pause
 * @incoming: hands over one reference to a view: the control thread stores it
 *   and the traffic thread exchanges it for NULL, so whoever takes a pointer
 *   out owns its reference and no thread waits
 * @counters: copies for the status
 */
struct plug_traffic {
	struct plug_control *control;
	struct plug_endpoint fabric;
	struct plug_datagram *datagram;
	struct plug_client client;
	struct plug_router router;
	struct plug_view *view;
	struct plug_pause pause;
	struct plug_bytecount bytes;
	uint64_t packets;
	uint64_t pause_dropped;
	_Atomic(struct plug_view *) incoming;
	atomic_uint_fast64_t counters[PLUG_TRAFFIC_COUNTERS];
};

void plug_traffic_init(struct plug_traffic *traffic,
    struct plug_control *control, struct plug_endpoint fabric, uint32_t domain);
void plug_traffic_finish(struct plug_traffic *traffic);
void plug_traffic_offer(struct plug_traffic *traffic, struct plug_view *view);
unsigned int plug_traffic_step(struct plug_traffic *traffic, bool wait);
uint64_t plug_traffic_count(
    struct plug_traffic *traffic, enum plug_traffic_counter counter);
const char *plug_traffic_counter_name(enum plug_traffic_counter counter);

#endif
