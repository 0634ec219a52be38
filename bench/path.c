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

/**
 * path_view_create() - view of services with PATH_HOSTS agents each
 * @services: number of services
 * @first: endpoint of the first agent; the others have the next addresses
 *
 * When @first is on the loopback network, one socket reads for all agents.
 */
struct plug_view *
path_view_create(unsigned int services, struct plug_endpoint first)
{
	struct plug_view *view = plug_view_create(services, 0);

	for (unsigned int i = 0; i < services; i++) {
		struct plug_service *service = &view->services[i];

		service->document.service = i + 1;
		service->document.address.address = 0x0a000000 + i;
		service->document.address.port = 80;
		service->document.token_keys.count = 1;
		service->member_count = PATH_HOSTS;
		service->members =
		    calloc(PATH_HOSTS, sizeof(*service->members));
		for (unsigned int j = 0; j < PATH_HOSTS; j++) {
			struct plug_member *member = &service->members[j];

			member->endpoint = first;
			member->endpoint.address += i * PATH_HOSTS + j;
			member->domain = j % PATH_DOMAINS;
		}
	}
	return view;
}

/**
 * path_call_encode() - prepare the inner packet of one flow
 * @service: service of the flow
 * @owner: agent of the flow
 * @flow: number of the flow, decides the caller and the flow id
 * @opens: an opening call instead of a request
 * @packet: PLUG_PACKET_MAX bytes
 *
 * Return: length in bytes.
 */
size_t
path_call_encode(const struct plug_service *service,
    const struct plug_member *owner, uint32_t flow, bool opens, uint8_t *packet)
{
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
		.agent = owner->endpoint,
		.domain = owner->domain,
		.flow = flow * 0x9e3779b97f4a7c15ULL,
	};

	plug_token_seal(&token, &service->document.token_keys, call.token);
	return plug_packet_encode_call(&call, packet, PLUG_PACKET_MAX);
}

/**
 * path_packet_create() - prepare a datagram of one flow
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

	plug_gre_encode(packet->bytes);
	packet->len =
	    PLUG_GRE_SIZE + path_call_encode(service, &service->members[host],
				flow, opens, packet->bytes + PLUG_GRE_SIZE);
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
