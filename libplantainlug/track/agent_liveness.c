#include <string.h>

#include "agent_internal.h"

/*
 * Tells a dead host from one that is busy. A host that has closed its port may
 * work on a request for any time without a segment. But each host acknowledges
 * data that it gets a second time, whatever it works on. So a silent host gets
 * copies of segments whose requests it has answered, as a network may make
 * them.
 */

/* A segment is kept for this long before that of another flow may replace it.
 */
#define KEEP_TIME PLUG_SEC

/* A host that has been silent for this long gets the first copy, and further
 * ones at the same interval. */
#define COPY_INTERVAL (50 * PLUG_MSEC)

/* Copies without an answer that show that the host is dead. An answer, or a
 * copy, may be lost, or wait for the acknowledgement of a second one. */
#define COPIES_UNANSWERED 3

/* Whether the host must answer a copy of a kept segment: its flow is open, and
 * the host has answered the segment's request, the flow's last one. */
static bool
must_be_answered(
    const struct plug_track_agent *agent, const struct plug_kept_segment *kept)
{
	const struct plug_host_flow *flow;

	if (kept->len == 0)
		return false;
	flow = plug_conntable_find(&agent->flows, &kept->tuple);
	return flow != NULL && flow->state == PLUG_HOST_FLOW_OPEN &&
	       !flow->client_fin && !flow->host_fin && !flow->request_running &&
	       flow->client_next_seq == kept->next_seq;
}

/* The place for a segment of a flow, or NULL if it isn't to be kept. */
static struct plug_kept_segment *
choose_place(struct plug_track_agent *agent, plug_time now,
    const struct plug_tuple *tuple)
{
	struct plug_kept_segment *kept = agent->liveness.kept, *oldest = kept;

	for (unsigned int i = 0; i < PLUG_KEPT_SEGMENTS; i++) {
		if (kept[i].len == 0 || plug_tuple_equal(&kept[i].tuple, tuple))
			return &kept[i];
		if (kept[i].kept_at < oldest->kept_at)
			oldest = &kept[i];
	}
	if (now - oldest->kept_at < KEEP_TIME)
		return NULL;
	/* A leaving host closes each flow with its next answer; the flows that
	 * are still open are the ones to ask about. */
	return agent->draining && must_be_answered(agent, oldest) ? NULL
								  : oldest;
}

/**
 * plug_liveness_keep() - keep a segment with a request
 * @agent: agent
 * @now: current time
 * @segment: segment of a client with new data
 */
void
plug_liveness_keep(struct plug_track_agent *agent, plug_time now,
    const struct plug_segment *segment)
{
	struct plug_kept_segment *kept =
	    choose_place(agent, now, &segment->tuple);

	if (kept == NULL || segment->bytes.len > sizeof(kept->bytes))
		return;
	kept->tuple = segment->tuple;
	kept->next_seq = segment->seq + segment->len;
	kept->kept_at = now;
	kept->len = segment->bytes.len;
	memcpy(kept->bytes, segment->bytes.data, segment->bytes.len);
}

/**
 * plug_liveness_probe() - send a copy to a host that is silent
 * @agent: agent whose host refuses connections
 * @now: current time
 */
void
plug_liveness_probe(struct plug_track_agent *agent, plug_time now)
{
	struct plug_liveness *liveness = &agent->liveness;

	if (agent->unanswered_since == 0 ||
	    liveness->unanswered == COPIES_UNANSWERED ||
	    now - agent->unanswered_since < COPY_INTERVAL ||
	    now - liveness->sent_at < COPY_INTERVAL)
		return;
	for (unsigned int i = 0; i < PLUG_KEPT_SEGMENTS; i++) {
		const struct plug_kept_segment *kept = &liveness->kept[i];
		const struct plug_segment copy = {
			.tuple = kept->tuple,
			.bytes = { (const char *)kept->bytes, kept->len },
		};

		if (!must_be_answered(agent, kept))
			continue;
		liveness->sent_at = now;
		liveness->unanswered++;
		agent->counters[PLUG_AGENT_COPIES]++;
		plug_track_send_segment(
		    agent->driver, PLUG_TRACK_TO_HOST, 0, &copy);
		return;
	}
}

/**
 * plug_liveness_is_awaited() - whether the host may still answer a copy
 * @agent: agent, after plug_liveness_probe()
 * @now: current time
 *
 * Return: false if the host hasn't answered in time, or no copy could be sent,
 * as all kept segments belong to flows that have ended or have a new request.
 */
bool
plug_liveness_is_awaited(const struct plug_track_agent *agent, plug_time now)
{
	const struct plug_liveness *liveness = &agent->liveness;

	return liveness->unanswered > 0 &&
	       now - liveness->sent_at < COPY_INTERVAL;
}
