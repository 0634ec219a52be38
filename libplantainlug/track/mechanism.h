#ifndef PLUG_TRACK_MECHANISM_H
#define PLUG_TRACK_MECHANISM_H

#include <stdbool.h>

/*
 * Mechanisms that a build for measurements may leave out, to learn what each is
 * worth: make PLUG_WITHOUT=PLUG_MECHANISM_SPILL, or several joined by "|".
 * Builds for use have all of them. docs/policy-under-load.md has the results.
 */
enum plug_mechanism {
	/* New flows wait at the agent for a full host. */
	PLUG_MECHANISM_QUEUE = 1 << 0,
	/* A host gets what its slots can begin to work on, not two for each. */
	PLUG_MECHANISM_LIMIT = 1 << 1,
	/* Those that can be answered in time go before late ones. */
	PLUG_MECHANISM_CHANCE = 1 << 2,
	/* The newest goes first when answers are not safe any more. */
	PLUG_MECHANISM_NEWEST = 1 << 3,
	/* Short requests go first, and to a full host. */
	PLUG_MECHANISM_SHORT = 1 << 4,
	/* The last one is refused at once when the queue is too long. */
	PLUG_MECHANISM_OVERFLOW = 1 << 5,
	/* The age of copies of a SYN counts. */
	PLUG_MECHANISM_AGE = 1 << 6,
	/* A flow that had to wait is offered to another host with room only. */
	PLUG_MECHANISM_ROOM = 1 << 7,
	/* An entry refuses what would wait for too long at every host. */
	PLUG_MECHANISM_REFUSAL = 1 << 8,
	/* A new flow goes to another domain that answers sooner. */
	PLUG_MECHANISM_SPILL = 1 << 9,
	/* Hosts that fail requests get new flows when there is no other. */
	PLUG_MECHANISM_FAILING = 1 << 10,
	/* Agents that don't report are asked for their load. */
	PLUG_MECHANISM_INQUIRY = 1 << 11,
	/* Questions for several flows share a datagram. */
	PLUG_MECHANISM_SHARED = 1 << 12,
	/* One agent hands a probing segment on to the others. */
	PLUG_MECHANISM_RELAY = 1 << 13,
	/* The flows of a dead host are reset. */
	PLUG_MECHANISM_DEATH = 1 << 14,
	/* A host list read during an outage of the store is not trusted. */
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
