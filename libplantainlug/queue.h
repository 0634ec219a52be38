#ifndef PLUG_QUEUE_H
#define PLUG_QUEUE_H

#include "client.h"
#include "status.h"

/**
 * struct plug_queue_entry - queue linkage, embedded in the queued object
 * @key: sort key, a time; the earliest comes first
 * @sequence: order of insertion, decides between equal keys
 * @heap_index: position in the heap, counted from 1; 0 when not queued
 */
struct plug_queue_entry {
	plug_time key;
	uint64_t sequence;
	unsigned int heap_index;
};

/**
 * struct plug_queue - priority queue ordered by time, a binary heap
 * @entries: heap of pointers to @count entries that the caller owns, with room
 *   for @capacity
 * @next_sequence: sequence number of the next entry that is pushed
 */
struct plug_queue {
	struct plug_queue_entry **entries;
	unsigned int count;
	unsigned int capacity;
	uint64_t next_sequence;
};

void plug_queue_init(struct plug_queue *queue);
void plug_queue_finish(struct plug_queue *queue);
enum plug_code plug_queue_push(
    struct plug_queue *queue, struct plug_queue_entry *entry, plug_time key);
struct plug_queue_entry *plug_queue_first(const struct plug_queue *queue);
void
plug_queue_remove(struct plug_queue *queue, struct plug_queue_entry *entry);

#endif
