#ifndef BENCH_PATH_H
#define BENCH_PATH_H

#include "libplantainlug/view.h"
#include "net/datagram.h"

#define PATH_SERVICES 330 /* design section 2 */
#define PATH_HOSTS    13  /* agents of one service: 4,300 over 330 */
#define PATH_DOMAINS  9	  /* failure domains, design section 2 */

/**
 * struct path_packet - a prepared datagram
 * @len: length in bytes
 * @bytes: GRE header and inner packet
 */
struct path_packet {
	size_t len;
	uint8_t bytes[PLUG_GRE_SIZE + PLUG_PACKET_MAX];
};

struct plug_datagram *
path_socket(struct plug_endpoint local, bool shared, int wait_ms);
uint16_t path_port(const struct plug_datagram *datagram);
struct plug_view *
path_view_create(unsigned int services, struct plug_endpoint first);
size_t path_call_encode(const struct plug_service *service,
    const struct plug_member *owner, uint32_t flow, bool opens,
    uint8_t *packet);
void path_packet_create(struct path_packet *packet,
    const struct plug_view *view, uint32_t flow, bool opens);
unsigned int path_step_bare(
    struct plug_datagram *datagram, uint16_t sink_port, unsigned int *next);

#endif
