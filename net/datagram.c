#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "datagram.h"

#define RECEIVE_BUFFER (4 * 1024 * 1024) /* bytes asked of the kernel */
#define USEC_PER_MSEC  1000

/**
 * plug_gre_encode() - write the header of RFC 8086 for an IPv4 packet
 * @header: PLUG_GRE_SIZE bytes; no checksum, key or sequence number
 */
void
plug_gre_encode(uint8_t header[PLUG_GRE_SIZE])
{
	header[0] = 0;
	header[1] = 0;
	header[2] = PLUG_GRE_PROTO_IPV4 >> 8;
	header[3] = PLUG_GRE_PROTO_IPV4 & 0xff;
}

/**
 * plug_gre_valid() - check a GRE header
 * @buf: UDP payload
 * @len: length in bytes
 *
 * Return: false for a short datagram, another protocol, another version, or
 * any flag. The optional fields aren't used here, and a flag would move the
 * inner packet.
 */
bool
plug_gre_valid(const uint8_t *buf, size_t len)
{
	uint8_t expected[PLUG_GRE_SIZE];

	plug_gre_encode(expected);
	return len > PLUG_GRE_SIZE && memcmp(buf, expected, PLUG_GRE_SIZE) == 0;
}

static struct sockaddr_in
socket_address(struct plug_endpoint endpoint)
{
	return (struct sockaddr_in){
		.sin_family = AF_INET,
		.sin_port = htons(endpoint.port),
		.sin_addr.s_addr = htonl(endpoint.address),
	};
}

/*
 * SO_REUSEPORT is set for shared ports only: a socket that has it may be given
 * an ephemeral port that another such socket of the user already holds.
 */
static int
open_socket(struct plug_endpoint local, bool shared, int wait_ms,
    struct plug_status *status)
{
	const struct sockaddr_in address = socket_address(local);
	const struct timeval wait = {
		.tv_sec = wait_ms / 1000,
		.tv_usec = (suseconds_t)(wait_ms % 1000) * USEC_PER_MSEC,
	};
	const int on = shared;
	const int size = RECEIVE_BUFFER;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		(void)plug_status_set(
		    status, PLUG_E_IO, "socket: %s", strerror(errno));
		return -1;
	}
	/* The kernel may grant less than RECEIVE_BUFFER, which is no error. */
	(void)setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on)) != 0 ||
	    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait)) != 0 ||
	    bind(fd, (const struct sockaddr *)&address, sizeof(address)) != 0) {
		(void)plug_status_set(
		    status, PLUG_E_IO, "bind UDP socket: %s", strerror(errno));
		(void)close(fd);
		return -1;
	}
	return fd;
}

static void
init_batch(struct plug_datagram_batch *batch)
{
	for (unsigned int i = 0; i < PLUG_DATAGRAM_BATCH; i++) {
		struct msghdr *header = &batch->messages[i].msg_hdr;

		batch->vectors[i].iov_base = batch->buffers[i];
		batch->vectors[i].iov_len = PLUG_DATAGRAM_SIZE;
		header->msg_iov = &batch->vectors[i];
		header->msg_iovlen = 1;
		header->msg_name = &batch->addresses[i];
		header->msg_namelen = sizeof(batch->addresses[i]);
	}
}

/**
 * plug_datagram_create() - open a socket and allocate its buffers
 * @local: address to bind
 * @shared: other sockets of the process bind the same address
 * @wait_ms: longest time that a waiting receive takes, in milliseconds
 * @status: reason of a failure, or NULL
 *
 * Return: object for plug_datagram_destroy(), or NULL.
 */
struct plug_datagram *
plug_datagram_create(struct plug_endpoint local, bool shared, int wait_ms,
    struct plug_status *status)
{
	struct plug_datagram *datagram = calloc(1, sizeof(*datagram));

	if (datagram == NULL) {
		(void)plug_status_set(status, PLUG_E_MEMORY, "out of memory");
		return NULL;
	}
	datagram->fd = open_socket(local, shared, wait_ms, status);
	if (datagram->fd < 0) {
		free(datagram);
		return NULL;
	}
	init_batch(&datagram->received);
	init_batch(&datagram->queued);
	return datagram;
}

/**
 * plug_datagram_destroy() - close the socket and free the object
 * @datagram: object, or NULL
 */
void
plug_datagram_destroy(struct plug_datagram *datagram)
{
	if (datagram == NULL)
		return;
	(void)close(datagram->fd);
	free(datagram);
}

/**
 * plug_datagram_renew() - continue on a socket with another source port
 * @datagram: object; keeps its old socket when the call fails
 * @status: reason of a failure, or NULL
 */
enum plug_code
plug_datagram_renew(struct plug_datagram *datagram, struct plug_status *status)
{
	struct plug_endpoint local = { 0, 0 };
	struct sockaddr_in bound = { 0 };
	socklen_t len = sizeof(bound);
	int fd;

	if (getsockname(datagram->fd, (struct sockaddr *)&bound, &len) == 0)
		local.address = ntohl(bound.sin_addr.s_addr);
	plug_datagram_flush(datagram);
	fd = open_socket(local, false, 0, status);
	if (fd < 0)
		return PLUG_E_IO;
	(void)close(datagram->fd);
	datagram->fd = fd;
	return PLUG_OK;
}

/**
 * plug_datagram_receive() - receive a batch
 * @datagram: object
 * @wait: wait for the first datagram
 *
 * Forwarded packets that are still queued are sent first, since they live in
 * the buffers that are about to be reused.
 *
 * Return: datagrams received; less than PLUG_DATAGRAM_BATCH when the socket was
 * seen empty.
 */
unsigned int
plug_datagram_receive(struct plug_datagram *datagram, bool wait)
{
	struct plug_datagram_batch *batch = &datagram->received;
	int n;

	plug_datagram_flush(datagram);
	n = recvmmsg(datagram->fd, batch->messages, PLUG_DATAGRAM_BATCH,
	    wait ? MSG_WAITFORONE : MSG_DONTWAIT, NULL);
	/* A wait that a stopped process left with EINTR or by its timeout says
	 * nothing about the socket, which may hold old datagrams. */
	while (n < 0 && (wait || errno == EINTR)) {
		wait = false;
		n = recvmmsg(datagram->fd, batch->messages, PLUG_DATAGRAM_BATCH,
		    MSG_DONTWAIT, NULL);
	}
	batch->count = n > 0 ? (unsigned int)n : 0;
	return batch->count;
}

/**
 * plug_datagram_packet() - inner packet of a received datagram
 * @datagram: object
 * @index: place in the batch
 * @len: length of the inner packet in bytes
 *
 * Return: the inner packet, or NULL when the GRE header isn't valid.
 */
uint8_t *
plug_datagram_packet(
    struct plug_datagram *datagram, unsigned int index, size_t *len)
{
	const struct mmsghdr *message = &datagram->received.messages[index];
	uint8_t *buf = datagram->received.buffers[index];

	if ((message->msg_hdr.msg_flags & MSG_TRUNC) != 0 ||
	    !plug_gre_valid(buf, message->msg_len)) {
		datagram->bad++;
		return NULL;
	}
	*len = message->msg_len - PLUG_GRE_SIZE;
	return buf + PLUG_GRE_SIZE;
}

static void
queue(struct plug_datagram *datagram, struct plug_endpoint target, uint8_t *buf,
    size_t len)
{
	struct plug_datagram_batch *batch = &datagram->queued;
	unsigned int i = batch->count++;

	batch->addresses[i] = socket_address(target);
	batch->vectors[i].iov_base = buf;
	batch->vectors[i].iov_len = len;
	if (batch->count == PLUG_DATAGRAM_BATCH)
		plug_datagram_flush(datagram);
}

/**
 * plug_datagram_forward() - queue a received datagram without copying it
 * @datagram: object
 * @index: place in the received batch
 * @target: where to send it
 */
void
plug_datagram_forward(struct plug_datagram *datagram, unsigned int index,
    struct plug_endpoint target)
{
	queue(datagram, target, datagram->received.buffers[index],
	    datagram->received.messages[index].msg_len);
}

/**
 * plug_datagram_send() - queue a copy of an inner packet
 * @datagram: object
 * @target: where to send it
 * @packet: inner packet
 * @len: length in bytes; a packet above PLUG_PACKET_MAX is counted as lost
 */
void
plug_datagram_send(struct plug_datagram *datagram, struct plug_endpoint target,
    const uint8_t *packet, size_t len)
{
	uint8_t *buf = datagram->queued.buffers[datagram->queued.count];

	if (len > PLUG_PACKET_MAX) {
		datagram->lost++;
		return;
	}
	plug_gre_encode(buf);
	memcpy(buf + PLUG_GRE_SIZE, packet, len);
	queue(datagram, target, buf, PLUG_GRE_SIZE + len);
}

/**
 * plug_datagram_flush() - send what is queued
 * @datagram: object
 *
 * A datagram that the kernel refuses is counted and skipped: one unreachable
 * target must not hold up the others.
 */
void
plug_datagram_flush(struct plug_datagram *datagram)
{
	struct plug_datagram_batch *batch = &datagram->queued;
	unsigned int done = 0;

	while (done < batch->count) {
		int n = sendmmsg(datagram->fd, batch->messages + done,
		    batch->count - done, MSG_DONTWAIT);

		if (n > 0) {
			done += (unsigned int)n;
		} else if (n < 0 && errno == EINTR) {
			continue;
		} else {
			datagram->lost++;
			done++;
		}
	}
	batch->count = 0;
}

/**
 * plug_datagram_discard() - forget what is queued
 * @datagram: object
 */
void
plug_datagram_discard(struct plug_datagram *datagram)
{
	datagram->lost += datagram->queued.count;
	datagram->queued.count = 0;
}
