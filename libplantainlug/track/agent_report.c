#include "agent_internal.h"

/* An entry that has sent nothing for this long gets no reports. */
#define REPORT_ACTIVE (2 * PLUG_SEC)

#define REPORT_SOON (20 * PLUG_MSEC)  /* after a new flow */
#define REPORT_TIME (250 * PLUG_MSEC) /* else, while flows are open */

/**
 * plug_report_entry() - an entry that gets reports
 * @agent: agent
 * @now: time
 * @entry: address of its machine; it replaces the one that has been silent for
 *   the longest time when too many are known
 */
struct plug_reported *
plug_report_entry(struct plug_track_agent *agent, plug_time now, uint32_t entry)
{
	struct plug_reported *oldest = &agent->reported[0];

	for (unsigned int i = 0; i < PLUG_REPORTED_MAX; i++) {
		struct plug_reported *reported = &agent->reported[i];

		if (reported->address == entry)
			return reported;
		if (reported->active < oldest->active)
			oldest = reported;
	}
	*oldest = (struct plug_reported){ .address = entry };
	oldest->active = now;
	return oldest;
}

/**
 * plug_report_all_due() - report to all entries with the next step
 * @agent: agent
 */
void
plug_report_all_due(struct plug_track_agent *agent)
{
	for (unsigned int i = 0; i < PLUG_REPORTED_MAX; i++) {
		agent->reported[i].due = agent->reported[i].address != 0;
		agent->reported[i].sent = 0;
	}
}

/**
 * plug_report_load() - what an entry is to know of the host
 * @agent: agent
 * @load: receives it
 */
void
plug_report_load(const struct plug_track_agent *agent, Plug__Load *load)
{
	plug__load__init(load);
	load->host = agent->host;
	load->flows = agent->open;
	load->running = agent->running + agent->opening;
	load->waiting = agent->admission.waiting;
	load->accepting = !agent->draining &&
			  agent->state != PLUG_HOST_REFUSING &&
			  agent->state != PLUG_HOST_DOWN;
	load->failing = agent->failing;
	load->work_us = (uint32_t)agent->times.all.mean;
}

static void
send_load(struct plug_track_agent *agent, uint32_t entry)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Load load;

	plug_report_load(agent, &load);
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOAD;
	notice.load = &load;
	plug_track_notify(agent->driver, entry, &notice);
}

/**
 * plug_report_step() - send the reports that are due
 * @agent: agent
 * @now: time
 *
 * Entries that send new flows hear of them soon, the others now and then.
 *
 * Return: time of the next report.
 */
plug_time
plug_report_step(struct plug_track_agent *agent, plug_time now)
{
	plug_time next = now + REPORT_TIME;

	if (agent->host == 0)
		return next;
	for (unsigned int i = 0; i < PLUG_REPORTED_MAX; i++) {
		struct plug_reported *reported = &agent->reported[i];
		plug_time due = reported->sent +
				(reported->due ? REPORT_SOON : REPORT_TIME);

		if (reported->address == 0 ||
		    (!reported->due && now - reported->active > REPORT_ACTIVE))
			continue;
		if (now >= due) {
			send_load(agent, reported->address);
			reported->sent = now;
			reported->due = false;
			due = now + REPORT_TIME;
		}
		if (due < next)
			next = due;
	}
	return next;
}
