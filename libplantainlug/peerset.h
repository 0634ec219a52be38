#ifndef PLUG_PEERSET_H
#define PLUG_PEERSET_H

#include "view.h"

enum plug_peer_kind {
	PLUG_PEER_SEED = 1,    /* named in the settings */
	PLUG_PEER_ENTRY = 2,   /* live in a list of entries */
	PLUG_PEER_SIBLING = 4, /* agent of the own service */
};

#define PLUG_PEER_ANY 7

/**
 * struct plug_peer - a process that this one exchanges versions with
 * @endpoint: control address
 * @kinds: set of enum plug_peer_kind
 * @domain: hash of its failure domain's name; 0 for a seed
 * @unanswered: digests sent since it was last heard
 * @silent_since: when the first of these was sent
 */
struct plug_peer {
	struct plug_endpoint endpoint;
	unsigned int kinds;
	uint32_t domain;
	unsigned int unanswered;
	plug_time silent_since;
};

/**
 * struct plug_peerset - peers, without the process itself
 * @self: own address, never in the set
 * @count: length of @peers
 * @capacity: room in @peers
 * @peers: peers
 */
struct plug_peerset {
	struct plug_endpoint self;
	unsigned int count;
	unsigned int capacity;
	struct plug_peer *peers;
};

void plug_peerset_init(struct plug_peerset *set, struct plug_endpoint self);
void plug_peerset_finish(struct plug_peerset *set);
void plug_peerset_clear(struct plug_peerset *set, unsigned int kinds);
void plug_peerset_add(struct plug_peerset *set, struct plug_endpoint endpoint,
    enum plug_peer_kind kind, uint32_t domain);
void plug_peerset_trim(struct plug_peerset *set);
struct plug_peer *
plug_peerset_find(struct plug_peerset *set, struct plug_endpoint endpoint);
struct plug_peer *plug_peerset_pick(
    struct plug_peerset *set, struct plug_client *client, unsigned int kinds);
unsigned int plug_peerset_spread(struct plug_peerset *set,
    struct plug_client *client, struct plug_peer **picked, unsigned int max);
void plug_peer_asked(struct plug_peer *peer, plug_time now);
bool plug_peer_live(const struct plug_peer *peer, plug_time now);

#endif
