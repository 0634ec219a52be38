#include <stdlib.h>

#include "queue.h"

#define INITIAL_CAPACITY 64 /* entries */

/**
 * plug_queue_init() - prepare an empty queue
 * @queue: queue to fill
 */
void
plug_queue_init(struct plug_queue *queue)
{
	*queue = (struct plug_queue){ 0 };
}

/**
 * plug_queue_finish() - free the heap; the entries belong to the caller
 * @queue: queue
 */
void
plug_queue_finish(struct plug_queue *queue)
{
	free(queue->entries);
	plug_queue_init(queue);
}

static bool
before(const struct plug_queue_entry *a, const struct plug_queue_entry *b)
{
	return a->key < b->key ||
	       (a->key == b->key && a->sequence < b->sequence);
}

/* Heap positions are counted from 1, so 0 marks an entry outside. */
static void
put(struct plug_queue *queue, unsigned int at, struct plug_queue_entry *entry)
{
	queue->entries[at - 1] = entry;
	entry->heap_index = at;
}

static void
sift_up(
    struct plug_queue *queue, unsigned int at, struct plug_queue_entry *entry)
{
	while (at > 1 && before(entry, queue->entries[at / 2 - 1])) {
		put(queue, at, queue->entries[at / 2 - 1]);
		at /= 2;
	}
	put(queue, at, entry);
}

static void
sift_down(
    struct plug_queue *queue, unsigned int at, struct plug_queue_entry *entry)
{
	while (at * 2 <= queue->count) {
		unsigned int child = at * 2;

		if (child < queue->count &&
		    before(queue->entries[child], queue->entries[child - 1]))
			child++;
		if (!before(queue->entries[child - 1], entry))
			break;
		put(queue, at, queue->entries[child - 1]);
		at = child;
	}
	put(queue, at, entry);
}

/**
 * plug_queue_push() - add an entry
 * @queue: queue
 * @entry: entry that is in no queue
 * @key: time that orders it
 *
 * Return: PLUG_OK or PLUG_E_MEMORY.
 */
enum plug_code
plug_queue_push(
    struct plug_queue *queue, struct plug_queue_entry *entry, plug_time key)
{
	if (queue->count == queue->capacity) {
		unsigned int capacity = queue->capacity == 0
					    ? INITIAL_CAPACITY
					    : queue->capacity * 2;
		struct plug_queue_entry **entries = reallocarray(queue->entries,
		    capacity, sizeof(struct plug_queue_entry *));

		if (entries == NULL)
			return PLUG_E_MEMORY;
		queue->entries = entries;
		queue->capacity = capacity;
	}
	entry->key = key;
	entry->sequence = queue->next_sequence++;
	sift_up(queue, ++queue->count, entry);
	return PLUG_OK;
}

/**
 * plug_queue_first() - the entry with the earliest key
 * @queue: queue
 *
 * Return: the entry, which stays queued, or NULL.
 */
struct plug_queue_entry *
plug_queue_first(const struct plug_queue *queue)
{
	return queue->count == 0 ? NULL : queue->entries[0];
}

/**
 * plug_queue_remove() - take an entry out
 * @queue: queue that holds @entry
 * @entry: entry
 */
void
plug_queue_remove(struct plug_queue *queue, struct plug_queue_entry *entry)
{
	unsigned int at = entry->heap_index;
	struct plug_queue_entry *last = queue->entries[--queue->count];

	entry->heap_index = 0;
	if (last == entry)
		return;
	if (at > 1 && before(last, queue->entries[at / 2 - 1]))
		sift_up(queue, at, last);
	else
		sift_down(queue, at, last);
}
