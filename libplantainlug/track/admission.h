#ifndef PLUG_TRACK_ADMISSION_H
#define PLUG_TRACK_ADMISSION_H

#include "action.h"
#include "worktimes.h"

/**
 * struct plug_waiter - an opening segment that waits for its host
 * @next: the one that came after it
 * @previous: the one that came before it
 * @tuple: flow
 * @worktime: what is known of its route, or NULL
 * @entry: address of the entry that sent it
 * @host: hash of the instance id of the host that it is meant for
 * @priority: of its route, 0 is highest
 * @answer_due: an answer is in time until then
 * @refuse_at: it is to be refused after this time
 * @len: length of @bytes
 * @bytes: segment
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
 * struct plug_host_workload - what the host has to do, as far as is known
 * @running: requests at the host
 * @opening: new flows whose first request is on its way
 * @times: how long the host works on requests
 * @handshake_time: from handing a new flow to the host until its first request
 */
struct plug_host_workload {
	uint32_t running;
	uint32_t opening;
	const struct plug_worktimes *times;
	plug_time handshake_time;
};

/**
 * struct plug_admission - what waits for one host
 * @slots: requests that the host runs at a time
 * @cold_until: the host bears little until this time
 * @cold_per_s: new flows a second that it bears while cold; 0 for no limit
 * @tokens: new flows that a cold host may be sent now
 * @refilled_at: time when @tokens was last filled
 * @first: waiters in the order of their arrival
 * @last: last of them
 * @waiter_count: their number
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
    plug_time now, const struct plug_host_workload *work);
struct plug_waiter *plug_admission_shed(struct plug_admission *admission,
    plug_time now, const struct plug_host_workload *work);
struct plug_waiter *plug_admission_remove_if(struct plug_admission *admission,
    bool (*matches)(void *data, const struct plug_waiter *waiter), void *data);

#endif
