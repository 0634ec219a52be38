#ifndef PLUG_ROUTER_H
#define PLUG_ROUTER_H

#include "view.h"

enum plug_verdict_kind {
	PLUG_VERDICT_DROP,    /* count the packet and discard it */
	PLUG_VERDICT_FORWARD, /* send the packet to an agent */
	PLUG_VERDICT_REPLY,   /* send the reply to the fabric */
};

/* Reason of a verdict; see plug_route_reason_name() for the name in logs. */
enum plug_route_reason {
	PLUG_ROUTE_OWNER,	/* to the owner that the token names */
	PLUG_ROUTE_OPEN_LOCAL,	/* opening flow, to the entry's domain */
	PLUG_ROUTE_OPEN_REMOTE, /* opening flow, no usable host there */
	PLUG_ROUTE_OWNER_GONE,	/* to top-ranked agent; owner may be gone */
	PLUG_ROUTE_DOMAIN_OUT,	/* the owner's domain is out of service */
	PLUG_ROUTE_NO_HOST,	/* no usable host for the service */
	PLUG_ROUTE_NO_SERVICE,	/* no such service address or id */
	PLUG_ROUTE_BAD_PACKET,	/* malformed packet */
	PLUG_ROUTE_BAD_TOKEN,	/* token missing, or wrong MAC or service */
	PLUG_ROUTE_NO_HOPS,	/* inner TTL is used up */
	PLUG_ROUTE_NO_VIEW,	/* no view, or it isn't confirmed */
	PLUG_ROUTE_REASON_COUNT
};

/**
 * struct plug_verdict - decision on one packet
 * @kind: drop, forward or reply
 * @reason: reason of the decision
 * @target: agent to forward to; set only for PLUG_VERDICT_FORWARD
 * @target_domain: hash of the name of the failure domain of @target; set only
 *   for PLUG_VERDICT_FORWARD
 * @reply: encoded reply when @kind is PLUG_VERDICT_REPLY
 * @reply_len: length of @reply in bytes
 * @service: service id in the packet; 0 when the packet wasn't decoded
 * @flow: flow id of the token; 0 without a valid token
 * @document_version: version of the service document; 0 without a service
 */
struct plug_verdict {
	enum plug_verdict_kind kind;
	enum plug_route_reason reason;
	struct plug_endpoint target;
	uint32_t target_domain;
	uint8_t reply[PLUG_PACKET_MAX];
	size_t reply_len;
	uint32_t service;
	uint64_t flow;
	uint64_t document_version;
};

/**
 * struct plug_router - routing state of one traffic thread of an entry
 * @client: random state and log handler of this thread
 * @domain: hash of the name of the entry's failure domain
 * @counters: packets by reason; written only by the thread of the router
 */
struct plug_router {
	struct plug_client *client;
	uint32_t domain;
	uint64_t counters[PLUG_ROUTE_REASON_COUNT];
};

void plug_router_init(
    struct plug_router *router, struct plug_client *client, uint32_t domain);
void
plug_router_decide(struct plug_router *router, const struct plug_view *view,
    uint8_t *packet, size_t len, struct plug_verdict *verdict);
const char *plug_route_reason_name(enum plug_route_reason reason);

#endif
