#include <string.h>

#include "partners.h"

#define ENTRY_PARTNERS 2	       /* of an agent */
#define DRAW_TRIES     32	       /* random peers that are looked at */
#define DRAW_INTERVAL  (30 * PLUG_SEC) /* between replacements of a partner */
#define PROBE_INTERVAL (2 * PLUG_SEC)  /* between digests to silent peers */
#define AWAY_PARTNERS  2 /* of an entry, in other domains where possible */

/**
 * plug_partners_init() - initialize without partners
 * @partners: object to fill
 * @client: random state
 * @agent: whether the process is an agent
 * @domain: hash of the own failure domain's name
 * @now: time
 */
void
plug_partners_init(struct plug_partners *partners, struct plug_client *client,
    bool agent, uint32_t domain, plug_time now)
{
	memset(partners, 0, sizeof(*partners));
	partners->agent = agent;
	partners->domain = domain;
	partners->next_draw =
	    now + plug_client_random(client, (uint32_t)DRAW_INTERVAL);
}

/* Kinds that the place is drawn from, the preferred ones first. */
static unsigned int
preferred_kinds(const struct plug_partners *partners, unsigned int place)
{
	return partners->agent && place >= ENTRY_PARTNERS ? PLUG_PEER_SIBLING
							  : PLUG_PEER_ENTRY;
}

static bool
is_partner(const struct plug_partners *partners, struct plug_endpoint endpoint)
{
	for (unsigned int i = 0; i < PLUG_PARTNERS; i++) {
		if (plug_endpoint_equal(partners->partners[i], endpoint))
			return true;
	}
	return false;
}

/* A live peer that is no partner yet, or NULL. With @away it is in another
 * domain than this process. */
static struct plug_peer *
draw_peer(const struct plug_partners *partners, struct plug_peerset *set,
    struct plug_client *client, plug_time now, unsigned int kinds, bool away)
{
	unsigned int start =
	    set->count > 0 ? plug_client_random(client, set->count) : 0;

	for (unsigned int i = 0; i < set->count; i++) {
		/* Random places first; the rest of the set in order then. */
		unsigned int at = i < DRAW_TRIES
				      ? plug_client_random(client, set->count)
				      : start + i;
		struct plug_peer *peer = &set->peers[at % set->count];

		if ((peer->kinds & kinds) != 0 && plug_peer_live(peer, now) &&
		    (!away || peer->domain != partners->domain) &&
		    !is_partner(partners, peer->endpoint))
			return peer;
	}
	return NULL;
}

/* Seeds are used only while no list of entries is held: many processes may have
 * the same ones. */
static void
draw(struct plug_partners *partners, struct plug_peerset *set,
    struct plug_client *client, plug_time now, unsigned int place, bool seeds)
{
	const unsigned int kinds = preferred_kinds(partners, place);
	struct plug_peer *peer = NULL;

	if (!partners->agent && place < AWAY_PARTNERS)
		peer = draw_peer(partners, set, client, now, kinds, true);
	if (peer == NULL)
		peer = draw_peer(partners, set, client, now, kinds, false);
	if (peer != NULL) {
		partners->seed[place] = false;
	} else if (seeds && kinds == PLUG_PEER_ENTRY) {
		peer = draw_peer(
		    partners, set, client, now, PLUG_PEER_SEED, false);
		partners->seed[place] |= peer != NULL;
	}
	if (peer != NULL)
		partners->partners[place] = peer->endpoint;
}

/**
 * plug_partners_update() - replace partners that are silent or not known
 * @partners: partners
 * @set: peers
 * @client: random state
 * @now: time
 *
 * One partner is also replaced every 30 s, so that the graph of the partners
 * doesn't stay as it happened to be drawn. A silent partner without a
 * replacement stays.
 */
void
plug_partners_update(struct plug_partners *partners, struct plug_peerset *set,
    struct plug_client *client, plug_time now)
{
	const struct plug_endpoint none = { 0, 0 };

	if (now >= partners->next_draw) {
		partners->next_draw = now + DRAW_INTERVAL;
		draw(partners, set, client, now,
		    partners->oldest++ % PLUG_PARTNERS, false);
	}
	for (unsigned int i = 0; i < PLUG_PARTNERS; i++) {
		struct plug_peer *peer =
		    partners->partners[i].port == 0
			? NULL
			: plug_peerset_find(set, partners->partners[i]);
		const unsigned int kinds = preferred_kinds(partners, i);
		bool silent = peer == NULL || !plug_peer_live(peer, now);

		if (peer == NULL)
			partners->partners[i] = none;
		if (silent || partners->seed[i] || (peer->kinds & kinds) == 0)
			draw(partners, set, client, now, i, silent);
	}
}

/* Partners of the places from @first to below @end. */
static unsigned int
collect(const struct plug_partners *partners, struct plug_peerset *set,
    unsigned int first, unsigned int end, struct plug_peer **list)
{
	unsigned int count = 0;

	for (unsigned int i = first; i < end; i++) {
		struct plug_peer *peer =
		    partners->partners[i].port == 0
			? NULL
			: plug_peerset_find(set, partners->partners[i]);

		if (peer != NULL)
			list[count++] = peer;
	}
	return count;
}

/* A silent peer, so that both sides of a healed partition find each other
 * again; NULL when there is none or none is due. */
static struct plug_peer *
probe(struct plug_partners *partners, struct plug_peerset *set,
    struct plug_client *client, plug_time now)
{
	unsigned int start;

	if (now < partners->next_probe || set->count == 0)
		return NULL;
	partners->next_probe = now + PROBE_INTERVAL;
	start = plug_client_random(client, set->count);
	for (unsigned int i = 0; i < set->count; i++) {
		struct plug_peer *peer = &set->peers[(start + i) % set->count];

		if (!plug_peer_live(peer, now) &&
		    !is_partner(partners, peer->endpoint))
			return peer;
	}
	return NULL;
}

/**
 * plug_partners_next() - peers that are due for a digest
 * @partners: partners
 * @set: peers
 * @client: random state
 * @now: time
 * @picked: receives the peers
 * @max: room in @picked, at least 3
 *
 * Two partners in rotation; of an agent one is an entry and the other a
 * sibling. A silent peer may follow.
 *
 * Return: peers picked.
 */
unsigned int
plug_partners_next(struct plug_partners *partners, struct plug_peerset *set,
    struct plug_client *client, plug_time now, struct plug_peer **picked,
    unsigned int max)
{
	const unsigned int split = partners->agent ? ENTRY_PARTNERS : 0;
	struct plug_peer *list[PLUG_PARTNERS], *silent;
	unsigned int turn = partners->turn++, count = 0, n;

	n = collect(partners, set, 0, split, list);
	if (n > 0 && count < max)
		picked[count++] = list[turn % n];
	n = collect(partners, set, split, PLUG_PARTNERS, list);
	if (!partners->agent && n > 1 && count < max)
		picked[count++] = list[2 * turn % n];
	if (n > 0 && count < max)
		picked[count++] =
		    list[(partners->agent ? turn : 2 * turn + 1) % n];
	silent = probe(partners, set, client, now);
	if (silent != NULL && count < max)
		picked[count++] = silent;
	return count;
}

/**
 * plug_partners_sample() - random partners that all differ
 * @partners: partners
 * @set: peers
 * @client: random state
 * @picked: receives the peers
 * @max: room in @picked
 *
 * Return: peers picked.
 */
unsigned int
plug_partners_sample(const struct plug_partners *partners,
    struct plug_peerset *set, struct plug_client *client,
    struct plug_peer **picked, unsigned int max)
{
	struct plug_peer *list[PLUG_PARTNERS];
	unsigned int n = collect(partners, set, 0, PLUG_PARTNERS, list);
	unsigned int count = 0;

	while (n > 0 && count < max) {
		unsigned int at = plug_client_random(client, n);

		picked[count++] = list[at];
		list[at] = list[--n];
	}
	return count;
}
