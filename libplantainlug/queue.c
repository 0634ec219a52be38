#include <stdlib.h>

#include "queue.h"

#define INITIAL_CAPACITY 64 /* entries */

/**
 * plug_queue_init() - initialise an empty queue
 * @queue: queue to initialise
 */
void
plug_queue_init(struct plug_queue *queue)
{
	*queue = (struct plug_queue){ 0 };
}

/**
 * plug_queue_finish() - free the heap and empty the queue
 * @queue: queue; the caller keeps the entries that are still in it, whose
 *   heap_index stays as it was
 */
void
plug_queue_finish(struct plug_queue *queue)
{
	free(queue->entries);
	plug_queue_init(queue);
}

static bool
precedes(const struct plug_queue_entry *a, const struct plug_queue_entry *b)
{
	return a->key < b->key ||
	       (a->key == b->key && a->sequence < b->sequence);
}

/* Positions are counted from 1, so that 0 marks an entry that isn't queued. */
static void
place(struct plug_queue *queue, unsigned int index,
    struct plug_queue_entry *entry)
{
	queue->entries[index - 1] = entry;
	entry->heap_index = index;
}

static void
sift_up(struct plug_queue *queue, unsigned int index,
    struct plug_queue_entry *entry)
{
	while (index > 1 && precedes(entry, queue->entries[index / 2 - 1])) {
		place(queue, index, queue->entries[index / 2 - 1]);
		index /= 2;
	}
	place(queue, index, entry);
}

static void
sift_down(struct plug_queue *queue, unsigned int index,
    struct plug_queue_entry *entry)
{
	while (index * 2 <= queue->count) {
		unsigned int child = index * 2;

		if (child < queue->count &&
		    precedes(queue->entries[child], queue->entries[child - 1]))
			child++;
		if (!precedes(queue->entries[child - 1], entry))
			break;
		place(queue, index, queue->entries[child - 1]);
		index = child;
	}
	place(queue, index, entry);
}

/**
 * plug_queue_push() - add an entry
 * @queue: queue
 * @entry: entry that is in no queue; must stay valid while queued
 * @key: sort key
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
 * plug_queue_first() - return the entry with the earliest key
 * @queue: queue
 *
 * Return: the entry, which stays queued, or NULL when the queue is empty.
 */
struct plug_queue_entry *
plug_queue_first(const struct plug_queue *queue)
{
	return queue->count == 0 ? NULL : queue->entries[0];
}

/**
 * plug_queue_remove() - remove an entry from its queue
 * @queue: queue that holds @entry
 * @entry: entry at any position of the heap
 */
void
plug_queue_remove(struct plug_queue *queue, struct plug_queue_entry *entry)
{
	unsigned int index = entry->heap_index;
	struct plug_queue_entry *last = queue->entries[--queue->count];

	entry->heap_index = 0;
	if (last == entry)
		return;
	if (index > 1 && precedes(last, queue->entries[index / 2 - 1]))
		sift_up(queue, index, last);
	else
		sift_down(queue, index, last);
}
