#ifndef PLUG_TRACK_GATE_H
#define PLUG_TRACK_GATE_H

#include "action.h"

/**
 * struct plug_gate_waiter - an opening segment that waits for its host
 * @next: the one that came after it
 * @tuple: flow
 * @entry: address of the entry that sent it
 * @host: hash of the instance id of the host that it is meant for
 * @patience: its answer is in time if it is admitted before this time
 * @deadline: it is of no use to its client after this time
 * @rank: from plug_gate_rank(); waiters of a lower one go first
 * @len: length of @bytes
 * @bytes: segment
 */
struct plug_gate_waiter {
	struct plug_gate_waiter *next;
	struct plug_tuple tuple;
	uint32_t entry;
	uint64_t host;
	plug_time patience;
	plug_time deadline;
	uint64_t rank;
	size_t len;
	uint8_t bytes[PLUG_SEGMENT_MAX];
};

/**
 * struct plug_gate - admission of new flows to one host
 * @slots: requests that the host runs at a time
 * @cold_until: the host bears little until this time
 * @cold_per_s: requests a second that it bears while it is cold; 0 for no limit
 * @tokens: flows that a cold host may be sent now
 * @filled: time when @tokens was last filled
 * @first: segment that is admitted next
 * @waiting: segments that wait
 */
struct plug_gate {
	uint32_t slots;
	plug_time cold_until;
	double cold_per_s;
	double tokens;
	plug_time filled;
	struct plug_gate_waiter *first;
	unsigned int waiting;
};

void plug_gate_init(struct plug_gate *gate, plug_time now);
void plug_gate_finish(struct plug_gate *gate);
void plug_gate_configure(struct plug_gate *gate, plug_time now, uint32_t slots,
    double cold_per_s, plug_time cold_until);
bool plug_gate_admit(
    struct plug_gate *gate, plug_time now, uint32_t work, uint64_t rank);
uint64_t plug_gate_rank(uint32_t priority, bool is_short);
bool plug_gate_wait(struct plug_gate *gate, plug_time now,
    const struct plug_gate_waiter *waiter, struct plug_gate_waiter **displaced);
struct plug_gate_waiter *plug_gate_take(struct plug_gate *gate, plug_time now);
struct plug_gate_waiter *plug_gate_take_if(struct plug_gate *gate,
    bool (*matches)(void *data, const struct plug_gate_waiter *waiter),
    void *data);

#endif
