#ifndef PLUG_PARTNERS_H
#define PLUG_PARTNERS_H

#include "peerset.h"

#define PLUG_PARTNERS 6 /* peers that a process sends digests to */

/**
 * struct plug_partners - the few peers that a process exchanges digests with
 * @agent: the first partners are entries, the others siblings
 * @domain: hash of the own failure domain's name
 * @partners: addresses; port 0 for a free place
 * @seed: partners taken from the settings before the entries were known
 * @turn: rotation over the partners
 * @oldest: place that is drawn again next
 * @next_draw: when it is
 * @next_probe: when a silent peer may be asked
 */
struct plug_partners {
	bool agent;
	uint32_t domain;
	struct plug_endpoint partners[PLUG_PARTNERS];
	bool seed[PLUG_PARTNERS];
	unsigned int turn;
	unsigned int oldest;
	plug_time next_draw;
	plug_time next_probe;
};

void plug_partners_init(struct plug_partners *partners,
    struct plug_client *client, bool agent, uint32_t domain, plug_time now);
void plug_partners_update(struct plug_partners *partners,
    struct plug_peerset *set, struct plug_client *client, plug_time now);
unsigned int plug_partners_next(struct plug_partners *partners,
    struct plug_peerset *set, struct plug_client *client, plug_time now,
    struct plug_peer **picked, unsigned int max);
unsigned int plug_partners_sample(const struct plug_partners *partners,
    struct plug_peerset *set, struct plug_client *client,
    struct plug_peer **picked, unsigned int max);

#endif
