#ifndef PLUG_TRACK_AGENT_INTERNAL_H
#define PLUG_TRACK_AGENT_INTERNAL_H

#include "agent.h"

/* agent_flows.c: the table of the host's flows */
bool plug_held_closed(const struct plug_held_flow *flow);
bool plug_held_complete(const struct plug_track_agent *agent, plug_time now);
void plug_held_count(struct plug_track_agent *agent,
    const struct plug_held_flow *flow, int sign);
void
plug_held_remove(struct plug_track_agent *agent, struct plug_held_flow *flow);
struct plug_held_flow *
plug_held_add(struct plug_track_agent *agent, plug_time now,
    const struct plug_tuple *tuple, enum plug_held_state state, uint32_t entry);
void plug_held_lose(struct plug_track_agent *agent, struct plug_held_flow *flow,
    const char *reason);
void plug_held_lose_all(struct plug_track_agent *agent, const char *reason);
void plug_held_sweep(struct plug_track_agent *agent, plug_time now);
void
plug_held_log(const struct plug_track_agent *agent, enum plug_log_level level,
    const char *event, const struct plug_tuple *tuple, const char *reason);

/* agent_intake.c: what the host gets, and which new flow is refused */
void plug_intake_open(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__Open *open);
void plug_intake_request(
    struct plug_track_agent *agent, plug_time now, struct plug_held_flow *flow);
void plug_intake_step(struct plug_track_agent *agent, plug_time now);
void plug_intake_refuse(struct plug_track_agent *agent, plug_time now);
void plug_intake_expire(struct plug_track_agent *agent, plug_time now);
void plug_intake_refused(struct plug_track_agent *agent, uint32_t entry,
    uint64_t host, const struct plug_segment *segment,
    Plug__RefusalReason reason);
void plug_intake_expect(plug_time now, struct plug_held_flow *flow,
    const struct plug_segment *segment);
void plug_intake_hand_over(struct plug_track_agent *agent, plug_time now,
    const struct plug_segment *segment);

/* agent_lookup.c: which flows the host holds */
void plug_holding_locate(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const Plug__Locate *locate);
void plug_holding_forwarded(struct plug_track_agent *agent, plug_time now,
    uint32_t from, const struct plug_segment *segment);
void plug_holding_answer(struct plug_track_agent *agent, uint32_t entry,
    const struct plug_tuple *tuple, Plug__Holding holding,
    const struct plug_segment *segment);

/* agent_report.c: what entries are told */
struct plug_reported *plug_report_entry(
    struct plug_track_agent *agent, plug_time now, uint32_t entry);
void plug_report_all_due(struct plug_track_agent *agent);
void plug_report_load(const struct plug_track_agent *agent, Plug__Load *load);
plug_time plug_report_step(struct plug_track_agent *agent, plug_time now);

static inline struct plug_endpoint
plug_tuple_route(const struct plug_tuple *tuple)
{
	return (struct plug_endpoint){ tuple->service, tuple->service_port };
}

#endif
