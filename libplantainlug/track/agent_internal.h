#ifndef PLUG_TRACK_AGENT_INTERNAL_H
#define PLUG_TRACK_AGENT_INTERNAL_H

#include "agent.h"

/* agent_flows.c: table of the host's flows */
bool plug_host_flow_is_closed(const struct plug_host_flow *flow);
bool plug_host_flow_is_held(const struct plug_host_flow *flow);
bool
plug_host_flows_complete(const struct plug_track_agent *agent, plug_time now);
void plug_host_flow_account(struct plug_track_agent *agent,
    const struct plug_host_flow *flow, int sign);
void plug_host_flow_touch(
    struct plug_track_agent *agent, plug_time now, struct plug_host_flow *flow);
void plug_host_flow_remove(
    struct plug_track_agent *agent, struct plug_host_flow *flow);
struct plug_host_flow *plug_host_flow_add(struct plug_track_agent *agent,
    plug_time now, const struct plug_tuple *tuple,
    enum plug_host_flow_state state, uint32_t entry);
void plug_host_flow_drop(struct plug_track_agent *agent,
    struct plug_host_flow *flow, const char *reason);
void plug_host_flow_mark_returned(
    struct plug_track_agent *agent, plug_time now, struct plug_host_flow *flow);
void
plug_host_flow_drop_all(struct plug_track_agent *agent, const char *reason);
void plug_host_flow_expire(struct plug_track_agent *agent, plug_time now);
void plug_host_flow_log(const struct plug_track_agent *agent,
    enum plug_log_level level, const char *event,
    const struct plug_tuple *tuple, const char *reason);

/* agent_intake.c: admission and refusal of new flows; handing segments of any
 * flow to the host */
void plug_intake_handle_open(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__Open *open);
bool plug_intake_is_host_certain(
    const struct plug_track_agent *agent, plug_time now);
void plug_intake_start_request(
    struct plug_track_agent *agent, plug_time now, struct plug_host_flow *flow);
void plug_intake_admit(struct plug_track_agent *agent, plug_time now);
void plug_intake_refuse_waiters(struct plug_track_agent *agent, plug_time now);
void plug_intake_expire_opening(struct plug_track_agent *agent, plug_time now);
void plug_intake_send_refusal(struct plug_track_agent *agent, uint32_t entry,
    uint64_t host, const struct plug_segment *segment,
    Plug__RefusalReason reason);
void plug_intake_mark_unanswered(plug_time now, struct plug_host_flow *flow,
    const struct plug_segment *segment);
void plug_intake_hand_to_host(struct plug_track_agent *agent, plug_time now,
    const struct plug_segment *segment);

/* agent_lookup.c: answers to entries that look for the host of a flow */
void plug_locate_handle_questions(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__Locate *locate);
void plug_locate_handle_unknown_flow(struct plug_track_agent *agent,
    plug_time now, uint32_t from, const struct plug_host_flow *flow,
    const struct plug_segment *segment);
void plug_locate_send_answer(struct plug_track_agent *agent, uint32_t entry,
    const struct plug_tuple *tuple, Plug__Holding holding,
    const struct plug_segment *segment);

/* agent_liveness.c: telling a dead host from a busy one */
void plug_liveness_keep(struct plug_track_agent *agent, plug_time now,
    const struct plug_segment *segment);
void plug_liveness_probe(struct plug_track_agent *agent, plug_time now);
bool
plug_liveness_is_awaited(const struct plug_track_agent *agent, plug_time now);

/* agent_report.c: load reports to entries */
struct plug_report_receiver *plug_report_get_receiver(
    struct plug_track_agent *agent, plug_time now, uint32_t entry);
void plug_report_schedule_all(struct plug_track_agent *agent);
void
plug_report_fill_load(const struct plug_track_agent *agent, Plug__Load *load);
plug_time plug_report_send_due(struct plug_track_agent *agent, plug_time now);

/* The address and port that identify the route of a flow. */
static inline struct plug_endpoint
plug_tuple_route(const struct plug_tuple *tuple)
{
	return (struct plug_endpoint){ tuple->service, tuple->service_port };
}

#endif
