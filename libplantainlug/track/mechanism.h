#ifndef PLUG_TRACK_MECHANISM_H
#define PLUG_TRACK_MECHANISM_H

#include <stdbool.h>

/*
 * Mechanisms that a measurement build may leave out to find out what each one
 * contributes: make PLUG_WITHOUT=PLUG_MECHANISM_SPILL, or several joined by
 * "|". Production builds include all of them. docs/policy-under-load.md has the
 * results.
 */
enum plug_mechanism {
	/* The agent queues new flows while its host is full. */
	PLUG_MECHANISM_QUEUE = 1 << 0,
	/* A host gets only the flows that its slots can start working on, not
	 * two for each slot. */
	PLUG_MECHANISM_LIMIT = 1 << 1,
	/* Queued flows that can be answered in time precede late ones. */
	PLUG_MECHANISM_CHANCE = 1 << 2,
	/* Of queued flows whose answers may come too late, the newest goes
	 * first. */
	PLUG_MECHANISM_NEWEST = 1 << 3,
	/* Queued flows with short requests go first, and may be sent to the
	 * host even if it is full. */
	PLUG_MECHANISM_SHORT = 1 << 4,
	/* When the queue is too long, the flow that would be served last is
	 * refused at once. */
	PLUG_MECHANISM_OVERFLOW = 1 << 5,
	/* The age of a flow includes the time for which its client has already
	 * repeated the SYN. */
	PLUG_MECHANISM_AGE = 1 << 6,
	/* A flow that a full host refused is offered only to a host that can
	 * start on it without a wait. */
	PLUG_MECHANISM_ROOM = 1 << 7,
	/* An entry refuses a flow that would wait too long at every host. */
	PLUG_MECHANISM_REFUSAL = 1 << 8,
	/* A new flow goes to another failure domain that answers sooner. */
	PLUG_MECHANISM_SPILL = 1 << 9,
	/* Hosts that fail requests get new flows only if there is no other
	 * host. */
	PLUG_MECHANISM_FAILING = 1 << 10,
	/* The entry requests a load report from agents that send none. */
	PLUG_MECHANISM_INQUIRY = 1 << 11,
	/* Questions about several flows share a datagram. */
	PLUG_MECHANISM_SHARED = 1 << 12,
	/* One agent relays a probe segment to the other agents. */
	PLUG_MECHANISM_RELAY = 1 << 13,
	/* The flows of a dead host are reset. */
	PLUG_MECHANISM_DEATH = 1 << 14,
	/* A host that is missing from a list read during an outage of the store
	 * doesn't count as gone. */
	PLUG_MECHANISM_TRUST = 1 << 15,
};

#ifndef PLUG_WITHOUT
#define PLUG_WITHOUT 0
#endif

static inline bool
plug_built_with(enum plug_mechanism mechanism)
{
	return ((PLUG_WITHOUT) & (int)mechanism) == 0;
}

#endif
