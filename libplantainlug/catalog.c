#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "catalog.h"
#include "jsonread.h"

/* Names as they appear after the prefix of a key. */
#define ENTRIES_NAME "entries" /* never a service: its key is a prefix */
#define LISTING_NAME "?keys"

/**
 * plug_catalog_find() - look up a key
 * @catalog: catalog
 * @key: key
 *
 * Return: the item, or NULL.
 */
struct plug_item *
plug_catalog_find(const struct plug_catalog *catalog, const char *key)
{
	unsigned int low = 0, high = catalog->count;

	while (low < high) {
		unsigned int middle = low + (high - low) / 2;
		int order = strcmp(catalog->items[middle]->key, key);

		if (order == 0)
			return catalog->items[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

/* Splits a key. Returns false for a key that this process doesn't hold. */
static bool
classify(const struct plug_catalog *catalog, struct plug_item *item)
{
	const bool agent = catalog->service[0] != '\0';
	const char *prefix = PLUG_PREFIX_MEMBERS;

	item->kind = PLUG_ITEM_MEMBERS;
	if (strcmp(item->key, PLUG_KEY_LISTING) == 0) {
		item->kind = PLUG_ITEM_LISTING;
		return !agent;
	}
	if (strcmp(item->key, PLUG_KEY_DOMAINS) == 0) {
		item->kind = PLUG_ITEM_DOMAINS;
		return !agent;
	}
	if (strncmp(item->key, PLUG_PREFIX_SERVICE,
		strlen(PLUG_PREFIX_SERVICE)) == 0) {
		prefix = PLUG_PREFIX_SERVICE;
		item->kind = PLUG_ITEM_DOCUMENT;
	} else if (strncmp(item->key, PLUG_PREFIX_ENTRIES,
		       strlen(PLUG_PREFIX_ENTRIES)) == 0) {
		prefix = PLUG_PREFIX_ENTRIES;
		item->kind = PLUG_ITEM_ENTRIES;
	} else if (strncmp(item->key, prefix, strlen(prefix)) != 0) {
		return false;
	}
	item->name = item->key + strlen(prefix);
	if (!plug_name_valid(plug_str_from(item->name)))
		return false;
	if (item->kind == PLUG_ITEM_ENTRIES) {
		item->domain = plug_domain_hash(plug_str_from(item->name));
		return !agent || strcmp(item->name, catalog->domain) == 0;
	}
	return strcmp(item->name, ENTRIES_NAME) != 0 &&
	       (!agent || strcmp(item->name, catalog->service) == 0);
}

/**
 * plug_catalog_add() - find or create the item of a key
 * @catalog: catalog
 * @key: key
 *
 * Return: the item; NULL for a key that this process doesn't hold, when the
 * catalog is full, or when memory ran out.
 */
struct plug_item *
plug_catalog_add(struct plug_catalog *catalog, struct plug_str key)
{
	struct plug_item *item, **items;
	unsigned int at;
	char text[PLUG_KEY_SIZE];

	if (key.len >= sizeof(text))
		return NULL;
	(void)plug_str_copy(key, text, sizeof(text));
	item = plug_catalog_find(catalog, text);
	if (item != NULL)
		return item;
	if (catalog->count == PLUG_CATALOG_MAX)
		return NULL;
	item = calloc(1, sizeof(*item));
	if (item == NULL)
		return NULL;
	memcpy(item->key, text, sizeof(text));
	if (!classify(catalog, item)) {
		free(item);
		return NULL;
	}
	items = realloc(
	    catalog->items, (catalog->count + 1) * sizeof(struct plug_item *));
	if (items == NULL) {
		free(item);
		return NULL;
	}
	catalog->items = items;
	for (at = catalog->count;
	     at > 0 && strcmp(items[at - 1]->key, item->key) > 0; at--)
		items[at] = items[at - 1];
	items[at] = item;
	catalog->count++;
	return item;
}

static struct plug_item *
add_named(struct plug_catalog *catalog, const char *prefix, const char *name)
{
	char key[PLUG_KEY_SIZE];
	int n = snprintf(key, sizeof(key), "%s%s", prefix, name);

	if (n < 0 || (size_t)n >= sizeof(key))
		return NULL;
	return plug_catalog_add(catalog, plug_str_from(key));
}

/**
 * plug_catalog_init() - initialize with the keys that every process reads
 * @catalog: catalog
 * @service: service name of an agent; empty for an entry
 * @domain: name of the own failure domain
 *
 * Return: PLUG_OK or PLUG_E_MEMORY.
 */
enum plug_code
plug_catalog_init(struct plug_catalog *catalog, struct plug_str service,
    struct plug_str domain)
{
	bool ok;

	memset(catalog, 0, sizeof(*catalog));
	plug_keystore_init(&catalog->store);
	(void)plug_str_copy(
	    service, catalog->service, sizeof(catalog->service));
	(void)plug_str_copy(domain, catalog->domain, sizeof(catalog->domain));
	if (service.len == 0)
		ok = add_named(catalog, PLUG_PREFIX_ENTRIES, LISTING_NAME) !=
			 NULL &&
		     add_named(catalog, PLUG_PREFIX_SERVICE, LISTING_NAME) !=
			 NULL;
	else
		ok = add_named(catalog, PLUG_PREFIX_ENTRIES, catalog->domain) !=
			 NULL &&
		     add_named(catalog, PLUG_PREFIX_SERVICE,
			 catalog->service) != NULL &&
		     add_named(catalog, PLUG_PREFIX_MEMBERS,
			 catalog->service) != NULL;
	return ok ? PLUG_OK : PLUG_E_MEMORY;
}

/**
 * plug_catalog_finish() - free all items and values
 * @catalog: catalog
 */
void
plug_catalog_finish(struct plug_catalog *catalog)
{
	for (unsigned int i = 0; i < catalog->count; i++) {
		free(catalog->items[i]->document);
		free(catalog->items[i]->members);
		free(catalog->items[i]);
	}
	free(catalog->items);
	plug_keystore_finish(&catalog->store);
}

/* Name of one listed key; NULL for the prefix itself or another key. */
static const char *
listed_name(struct json_object *value, const char *prefix)
{
	const size_t len = strlen(prefix);
	const char *key = json_object_get_string(value);

	if (!json_object_is_type(value, json_type_string) ||
	    strncmp(key, prefix, len) != 0 ||
	    !plug_name_valid(plug_str_from(key + len)))
		return NULL;
	return key + len;
}

/*
 * Adds the items of every listed service or domain. One that is no longer
 * listed stays in force, since a listing can be incomplete; its instance list
 * shows when its processes are gone.
 */
static enum plug_code
read_listing(struct plug_catalog *catalog, const char *prefix,
    struct plug_str data, struct plug_status *status)
{
	const bool services = strcmp(prefix, PLUG_PREFIX_SERVICE) == 0;
	unsigned int count = 0;
	struct plug_json json;
	enum plug_code code;

	code = plug_json_open(&json, data, PLUG_DOCUMENT_SIZE_MAX, status);
	if (code != PLUG_OK)
		return code;
	if (!json_object_is_type(json.root, json_type_array))
		code = plug_json_fail(&json, PLUG_E_TYPE, "must be an array");
	for (size_t i = 0;
	     code == PLUG_OK && i < json_object_array_length(json.root); i++) {
		const char *name = listed_name(
		    json_object_array_get_idx(json.root, i), prefix);

		if (name == NULL)
			continue;
		count++;
		if (add_named(catalog, prefix, name) == NULL ||
		    (services &&
			add_named(catalog, PLUG_PREFIX_MEMBERS, name) == NULL))
			code = plug_json_fail(&json, PLUG_E_RANGE,
			    "key \"%s%s\" can't be added", prefix, name);
	}
	if (code == PLUG_OK && count == 0)
		code = plug_json_fail(
		    &json, PLUG_E_RANGE, "no key below \"%s\"", prefix);
	plug_json_close(&json);
	return code;
}

static enum plug_code
read_document(struct plug_catalog *catalog, struct plug_item *item,
    struct plug_str data, struct plug_status *status)
{
	struct plug_document *document = malloc(sizeof(*document));
	enum plug_code code;

	if (document == NULL)
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	code = plug_document_parse(data, document, status);
	if (code == PLUG_OK && strcmp(document->name, item->name) != 0)
		code = plug_status_set(status, PLUG_E_SERVICE,
		    "the document belongs to service \"%s\"", document->name);
	if (code != PLUG_OK) {
		free(document);
		return code;
	}
	free(item->document);
	item->document = document;
	(void)add_named(catalog, PLUG_PREFIX_MEMBERS, item->name);
	return PLUG_OK;
}

/* An agent holds the list of its own domain only, so an entry in a wrong list
 * would be unknown to the agents of its domain. */
static enum plug_code
check_domains(const struct plug_item *item, const struct plug_member *members,
    unsigned int count, struct plug_status *status)
{
	for (unsigned int i = 0; i < count; i++) {
		if (members[i].domain != item->domain)
			return plug_status_set(status, PLUG_E_RANGE,
			    "entry \"%s\" is in another domain than \"%s\"",
			    members[i].name, item->name);
	}
	return PLUG_OK;
}

static enum plug_code
read_members(
    struct plug_item *item, struct plug_str data, struct plug_status *status)
{
	struct plug_member *members;
	unsigned int count;
	enum plug_code code =
	    plug_members_parse(data, &members, &count, status);

	if (code == PLUG_OK && item->kind == PLUG_ITEM_ENTRIES) {
		code = check_domains(item, members, count, status);
		if (code != PLUG_OK)
			free(members);
	}
	if (code != PLUG_OK)
		return code;
	free(item->members);
	item->members = members;
	item->member_count = count;
	return PLUG_OK;
}

static enum plug_code
read_value(struct plug_catalog *catalog, struct plug_item *item,
    struct plug_str data, struct plug_status *status)
{
	switch (item->kind) {
	case PLUG_ITEM_LISTING:
		return read_listing(catalog, PLUG_PREFIX_SERVICE, data, status);
	case PLUG_ITEM_DOMAINS:
		return read_listing(catalog, PLUG_PREFIX_ENTRIES, data, status);
	case PLUG_ITEM_DOCUMENT:
		return read_document(catalog, item, data, status);
	case PLUG_ITEM_ENTRIES:
	case PLUG_ITEM_MEMBERS:
		return read_members(item, data, status);
	}
	return PLUG_E_TYPE;
}

/* A service is in the view when both its document and its instance list are
 * held: without the list, every owner would appear to be gone. */
static const struct plug_item *
complete_service(
    const struct plug_catalog *catalog, const struct plug_item *document)
{
	char key[PLUG_KEY_SIZE];
	const struct plug_item *members;

	if (document->kind != PLUG_ITEM_DOCUMENT || document->version == 0)
		return NULL;
	(void)snprintf(
	    key, sizeof(key), PLUG_PREFIX_MEMBERS "%s", document->name);
	members = plug_catalog_find(catalog, key);
	return members != NULL && members->version > 0 ? members : NULL;
}

static bool
in_view(const struct plug_catalog *catalog, const struct plug_item *item)
{
	char key[PLUG_KEY_SIZE];
	const struct plug_item *document = item;

	if (item->kind == PLUG_ITEM_ENTRIES)
		return true;
	if (item->kind == PLUG_ITEM_MEMBERS) {
		(void)snprintf(
		    key, sizeof(key), PLUG_PREFIX_SERVICE "%s", item->name);
		document = plug_catalog_find(catalog, key);
	}
	return document != NULL && complete_service(catalog, document) != NULL;
}

/**
 * plug_catalog_accept() - validate a value and store it when it is newer
 * @catalog: catalog
 * @item: item of the key
 * @version: version
 * @data: value
 * @status: receives the reason of a refusal, or NULL
 *
 * Return: PLUG_OK when the version is held now; @catalog->sequence tells
 * whether it was new. PLUG_E_STALE, PLUG_E_CONFLICT and the codes of the
 * parsers leave the value in force. PLUG_E_DUPLICATE: this version has been
 * refused before.
 */
enum plug_code
plug_catalog_accept(struct plug_catalog *catalog, struct plug_item *item,
    uint64_t version, struct plug_str data, struct plug_status *status)
{
	struct plug_str key = plug_str_from(item->key);
	enum plug_code code;

	if (version <= item->version)
		return plug_keystore_put(
		    &catalog->store, key, version, data, status);
	if (version == item->refused)
		return plug_status_set(status, PLUG_E_DUPLICATE,
		    "this version has been refused before");
	code = read_value(catalog, item, data, status);
	if (code == PLUG_OK)
		code = plug_keystore_put(
		    &catalog->store, key, version, data, status);
	if (code == PLUG_E_MEMORY)
		return code;
	if (code != PLUG_OK) {
		item->refused = version;
		return code;
	}
	item->version = version;
	item->hash = plug_str_hash(data);
	item->sequence = ++catalog->sequence;
	if (item->kind != PLUG_ITEM_LISTING &&
	    item->kind != PLUG_ITEM_DOMAINS && in_view(catalog, item))
		catalog->view_sequence++;
	return PLUG_OK;
}

/**
 * plug_catalog_service() - find a document by service id
 * @catalog: catalog
 * @service: service id
 *
 * Return: the item of the document, or NULL.
 */
const struct plug_item *
plug_catalog_service(const struct plug_catalog *catalog, uint32_t service)
{
	for (unsigned int i = 0; i < catalog->count; i++) {
		const struct plug_item *item = catalog->items[i];

		if (item->document != NULL &&
		    item->document->service == service)
			return item;
	}
	return NULL;
}

/**
 * plug_catalog_entry_count() - members in all lists of entries that are held
 * @catalog: catalog
 */
unsigned int
plug_catalog_entry_count(const struct plug_catalog *catalog)
{
	unsigned int count = 0;

	for (unsigned int i = 0; i < catalog->count; i++) {
		if (catalog->items[i]->kind == PLUG_ITEM_ENTRIES)
			count += catalog->items[i]->member_count;
	}
	return count;
}

/**
 * plug_item_in_scope() - whether a process holds a key
 * @item: item
 * @service: service name of an agent; empty for an entry, which holds every
 *           key
 * @domain: hash of the agent's domain
 */
bool
plug_item_in_scope(
    const struct plug_item *item, const char *service, uint32_t domain)
{
	if (service[0] == '\0')
		return true;
	switch (item->kind) {
	case PLUG_ITEM_LISTING:
	case PLUG_ITEM_DOMAINS:
		return false;
	case PLUG_ITEM_ENTRIES:
		return item->domain == domain;
	case PLUG_ITEM_DOCUMENT:
	case PLUG_ITEM_MEMBERS:
		break;
	}
	return strcmp(item->name, service) == 0;
}

/**
 * plug_catalog_digest() - one hash over the keys and versions in a scope
 * @catalog: catalog
 * @service: service name; empty for all keys
 * @domain: hash of the domain whose list of entries is in the scope; 0 for none
 */
uint64_t
plug_catalog_digest(
    const struct plug_catalog *catalog, const char *service, uint32_t domain)
{
	uint64_t digest = plug_keystore_digest(
		     &catalog->store, plug_str_from(service)),
		 entries = 0;

	if (service[0] == '\0')
		return digest;
	for (unsigned int i = 0; domain != 0 && i < catalog->count; i++) {
		const struct plug_item *item = catalog->items[i];

		if (item->kind == PLUG_ITEM_ENTRIES && item->domain == domain)
			entries = plug_keystore_digest(&catalog->store,
			    plug_str_from(
				item->key + strlen(PLUG_PREFIX_MEMBERS)));
	}
	return digest ^ (entries << 1 | entries >> 63);
}

static struct plug_member *
copy_members(const struct plug_item *item)
{
	struct plug_member *copy =
	    malloc((item->member_count + 1) * sizeof(*copy));

	if (copy != NULL && item->member_count > 0)
		memcpy(copy, item->members, item->member_count * sizeof(*copy));
	return copy;
}

static void
copy_entries(const struct plug_catalog *catalog, struct plug_view *view)
{
	struct plug_member *target = view->entries;

	for (unsigned int i = 0; i < catalog->count; i++) {
		const struct plug_item *item = catalog->items[i];

		if (item->kind != PLUG_ITEM_ENTRIES || item->member_count == 0)
			continue;
		memcpy(target, item->members,
		    item->member_count * sizeof(*target));
		target += item->member_count;
	}
}

static int
compare_service(const void *a, const void *b)
{
	const struct plug_service *first = a, *second = b;

	if (first->document.service != second->document.service)
		return first->document.service < second->document.service ? -1
									  : 1;
	return strcmp(first->document.name, second->document.name);
}

/* Two documents may claim one id; every process keeps the first name. */
static void
drop_repeated_ids(struct plug_view *view)
{
	unsigned int kept = 0;

	for (unsigned int i = 0; i < view->service_count; i++) {
		if (kept > 0 && view->services[kept - 1].document.service ==
				    view->services[i].document.service) {
			free(view->services[i].members);
			continue;
		}
		if (kept != i)
			view->services[kept] = view->services[i];
		kept++;
	}
	view->service_count = kept;
}

/**
 * plug_catalog_view() - snapshot for the traffic threads
 * @catalog: catalog
 *
 * Return: a view with one reference, or NULL when memory ran out.
 */
struct plug_view *
plug_catalog_view(const struct plug_catalog *catalog)
{
	struct plug_view *view =
	    plug_view_create(catalog->count, plug_catalog_entry_count(catalog));
	unsigned int count = 0;

	if (view == NULL)
		return NULL;
	copy_entries(catalog, view);
	for (unsigned int i = 0; i < catalog->count; i++) {
		const struct plug_item *item = catalog->items[i];
		const struct plug_item *members =
		    complete_service(catalog, item);
		struct plug_service *service = &view->services[count];

		if (members == NULL)
			continue;
		service->members = copy_members(members);
		if (service->members == NULL) {
			plug_view_release(view);
			return NULL;
		}
		service->document = *item->document;
		service->document_version = item->version;
		service->member_version = members->version;
		service->member_count = members->member_count;
		count++;
	}
	view->service_count = count;
	qsort(view->services, count, sizeof(*view->services), compare_service);
	drop_repeated_ids(view);
	return view;
}
