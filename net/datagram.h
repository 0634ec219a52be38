#ifndef PLUG_DATAGRAM_H
#define PLUG_DATAGRAM_H

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>

#include "libplantainlug/packet.h"

#define PLUG_GRE_SIZE	    4	   /* bytes: RFC 8086 header, no options */
#define PLUG_GRE_PROTO_IPV4 0x0800 /* EtherType of the inner packet */
#define PLUG_DATAGRAM_BATCH 64	   /* datagrams for each system call */
#define PLUG_DATAGRAM_SIZE  2048   /* bytes of a buffer, above any valid size */

/**
 * struct plug_datagram_batch - buffers and system call arguments
 * @messages: arguments of recvmmsg(2) or sendmmsg(2)
 * @vectors: one for each message
 * @addresses: source or target addresses
 * @buffers: datagrams with their GRE header
 * @count: datagrams in the batch
 */
struct plug_datagram_batch {
	struct mmsghdr messages[PLUG_DATAGRAM_BATCH];
	struct iovec vectors[PLUG_DATAGRAM_BATCH];
	struct sockaddr_in addresses[PLUG_DATAGRAM_BATCH];
	uint8_t buffers[PLUG_DATAGRAM_BATCH][PLUG_DATAGRAM_SIZE];
	unsigned int count;
};

/**
 * struct plug_datagram - UDP socket that carries GRE packets in batches
 * @fd: socket
 * @received: batch of plug_datagram_receive()
 * @queued: batch of plug_datagram_send() and plug_datagram_forward()
 * @bad: datagrams without a valid GRE header
 * @lost: datagrams that the kernel didn't take
 *
 * One thread uses an object. It holds its buffers, so that no call allocates.
 */
struct plug_datagram {
	int fd;
	struct plug_datagram_batch received;
	struct plug_datagram_batch queued;
	uint64_t bad;
	uint64_t lost;
};

void plug_gre_encode(uint8_t header[PLUG_GRE_SIZE]);
bool plug_gre_valid(const uint8_t *buf, size_t len);

struct plug_datagram *plug_datagram_create(struct plug_endpoint local,
    bool shared, int wait_ms, struct plug_status *status);
void plug_datagram_destroy(struct plug_datagram *datagram);
enum plug_code
plug_datagram_renew(struct plug_datagram *datagram, struct plug_status *status);
unsigned int plug_datagram_receive(struct plug_datagram *datagram, bool wait);
uint8_t *plug_datagram_packet(
    struct plug_datagram *datagram, unsigned int index, size_t *len);
void plug_datagram_forward(struct plug_datagram *datagram, unsigned int index,
    struct plug_endpoint target);
void plug_datagram_send(struct plug_datagram *datagram,
    struct plug_endpoint target, const uint8_t *packet, size_t len);
void plug_datagram_flush(struct plug_datagram *datagram);
void plug_datagram_discard(struct plug_datagram *datagram);

#endif
