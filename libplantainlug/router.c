#include <string.h>

#include "rank.h"
#include "router.h"

#define NO_HOST_RETRY_MS    1000 /* delay until a host may be listed */
#define OWNER_ONLY_ATTEMPTS 2	 /* transmissions sent only to the owner */

/**
 * plug_router_init() - initialise a router
 * @router: router to initialise
 * @client: random state and log handler of the traffic thread; must outlive
 *   @router
 * @domain: hash of the name of the entry's failure domain
 */
void
plug_router_init(
    struct plug_router *router, struct plug_client *client, uint32_t domain)
{
	memset(router, 0, sizeof(*router));
	router->client = client;
	router->domain = domain;
}

static void
set_drop(struct plug_verdict *verdict, enum plug_route_reason reason)
{
	verdict->kind = PLUG_VERDICT_DROP;
	verdict->reason = reason;
}

static void
set_forward(struct plug_verdict *verdict, enum plug_route_reason reason,
    struct plug_endpoint target, uint32_t domain)
{
	verdict->kind = PLUG_VERDICT_FORWARD;
	verdict->reason = reason;
	verdict->target = target;
	verdict->target_domain = domain;
}

static void
set_reply(struct plug_verdict *verdict, enum plug_route_reason reason,
    const struct plug_call *call, enum plug_outcome outcome,
    uint32_t retry_after_ms)
{
	const struct plug_reply reply = {
		.caller = call->caller,
		.service = call->service,
		.xid = call->xid,
		.outcome = outcome,
		.retry_after_ms = retry_after_ms,
	};

	verdict->kind = PLUG_VERDICT_REPLY;
	verdict->reason = reason;
	verdict->reply_len = plug_packet_encode_reply(
	    &reply, verdict->reply, sizeof(verdict->reply));
}

/* Picks a usable member at random, each with the same probability, since all
 * hosts of a service have the same number of slots; NULL without any. */
static const struct plug_member *
pick_member(struct plug_router *router, const struct plug_service *service,
    bool own_domain_only)
{
	const struct plug_member *chosen = NULL;
	uint32_t usable_count = 0;

	for (unsigned int i = 0; i < service->member_count; i++) {
		const struct plug_member *member = &service->members[i];

		if (!plug_service_usable(service, member) ||
		    (own_domain_only && member->domain != router->domain))
			continue;
		if (plug_client_random(router->client, ++usable_count) == 0)
			chosen = member;
	}
	return chosen;
}

/* Routes a packet without a token, which opens a flow. A refusal may say "not
 * run", since no request of the flow can have run yet. */
static void
route_open(struct plug_router *router, const struct plug_service *service,
    const struct plug_call *call, struct plug_verdict *verdict)
{
	const struct plug_member *member;

	if (call->procedure != PLUG_PROCEDURE_NULL) {
		set_reply(verdict, PLUG_ROUTE_BAD_TOKEN, call,
		    PLUG_OUTCOME_NOT_RUN, 0);
		return;
	}
	member = pick_member(router, service, true);
	if (member != NULL) {
		set_forward(verdict, PLUG_ROUTE_OPEN_LOCAL, member->endpoint,
		    member->domain);
		return;
	}
	member = pick_member(router, service, false);
	if (member != NULL)
		set_forward(verdict, PLUG_ROUTE_OPEN_REMOTE, member->endpoint,
		    member->domain);
	else
		set_reply(verdict, PLUG_ROUTE_NO_HOST, call,
		    PLUG_OUTCOME_NOT_RUN, NO_HOST_RETRY_MS);
}

/*
 * Routes a packet of an existing flow. The first transmissions go to the owner.
 * Later ones alternate between the owner and the highest-ranked candidate,
 * since the owner may have moved its flows and left while the instance list
 * still shows it. Whether a flow is lost is for an agent to decide, so the
 * entry says so only when it has no agent to ask.
 */
static void
route_flow(const struct plug_service *service, const struct plug_call *call,
    const struct plug_token *token, struct plug_verdict *verdict)
{
	const struct plug_member *ranked[PLUG_RANKED_MAX];
	bool owner_listed;

	if (call->attempt < OWNER_ONLY_ATTEMPTS) {
		set_forward(
		    verdict, PLUG_ROUTE_OWNER, token->agent, token->domain);
		return;
	}
	owner_listed = plug_service_member(service, token->agent) != NULL;
	if (owner_listed && call->attempt % 2 != 0) {
		set_forward(
		    verdict, PLUG_ROUTE_OWNER, token->agent, token->domain);
		return;
	}
	if (plug_rank_members(service, token->flow, token->agent, ranked) > 0) {
		set_forward(verdict, PLUG_ROUTE_OWNER_GONE, ranked[0]->endpoint,
		    ranked[0]->domain);
		return;
	}
	if (owner_listed)
		set_forward(
		    verdict, PLUG_ROUTE_OWNER, token->agent, token->domain);
	else
		set_reply(verdict, PLUG_ROUTE_NO_HOST, call,
		    PLUG_OUTCOME_FLOW_LOST, NO_HOST_RETRY_MS);
}

static void
route(struct plug_router *router, const struct plug_view *view,
    const uint8_t *packet, size_t len, struct plug_verdict *verdict)
{
	const struct plug_service *service;
	struct plug_token token;
	struct plug_call call;

	if (view == NULL) {
		set_drop(verdict, PLUG_ROUTE_NO_VIEW);
		return;
	}
	if (plug_packet_decode_call(packet, len, &call, NULL) != PLUG_OK) {
		set_drop(verdict, PLUG_ROUTE_BAD_PACKET);
		return;
	}
	verdict->service = call.program;
	service = plug_view_service(view, call.program);
	if (service == NULL ||
	    !plug_endpoint_equal(service->document.address, call.service)) {
		set_drop(verdict, PLUG_ROUTE_NO_SERVICE);
		return;
	}
	verdict->document_version = service->document_version;
	if (!call.has_token) {
		route_open(router, service, &call, verdict);
		return;
	}
	if (plug_token_open(
		call.token, &service->document.token_keys, &token) != PLUG_OK ||
	    token.service != call.program) {
		set_reply(verdict, PLUG_ROUTE_BAD_TOKEN, &call,
		    PLUG_OUTCOME_FLOW_LOST, 0);
		return;
	}
	verdict->flow = token.flow;
	if (plug_document_domain_out(&service->document, token.domain)) {
		set_reply(verdict, PLUG_ROUTE_DOMAIN_OUT, &call,
		    PLUG_OUTCOME_FLOW_LOST, 0);
		return;
	}
	route_flow(service, &call, &token, verdict);
}

/* Logs a drop when the count of its reason is a power of two, because anyone
 * can send packets that are dropped. */
static void
log_drop(const struct plug_router *router, const struct plug_verdict *verdict)
{
	const uint64_t count = router->counters[verdict->reason];

	if ((count & (count - 1)) != 0)
		return;
	plug_client_log(router->client, PLUG_LOG_WARN,
	    "event=packet_dropped reason=%s service=%u total=%llu",
	    plug_route_reason_name(verdict->reason), verdict->service,
	    (unsigned long long)count);
}

/**
 * plug_router_decide() - decide what to do with one packet
 * @router: router of the calling thread
 * @view: current view; NULL when there is none or it isn't confirmed
 * @packet: inner packet; its TTL is decremented when it is to be forwarded
 * @len: length of @packet in bytes
 * @verdict: result
 *
 * Keeps no state per flow and allocates no memory. Counts every packet by
 * reason. Logs each decision except forwarding to the owner; drops are logged
 * only when their count is a power of two.
 */
void
plug_router_decide(struct plug_router *router, const struct plug_view *view,
    uint8_t *packet, size_t len, struct plug_verdict *verdict)
{
	char target[PLUG_ENDPOINT_TEXT] = "-";

	verdict->service = 0;
	verdict->flow = 0;
	verdict->document_version = 0;
	verdict->reply_len = 0;
	route(router, view, packet, len, verdict);
	if (verdict->kind == PLUG_VERDICT_FORWARD &&
	    !plug_packet_take_hop(packet, len))
		set_drop(verdict, PLUG_ROUTE_NO_HOPS);
	router->counters[verdict->reason]++;
	if (verdict->kind == PLUG_VERDICT_DROP)
		log_drop(router, verdict);
	if (verdict->reason == PLUG_ROUTE_OWNER ||
	    verdict->kind == PLUG_VERDICT_DROP)
		return;
	if (verdict->kind == PLUG_VERDICT_FORWARD)
		(void)plug_endpoint_format(
		    verdict->target, target, sizeof(target));
	plug_client_log(router->client, PLUG_LOG_INFO,
	    "event=route verdict=%s reason=%s service=%u flow=%016llx "
	    "target=%s version=%llu",
	    verdict->kind == PLUG_VERDICT_FORWARD ? "forward" : "reply",
	    plug_route_reason_name(verdict->reason), verdict->service,
	    (unsigned long long)verdict->flow, target,
	    (unsigned long long)verdict->document_version);
}

/**
 * plug_route_reason_name() - return the name of a reason as used in logs
 * @reason: reason
 */
const char *
plug_route_reason_name(enum plug_route_reason reason)
{
	switch (reason) {
	case PLUG_ROUTE_OWNER:
		return "owner";
	case PLUG_ROUTE_OPEN_LOCAL:
		return "open_local";
	case PLUG_ROUTE_OPEN_REMOTE:
		return "open_remote";
	case PLUG_ROUTE_OWNER_GONE:
		return "owner_gone";
	case PLUG_ROUTE_DOMAIN_OUT:
		return "domain_out";
	case PLUG_ROUTE_NO_HOST:
		return "no_host";
	case PLUG_ROUTE_NO_SERVICE:
		return "no_service";
	case PLUG_ROUTE_BAD_PACKET:
		return "bad_packet";
	case PLUG_ROUTE_BAD_TOKEN:
		return "bad_token";
	case PLUG_ROUTE_NO_HOPS:
		return "no_hops";
	case PLUG_ROUTE_NO_VIEW:
		return "no_view";
	case PLUG_ROUTE_REASON_COUNT:
		break;
	}
	return "invalid";
}
