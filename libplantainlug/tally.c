#include <stdlib.h>
#include <string.h>

#include "tally.h"

#define FIRST_SIZE 64 /* entries */

/**
 * plug_tally_init() - prepare an empty tally
 * @tally: tally to fill
 */
void
plug_tally_init(struct plug_tally *tally)
{
	memset(tally, 0, sizeof(*tally));
}

/**
 * plug_tally_finish() - free what a tally holds
 * @tally: tally
 */
void
plug_tally_finish(struct plug_tally *tally)
{
	free(tally->entries);
}

/* Place of a key, or the place where it belongs. */
static size_t
find(const struct plug_tally *tally, const char *key, bool *found)
{
	size_t low = 0, high = tally->used;

	*found = false;
	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(tally->entries[middle].key, key);

		if (order == 0)
			*found = true;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool
grow(struct plug_tally *tally)
{
	size_t size = tally->size == 0 ? FIRST_SIZE : tally->size * 2;
	struct plug_tally_entry *entries;

	if (tally->used < tally->size)
		return true;
	entries = realloc(tally->entries, size * sizeof(*entries));
	if (entries == NULL)
		return false;
	tally->entries = entries;
	tally->size = size;
	return true;
}

/**
 * plug_tally_add() - add to the sums of a key
 * @tally: tally
 * @key: key
 * @count: added to the first sum
 * @amount: added to the second sum
 *
 * Return: false when memory ran out.
 */
bool
plug_tally_add(
    struct plug_tally *tally, const char *key, uint64_t count, uint64_t amount)
{
	char cut[PLUG_TALLY_KEY_SIZE];
	bool found;
	size_t at;

	(void)plug_str_copy(plug_str_from(key), cut, sizeof(cut));
	at = find(tally, cut, &found);
	if (!found) {
		if (!grow(tally))
			return false;
		memmove(&tally->entries[at + 1], &tally->entries[at],
		    (tally->used - at) * sizeof(*tally->entries));
		tally->used++;
		memset(&tally->entries[at], 0, sizeof(*tally->entries));
		memcpy(tally->entries[at].key, cut, sizeof(cut));
	}
	tally->entries[at].count += count;
	tally->entries[at].amount += amount;
	return true;
}

/**
 * plug_tally_count() - first sum of a key
 * @tally: tally
 * @key: key
 */
uint64_t
plug_tally_count(const struct plug_tally *tally, const char *key)
{
	bool found;
	size_t at = find(tally, key, &found);

	return found ? tally->entries[at].count : 0;
}
