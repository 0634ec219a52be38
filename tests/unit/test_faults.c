#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"
#include "libplantainlug/flow.h"
#include "libplantainlug/rank.h"
#include "suites.h"

/* Callers send non-idempotent requests through agents with random faults. Each
 * reply is compared with what ran at the upstreams. */

#define CALLERS	 12
#define REQUESTS 4096 /* of all callers in one run */
#define STEPS	 4000
#define OPEN_XID 0x40000000 /* differs from the xids of requests */
#define SEEDS	 8

struct request {
	unsigned int start_count;
	bool answered;
	enum plug_outcome outcome;
};

struct fault_caller {
	uint64_t request; /* index into requests, 0 when idle */
	uint32_t xid;
	uint32_t attempt;
	unsigned int epoch; /* flows lost so far; each flow has its own port */
	uint8_t token[PLUG_TOKEN_SIZE];
	bool has_token;
};

static struct fleet *fleet;
static struct request requests[REQUESTS];
static struct fault_caller callers[CALLERS];
static uint64_t request_count;
static unsigned short seed[3];
static unsigned int checked_replies;
static unsigned int outcomes[4];
static uint64_t last_instance;

static unsigned int
random_below(unsigned int limit)
{
	return (unsigned int)(nrand48(seed) % limit);
}

static void
count_start(void *data, uint64_t body)
{
	(void)data;
	ck_assert_uint_lt(body, REQUESTS);
	ck_assert_msg(++requests[body].start_count == 1,
	    "request %llu ran twice", (unsigned long long)body);
	ck_assert_msg(!requests[body].answered ||
			  requests[body].outcome != PLUG_OUTCOME_NOT_RUN,
	    "request %llu ran after it was refused", (unsigned long long)body);
}

static void
check_outcome(uint64_t id, const struct plug_reply *reply, uint64_t body)
{
	struct request *request = &requests[id];

	switch (reply->outcome) {
	case PLUG_OUTCOME_DONE:
		ck_assert_uint_eq(body, id);
		ck_assert_uint_eq(request->start_count, 1);
		break;
	case PLUG_OUTCOME_NOT_RUN:
		ck_assert_msg(!request->answered ||
				  request->outcome == PLUG_OUTCOME_NOT_RUN,
		    "refused after another answer");
		break;
	case PLUG_OUTCOME_UNKNOWN:
	case PLUG_OUTCOME_FLOW_LOST:
		break;
	}
	request->answered = true;
	request->outcome = reply->outcome;
	outcomes[reply->outcome]++;
}

static void
handle_reply(const struct plug_reply *reply, uint64_t body)
{
	struct fault_caller *caller = &callers[reply->caller.port % CALLERS];
	bool had_token = caller->has_token;

	/* A duplicated open call yields a second token, which isn't used. */
	if (reply->caller.port / CALLERS != caller->epoch ||
	    (had_token && reply->xid == OPEN_XID))
		return;
	if (reply->has_token &&
	    (had_token || reply->outcome == PLUG_OUTCOME_DONE)) {
		caller->has_token = true;
		memcpy(caller->token, reply->token, PLUG_TOKEN_SIZE);
	}
	if (!had_token || caller->request == 0 || reply->xid != caller->xid)
		return;
	check_outcome(caller->request, reply, body);
	caller->request = 0;
	if (reply->outcome == PLUG_OUTCOME_FLOW_LOST) {
		caller->has_token = false;
		caller->epoch++;
	}
}

static void
handle_new_replies(void)
{
	for (; checked_replies < fleet->reply_count; checked_replies++)
		handle_reply(
		    &fleet->replies[checked_replies % FLEET_REPLIES_SIZE],
		    fleet->body_prefixes[checked_replies % FLEET_REPLIES_SIZE]);
}

/* Returns the index of the agent that an entry would send the packet to. */
static unsigned int
choose_agent(const struct fault_caller *caller)
{
	const struct plug_service *service = &fleet->view->services[0];
	const struct plug_member *ranked[PLUG_RANKED_MAX];
	struct plug_token token;
	uint16_t base = fleet->agents[0].config.endpoint.port;

	if (!caller->has_token)
		return random_below(fleet->agent_count);
	ck_assert_int_eq(plug_token_open(caller->token,
			     &service->document.token_keys, &token),
	    PLUG_OK);
	if (caller->attempt >= 2 && caller->attempt % 2 == 0 &&
	    plug_rank_members(service, token.flow, token.agent, ranked) > 0)
		return ranked[0]->endpoint.port - base;
	return token.agent.port - base;
}

static void
send_call(unsigned int at)
{
	struct fault_caller *caller = &callers[at];
	struct plug_call call;
	uint64_t id;

	if (!caller->has_token) {
		caller->xid = 0;
		caller->request = 0;
		call = fleet_make_call(NULL, OPEN_XID, PLUG_PROCEDURE_NULL);
	} else {
		if (caller->request == 0) {
			ck_assert_uint_lt(request_count + 1, REQUESTS);
			caller->request = ++request_count;
			caller->xid++;
			caller->attempt = 0;
		}
		call = fleet_make_call(caller->token, caller->xid, SHORT_WRITE);
		call.floor = random_below(4) == 0 ? caller->xid : 1;
		if (caller->xid > PLUG_FLOW_WINDOW / 2)
			call.floor = caller->xid;
		call.attempt = caller->attempt++;
	}
	call.caller.port = (uint16_t)(at + CALLERS * caller->epoch);
	id = caller->request;
	call.body = (struct plug_str){ (const char *)&id, sizeof(id) };
	/* Any packet may be duplicated. */
	for (unsigned int n = random_below(4) == 0 ? 2 : 1; n > 0; n--)
		(void)fleet_send(fleet, choose_agent(caller), &call);
	handle_new_replies();
}

static void
answer_one_call(unsigned int at)
{
	static const enum plug_upstream_result results[] = { PLUG_UPSTREAM_DONE,
		PLUG_UPSTREAM_DONE, PLUG_UPSTREAM_DONE, PLUG_UPSTREAM_DONE,
		PLUG_UPSTREAM_FAILED };
	struct fleet_agent *self = &fleet->agents[at];
	uint64_t body;

	if (self->upstream_call_count == 0)
		return;
	for (unsigned int i = 0; i < self->upstream_call_count; i++) {
		if (!self->upstream_calls[i].unanswered ||
		    self->upstream_calls[i].procedure == 0 ||
		    random_below(3) == 0)
			continue;
		body = self->upstream_calls[i].body_prefix;
		(void)fleet_answer(fleet, at, i, results[random_below(5)],
		    (struct plug_str){ (const char *)&body, sizeof(body) });
		break;
	}
	while (self->upstream_call_count > 0 &&
	       !self->upstream_calls[self->upstream_call_count - 1].unanswered)
		self->upstream_call_count--;
	handle_new_replies();
}

static void
reconnect(unsigned int at)
{
	const struct plug_agent_event closed = {
		.kind = PLUG_AGENT_UPSTREAM_CLOSED,
	};
	const struct plug_agent_event opened = {
		.kind = PLUG_AGENT_UPSTREAM_OPEN,
	};

	fleet_handle_event(fleet, at, &closed);
	fleet->agents[at].upstream_call_count = 0;
	fleet_handle_event(fleet, at, &opened);
	handle_new_replies();
}

/* Closes an upstream connection, stops or restarts an agent, or changes which
 * messages are lost; does nothing in 32 of 40 calls. */
static void
inject_fault(void)
{
	const struct plug_agent_event stop = { .kind = PLUG_AGENT_STOP };
	unsigned int at = random_below(fleet->agent_count);

	switch (random_below(40)) {
	case 0:
		reconnect(at);
		return;
	case 1:
		fleet_handle_event(fleet, at, &stop);
		return;
	case 2:
		if (random_below(4) == 0)
			fleet_restart(fleet, at, ++last_instance);
		return;
	case 3:
	case 4:
		fleet->drop_mask = (uint32_t)random_below(1 << 14);
		return;
	case 5:
	case 6:
	case 7:
		fleet->drop_mask = 0;
		return;
	default:
		return;
	}
}

/* Guards against any order of faults in which a request runs twice, runs after
 * its caller was told "not run", or gets the answer of another request. */
START_TEST(random_faults)
{
	memset(requests, 0, sizeof(requests));
	memset(callers, 0, sizeof(callers));
	memset(outcomes, 0, sizeof(outcomes));
	request_count = 0;
	checked_replies = 0;
	last_instance = 1000;
	seed[0] = (unsigned short)_i;
	seed[1] = 7;
	seed[2] = 11;
	fleet = fleet_create(4);
	fleet->on_start = count_start;
	/* With odd seeds messages arrive only at the end of a tick. */
	fleet->delayed_delivery = _i % 2 != 0;
	for (unsigned int step = 0; step < STEPS; step++) {
		send_call(random_below(CALLERS));
		answer_one_call(random_below(fleet->agent_count));
		inject_fault();
		fleet_run(fleet, 10 * random_below(8));
		handle_new_replies();
		for (unsigned int i = 0; i < fleet->agent_count; i++) {
			if (fleet->agents[i].stopped)
				fleet_restart(fleet, i, ++last_instance);
		}
	}
	ck_assert_uint_gt(outcomes[PLUG_OUTCOME_DONE], 100);
	ck_assert_uint_gt(outcomes[PLUG_OUTCOME_NOT_RUN], 0);
	fleet_destroy(fleet);
}
END_TEST

Suite *
faults_suite(void)
{
	Suite *suite = suite_create("faults");
	TCase *test = tcase_create("faults");

	tcase_set_timeout(test, 60);
	tcase_add_loop_test(test, random_faults, 0, SEEDS);
	suite_add_tcase(suite, test);
	return suite;
}
