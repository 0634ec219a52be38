#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/ip.h>
#include <netinet/udp.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "packet.h"

#define VERF_NUMBERS	4  /* floor, attempt, budget_ms, offset */
#define VERF_SIZE	16 /* bytes of the numbers */
#define RESULT_NUMBERS	5  /* outcome, retry_after_ms, total, offset, crc */
#define RESULT_MIN_SIZE 24 /* bytes: results without the block */

_Static_assert(sizeof(struct ip) + sizeof(struct udphdr) == PLUG_PACKET_HEADER,
    "inner headers have no options");

/* Opaque credential bodies are decoded into these, so nothing is allocated. */
struct auth_buffers {
	char cred[MAX_AUTH_BYTES];
	char verf[MAX_AUTH_BYTES];
};

static uint16_t
header_checksum(const struct ip *ip)
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
 * plug_packet_put_headers() - write the IPv4 and UDP headers of a packet
 * @buf: packet; its payload begins at PLUG_PACKET_HEADER
 * @len: length of the whole packet in bytes, PLUG_PACKET_HEADER at least
 * @source: source address
 * @target: destination address
 * @ttl: hops left
 *
 * The UDP checksum is 0 (not computed), as RFC 768 allows over IPv4.
 */
void
plug_packet_put_headers(uint8_t *buf, size_t len, struct plug_endpoint source,
    struct plug_endpoint target, uint8_t ttl)
{
	struct udphdr udp = {
		.uh_sport = htons(source.port),
		.uh_dport = htons(target.port),
		.uh_ulen = htons((uint16_t)(len - sizeof(struct ip))),
	};
	struct ip ip = {
		.ip_v = IPVERSION,
		.ip_hl = sizeof(struct ip) / 4,
		.ip_len = htons((uint16_t)len),
		.ip_ttl = ttl,
		.ip_p = IPPROTO_UDP,
		.ip_src.s_addr = htonl(source.address),
		.ip_dst.s_addr = htonl(target.address),
	};

	ip.ip_sum = header_checksum(&ip);
	memcpy(buf, &ip, sizeof(ip));
	memcpy(buf + sizeof(ip), &udp, sizeof(udp));
}

/**
 * plug_packet_get_headers() - check and read the IPv4 and UDP headers
 * @buf: packet, from the IPv4 header on
 * @len: length of the whole packet in bytes
 * @source: source address
 * @target: destination address
 * @ttl: hops left
 * @status: filled on an error, may be NULL
 *
 * Return: PLUG_OK or a 2xx code.
 */
enum plug_code
plug_packet_get_headers(const uint8_t *buf, size_t len,
    struct plug_endpoint *source, struct plug_endpoint *target, uint8_t *ttl,
    struct plug_status *status)
{
	struct udphdr udp;
	struct ip ip;

	if (len < PLUG_PACKET_HEADER)
		return plug_status_set(status, PLUG_E_TRUNCATED,
		    "packet of %zu bytes is shorter than its headers", len);
	if (len > PLUG_PACKET_MAX)
		return plug_status_set(status, PLUG_E_OVERSIZE,
		    "packet of %zu bytes exceeds %d", len, PLUG_PACKET_MAX);
	memcpy(&ip, buf, sizeof(ip));
	memcpy(&udp, buf + sizeof(ip), sizeof(udp));
	if (ip.ip_v != IPVERSION)
		return plug_status_set(status, PLUG_E_VERSION,
		    "IP version %u is not supported", ip.ip_v);
	if (ip.ip_hl != sizeof(ip) / 4 || ip.ip_p != IPPROTO_UDP ||
	    ntohs(ip.ip_len) != len || ntohs(udp.uh_ulen) != len - sizeof(ip) ||
	    header_checksum(&ip) != 0)
		return plug_status_set(status, PLUG_E_MALFORMED,
		    "inner IPv4 or UDP header is not valid");
	source->address = ntohl(ip.ip_src.s_addr);
	source->port = ntohs(udp.uh_sport);
	target->address = ntohl(ip.ip_dst.s_addr);
	target->port = ntohs(udp.uh_dport);
	*ttl = ip.ip_ttl;
	return PLUG_OK;
}

/**
 * plug_packet_take_hop() - take one hop off the inner packet
 * @buf: packet with a valid IPv4 header; its checksum is updated as in RFC 1624
 * @len: length in bytes
 *
 * Return: false when no hop is left and the packet must not be forwarded.
 */
bool
plug_packet_take_hop(uint8_t *buf, size_t len)
{
	struct ip ip;

	if (len < PLUG_PACKET_HEADER)
		return false;
	memcpy(&ip, buf, sizeof(ip));
	if (ip.ip_ttl <= 1)
		return false;
	ip.ip_ttl--;
	ip.ip_sum = 0;
	ip.ip_sum = header_checksum(&ip);
	memcpy(buf, &ip, sizeof(ip));
	return true;
}

static bool
code_numbers(XDR *xdr, uint32_t **numbers, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (!xdr_uint32_t(xdr, numbers[i]))
			return false;
	}
	return true;
}

/* Points body at the opaque bytes at the stream's position. */
static bool
get_body(XDR *xdr, uint32_t max, struct plug_str *body)
{
	uint32_t len;
	char *data = NULL;

	if (!xdr_uint32_t(xdr, &len) || len > max)
		return false;
	if (len > 0) {
		data = (char *)XDR_INLINE(xdr, RNDUP(len));
		if (data == NULL)
			return false;
	}
	body->data = data;
	body->len = len;
	return true;
}

static bool
put_body(XDR *xdr, struct plug_str body)
{
	uint32_t len = (uint32_t)body.len;

	return xdr_uint32_t(xdr, &len) &&
	       (len == 0 || xdr_opaque(xdr, (char *)(uintptr_t)body.data, len));
}

/**
 * plug_packet_decode_call() - decode a caller's packet
 * @buf: inner packet, from the IPv4 header on
 * @len: length in bytes
 * @call: result; @call->body points into @buf
 * @status: filled on an error, may be NULL
 *
 * Allocates nothing. Return: PLUG_OK or a 2xx code.
 */
enum plug_code
plug_packet_decode_call(const uint8_t *buf, size_t len, struct plug_call *call,
    struct plug_status *status)
{
	uint32_t *verf[] = { &call->floor, &call->attempt, &call->budget_ms,
		&call->offset };
	struct auth_buffers auth;
	struct rpc_msg msg;
	struct call_body *body = &msg.rm_call;
	enum plug_code code;
	XDR xdr;

	code = plug_packet_get_headers(
	    buf, len, &call->caller, &call->service, &call->ttl, status);
	if (code != PLUG_OK)
		return code;

	memset(&msg, 0, sizeof(msg));
	body->cb_cred.oa_base = auth.cred;
	body->cb_verf.oa_base = auth.verf;
	xdrmem_create(&xdr, (char *)(uintptr_t)buf + PLUG_PACKET_HEADER,
	    (u_int)(len - PLUG_PACKET_HEADER), XDR_DECODE);
	if (!xdr_callmsg(&xdr, &msg))
		return plug_status_set(
		    status, PLUG_E_MALFORMED, "not an RPC call");
	if (body->cb_rpcvers != RPC_MSG_VERSION ||
	    body->cb_vers != PLUG_RPC_VERSION)
		return plug_status_set(status, PLUG_E_VERSION,
		    "RPC version %u, program version %u",
		    (unsigned int)body->cb_rpcvers,
		    (unsigned int)body->cb_vers);

	call->xid = msg.rm_xid;
	call->program = (uint32_t)body->cb_prog;
	call->procedure = (uint32_t)body->cb_proc;
	call->has_token = body->cb_cred.oa_flavor == AUTH_SHORT;
	if (call->has_token) {
		if (body->cb_cred.oa_length != PLUG_TOKEN_SIZE)
			return plug_status_set(status, PLUG_E_MALFORMED,
			    "token of %u bytes",
			    (unsigned int)body->cb_cred.oa_length);
		memcpy(call->token, auth.cred, PLUG_TOKEN_SIZE);
	}
	if (!get_body(&xdr, PLUG_BODY_MAX, &call->body))
		return plug_status_set(status, PLUG_E_TRUNCATED,
		    "arguments are cut short or too long");

	call->floor = call->attempt = call->budget_ms = call->offset = 0;
	if (body->cb_verf.oa_flavor == (enum_t)PLUG_CALL_VERF_FLAVOR) {
		if (body->cb_verf.oa_length != VERF_SIZE)
			return plug_status_set(status, PLUG_E_MALFORMED,
			    "verifier of %u bytes",
			    (unsigned int)body->cb_verf.oa_length);
		xdrmem_create(&xdr, auth.verf, VERF_SIZE, XDR_DECODE);
		if (!code_numbers(&xdr, verf, VERF_NUMBERS))
			return plug_status_set(
			    status, PLUG_E_MALFORMED, "verifier is not valid");
	}
	return PLUG_OK;
}

/**
 * plug_packet_encode_call() - encode a caller's packet
 * @call: call to encode
 * @buf: result, from the IPv4 header on
 * @size: size of @buf in bytes
 *
 * Return: length in bytes, 0 when it doesn't fit.
 */
size_t
plug_packet_encode_call(const struct plug_call *call, uint8_t *buf, size_t size)
{
	uint32_t numbers[] = { call->floor, call->attempt, call->budget_ms,
		call->offset };
	uint32_t *verf[] = { &numbers[0], &numbers[1], &numbers[2],
		&numbers[3] };
	struct auth_buffers auth;
	struct rpc_msg msg;
	size_t len;
	XDR xdr;

	if (size <= PLUG_PACKET_HEADER || call->body.len > PLUG_BODY_MAX)
		return 0;
	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = call->xid;
	msg.rm_direction = CALL;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = call->program;
	msg.rm_call.cb_vers = PLUG_RPC_VERSION;
	msg.rm_call.cb_proc = call->procedure;
	if (call->has_token) {
		msg.rm_call.cb_cred.oa_flavor = AUTH_SHORT;
		msg.rm_call.cb_cred.oa_base = auth.cred;
		msg.rm_call.cb_cred.oa_length = PLUG_TOKEN_SIZE;
		memcpy(auth.cred, call->token, PLUG_TOKEN_SIZE);
	}
	xdrmem_create(&xdr, auth.verf, VERF_SIZE, XDR_ENCODE);
	if (!code_numbers(&xdr, verf, VERF_NUMBERS))
		return 0;
	msg.rm_call.cb_verf.oa_flavor = (enum_t)PLUG_CALL_VERF_FLAVOR;
	msg.rm_call.cb_verf.oa_base = auth.verf;
	msg.rm_call.cb_verf.oa_length = VERF_SIZE;

	xdrmem_create(&xdr, (char *)buf + PLUG_PACKET_HEADER,
	    (u_int)(size - PLUG_PACKET_HEADER), XDR_ENCODE);
	if (!xdr_callmsg(&xdr, &msg) || !put_body(&xdr, call->body))
		return 0;
	len = PLUG_PACKET_HEADER + xdr_getpos(&xdr);
	plug_packet_put_headers(
	    buf, len, call->caller, call->service, call->ttl);
	return len;
}

/* The results follow the reply header and are coded separately. */
static bool_t
code_no_results(XDR *xdr, ...)
{
	(void)xdr;
	return 1;
}

/**
 * plug_packet_decode_reply() - decode a packet on its way to the caller
 * @buf: inner packet, from the IPv4 header on
 * @len: length in bytes
 * @reply: result; @reply->body points into @buf
 * @status: filled on an error, may be NULL
 *
 * Return: PLUG_OK or a 2xx code.
 */
enum plug_code
plug_packet_decode_reply(const uint8_t *buf, size_t len,
    struct plug_reply *reply, struct plug_status *status)
{
	uint32_t outcome;
	uint32_t *results[] = { &outcome, &reply->retry_after_ms, &reply->total,
		&reply->offset, &reply->crc };
	struct opaque_auth *verf;
	struct auth_buffers auth;
	struct rpc_msg msg;
	enum plug_code code;
	uint8_t ttl;
	XDR xdr;

	code = plug_packet_get_headers(
	    buf, len, &reply->service, &reply->caller, &ttl, status);
	if (code != PLUG_OK)
		return code;
	memset(&msg, 0, sizeof(msg));
	verf = &msg.acpted_rply.ar_verf;
	verf->oa_base = auth.verf;
	msg.acpted_rply.ar_results.proc = code_no_results;
	xdrmem_create(&xdr, (char *)(uintptr_t)buf + PLUG_PACKET_HEADER,
	    (u_int)(len - PLUG_PACKET_HEADER), XDR_DECODE);
	if (!xdr_replymsg(&xdr, &msg) || msg.rm_reply.rp_stat != MSG_ACCEPTED ||
	    msg.acpted_rply.ar_stat != SUCCESS)
		return plug_status_set(
		    status, PLUG_E_MALFORMED, "not an accepted RPC reply");
	if (!code_numbers(&xdr, results, RESULT_NUMBERS) ||
	    outcome > PLUG_OUTCOME_FLOW_LOST ||
	    !get_body(&xdr, PLUG_BLOCK_SIZE, &reply->body))
		return plug_status_set(
		    status, PLUG_E_TRUNCATED, "results are cut short");
	if (reply->offset > reply->total ||
	    reply->body.len > reply->total - reply->offset)
		return plug_status_set(
		    status, PLUG_E_MALFORMED, "block exceeds the answer");

	reply->xid = msg.rm_xid;
	reply->outcome = (enum plug_outcome)outcome;
	reply->has_token =
	    verf->oa_flavor == AUTH_SHORT && verf->oa_length == PLUG_TOKEN_SIZE;
	if (reply->has_token)
		memcpy(reply->token, auth.verf, PLUG_TOKEN_SIZE);
	return PLUG_OK;
}

/**
 * plug_packet_encode_reply() - encode a packet to the caller
 * @reply: reply to encode
 * @buf: result, from the IPv4 header on
 * @size: size of @buf in bytes
 *
 * Return: length in bytes, 0 when it doesn't fit.
 */
size_t
plug_packet_encode_reply(
    const struct plug_reply *reply, uint8_t *buf, size_t size)
{
	uint32_t numbers[] = { (uint32_t)reply->outcome, reply->retry_after_ms,
		reply->total, reply->offset, reply->crc };
	uint32_t *results[] = { &numbers[0], &numbers[1], &numbers[2],
		&numbers[3], &numbers[4] };
	struct auth_buffers auth;
	struct rpc_msg msg;
	size_t len;
	XDR xdr;

	if (size < PLUG_PACKET_HEADER + RESULT_MIN_SIZE ||
	    reply->body.len > PLUG_BLOCK_SIZE)
		return 0;
	memset(&msg, 0, sizeof(msg));
	msg.rm_xid = reply->xid;
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = SUCCESS;
	msg.acpted_rply.ar_results.proc = code_no_results;
	if (reply->has_token) {
		msg.acpted_rply.ar_verf.oa_flavor = AUTH_SHORT;
		msg.acpted_rply.ar_verf.oa_base = auth.verf;
		msg.acpted_rply.ar_verf.oa_length = PLUG_TOKEN_SIZE;
		memcpy(auth.verf, reply->token, PLUG_TOKEN_SIZE);
	}
	xdrmem_create(&xdr, (char *)buf + PLUG_PACKET_HEADER,
	    (u_int)(size - PLUG_PACKET_HEADER), XDR_ENCODE);
	if (!xdr_replymsg(&xdr, &msg) ||
	    !code_numbers(&xdr, results, RESULT_NUMBERS) ||
	    !put_body(&xdr, reply->body))
		return 0;
	len = PLUG_PACKET_HEADER + xdr_getpos(&xdr);
	plug_packet_put_headers(
	    buf, len, reply->service, reply->caller, PLUG_INITIAL_TTL);
	return len;
}

/**
 * plug_outcome_name() - name of an outcome in logs
 * @outcome: outcome
 */
const char *
plug_outcome_name(enum plug_outcome outcome)
{
	switch (outcome) {
	case PLUG_OUTCOME_DONE:
		return "done";
	case PLUG_OUTCOME_NOT_RUN:
		return "not_run";
	case PLUG_OUTCOME_UNKNOWN:
		return "unknown";
	case PLUG_OUTCOME_FLOW_LOST:
		return "flow_lost";
	}
	return "invalid";
}

/**
 * plug_endpoint_equal() - compare two endpoints
 * @a: first endpoint
 * @b: second endpoint
 */
bool
plug_endpoint_equal(struct plug_endpoint a, struct plug_endpoint b)
{
	return a.address == b.address && a.port == b.port;
}

static enum plug_code
parse_endpoint(struct plug_str text, unsigned long lowest_port,
    struct plug_endpoint *endpoint, struct plug_status *status)
{
	char buf[INET_ADDRSTRLEN + sizeof(":65535")];
	unsigned long port = 0;
	struct in_addr in;
	char *colon, *end = NULL;
	bool valid = false;

	if (text.len < sizeof(buf)) {
		(void)plug_str_copy(text, buf, sizeof(buf));
		colon = strchr(buf, ':');
		if (colon != NULL) {
			*colon = '\0';
			port = strtoul(colon + 1, &end, 10);
			valid = end != colon + 1 && *end == '\0' &&
				port >= lowest_port && port <= UINT16_MAX &&
				inet_pton(AF_INET, buf, &in) == 1;
		}
	}
	if (!valid)
		return plug_status_set(status, PLUG_E_SYNTAX,
		    "\"%.*s\" is not ip:port", (int)text.len, text.data);
	endpoint->address = ntohl(in.s_addr);
	endpoint->port = (uint16_t)port;
	return PLUG_OK;
}

/**
 * plug_endpoint_parse() - parse "ip:port"
 * @text: text, IPv4 address in dotted form and a port from 1 to 65535
 * @endpoint: result
 * @status: filled on an error, may be NULL
 *
 * Return: PLUG_OK or PLUG_E_SYNTAX.
 */
enum plug_code
plug_endpoint_parse(struct plug_str text, struct plug_endpoint *endpoint,
    struct plug_status *status)
{
	return parse_endpoint(text, 1, endpoint, status);
}

/**
 * plug_endpoint_parse_listen() - parse "ip:port" of a listening socket
 * @text: like that of plug_endpoint_parse(); port 0 asks for an ephemeral port
 * @endpoint: result
 * @status: filled on an error, may be NULL
 *
 * Return: PLUG_OK or PLUG_E_SYNTAX.
 */
enum plug_code
plug_endpoint_parse_listen(struct plug_str text, struct plug_endpoint *endpoint,
    struct plug_status *status)
{
	return parse_endpoint(text, 0, endpoint, status);
}

/**
 * plug_endpoint_format() - write "ip:port"
 * @endpoint: endpoint
 * @buf: result, with a final NUL
 * @size: size of @buf; PLUG_ENDPOINT_TEXT always suffices
 *
 * Return: length of the text in bytes.
 */
size_t
plug_endpoint_format(struct plug_endpoint endpoint, char *buf, size_t size)
{
	int n = snprintf(buf, size, "%u.%u.%u.%u:%u", endpoint.address >> 24,
	    endpoint.address >> 16 & 0xff, endpoint.address >> 8 & 0xff,
	    endpoint.address & 0xff, endpoint.port);

	return n < 0 ? 0 : (size_t)n;
}
