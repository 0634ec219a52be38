#include <stdlib.h>
#include <string.h>

#include "peerset.h"

#define PICK_TRIES     16	      /* random draws before a linear search */
#define SPREAD_TRIES   32	      /* draws for peers of other domains */
#define SILENT_DIGESTS 4	      /* unanswered digests of a dead peer */
#define SILENT_TIME    (3 * PLUG_SEC) /* and how long it has been silent */
#define PEERS_MAX      8192	      /* peers of one process */

/**
 * plug_peerset_init() - initialize an empty set
 * @set: set
 * @self: own address
 */
void
plug_peerset_init(struct plug_peerset *set, struct plug_endpoint self)
{
	memset(set, 0, sizeof(*set));
	set->self = self;
}

/**
 * plug_peerset_finish() - free the set
 * @set: set
 */
void
plug_peerset_finish(struct plug_peerset *set)
{
	free(set->peers);
	plug_peerset_init(set, set->self);
}

/**
 * plug_peerset_clear() - begin to replace the peers of some kinds
 * @set: set
 * @kinds: kinds that plug_peerset_add() will set again
 */
void
plug_peerset_clear(struct plug_peerset *set, unsigned int kinds)
{
	for (unsigned int i = 0; i < set->count; i++)
		set->peers[i].kinds &= ~kinds;
}

/**
 * plug_peerset_trim() - remove the peers that are of no kind any more
 * @set: set
 */
void
plug_peerset_trim(struct plug_peerset *set)
{
	unsigned int kept = 0;

	for (unsigned int i = 0; i < set->count; i++) {
		if (set->peers[i].kinds != 0)
			set->peers[kept++] = set->peers[i];
	}
	set->count = kept;
}

/**
 * plug_peerset_find() - look up a peer by its address
 * @set: set
 * @endpoint: address
 *
 * Return: the peer, valid until the next change of the set, or NULL.
 */
struct plug_peer *
plug_peerset_find(struct plug_peerset *set, struct plug_endpoint endpoint)
{
	for (unsigned int i = 0; i < set->count; i++) {
		if (plug_endpoint_equal(set->peers[i].endpoint, endpoint))
			return &set->peers[i];
	}
	return NULL;
}

/**
 * plug_peerset_add() - add a peer, or a kind to a known one
 * @set: set
 * @endpoint: address; the own address is left out
 * @kind: kind
 * @domain: hash of its failure domain's name, 0 when not known
 */
void
plug_peerset_add(struct plug_peerset *set, struct plug_endpoint endpoint,
    enum plug_peer_kind kind, uint32_t domain)
{
	struct plug_peer *peer = plug_peerset_find(set, endpoint);

	if (plug_endpoint_equal(endpoint, set->self))
		return;
	if (peer == NULL) {
		if (set->count == PEERS_MAX)
			return;
		if (set->count == set->capacity) {
			unsigned int capacity = set->capacity * 2 + 8;
			struct plug_peer *peers =
			    realloc(set->peers, capacity * sizeof(*peers));

			if (peers == NULL)
				return;
			set->peers = peers;
			set->capacity = capacity;
		}
		peer = &set->peers[set->count++];
		memset(peer, 0, sizeof(*peer));
		peer->endpoint = endpoint;
	}
	peer->kinds |= kind;
	if (domain != 0)
		peer->domain = domain;
}

/**
 * plug_peerset_pick() - random peer
 * @set: set
 * @client: random state
 * @kinds: kinds to choose from
 *
 * Return: a peer, or NULL when there is none of these kinds.
 */
struct plug_peer *
plug_peerset_pick(
    struct plug_peerset *set, struct plug_client *client, unsigned int kinds)
{
	unsigned int start;

	if (set->count == 0)
		return NULL;
	for (unsigned int i = 0; i < PICK_TRIES; i++) {
		struct plug_peer *peer =
		    &set->peers[plug_client_random(client, set->count)];

		if ((peer->kinds & kinds) != 0)
			return peer;
	}
	start = plug_client_random(client, set->count);
	for (unsigned int i = 0; i < set->count; i++) {
		struct plug_peer *peer = &set->peers[(start + i) % set->count];

		if ((peer->kinds & kinds) != 0)
			return peer;
	}
	return NULL;
}

/* Whether the peer, or with domains also its domain, is among the picked. */
static bool
already_picked(const struct plug_peer *peer, struct plug_peer **picked,
    unsigned int count, bool domains)
{
	for (unsigned int i = 0; i < count; i++) {
		if (picked[i] == peer || (domains && peer->domain != 0 &&
					     picked[i]->domain == peer->domain))
			return true;
	}
	return false;
}

/**
 * plug_peerset_spread() - random peers, of different domains where possible
 * @set: set
 * @client: random state
 * @picked: receives the peers
 * @max: room in @picked
 *
 * Return: peers picked.
 */
unsigned int
plug_peerset_spread(struct plug_peerset *set, struct plug_client *client,
    struct plug_peer **picked, unsigned int max)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < SPREAD_TRIES * 2 && count < max; i++) {
		struct plug_peer *peer =
		    plug_peerset_pick(set, client, PLUG_PEER_ANY);

		if (peer == NULL)
			break;
		if (!already_picked(peer, picked, count, i < SPREAD_TRIES))
			picked[count++] = peer;
	}
	return count;
}

/**
 * plug_peer_asked() - count a digest that the peer should answer
 * @peer: peer
 * @now: time
 */
void
plug_peer_asked(struct plug_peer *peer, plug_time now)
{
	if (peer->unanswered++ == 0)
		peer->silent_since = now;
}

/**
 * plug_peer_live() - whether the peer answers, as far as is known
 * @peer: peer
 * @now: time
 */
bool
plug_peer_live(const struct plug_peer *peer, plug_time now)
{
	return peer->unanswered < SILENT_DIGESTS ||
	       now - peer->silent_since < SILENT_TIME;
}
