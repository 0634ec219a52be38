#include "agent_internal.h"

/* Answers of one datagram: 24 bytes each, so that it fits a packet of 1500
 * bytes with its headers. */
#define ANSWERS_PER_NOTICE 40

/* Two hosts may have answered the same SYN, and a client may use its port for
 * one flow after another. It acknowledges the sequence number of one host; data
 * makes no more difference than this. */
#define ACK_WINDOW 76800U

/* Whether a flow that isn't in the table can't be at the host. */
static bool
is_sure(const struct plug_track_agent *agent, plug_time now)
{
	return agent->host_state == PLUG_HOST_DOWN ||
	       plug_host_flows_complete(agent, now);
}

static void
send_located(struct plug_track_agent *agent, uint32_t entry,
    Plug__Answer **answers, size_t count)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Located located = PLUG__LOCATED__INIT;

	if (count == 0)
		return;
	located.n_answers = count;
	located.answers = answers;
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOCATED;
	notice.located = &located;
	plug_track_notify(agent->driver, entry, &notice);
}

/**
 * plug_holding_send_answer() - tell an entry whether the host holds a flow
 * @agent: agent
 * @entry: address of its machine
 * @tuple: flow
 * @holding: answer
 * @segment: segment of the flow that the host has returned, or NULL
 */
void
plug_holding_send_answer(struct plug_track_agent *agent, uint32_t entry,
    const struct plug_tuple *tuple, Plug__Holding holding,
    const struct plug_segment *segment)
{
	Plug__Answer answer = PLUG__ANSWER__INIT, *list = &answer;
	Plug__Tuple wire = PLUG__TUPLE__INIT;

	plug_tuple_write(tuple, &wire);
	answer.tuple = &wire;
	answer.holding = holding;
	if (segment != NULL)
		answer.segment = plug_track_segment_field(segment->bytes);
	send_located(agent, entry, &list, 1);
}

static void
probe(struct plug_track_agent *agent, plug_time now, uint32_t entry,
    const struct plug_segment *segment)
{
	struct plug_host_flow *flow = plug_host_flow_add(
	    agent, now, &segment->tuple, PLUG_HOST_FLOW_PROBED, entry);

	if (flow == NULL)
		return;
	flow->client_ack = segment->ack;
	plug_intake_mark_unanswered(now, flow, segment);
	agent->counters[PLUG_AGENT_PROBES]++;
	plug_intake_hand_to_host(agent, now, segment);
}

/**
 * plug_holding_handle_unknown() - a segment of an unknown flow has come
 * @agent: agent
 * @now: time
 * @from: address of the entry's machine
 * @segment: segment
 */
void
plug_holding_handle_unknown(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const struct plug_segment *segment)
{
	if ((segment->flags & PLUG_SEGMENT_RST) != 0 ||
	    plug_segment_opens_flow(segment))
		return;
	if (is_sure(agent, now))
		plug_holding_send_answer(
		    agent, from, &segment->tuple, PLUG__HOLDING__NO, segment);
	else
		probe(agent, now, from, segment);
}

static Plug__Holding
holding(const struct plug_track_agent *agent, plug_time now,
    const struct plug_host_flow *flow, uint32_t ack)
{
	if (agent->host_state == PLUG_HOST_DOWN)
		return PLUG__HOLDING__NO;
	if (flow == NULL)
		return is_sure(agent, now) ? PLUG__HOLDING__NO
					   : PLUG__HOLDING__UNSURE;
	switch (flow->state) {
	case PLUG_HOST_FLOW_OPEN:
		if (plug_host_flow_is_closed(flow) &&
		    ack - flow->client_ack + ACK_WINDOW > 2 * ACK_WINDOW)
			return PLUG__HOLDING__NO;
		return PLUG__HOLDING__YES;
	case PLUG_HOST_FLOW_OPENING:
		if (flow->syn_acked && ack - flow->host_isn <= ACK_WINDOW)
			return PLUG__HOLDING__YES;
		return flow->syn_acked ? PLUG__HOLDING__NO
				       : PLUG__HOLDING__UNSURE;
	case PLUG_HOST_FLOW_PROBED:
		break;
	}
	return PLUG__HOLDING__UNSURE;
}

/* Return: whether the question is to be answered at once. */
static bool
handle_question(struct plug_track_agent *agent, plug_time now, uint32_t from,
    const Plug__Question *question, Plug__Holding *answer)
{
	struct plug_host_flow *flow;
	struct plug_segment segment;
	struct plug_tuple tuple;

	if (!plug_tuple_read(question->tuple, &tuple)) {
		agent->counters[PLUG_AGENT_BAD]++;
		return false;
	}
	flow = plug_conntable_find(&agent->flows, &tuple);
	*answer = holding(agent, now, flow, question->ack);
	if (*answer == PLUG__HOLDING__YES)
		flow->entry = from;
	if (*answer != PLUG__HOLDING__UNSURE || question->segment.len == 0)
		return true;
	if (!plug_track_decode_segment(
		agent->driver, &question->segment, &segment) ||
	    !plug_tuple_equal(&segment.tuple, &tuple)) {
		agent->counters[PLUG_AGENT_BAD]++;
		return false;
	}
	if (flow == NULL) {
		probe(agent, now, from, &segment);
		return false;
	}
	flow->entry = from;
	plug_intake_hand_to_host(agent, now, &segment);
	return false;
}

static void
relay_locate(
    struct plug_track_agent *agent, uint32_t from, const Plug__Locate *locate)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Locate relayed = *locate;

	relayed.n_relay_to = 0;
	relayed.reply_to = from;
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOCATE;
	notice.locate = &relayed;
	for (size_t i = 0; i < locate->n_relay_to; i++)
		plug_track_notify(agent->driver, locate->relay_to[i], &notice);
}

/**
 * plug_holding_handle_locate() - answer an entry's questions
 * @agent: agent
 * @now: time
 * @from: address of the machine that sent them
 * @locate: questions
 */
void
plug_holding_handle_locate(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__Locate *locate)
{
	Plug__Answer answers[ANSWERS_PER_NOTICE], *list[ANSWERS_PER_NOTICE];
	uint32_t entry = locate->reply_to != 0 ? locate->reply_to : from;
	size_t count = 0;

	relay_locate(agent, entry, locate);
	for (size_t i = 0; i < locate->n_questions; i++) {
		const Plug__Question *question = locate->questions[i];
		Plug__Answer *answer = &answers[count];

		plug__answer__init(answer);
		if (!handle_question(
			agent, now, entry, question, &answer->holding))
			continue;
		answer->tuple = question->tuple;
		list[count++] = answer;
		if (count == ANSWERS_PER_NOTICE) {
			send_located(agent, entry, list, count);
			count = 0;
		}
	}
	send_located(agent, entry, list, count);
}
