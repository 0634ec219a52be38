#ifndef PLUG_ROUTER_H
#define PLUG_ROUTER_H

#include "view.h"

enum plug_verdict_kind {
	PLUG_VERDICT_DROP,    /* count and forget */
	PLUG_VERDICT_FORWARD, /* send the packet to an agent */
	PLUG_VERDICT_REPLY,   /* send the reply to the fabric */
};

/* Why the router decided as it did; the names appear in logs. */
enum plug_route_reason {
	PLUG_ROUTE_OWNER,	/* the token names the owner */
	PLUG_ROUTE_OPEN_LOCAL,	/* opening flow, own domain */
	PLUG_ROUTE_OPEN_REMOTE, /* opening flow, own domain has no host */
	PLUG_ROUTE_OWNER_GONE,	/* ranked candidate of a departed owner */
	PLUG_ROUTE_DOMAIN_OUT,	/* the owner's domain was taken out */
	PLUG_ROUTE_NO_HOST,	/* no live host for the service */
	PLUG_ROUTE_NO_SERVICE,	/* no such service address or id */
	PLUG_ROUTE_BAD_PACKET,	/* can't be decoded */
	PLUG_ROUTE_BAD_TOKEN,	/* MAC or service doesn't match */
	PLUG_ROUTE_NO_HOPS,	/* inner TTL used up */
	PLUG_ROUTE_NO_VIEW,	/* no view yet, or not confirmed */
	PLUG_ROUTE_REASON_COUNT
};

/**
 * struct plug_verdict - what to do with one packet
 * @kind: drop, forward or reply
 * @reason: why
 * @target: agent to forward to
 * @domain: hash of the name of its failure domain
 * @reply: encoded reply when @kind is PLUG_VERDICT_REPLY
 * @reply_len: its length in bytes
 * @service: service id, 0 when not known
 * @flow: flow id, 0 for an opening flow
 * @document_version: document version that the decision was made under
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
 * struct plug_router - filter chain of one traffic thread of an entry
 * @client: random state and log handler of this thread
 * @domain: hash of the entry's own failure domain
 * @counters: packets by reason; only the owning thread writes them
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
