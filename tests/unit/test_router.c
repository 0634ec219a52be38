#include <check.h>
#include <string.h>

#include "libplantainlug/rank.h"
#include "libplantainlug/router.h"
#include "suites.h"

#define SERVICE	     7
#define OWN_DOMAIN   1
#define OTHER_DOMAIN 2
#define REPETITIONS  200 /* of a random choice */

static struct plug_client client;
static struct plug_router router;
static struct plug_member members[4];
static struct plug_service service;
static struct plug_view view;
static uint8_t packet[PLUG_PACKET_MAX];
static size_t packet_len;

static void
setup(void)
{
	memset(&client, 0, sizeof(client));
	memset(&service, 0, sizeof(service));
	memset(&view, 0, sizeof(view));
	for (unsigned int i = 0; i < 4; i++) {
		members[i].endpoint.address = 0x7f000001;
		members[i].endpoint.port = (uint16_t)(1000 + i);
		members[i].domain = i < 2 ? OWN_DOMAIN : OTHER_DOMAIN;
		members[i].state = PLUG_MEMBER_LIVE;
	}
	service.document.service = SERVICE;
	service.document.address.port = 80;
	service.document.token_keys.count = 1;
	service.document_version = 5;
	service.members = members;
	service.member_count = 4;
	view.services = &service;
	view.service_count = 1;
	plug_router_init(&router, &client, OWN_DOMAIN);
}

static void
encode(const struct plug_token *token, uint32_t attempt)
{
	struct plug_call call = {
		.service = service.document.address,
		.ttl = PLUG_INITIAL_TTL,
		.xid = 1,
		.program = SERVICE,
		.procedure = token == NULL ? PLUG_PROCEDURE_NULL : 1,
		.has_token = token != NULL,
		.attempt = attempt,
	};

	if (token != NULL)
		plug_token_seal(
		    token, &service.document.token_keys, call.token);
	packet_len = plug_packet_encode_call(&call, packet, sizeof(packet));
}

static struct plug_token
make_token(const struct plug_member *member)
{
	struct plug_token token = { .service = SERVICE,
		.agent = member->endpoint,
		.domain = member->domain,
		.flow = 99 };

	return token;
}

static struct plug_verdict
decide(void)
{
	struct plug_verdict verdict;

	plug_router_decide(&router, &view, packet, packet_len, &verdict);
	return verdict;
}

/* Guards against opening flows that go to another domain while a host of the
 * entry's domain is usable. */
START_TEST(open_prefers_own_domain)
{
	unsigned int first_member_count = 0;

	for (int i = 0; i < REPETITIONS; i++) {
		struct plug_verdict verdict;

		encode(NULL, 0);
		verdict = decide();
		ck_assert_int_eq(verdict.reason, PLUG_ROUTE_OPEN_LOCAL);
		ck_assert_uint_eq(verdict.target_domain, OWN_DOMAIN);
		ck_assert_uint_lt(verdict.target.port, 1002);
		first_member_count += verdict.target.port == 1000;
	}
	ck_assert_uint_gt(first_member_count, 0);
	ck_assert_uint_lt(first_member_count, REPETITIONS);
}
END_TEST

/* Guards against new flows for a leaving host or for a domain that is out of
 * service. */
START_TEST(open_avoids_unusable_hosts)
{
	struct plug_verdict verdict;

	members[0].state = PLUG_MEMBER_LEAVING;
	members[1].state = PLUG_MEMBER_LEAVING;
	encode(NULL, 0);
	verdict = decide();
	ck_assert_int_eq(verdict.reason, PLUG_ROUTE_OPEN_REMOTE);
	ck_assert_uint_eq(verdict.target_domain,
	    OTHER_DOMAIN); /* bytes are counted by target domain */
	service.document.domains_out[0] = OTHER_DOMAIN;
	service.document.domain_out_count = 1;
	encode(NULL, 0);
	verdict = decide();
	ck_assert_int_eq(verdict.kind, PLUG_VERDICT_REPLY);
	ck_assert_int_eq(verdict.reason, PLUG_ROUTE_NO_HOST);
}
END_TEST

/* Guards against packets that still reach a domain that is out of service, and
 * against callers of its flows that get no reply and wait for their deadline.
 */
START_TEST(domain_out_is_answered_at_once)
{
	struct plug_token token = make_token(&members[2]);
	struct plug_verdict verdict;
	struct plug_reply reply;

	service.document.domains_out[0] = OTHER_DOMAIN;
	service.document.domain_out_count = 1;
	encode(&token, 0);
	verdict = decide();
	ck_assert_int_eq(verdict.kind, PLUG_VERDICT_REPLY);
	ck_assert_int_eq(plug_packet_decode_reply(
			     verdict.reply, verdict.reply_len, &reply, NULL),
	    PLUG_OK);
	ck_assert_int_eq(reply.outcome, PLUG_OUTCOME_FLOW_LOST);
}
END_TEST

/* Guards against a flow that is never found at its new owner, because the
 * previous owner has left and the instance list still shows it. */
START_TEST(resends_reach_ranked_candidate)
{
	const struct plug_member *ranked[PLUG_RANKED_MAX];
	struct plug_token token = make_token(&members[0]);
	struct plug_verdict verdict;

	ck_assert_uint_eq(
	    plug_rank_members(&service, token.flow, token.agent, ranked),
	    PLUG_RANKED_MAX);
	encode(&token, 0);
	ck_assert_int_eq(decide().reason, PLUG_ROUTE_OWNER);
	encode(&token, 2);
	verdict = decide();
	ck_assert_int_eq(verdict.reason, PLUG_ROUTE_OWNER_GONE);
	ck_assert_uint_eq(verdict.target_domain, ranked[0]->domain);
	ck_assert(plug_endpoint_equal(verdict.target, ranked[0]->endpoint));
	ck_assert(!plug_endpoint_equal(verdict.target, token.agent));
	encode(&token, 3);
	ck_assert_int_eq(decide().reason, PLUG_ROUTE_OWNER);
}
END_TEST

/* Guards against a token of another service that selects the target. */
START_TEST(token_of_another_service_is_refused)
{
	struct plug_token token = make_token(&members[0]);

	token.service = SERVICE + 1;
	encode(&token, 0);
	ck_assert_int_eq(decide().reason, PLUG_ROUTE_BAD_TOKEN);
}
END_TEST

/* Guards against routing without a view, as after a pause until the view is
 * confirmed again. */
START_TEST(nothing_passes_without_a_view)
{
	struct plug_verdict verdict;

	encode(NULL, 0);
	plug_router_decide(&router, NULL, packet, packet_len, &verdict);
	ck_assert_int_eq(verdict.kind, PLUG_VERDICT_DROP);
	ck_assert_int_eq(verdict.reason, PLUG_ROUTE_NO_VIEW);
}
END_TEST

static unsigned int drop_line_count;

static void
count_drop_line(void *data, enum plug_log_level level, struct plug_str line)
{
	(void)data;
	(void)level;
	drop_line_count +=
	    line.len > 0 && strstr(line.data, "packet_dropped") != NULL;
}

/* Guards against a log that grows with each malformed packet received. */
START_TEST(drops_are_logged_at_a_bounded_rate)
{
	client.log = count_drop_line;
	drop_line_count = 0;
	for (int i = 0; i < 1000; i++) {
		packet_len = 3;
		ck_assert_int_eq(decide().reason, PLUG_ROUTE_BAD_PACKET);
	}
	ck_assert_uint_eq(router.counters[PLUG_ROUTE_BAD_PACKET], 1000);
	ck_assert_uint_eq(drop_line_count, 10);
}
END_TEST

Suite *
router_suite(void)
{
	Suite *suite = suite_create("router");
	TCase *test = tcase_create("router");

	tcase_add_checked_fixture(test, setup, NULL);
	tcase_add_test(test, open_prefers_own_domain);
	tcase_add_test(test, open_avoids_unusable_hosts);
	tcase_add_test(test, domain_out_is_answered_at_once);
	tcase_add_test(test, resends_reach_ranked_candidate);
	tcase_add_test(test, token_of_another_service_is_refused);
	tcase_add_test(test, nothing_passes_without_a_view);
	tcase_add_test(test, drops_are_logged_at_a_bounded_rate);
	suite_add_tcase(suite, test);
	return suite;
}
