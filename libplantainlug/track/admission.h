#ifndef PLUG_TRACK_ADMISSION_H
#define PLUG_TRACK_ADMISSION_H

#include "action.h"
#include "worktimes.h"

/**
 * struct plug_waiter - a queued SYN of a new flow
 * @next: waiter that arrived after this one, or NULL
 * @previous: waiter that arrived before this one, or NULL
 * @tuple: flow
 * @worktime: measured work time of the flow's route, or NULL if the route isn't
 *   recorded; borrowed
 * @entry: address of the entry that sent the segment
 * @host: hash of the instance id of the host that the entry chose
 * @priority: priority of the route; 0 is served first
 * @answer_due: an answer after this time misses the route's objective
 * @refuse_at: the flow is refused if it still waits at this time
 * @len: length of @bytes
 * @bytes: the segment as received
 */
struct plug_waiter {
	struct plug_waiter *next;
	struct plug_waiter *previous;
	struct plug_tuple tuple;
	const struct plug_route_worktime *worktime;
	uint32_t entry;
	uint64_t host;
	uint32_t priority;
	plug_time answer_due;
	plug_time refuse_at;
	size_t len;
	uint8_t bytes[PLUG_SEGMENT_MAX];
};

/**
 * struct plug_host_workload - the agent's estimate of its host's load
 * @running: requests that the host has not answered
 * @opening: admitted flows whose first request is still expected
 * @times: work times of the host's requests; borrowed
 * @handshake_time: mean time from handing a SYN to the host until the first
 *   request of the flow
 */
struct plug_host_workload {
	uint32_t running;
	uint32_t opening;
	const struct plug_worktimes *times;
	plug_time handshake_time;
};

/**
 * struct plug_admission - queue of new flows for one host
 * @slots: requests that the host runs concurrently, at least 1
 * @cold_until: the host is cold until this time; its rate of new flows is
 *   limited to @cold_per_s meanwhile
 * @cold_per_s: new flows per second that a cold host can take; 0 for no limit
 * @tokens: token bucket of a cold host; each new flow takes one token
 * @refilled_at: time when @tokens was last refilled
 * @first: first waiter in order of arrival, or NULL
 * @last: last waiter, or NULL
 * @waiter_count: waiters in the queue
 */
struct plug_admission {
	uint32_t slots;
	plug_time cold_until;
	double cold_per_s;
	double tokens;
	plug_time refilled_at;
	struct plug_waiter *first;
	struct plug_waiter *last;
	unsigned int waiter_count;
};

void plug_admission_init(struct plug_admission *admission, plug_time now);
void plug_admission_finish(struct plug_admission *admission);
void plug_admission_configure(struct plug_admission *admission, plug_time now,
    uint32_t slots, double cold_per_s, plug_time cold_until);
void plug_admission_enqueue(
    struct plug_admission *admission, struct plug_waiter *waiter);
struct plug_waiter *plug_admission_find(
    const struct plug_admission *admission, const struct plug_tuple *tuple);
struct plug_waiter *plug_admission_dequeue(struct plug_admission *admission,
    plug_time now, const struct plug_host_workload *load);
struct plug_waiter *plug_admission_shed(struct plug_admission *admission,
    plug_time now, const struct plug_host_workload *load);
struct plug_waiter *plug_admission_remove_if(struct plug_admission *admission,
    bool (*matches)(void *data, const struct plug_waiter *waiter), void *data);

#endif
