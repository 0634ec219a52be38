#ifndef PLUG_TALLY_H
#define PLUG_TALLY_H

#include "str.h"

#define PLUG_TALLY_KEY_SIZE 256 /* bytes of a key, with NUL; longer are cut */

/**
 * struct plug_tally_entry - two sums under one key
 * @key: NUL-terminated
 * @count: first sum
 * @amount: second sum
 */
struct plug_tally_entry {
	char key[PLUG_TALLY_KEY_SIZE];
	uint64_t count;
	uint64_t amount;
};

/**
 * struct plug_tally - sums by key, ordered by key
 * @entries: @used of them
 * @used: entries in use
 * @size: entries allocated
 */
struct plug_tally {
	struct plug_tally_entry *entries;
	size_t used;
	size_t size;
};

void plug_tally_init(struct plug_tally *tally);
void plug_tally_finish(struct plug_tally *tally);
bool plug_tally_add(
    struct plug_tally *tally, const char *key, uint64_t count, uint64_t amount);
uint64_t plug_tally_count(const struct plug_tally *tally, const char *key);

#endif
