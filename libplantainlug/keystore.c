#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "keystore.h"

#define INITIAL_CAPACITY 8 /* entries */

/**
 * plug_keystore_init() - initialize an empty store
 * @store: store
 */
void
plug_keystore_init(struct plug_keystore *store)
{
	memset(store, 0, sizeof(*store));
}

/**
 * plug_keystore_finish() - free keys and values
 * @store: store
 */
void
plug_keystore_finish(struct plug_keystore *store)
{
	for (unsigned int i = 0; i < store->count; i++) {
		free((char *)store->entries[i].key.data);
		free((char *)store->entries[i].data.data);
	}
	free(store->entries);
	plug_keystore_init(store);
}

static int
compare_key(struct plug_str a, struct plug_str b)
{
	size_t n = a.len < b.len ? a.len : b.len;
	int order = n == 0 ? 0 : memcmp(a.data, b.data, n);

	if (order != 0 || a.len == b.len)
		return order;
	return a.len < b.len ? -1 : 1;
}

/* First entry that is not ordered before the key. */
static unsigned int
lower_bound(const struct plug_keystore *store, struct plug_str key)
{
	unsigned int low = 0, high = store->count;

	while (low < high) {
		unsigned int middle = low + (high - low) / 2;

		if (compare_key(store->entries[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

/**
 * plug_keystore_find() - look up a key
 * @store: store
 * @key: key
 *
 * Return: the entry, valid until the next put, or NULL.
 */
const struct plug_key_entry *
plug_keystore_find(const struct plug_keystore *store, struct plug_str key)
{
	unsigned int at = lower_bound(store, key);

	if (at == store->count || !plug_str_equal(store->entries[at].key, key))
		return NULL;
	return &store->entries[at];
}

static char *
copy_bytes(struct plug_str s)
{
	char *copy = malloc(s.len + 1);

	if (copy != NULL)
		(void)plug_str_copy(s, copy, s.len + 1);
	return copy;
}

static struct plug_key_entry *
insert_entry(struct plug_keystore *store, unsigned int at, struct plug_str key)
{
	char *name = copy_bytes(key);

	if (name == NULL)
		return NULL;
	if (store->count == store->capacity) {
		unsigned int capacity = store->capacity == 0
					    ? INITIAL_CAPACITY
					    : store->capacity * 2;
		struct plug_key_entry *entries =
		    realloc(store->entries, capacity * sizeof(*entries));

		if (entries == NULL) {
			free(name);
			return NULL;
		}
		store->entries = entries;
		store->capacity = capacity;
	}
	memmove(&store->entries[at + 1], &store->entries[at],
	    (store->count - at) * sizeof(store->entries[0]));
	store->count++;
	memset(&store->entries[at], 0, sizeof(store->entries[at]));
	store->entries[at].key = (struct plug_str){ name, key.len };
	return &store->entries[at];
}

/**
 * plug_keystore_put() - replace a value with a newer version
 * @store: store
 * @key: key
 * @version: modify index, from 1
 * @data: value; copied
 * @status: receives the reason of a refusal, or NULL
 *
 * Return: PLUG_OK when stored or already held; PLUG_E_STALE for a version
 * below the one that is held; PLUG_E_CONFLICT for the same version with other
 * bytes; PLUG_E_RANGE for version 0; PLUG_E_MEMORY.
 */
enum plug_code
plug_keystore_put(struct plug_keystore *store, struct plug_str key,
    uint64_t version, struct plug_str data, struct plug_status *status)
{
	unsigned int at = lower_bound(store, key);
	uint64_t hash = plug_str_hash(data);
	struct plug_key_entry *entry = NULL;
	char *copy;

	if (version == 0)
		return plug_status_set(
		    status, PLUG_E_RANGE, "versions start at 1");
	if (at < store->count && plug_str_equal(store->entries[at].key, key))
		entry = &store->entries[at];
	if (entry != NULL && version < entry->version)
		return plug_status_set(status, PLUG_E_STALE,
		    "version %llu is older than %llu",
		    (unsigned long long)version,
		    (unsigned long long)entry->version);
	if (entry != NULL && version == entry->version) {
		if (hash == entry->hash)
			return PLUG_OK;
		return plug_status_set(status, PLUG_E_CONFLICT,
		    "version %llu has two contents",
		    (unsigned long long)version);
	}
	copy = copy_bytes(data);
	if (copy != NULL && entry == NULL)
		entry = insert_entry(store, at, key);
	if (copy == NULL || entry == NULL) {
		free(copy);
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	}
	free((char *)entry->data.data);
	entry->data = (struct plug_str){ copy, data.len };
	entry->version = version;
	entry->hash = hash;
	return PLUG_OK;
}

/* Keys "KIND/NAME" belong to the scope NAME, which may hold a slash itself. */
static bool
in_scope(struct plug_str key, struct plug_str scope)
{
	if (scope.len == 0)
		return true;
	return key.len > scope.len &&
	       memchr(key.data, '/', key.len) ==
		   &key.data[key.len - scope.len - 1] &&
	       memcmp(&key.data[key.len - scope.len], scope.data, scope.len) ==
		   0;
}

/**
 * plug_keystore_digest() - one hash over keys and versions
 * @store: store
 * @scope: name of a service, or entries/DOMAIN, for its keys only; empty for
 *         all keys
 *
 * Contents are left out: two contents of one version are a conflict that
 * exchanging versions can't settle.
 */
uint64_t
plug_keystore_digest(const struct plug_keystore *store, struct plug_str scope)
{
	uint64_t digest = 0;

	for (unsigned int i = 0; i < store->count; i++) {
		const struct plug_key_entry *entry = &store->entries[i];
		uint64_t item[2];

		/* Most keys of an entry are outside the scope of an agent. */
		if (!in_scope(entry->key, scope))
			continue;
		item[0] = plug_str_hash(entry->key);
		item[1] = entry->version;
		digest = XXH64(item, sizeof(item), digest);
	}
	return digest;
}
