#include "agent_internal.h"

/* Answers in one datagram. Each takes 24 bytes, so that the datagram with its
 * headers fits into a packet of 1500 bytes. */
#define ANSWERS_PER_NOTICE 40

/* Two hosts may have answered the same SYN, and a client may reuse its port for
 * another flow. The client's acknowledgement number tells them apart: it
 * follows the sequence numbers of one host, whose data advances it by at most
 * this many bytes within a flow. */
#define ACK_WINDOW 76800U

/* Whether the host can't hold a flow that isn't in the table. */
static bool
knows_all_flows(const struct plug_track_agent *agent, plug_time now)
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

/* Whether the host was handed a segment of a flow and returned it or hasn't
 * answered it yet. @flow is NULL if the table doesn't have it. */
static bool
was_probed(const struct plug_host_flow *flow)
{
	return flow != NULL && !plug_host_flow_is_held(flow);
}

/**
 * plug_locate_send_answer() - tell an entry whether the host holds a flow
 * @agent: agent
 * @entry: address of the entry's machine
 * @tuple: flow
 * @holding: answer
 * @segment: segment of the flow to return to the entry, or NULL
 */
void
plug_locate_send_answer(struct plug_track_agent *agent, uint32_t entry,
    const struct plug_tuple *tuple, Plug__Holding holding,
    const struct plug_segment *segment)
{
	Plug__Answer answer = PLUG__ANSWER__INIT, *list = &answer;
	Plug__Tuple wire = PLUG__TUPLE__INIT;

	plug_tuple_write(tuple, &wire);
	answer.tuple = &wire;
	answer.holding = holding;
	answer.probed = was_probed(plug_conntable_find(&agent->flows, tuple));
	if (segment != NULL)
		answer.segment = plug_track_segment_field(segment->bytes);
	send_located(agent, entry, &list, 1);
}

/* Hands a segment of an unknown flow to the host, which returns it if it
 * doesn't hold the flow. */
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

/* Whether the host holds a flow, according to the table. @flow is NULL if the
 * table doesn't have it; @ack is the client's last acknowledgement number. */
static Plug__Holding
holding_of(const struct plug_track_agent *agent, plug_time now,
    const struct plug_host_flow *flow, uint32_t ack)
{
	if (agent->host_state == PLUG_HOST_DOWN)
		return PLUG__HOLDING__NO;
	if (flow == NULL)
		return knows_all_flows(agent, now) ? PLUG__HOLDING__NO
						   : PLUG__HOLDING__UNSURE;
	switch (flow->state) {
	case PLUG_HOST_FLOW_OPEN:
		if ((plug_host_flow_is_closed(flow) || flow->idle) &&
		    ack - flow->client_ack + ACK_WINDOW > 2 * ACK_WINDOW)
			return PLUG__HOLDING__NO;
		return PLUG__HOLDING__YES;
	case PLUG_HOST_FLOW_OPENING:
		if (flow->syn_acked && ack - flow->host_isn <= ACK_WINDOW)
			return PLUG__HOLDING__YES;
		return flow->syn_acked ? PLUG__HOLDING__NO
				       : PLUG__HOLDING__UNSURE;
	case PLUG_HOST_FLOW_RETURNED:
		return PLUG__HOLDING__NO;
	case PLUG_HOST_FLOW_PROBED:
		break;
	}
	return PLUG__HOLDING__UNSURE;
}

/**
 * plug_locate_handle_unknown_flow() - handle a client's segment of a flow that
 * isn't known to be the host's
 * @agent: agent
 * @now: current time
 * @from: address of the entry's machine
 * @flow: flow of the table that the host has returned; NULL for an unknown one
 * @segment: segment; a SYN or RST is ignored
 *
 * Returns the segment to the entry if the host can't hold the flow; otherwise
 * probes the host with it.
 */
void
plug_locate_handle_unknown_flow(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const struct plug_host_flow *flow,
    const struct plug_segment *segment)
{
	if ((segment->flags & PLUG_SEGMENT_RST) != 0 ||
	    plug_segment_opens_flow(segment))
		return;
	if (holding_of(agent, now, flow, segment->ack) == PLUG__HOLDING__NO)
		plug_locate_send_answer(
		    agent, from, &segment->tuple, PLUG__HOLDING__NO, segment);
	else
		probe(agent, now, from, segment);
}

/* Answers a question from the table of flows. If the table doesn't tell and the
 * question has a segment, hands that to the host instead. Return: whether
 * @answer was set and is to be sent now; false for a malformed question. */
static bool
handle_question(struct plug_track_agent *agent, plug_time now, uint32_t from,
    const Plug__Question *question, Plug__Answer *answer)
{
	struct plug_host_flow *flow;
	struct plug_segment segment;
	struct plug_tuple tuple;

	if (!plug_tuple_read(question->tuple, &tuple)) {
		agent->counters[PLUG_AGENT_BAD]++;
		return false;
	}
	flow = plug_conntable_find(&agent->flows, &tuple);
	answer->holding = holding_of(agent, now, flow, question->ack);
	answer->probed = was_probed(flow);
	if (answer->holding == PLUG__HOLDING__YES)
		flow->entry = from;
	if (answer->holding != PLUG__HOLDING__UNSURE ||
	    question->segment.len == 0)
		return true;
	if (!plug_track_decode_segment(
		agent->driver, &question->segment, &segment) ||
	    plug_segment_opens_flow(&segment) ||
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

/* Passes questions on to the other agents that the entry named. */
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
 * plug_locate_handle_questions() - answer an entry's questions about flows
 * @agent: agent
 * @now: current time
 * @from: address of the machine that sent the questions, which may be an agent
 *   that relays them
 * @locate: questions; the answers are sent to reply_to if that is set
 */
void
plug_locate_handle_questions(struct plug_track_agent *agent, plug_time now,
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
		if (!handle_question(agent, now, entry, question, answer))
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
