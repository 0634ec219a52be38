#ifndef PLUG_CATALOG_H
#define PLUG_CATALOG_H

#include "keystore.h"
#include "view.h"

#define PLUG_KEY_SIZE	    96	 /* bytes of a key, with the NUL */
#define PLUG_CATALOG_MAX    4096 /* keys that one process holds */
#define PLUG_KEY_LISTING    "service/?keys"
#define PLUG_KEY_DOMAINS    "instances/entries/?keys"
#define PLUG_PREFIX_SERVICE "service/"
#define PLUG_PREFIX_MEMBERS "instances/"
#define PLUG_PREFIX_ENTRIES "instances/entries/"

enum plug_item_kind {
	PLUG_ITEM_LISTING,  /* names of the service keys */
	PLUG_ITEM_DOMAINS,  /* names of the lists of entries */
	PLUG_ITEM_ENTRIES,  /* instance list of the entries of a domain */
	PLUG_ITEM_DOCUMENT, /* service document */
	PLUG_ITEM_MEMBERS,  /* instance list of a service */
};

/**
 * struct plug_item - a key, what is held of it and what is known of it
 * @kind: kind of value
 * @key: key
 * @name: name of the service or domain, the part of @key after the prefix
 * @domain: hash of the domain's name for a list of entries, else 0
 * @version: version held, 0 for none
 * @hash: hash of the value held
 * @sequence: order of acceptance in this process
 * @refused: last version whose value was not valid, 0 for none
 * @document: parsed document, NULL for other kinds
 * @member_count: length of @members
 * @members: parsed instance list, NULL for other kinds
 * @wanted: newest version that a peer has announced
 * @source: peer that announced it
 * @fetch_at: when to fetch it again
 * @fetches: fetches sent for @wanted
 * @watched: a blocking query for the key is running
 * @unread: the query started from index 0 and has not been answered
 * @failed: its last answer was a failure
 */
struct plug_item {
	enum plug_item_kind kind;
	char key[PLUG_KEY_SIZE];
	const char *name;
	uint32_t domain;
	uint64_t version;
	uint64_t hash;
	uint64_t sequence;
	uint64_t refused;
	struct plug_document *document;
	unsigned int member_count;
	struct plug_member *members;
	uint64_t wanted;
	struct plug_endpoint source;
	plug_time fetch_at;
	unsigned int fetches;
	bool watched;
	bool unread;
	bool failed;
};

/**
 * struct plug_catalog - validated values of all keys of a process
 * @service: service name of an agent; empty for an entry, which holds all
 * @domain: name of an agent's failure domain, whose entries it holds
 * @store: accepted bytes
 * @count: length of @items
 * @items: items ordered by key
 * @sequence: values accepted so far
 * @view_sequence: accepted values so far that changed the view
 */
struct plug_catalog {
	char service[PLUG_NAME_SIZE];
	char domain[PLUG_NAME_SIZE];
	struct plug_keystore store;
	unsigned int count;
	struct plug_item **items;
	uint64_t sequence;
	uint64_t view_sequence;
};

enum plug_code plug_catalog_init(struct plug_catalog *catalog,
    struct plug_str service, struct plug_str domain);
void plug_catalog_finish(struct plug_catalog *catalog);
struct plug_item *
plug_catalog_find(const struct plug_catalog *catalog, const char *key);
struct plug_item *
plug_catalog_add(struct plug_catalog *catalog, struct plug_str key);
enum plug_code
plug_catalog_accept(struct plug_catalog *catalog, struct plug_item *item,
    uint64_t version, struct plug_str data, struct plug_status *status);
const struct plug_item *
plug_catalog_service(const struct plug_catalog *catalog, uint32_t service);
unsigned int plug_catalog_entry_count(const struct plug_catalog *catalog);
bool plug_item_in_scope(
    const struct plug_item *item, const char *service, uint32_t domain);
uint64_t plug_catalog_digest(
    const struct plug_catalog *catalog, const char *service, uint32_t domain);
struct plug_view *plug_catalog_view(const struct plug_catalog *catalog);

#endif
