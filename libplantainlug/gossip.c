#include <stdlib.h>
#include <string.h>

#include "gossip.h"

#define INQUIRY_REPEAT	   (250 * PLUG_MSEC) /* until other peers are asked */
#define INQUIRY_REPEAT_MAX (2 * PLUG_SEC)
#define DIGEST_INTERVAL	   (500 * PLUG_MSEC)
#define DIGEST_PEERS	   3 /* most digests in each interval */
#define NOTICE_PEERS	   4 /* notices for each new version */
#define FETCH_REPEAT	   (200 * PLUG_MSEC)
#define FETCH_PAUSE	   (100 * PLUG_MSEC) /* before another announcer is asked */
#define FETCH_KEYS	   64		     /* keys in one message */
#define FETCH_TRIES	   80 /* then the announced version is given up */
#define RECENT_KEYS	   32 /* newest keys in a list after a digest */
#define WINDOW_KEYS	   32 /* further keys in it, in rotation */

/* Bytes of values and lists that are sent in one tick of 100 ms. */
#define SEND_BUDGET ((int64_t)1048576)

/* Approximate bytes of one key in a list: tags, key, version and hash. */
#define KEY_BYTES 48

static bool
is_agent(const struct plug_gossip *gossip)
{
	return gossip->config.service != 0;
}

/**
 * struct scope - keys that two processes compare
 * @service: service name of an agent; empty for all keys
 * @id: its service id, 0 for all keys
 * @domain: hash of the domain whose list of entries is among them; 0 for none
 */
struct scope {
	const char *service;
	uint32_t id;
	uint32_t domain;
};

static void
send_message(struct plug_gossip *gossip, struct plug_endpoint target,
    Plug__Message__BodyCase body_case, void *body)
{
	Plug__Sender sender = PLUG__SENDER__INIT;
	Plug__Message message = PLUG__MESSAGE__INIT;
	struct plug_action action = { .kind = PLUG_ACTION_PEER };

	sender.instance = gossip->config.instance;
	sender.address = gossip->config.endpoint.address;
	sender.port = gossip->config.endpoint.port;
	sender.service = gossip->config.service;
	sender.domain = gossip->config.domain;
	message.sender = &sender;
	message.body_case = body_case;
	/* All members of the union are pointers to a message. */
	message.digest = body;
	action.peer.target = target;
	action.peer.message = &message;
	plug_client_emit(gossip->client, &action);
}

static void
send_digest(struct plug_gossip *gossip, struct plug_endpoint target,
    uint64_t hash, uint32_t scope, bool answer)
{
	Plug__Digest digest = PLUG__DIGEST__INIT;

	digest.hash = hash;
	digest.scope = scope;
	digest.answer = answer;
	send_message(gossip, target, PLUG__MESSAGE__BODY_DIGEST, &digest);
}

static void
fill_version(Plug__KeyVersion *version, struct plug_item *item)
{
	plug__key_version__init(version);
	version->key = item->key;
	version->version = item->version;
	version->hash = item->hash;
}

static bool
spend(struct plug_gossip *gossip, int64_t bytes)
{
	if (gossip->budget <= 0)
		return false;
	gossip->budget -= bytes;
	return true;
}

/* Sends a list of versions; the items' keys are borrowed. */
static void
send_versions(struct plug_gossip *gossip, struct plug_endpoint target,
    struct plug_item **items, unsigned int count, uint32_t scope, bool answer,
    uint64_t nonce)
{
	Plug__Versions versions = PLUG__VERSIONS__INIT;
	Plug__KeyVersion *keys = malloc((count + 1) * sizeof(*keys));
	Plug__KeyVersion **list =
	    malloc((count + 1) * sizeof(Plug__KeyVersion *));

	if (keys != NULL && list != NULL &&
	    spend(gossip, (int64_t)count * KEY_BYTES)) {
		for (unsigned int i = 0; i < count; i++) {
			fill_version(&keys[i], items[i]);
			list[i] = &keys[i];
		}
		versions.n_keys = count;
		versions.keys = list;
		versions.scope = scope;
		versions.answer = answer;
		versions.nonce = nonce;
		send_message(
		    gossip, target, PLUG__MESSAGE__BODY_VERSIONS, &versions);
	}
	free(keys);
	free(list);
}

static unsigned int
add_item(struct plug_item **list, unsigned int count, struct plug_item *item)
{
	for (unsigned int i = 0; i < count; i++) {
		if (list[i] == item)
			return count;
	}
	list[count] = item;
	return count + 1;
}

static bool
in_scope(const struct plug_item *item, struct scope scope)
{
	return plug_item_in_scope(item, scope.service, scope.domain);
}

/*
 * Adds the most recently accepted keys and a rotating window of the others.
 * The window settles old differences without sending all keys at each
 * digest.
 */
static unsigned int
list_some(struct plug_gossip *gossip, struct scope scope,
    struct plug_item **list, unsigned int count)
{
	const struct plug_catalog *catalog = &gossip->catalog;
	uint64_t oldest = catalog->sequence > RECENT_KEYS
			      ? catalog->sequence - RECENT_KEYS
			      : 0;
	unsigned int added = 0;

	for (unsigned int i = 0; i < catalog->count && count < FETCH_KEYS;
	     i++) {
		struct plug_item *item = catalog->items[i];

		if (item->version > 0 && item->sequence > oldest &&
		    in_scope(item, scope))
			count = add_item(list, count, item);
	}
	for (unsigned int i = 0;
	     i < catalog->count && count < FETCH_KEYS && added < WINDOW_KEYS;
	     i++) {
		struct plug_item *item =
		    catalog->items[gossip->window++ % catalog->count];

		if (item->version == 0 || !in_scope(item, scope))
			continue;
		count = add_item(list, count, item);
		added++;
	}
	return count;
}

static void
send_some(
    struct plug_gossip *gossip, struct plug_endpoint target, struct scope scope)
{
	struct plug_item *list[FETCH_KEYS];
	unsigned int count = list_some(gossip, scope, list, 0);

	send_versions(gossip, target, list, count, scope.id, false, 0);
}

static void
send_all(struct plug_gossip *gossip, struct plug_endpoint target,
    struct scope scope, uint64_t nonce)
{
	struct plug_catalog *catalog = &gossip->catalog;
	struct plug_item **list =
	    malloc((catalog->count + 1) * sizeof(struct plug_item *));
	unsigned int count = 0;

	if (list == NULL)
		return;
	for (unsigned int i = 0; i < catalog->count; i++) {
		if (catalog->items[i]->version > 0 &&
		    in_scope(catalog->items[i], scope))
			list[count++] = catalog->items[i];
	}
	send_versions(gossip, target, list, count, scope.id, true, nonce);
	free(list);
}

/**
 * plug_item_wanted() - whether a newer version than the held one is known
 * @item: item
 */
bool
plug_item_wanted(const struct plug_item *item)
{
	return item->wanted > item->version && item->wanted != item->refused;
}

static void
send_fetch(struct plug_gossip *gossip, plug_time now,
    struct plug_endpoint target, struct plug_item **items, unsigned int count)
{
	Plug__Fetch fetch = PLUG__FETCH__INIT;
	char *keys[FETCH_KEYS];

	if (count == 0)
		return;
	for (unsigned int i = 0; i < count; i++) {
		keys[i] = items[i]->key;
		items[i]->fetch_at = now + FETCH_REPEAT;
		items[i]->fetches++;
	}
	fetch.n_keys = count;
	fetch.keys = keys;
	send_message(gossip, target, PLUG__MESSAGE__BODY_FETCH, &fetch);
}

/* Repeats fetches without an answer, also at another peer: the announcer may
 * be gone. */
static void
repeat_fetches(struct plug_gossip *gossip, plug_time now)
{
	struct plug_item *due[FETCH_KEYS];
	struct plug_peer *peer;
	unsigned int count = 0;

	for (unsigned int i = 0; i < gossip->catalog.count; i++) {
		struct plug_item *item = gossip->catalog.items[i];

		if (!plug_item_wanted(item) || item->fetch_at > now)
			continue;
		if (item->fetches >= FETCH_TRIES) {
			plug_client_log(gossip->client, PLUG_LOG_WARN,
			    "event=fetch_given_up key=%s version=%llu",
			    item->key, (unsigned long long)item->wanted);
			item->wanted = item->version;
			continue;
		}
		if (count < FETCH_KEYS &&
		    (count == 0 ||
			plug_endpoint_equal(item->source, due[0]->source)))
			due[count++] = item;
	}
	if (count == 0)
		return;
	send_fetch(gossip, now, due[0]->source, due, count);
	if (plug_partners_sample(&gossip->partners, &gossip->peers,
		gossip->client, &peer, 1) > 0 &&
	    !plug_endpoint_equal(peer->endpoint, due[0]->source))
		send_fetch(gossip, now, peer->endpoint, due, count);
}

/*
 * Notes an announced version. Returns the item when it is to be fetched from
 * the announcer: at once when the version is new, and after a pause when an
 * earlier fetch was not answered, since the message may have been lost.
 */
static struct plug_item *
announce(struct plug_gossip *gossip, plug_time now,
    const Plug__KeyVersion *version, struct plug_endpoint source)
{
	struct plug_item *item =
	    plug_catalog_add(&gossip->catalog, plug_str_from(version->key));

	if (item == NULL)
		return NULL;
	if (version->version == item->version && version->hash != item->hash &&
	    item->version > 0)
		plug_client_log(gossip->client, PLUG_LOG_ERROR,
		    "event=conflict key=%s version=%llu", item->key,
		    (unsigned long long)item->version);
	if (version->version <= item->version ||
	    version->version < item->wanted ||
	    version->version == item->refused)
		return NULL;
	if (version->version > item->wanted)
		item->fetches = 0;
	else if (now < item->fetch_at - FETCH_REPEAT + FETCH_PAUSE)
		return NULL;
	item->wanted = version->version;
	item->source = source;
	return item;
}

static void
add_peers(struct plug_gossip *gossip, const struct plug_item *item,
    enum plug_peer_kind kind)
{
	for (unsigned int i = 0; i < item->member_count; i++) {
		const struct plug_member *member = &item->members[i];

		if (kind != PLUG_PEER_ENTRY ||
		    member->state == PLUG_MEMBER_LIVE)
			plug_peerset_add(&gossip->peers, member->endpoint, kind,
			    member->domain);
	}
}

static void
update_peers(struct plug_gossip *gossip)
{
	struct plug_peerset *peers = &gossip->peers;

	plug_peerset_clear(peers, PLUG_PEER_ENTRY | PLUG_PEER_SIBLING);
	for (unsigned int i = 0; i < gossip->catalog.count; i++) {
		const struct plug_item *item = gossip->catalog.items[i];

		if (item->kind == PLUG_ITEM_ENTRIES)
			add_peers(gossip, item, PLUG_PEER_ENTRY);
		else if (item->kind == PLUG_ITEM_MEMBERS && is_agent(gossip))
			add_peers(gossip, item, PLUG_PEER_SIBLING);
	}
	plug_peerset_trim(peers);
}

/*
 * An entry sends notices to partners, whose connections are open. Agents send
 * them to any sibling, since load reports keep those connections open.
 */
static void
send_notices(struct plug_gossip *gossip, struct plug_item *item)
{
	Plug__Notice notice = PLUG__NOTICE__INIT;
	Plug__KeyVersion version;
	struct plug_peer *peers[NOTICE_PEERS], *last = NULL;
	unsigned int count = 0;

	fill_version(&version, item);
	notice.key = &version;
	for (unsigned int i = 0; is_agent(gossip) && i < NOTICE_PEERS; i++) {
		struct plug_peer *peer = plug_peerset_pick(
		    &gossip->peers, gossip->client, PLUG_PEER_SIBLING);

		if (peer != NULL && peer != last)
			peers[count++] = peer;
		last = peer;
	}
	if (!is_agent(gossip))
		count = plug_partners_sample(&gossip->partners, &gossip->peers,
		    gossip->client, peers, NOTICE_PEERS);
	for (unsigned int i = 0; i < count; i++)
		send_message(gossip, peers[i]->endpoint,
		    PLUG__MESSAGE__BODY_NOTICE, &notice);
}

static void
log_refusal(const struct plug_gossip *gossip, const struct plug_item *item,
    uint64_t version, const char *source, const struct plug_status *status)
{
	enum plug_log_level level = PLUG_LOG_ERROR;
	const char *event = "refused";

	if (status->code == PLUG_E_DUPLICATE)
		return;
	if (status->code == PLUG_E_STALE) {
		event = "stale";
		level = PLUG_LOG_WARN;
	} else if (status->code == PLUG_E_CONFLICT) {
		event = "conflict";
	}
	plug_client_log(gossip->client, level,
	    "event=%s key=%s version=%llu held=%llu source=%s code=%s "
	    "reason=\"%s\"",
	    event, item->key, (unsigned long long)version,
	    (unsigned long long)item->version, source,
	    plug_code_name(status->code), status->message);
}

/**
 * plug_gossip_accept() - validate a value, store it and announce it
 * @gossip: gossip
 * @item: item of the key
 * @version: version
 * @data: value
 * @source: where it came from, for the log
 *
 * Return: as plug_catalog_accept(). A refused value is logged and not
 * announced.
 */
enum plug_code
plug_gossip_accept(struct plug_gossip *gossip, struct plug_item *item,
    uint64_t version, struct plug_str data, const char *source)
{
	uint64_t sequence = gossip->catalog.sequence;
	unsigned int count = gossip->catalog.count;
	struct plug_status status;
	enum plug_code code;

	plug_status_init(&status);
	code =
	    plug_catalog_accept(&gossip->catalog, item, version, data, &status);
	if (code != PLUG_OK)
		log_refusal(gossip, item, version, source, &status);
	if (gossip->catalog.count != count)
		gossip->peers_changed = true;
	if (code != PLUG_OK || gossip->catalog.sequence == sequence)
		return code;
	plug_client_log(gossip->client, PLUG_LOG_INFO,
	    "event=accepted key=%s version=%llu source=%s", item->key,
	    (unsigned long long)version, source);
	if (item->kind == PLUG_ITEM_ENTRIES || is_agent(gossip)) {
		update_peers(gossip);
		gossip->peers_changed = true;
	}
	/* What an inquiry brings is news only to this process. */
	if (!gossip->inquiry.open)
		send_notices(gossip, item);
	return code;
}

/*
 * Keys of a scope that this process can speak for. Only agents of one domain
 * and entries hold the list of entries of that domain, so agents leave it out
 * of the digests that they exchange with each other. Returns false for a
 * service that this process doesn't hold.
 */
static bool
find_scope(const struct plug_gossip *gossip, uint32_t id,
    const Plug__Sender *sender, struct scope *scope)
{
	const struct plug_item *item;

	scope->id = id;
	scope->service = "";
	scope->domain = 0;
	if (is_agent(gossip)) {
		scope->service = gossip->catalog.service;
		if (sender->service == 0)
			scope->domain = gossip->config.domain;
		return id == gossip->config.service;
	}
	if (id == 0)
		return true;
	item = plug_catalog_service(&gossip->catalog, id);
	if (item == NULL)
		return false;
	scope->service = item->name;
	scope->domain = sender->domain;
	return true;
}

static void
handle_digest(struct plug_gossip *gossip, const Plug__Digest *digest,
    const Plug__Sender *sender, struct plug_endpoint from)
{
	struct scope scope;
	uint64_t hash;

	/* An unconfirmed process can't tell which side is behind. */
	if (!find_scope(gossip, digest->scope, sender, &scope) ||
	    gossip->inquiry.open)
		return;
	hash =
	    plug_catalog_digest(&gossip->catalog, scope.service, scope.domain);
	if (digest->hash == hash && !digest->answer)
		send_digest(gossip, from, hash, scope.id, true);
	else if (digest->hash != hash)
		send_some(gossip, from, scope);
}

static void
note_answer(
    struct plug_gossip *gossip, plug_time now, struct plug_endpoint from)
{
	struct plug_inquiry *inquiry = &gossip->inquiry;

	for (unsigned int i = 0; i < inquiry->answered_count; i++) {
		if (plug_endpoint_equal(inquiry->answered[i], from))
			return;
	}
	inquiry->answer = now;
	if (inquiry->answered_count < PLUG_INQUIRY_PEERS)
		inquiry->answered[inquiry->answered_count++] = from;
}

/* Fetches what is newer, and lists in return what is older at the sender. */
static void
compare_versions(struct plug_gossip *gossip, plug_time now,
    const Plug__Versions *versions, struct plug_endpoint from,
    struct scope scope)
{
	struct plug_item *fetch[FETCH_KEYS], *newer[FETCH_KEYS];
	unsigned int fetch_count = 0, newer_count = 0;

	for (size_t i = 0; i < versions->n_keys && i < PLUG_CATALOG_MAX; i++) {
		const Plug__KeyVersion *key = versions->keys[i];
		struct plug_item *item = announce(gossip, now, key, from);

		if (item != NULL) {
			if (fetch_count == FETCH_KEYS) {
				send_fetch(
				    gossip, now, from, fetch, fetch_count);
				fetch_count = 0;
			}
			fetch[fetch_count++] = item;
			continue;
		}
		item = plug_catalog_find(&gossip->catalog, key->key);
		if (item != NULL && item->version > key->version &&
		    newer_count < FETCH_KEYS)
			newer[newer_count++] = item;
	}
	send_fetch(gossip, now, from, fetch, fetch_count);
	if (versions->answer || gossip->inquiry.open)
		return;
	newer_count = list_some(gossip, scope, newer, newer_count);
	send_versions(
	    gossip, from, newer, newer_count, versions->scope, true, 0);
}

static void
handle_versions(struct plug_gossip *gossip, plug_time now,
    const Plug__Versions *versions, const Plug__Sender *sender,
    struct plug_endpoint from)
{
	struct scope scope;

	if (!find_scope(gossip, versions->scope, sender, &scope))
		return;
	if (versions->nonce != 0 && !versions->answer) {
		if (!gossip->inquiry.open)
			send_all(gossip, from, scope, versions->nonce);
		return;
	}
	if (versions->nonce != 0 && versions->nonce != gossip->inquiry.nonce)
		return;
	if (versions->nonce != 0 && gossip->inquiry.open)
		note_answer(gossip, now, from);
	compare_versions(gossip, now, versions, from, scope);
}

static void
handle_fetch(struct plug_gossip *gossip, const Plug__Fetch *fetch,
    struct plug_endpoint from)
{
	for (size_t i = 0; i < fetch->n_keys && i < FETCH_KEYS; i++) {
		const struct plug_key_entry *entry = plug_keystore_find(
		    &gossip->catalog.store, plug_str_from(fetch->keys[i]));
		Plug__Value value = PLUG__VALUE__INIT;

		if (entry == NULL)
			continue;
		if (!spend(gossip, (int64_t)entry->data.len + KEY_BYTES))
			return;
		value.key = fetch->keys[i];
		value.version = entry->version;
		value.data.len = entry->data.len;
		value.data.data = (uint8_t *)entry->data.data;
		send_message(gossip, from, PLUG__MESSAGE__BODY_VALUE, &value);
	}
}

static void
handle_value(
    struct plug_gossip *gossip, plug_time now, const Plug__Value *value)
{
	struct plug_str data = { (const char *)value->data.data,
		value->data.len };
	struct plug_item *item =
	    plug_catalog_add(&gossip->catalog, plug_str_from(value->key));

	if (item == NULL)
		return;
	gossip->inquiry.answer = now;
	/* Answers to repeated fetches may arrive after a newer version. */
	if (value->version >= item->version)
		(void)plug_gossip_accept(
		    gossip, item, value->version, data, "peer");
}

/**
 * plug_gossip_handle() - process a control message
 * @gossip: gossip
 * @now: time
 * @message: message; other kinds than those of gossip are ignored
 */
void
plug_gossip_handle(
    struct plug_gossip *gossip, plug_time now, const Plug__Message *message)
{
	const Plug__Sender *sender = message->sender;
	struct plug_item *item;
	struct plug_endpoint from;
	struct plug_peer *peer;

	if (sender == NULL || sender->port == 0 || sender->port > UINT16_MAX)
		return;
	from =
	    (struct plug_endpoint){ sender->address, (uint16_t)sender->port };
	if (plug_endpoint_equal(from, gossip->config.endpoint))
		return;
	gossip->heard = now;
	peer = plug_peerset_find(&gossip->peers, from);
	if (peer != NULL && peer->unanswered > 0) {
		gossip->peers_changed |= !plug_peer_live(peer, now);
		peer->unanswered = 0;
	}
	switch (message->body_case) {
	case PLUG__MESSAGE__BODY_DIGEST:
		handle_digest(gossip, message->digest, sender, from);
		break;
	case PLUG__MESSAGE__BODY_VERSIONS:
		handle_versions(gossip, now, message->versions, sender, from);
		break;
	case PLUG__MESSAGE__BODY_NOTICE:
		item = message->notice->key == NULL
			   ? NULL
			   : announce(gossip, now, message->notice->key, from);
		if (item != NULL)
			send_fetch(gossip, now, from, &item, 1);
		break;
	case PLUG__MESSAGE__BODY_FETCH:
		handle_fetch(gossip, message->fetch, from);
		break;
	case PLUG__MESSAGE__BODY_VALUE:
		handle_value(gossip, now, message->value);
		break;
	default:
		break;
	}
}

static void
send_digests(struct plug_gossip *gossip, plug_time now)
{
	const char *service = gossip->catalog.service;
	struct plug_peer *peers[DIGEST_PEERS];
	uint64_t hash, sibling_hash;
	unsigned int count;

	if (now < gossip->next_digest || gossip->inquiry.open)
		return;
	gossip->next_digest = now + DIGEST_INTERVAL;
	plug_partners_update(
	    &gossip->partners, &gossip->peers, gossip->client, now);
	count = plug_partners_next(&gossip->partners, &gossip->peers,
	    gossip->client, now, peers, DIGEST_PEERS);
	hash = plug_catalog_digest(
	    &gossip->catalog, service, gossip->config.domain);
	sibling_hash = plug_catalog_digest(&gossip->catalog, service, 0);
	for (unsigned int i = 0; i < count; i++) {
		bool sibling = (peers[i]->kinds & PLUG_PEER_SIBLING) != 0;

		plug_peer_asked(peers[i], now);
		send_digest(gossip, peers[i]->endpoint,
		    sibling ? sibling_hash : hash, gossip->config.service,
		    false);
	}
}

/**
 * plug_gossip_init() - initialize without any value
 * @gossip: gossip
 * @client: handlers and random state
 * @config: copied
 * @now: time
 *
 * Return: PLUG_OK or PLUG_E_MEMORY; finish it in either case.
 */
enum plug_code
plug_gossip_init(struct plug_gossip *gossip, struct plug_client *client,
    const struct plug_node_config *config, plug_time now)
{
	memset(gossip, 0, sizeof(*gossip));
	gossip->client = client;
	gossip->config = *config;
	gossip->heard = PLUG_NEVER;
	gossip->next_digest =
	    now + plug_client_random(client, (uint32_t)DIGEST_INTERVAL);
	gossip->budget = SEND_BUDGET;
	plug_peerset_init(&gossip->peers, config->endpoint);
	plug_partners_init(
	    &gossip->partners, client, is_agent(gossip), config->domain, now);
	for (unsigned int i = 0; i < config->seed_count; i++)
		plug_peerset_add(
		    &gossip->peers, config->seeds[i], PLUG_PEER_SEED, 0);
	/* The strings of the caller are not kept. */
	gossip->config.seeds = NULL;
	gossip->config.seed_count = 0;
	gossip->config.service_name = PLUG_STR("");
	gossip->config.domain_name = PLUG_STR("");
	return plug_catalog_init(
	    &gossip->catalog, config->service_name, config->domain_name);
}

/**
 * plug_gossip_finish() - free values and peers
 * @gossip: gossip
 */
void
plug_gossip_finish(struct plug_gossip *gossip)
{
	plug_catalog_finish(&gossip->catalog);
	plug_peerset_finish(&gossip->peers);
}

/**
 * plug_gossip_tick() - repeat fetches and send digests
 * @gossip: gossip
 * @now: time
 */
void
plug_gossip_tick(struct plug_gossip *gossip, plug_time now)
{
	gossip->budget = SEND_BUDGET;
	repeat_fetches(gossip, now);
	send_digests(gossip, now);
}

/**
 * plug_gossip_inquire() - ask peers of different domains for all versions
 * @gossip: gossip
 * @now: time
 *
 * Also repeats the open inquiry at other peers. The time to the next repetition
 * grows and is random, since many processes may start at once.
 */
void
plug_gossip_inquire(struct plug_gossip *gossip, plug_time now)
{
	struct plug_peer *picked[PLUG_INQUIRY_PEERS];
	unsigned int count = plug_peerset_spread(
	    &gossip->peers, gossip->client, picked, PLUG_INQUIRY_PEERS);
	plug_time *pause = &gossip->inquiry.pause;

	*pause = *pause == 0 ? INQUIRY_REPEAT : 2 * *pause;
	if (*pause > INQUIRY_REPEAT_MAX)
		*pause = INQUIRY_REPEAT_MAX;
	gossip->inquiry.repeat_at =
	    now + *pause +
	    plug_client_random(gossip->client, (uint32_t)(*pause / 2));
	for (unsigned int i = 0; i < count; i++)
		send_versions(gossip, picked[i]->endpoint, NULL, 0,
		    gossip->config.service, false, gossip->inquiry.nonce);
}
