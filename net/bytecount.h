#ifndef PLUG_BYTECOUNT_H
#define PLUG_BYTECOUNT_H

#include <stdatomic.h>

#include "libplantainlug/view.h"
#include "log.h"

/* A region has 3 domains and a fleet has 9, so this holds the pairs of 330
 * services with at most half of the table in use. A power of two. */
#define PLUG_BYTECOUNT_PAIRS 8192

#define PLUG_BYTECOUNT_INTERVAL (60 * PLUG_SEC) /* between two reports */

enum plug_bytecount_cause {
	PLUG_BYTECOUNT_REQUEST, /* entry to agent */
	PLUG_BYTECOUNT_FORWARD, /* agent to agent */
	PLUG_BYTECOUNT_ANSWER,	/* entry or agent to the fabric */
	PLUG_BYTECOUNT_MOVE,	/* flows and their state between agents */
	PLUG_BYTECOUNT_CONTROL, /* configuration, membership and load */
	PLUG_BYTECOUNT_CAUSE_COUNT
};

struct plug_bytecount_count {
	atomic_uint_fast64_t bytes;
	atomic_uint_fast64_t packets;
	uint64_t reported_bytes; /* the reporting thread's own */
	uint64_t reported_packets;
};

/**
 * struct plug_bytecount_pair - what was sent for a service to a domain
 * @key: highest bit, service id and domain hash; 0 while unused
 * @counts: sums by cause
 */
struct plug_bytecount_pair {
	atomic_uint_fast64_t key;
	struct plug_bytecount_count counts[PLUG_BYTECOUNT_CAUSE_COUNT];
};

/**
 * struct plug_bytecount - counters of one thread
 * @pairs: open-addressed table; entries are never removed
 * @uncounted: packets that found the table full
 *
 * One thread counts and another one reports. Neither locks or allocates.
 */
struct plug_bytecount {
	struct plug_bytecount_pair pairs[PLUG_BYTECOUNT_PAIRS];
	atomic_uint_fast64_t uncounted;
};

/**
 * struct plug_bytecount_place - where a process counts
 * @domain: name of its failure domain
 * @service: name of its service; empty for an entry
 * @view: view that names services, or NULL
 */
struct plug_bytecount_place {
	const char *domain;
	const char *service;
	const struct plug_view *view;
};

void plug_bytecount_add(struct plug_bytecount *traffic, uint32_t service,
    uint32_t domain, enum plug_bytecount_cause cause, size_t bytes);
void
plug_bytecount_report(struct plug_bytecount *const *traffic, unsigned int count,
    const struct plug_bytecount_place *place, struct plug_log *log);
bool plug_bytecount_domain(const struct plug_view *view,
    struct plug_endpoint endpoint, uint32_t *domain);

#endif
