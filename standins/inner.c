#include <net/ethernet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/udp.h>
#include <string.h>

#include "inner.h"

static uint16_t
checksum(const struct ip *ip)
{
	uint16_t words[sizeof(*ip) / 2];
	uint32_t sum = 0;

	memcpy(words, ip, sizeof(words));
	for (size_t i = 0; i < sizeof(words) / sizeof(words[0]); i++)
		sum += words[i];
	sum = (sum >> 16) + (sum & 0xffff);
	sum += sum >> 16;
	return (uint16_t)~sum;
}

/**
 * plug_inner_wrap() - put IPv4 and UDP headers in front of a payload
 * @packet: packet; its payload begins at PLUG_PACKET_HEADER
 * @payload: length of the payload in bytes
 * @source: source address
 * @target: destination address
 */
void
plug_inner_wrap(uint8_t *packet, size_t payload, struct plug_endpoint source,
    struct plug_endpoint target)
{
	struct udphdr udp = {
		.uh_sport = htons(source.port),
		.uh_dport = htons(target.port),
		.uh_ulen = htons((uint16_t)(sizeof(udp) + payload)),
	};
	struct ip ip = {
		.ip_v = IPVERSION,
		.ip_hl = sizeof(ip) / 4,
		.ip_len = htons((uint16_t)(PLUG_PACKET_HEADER + payload)),
		.ip_ttl = PLUG_INITIAL_TTL,
		.ip_p = IPPROTO_UDP,
		.ip_src.s_addr = htonl(source.address),
		.ip_dst.s_addr = htonl(target.address),
	};

	ip.ip_sum = checksum(&ip);
	memcpy(packet, &ip, sizeof(ip));
	memcpy(packet + sizeof(ip), &udp, sizeof(udp));
}

/**
 * plug_inner_unwrap() - read the addresses of a packet
 * @packet: packet, from the IPv4 header on
 * @len: length in bytes
 * @source: source address
 * @target: destination address
 *
 * Return: false when the headers are not valid.
 */
bool
plug_inner_unwrap(const uint8_t *packet, size_t len,
    struct plug_endpoint *source, struct plug_endpoint *target)
{
	struct udphdr udp;
	struct ip ip;

	if (len < PLUG_PACKET_HEADER)
		return false;
	memcpy(&ip, packet, sizeof(ip));
	memcpy(&udp, packet + sizeof(ip), sizeof(udp));
	if (ip.ip_v != IPVERSION || ip.ip_hl != sizeof(ip) / 4 ||
	    ip.ip_p != IPPROTO_UDP || ntohs(ip.ip_len) != len ||
	    checksum(&ip) != 0)
		return false;
	source->address = ntohl(ip.ip_src.s_addr);
	source->port = ntohs(udp.uh_sport);
	target->address = ntohl(ip.ip_dst.s_addr);
	target->port = ntohs(udp.uh_dport);
	return true;
}

/**
 * plug_inner_put_gre() - write the GRE header of an IPv4 packet
 * @header: result
 */
void
plug_inner_put_gre(uint8_t header[PLUG_GRE_SIZE])
{
	header[0] = header[1] = 0;
	header[2] = ETHERTYPE_IP >> 8;
	header[3] = ETHERTYPE_IP & 0xff;
}

/**
 * plug_inner_is_gre() - whether a UDP payload is an IPv4 packet in GRE
 * @datagram: UDP payload
 * @len: length in bytes
 */
bool
plug_inner_is_gre(const uint8_t *datagram, size_t len)
{
	uint8_t header[PLUG_GRE_SIZE];

	plug_inner_put_gre(header);
	return len >= sizeof(header) &&
	       memcmp(datagram, header, sizeof(header)) == 0;
}
