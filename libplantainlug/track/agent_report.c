#include "agent_internal.h"

/* An entry that has sent nothing for this long gets no reports. */
#define REPORT_ACTIVE (2 * PLUG_SEC)

#define REPORT_SOON (20 * PLUG_MSEC)  /* after a new flow */
#define REPORT_TIME (250 * PLUG_MSEC) /* else, while flows are open */

/**
 * plug_report_get_receiver() - an entry that gets reports
 * @agent: agent
 * @now: time
 * @entry: address of its machine; it replaces the one that has been silent for
 *   the longest time when too many are known
 */
struct plug_report_receiver *
plug_report_get_receiver(
    struct plug_track_agent *agent, plug_time now, uint32_t entry)
{
	struct plug_report_receiver *oldest = &agent->report_receivers[0];

	for (unsigned int i = 0; i < PLUG_TRACK_REPORT_RECEIVERS_MAX; i++) {
		struct plug_report_receiver *reported =
		    &agent->report_receivers[i];

		if (reported->address == entry)
			return reported;
		if (reported->last_heard < oldest->last_heard)
			oldest = reported;
	}
	*oldest = (struct plug_report_receiver){ .address = entry };
	oldest->last_heard = now;
	return oldest;
}

/**
 * plug_report_schedule_all() - report to all entries with the next step
 * @agent: agent
 */
void
plug_report_schedule_all(struct plug_track_agent *agent)
{
	for (unsigned int i = 0; i < PLUG_TRACK_REPORT_RECEIVERS_MAX; i++) {
		agent->report_receivers[i].report_soon =
		    agent->report_receivers[i].address != 0;
		agent->report_receivers[i].last_report = 0;
	}
}

/**
 * plug_report_fill_load() - what an entry is to know of the host
 * @agent: agent
 * @load: receives it
 */
void
plug_report_fill_load(const struct plug_track_agent *agent, Plug__Load *load)
{
	plug__load__init(load);
	load->host = agent->host;
	load->flows = agent->open_flow_count;
	load->running = agent->running + agent->opening;
	load->waiting = agent->admission.waiter_count;
	load->accepting = !agent->draining &&
			  agent->host_state != PLUG_HOST_REFUSING &&
			  agent->host_state != PLUG_HOST_DOWN;
	load->failing = agent->reported_failing;
	load->work_us = (uint32_t)agent->work_times.overall.mean;
}

static void
send_load(struct plug_track_agent *agent, uint32_t entry)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Load load;

	plug_report_fill_load(agent, &load);
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOAD;
	notice.load = &load;
	plug_track_notify(agent->driver, entry, &notice);
}

/**
 * plug_report_send_due() - send the reports that are due
 * @agent: agent
 * @now: time
 *
 * Entries that send new flows hear of them soon, the others now and then.
 *
 * Return: time of the next report.
 */
plug_time
plug_report_send_due(struct plug_track_agent *agent, plug_time now)
{
	plug_time next = now + REPORT_TIME;

	if (agent->host == 0)
		return next;
	for (unsigned int i = 0; i < PLUG_TRACK_REPORT_RECEIVERS_MAX; i++) {
		struct plug_report_receiver *reported =
		    &agent->report_receivers[i];
		plug_time due =
		    reported->last_report +
		    (reported->report_soon ? REPORT_SOON : REPORT_TIME);

		if (reported->address == 0 ||
		    (!reported->report_soon &&
			now - reported->last_heard > REPORT_ACTIVE))
			continue;
		if (now >= due) {
			send_load(agent, reported->address);
			reported->last_report = now;
			reported->report_soon = false;
			due = now + REPORT_TIME;
		}
		if (due < next)
			next = due;
	}
	return next;
}
