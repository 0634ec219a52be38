#ifndef PLUG_KEYSTORE_H
#define PLUG_KEYSTORE_H

#include <stdint.h>

#include "status.h"
#include "str.h"

/**
 * struct plug_key_entry - one accepted value
 * @key: key
 * @version: modify index of the configuration service
 * @hash: XXH64 of @data
 * @data: value
 */
struct plug_key_entry {
	struct plug_str key;
	uint64_t version;
	uint64_t hash;
	struct plug_str data;
};

/**
 * struct plug_keystore - values whose versions only go forward
 * @count: length of @entries
 * @capacity: room in @entries
 * @entries: entries ordered by key; key and data are owned by the store
 */
struct plug_keystore {
	unsigned int count;
	unsigned int capacity;
	struct plug_key_entry *entries;
};

void plug_keystore_init(struct plug_keystore *store);
void plug_keystore_finish(struct plug_keystore *store);
const struct plug_key_entry *
plug_keystore_find(const struct plug_keystore *store, struct plug_str key);
enum plug_code
plug_keystore_put(struct plug_keystore *store, struct plug_str key,
    uint64_t version, struct plug_str data, struct plug_status *status);
uint64_t
plug_keystore_digest(const struct plug_keystore *store, struct plug_str scope);

#endif
