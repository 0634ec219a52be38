#include "agent_internal.h"

/* An entry that has sent nothing for this long gets no periodic reports. */
#define ENTRY_ACTIVE_TIME (2 * PLUG_SEC)

/* Time between reports to an entry: the short one after a new flow or an
 * inquiry, the other one while the entry is active. */
#define REPORT_INTERVAL_SHORT (20 * PLUG_MSEC)
#define REPORT_INTERVAL	      (250 * PLUG_MSEC)

/**
 * plug_report_get_receiver() - find or add an entry that gets reports
 * @agent: agent
 * @now: current time
 * @entry: address of the entry's machine
 *
 * If PLUG_TRACK_REPORT_RECEIVERS_MAX entries are known, a new one replaces the
 * one that has been silent for the longest time.
 *
 * Return: the receiver, inside @agent.
 */
struct plug_report_receiver *
plug_report_get_receiver(
    struct plug_track_agent *agent, plug_time now, uint32_t entry)
{
	struct plug_report_receiver *oldest = &agent->report_receivers[0];

	for (unsigned int i = 0; i < PLUG_TRACK_REPORT_RECEIVERS_MAX; i++) {
		struct plug_report_receiver *receiver =
		    &agent->report_receivers[i];

		if (receiver->address == entry)
			return receiver;
		if (receiver->last_heard < oldest->last_heard)
			oldest = receiver;
	}
	*oldest = (struct plug_report_receiver){ .address = entry };
	oldest->last_heard = now;
	return oldest;
}

/**
 * plug_report_schedule_all() - make a report to every known entry due
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
 * plug_report_fill_load() - fill in the load of the host
 * @agent: agent
 * @load: message to initialize and fill
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
 * @now: current time
 *
 * Entries that have sent a new flow or an inquiry get a report
 * REPORT_INTERVAL_SHORT after the last one, other active entries
 * REPORT_INTERVAL after it. There are no reports before the host's instance id
 * is known.
 *
 * Return: latest time for the next call.
 */
plug_time
plug_report_send_due(struct plug_track_agent *agent, plug_time now)
{
	plug_time next = now + REPORT_INTERVAL;

	if (agent->host == 0)
		return next;
	for (unsigned int i = 0; i < PLUG_TRACK_REPORT_RECEIVERS_MAX; i++) {
		struct plug_report_receiver *receiver =
		    &agent->report_receivers[i];
		plug_time due = receiver->last_report +
				(receiver->report_soon ? REPORT_INTERVAL_SHORT
						       : REPORT_INTERVAL);

		if (receiver->address == 0 ||
		    (!receiver->report_soon &&
			now - receiver->last_heard > ENTRY_ACTIVE_TIME))
			continue;
		if (now >= due) {
			send_load(agent, receiver->address);
			receiver->last_report = now;
			receiver->report_soon = false;
			due = now + REPORT_INTERVAL;
		}
		if (due < next)
			next = due;
	}
	return next;
}
