#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libplantainlug/token.h"
#include "path.h"

/**
 * path_socket() - open a socket or end the program
 * @local: address to bind
 * @shared: other sockets bind the same address
 * @wait_ms: longest time that a receive waits, in milliseconds
 */
struct plug_datagram *
path_socket(struct plug_endpoint local, bool shared, int wait_ms)
{
	struct plug_datagram *datagram =
	    plug_datagram_create(local, shared, wait_ms, NULL);

	if (datagram == NULL) {
		perror("socket");
		exit(1);
	}
	return datagram;
}

/**
 * path_port() - local port of a socket
 * @datagram: socket
 */
uint16_t
path_port(const struct plug_datagram *datagram)
{
	struct sockaddr_in bound = { 0 };
	socklen_t len = sizeof(bound);

	if (getsockname(datagram->fd, (struct sockaddr *)&bound, &len) != 0)
		abort();
	return ntohs(bound.sin_port);
}

/* Every host is one address of the loopback network; one socket reads all. */
static struct plug_endpoint
host_endpoint(unsigned int service, unsigned int host, uint16_t port)
{
	return (struct plug_endpoint){
		INADDR_LOOPBACK + 1 + service * PATH_HOSTS + host, port
	};
}

/**
 * path_view_create() - view whose agents are addresses of one socket
 * @sink_port: port of that socket
 */
struct plug_view *
path_view_create(uint16_t sink_port)
{
	struct plug_view *view = plug_view_create(PATH_SERVICES, 0);

	for (unsigned int i = 0; i < PATH_SERVICES; i++) {
		struct plug_service *service = &view->services[i];

		service->document.service = i + 1;
		service->document.address.address = 0x0a000000 + i;
		service->document.address.port = 80;
		service->document.token_keys.count = 1;
		service->member_count = PATH_HOSTS;
		service->members =
		    calloc(PATH_HOSTS, sizeof(*service->members));
		for (unsigned int j = 0; j < PATH_HOSTS; j++) {
			service->members[j].endpoint =
			    host_endpoint(i, j, sink_port);
			service->members[j].domain = j % 9;
		}
	}
	return view;
}

/**
 * path_packet_create() - prepare a packet of one flow
 * @packet: result
 * @view: view that names its owner
 * @flow: number of the flow, decides service and owner
 * @opens: an opening call instead of a request
 */
void
path_packet_create(struct path_packet *packet, const struct plug_view *view,
    uint32_t flow, bool opens)
{
	unsigned int index = flow % PATH_SERVICES,
		     host = flow / PATH_SERVICES % PATH_HOSTS;
	const struct plug_service *service = &view->services[index];
	struct plug_call call = {
		.caller = { 0xc0000000 + flow, 1000 },
		.service = service->document.address,
		.ttl = PLUG_INITIAL_TTL,
		.xid = 1,
		.program = service->document.service,
		.procedure = opens ? PLUG_PROCEDURE_NULL : 1,
		.has_token = !opens,
		.body = PLUG_STR("0123456789abcdef0123456789abcdef"),
	};
	struct plug_token token = {
		.service = service->document.service,
		.agent = service->members[host].endpoint,
		.domain = service->members[host].domain,
		.flow = flow * 0x9e3779b97f4a7c15ULL,
	};

	plug_token_seal(&token, &service->document.token_keys, call.token);
	plug_gre_encode(packet->bytes);
	packet->len =
	    PLUG_GRE_SIZE + plug_packet_encode_call(&call,
				packet->bytes + PLUG_GRE_SIZE, PLUG_PACKET_MAX);
}

/**
 * path_step_bare() - forward a batch without looking into the packets
 * @datagram: socket, used for its buffers only
 * @sink_port: port of the socket that reads all addresses
 * @next: number of the next target; the targets are those of an entry
 *
 * Return: datagrams received.
 */
unsigned int
path_step_bare(
    struct plug_datagram *datagram, uint16_t sink_port, unsigned int *next)
{
	struct plug_datagram_batch *received = &datagram->received;
	struct plug_datagram_batch *queued = &datagram->queued;
	struct sockaddr_in address = { .sin_family = AF_INET,
		.sin_port = htons(sink_port) };
	int n = recvmmsg(datagram->fd, received->messages, PLUG_DATAGRAM_BATCH,
	    MSG_WAITFORONE, NULL);

	for (int i = 0; i < n; i++) {
		*next = (*next + 1) % (PATH_SERVICES * PATH_HOSTS);
		address.sin_addr.s_addr = htonl(INADDR_LOOPBACK + 1 + *next);
		queued->addresses[i] = address;
		queued->vectors[i].iov_base = received->buffers[i];
		queued->vectors[i].iov_len = received->messages[i].msg_len;
	}
	for (int done = 0; done < n;) {
		int sent = sendmmsg(datagram->fd, queued->messages + done,
		    (unsigned int)(n - done), MSG_DONTWAIT);

		done += sent > 0 ? sent : 1;
	}
	return n > 0 ? (unsigned int)n : 0;
}
