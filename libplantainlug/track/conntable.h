#ifndef PLUG_TRACK_CONNTABLE_H
#define PLUG_TRACK_CONNTABLE_H

#include "../status.h"
#include "segment.h"

/**
 * struct plug_conn - header of the record of one flow
 * @tuple: flow, the key of the record
 * @touched_at: time of the last plug_conntable_touch(), or of the insertion
 * @next: next record in the same bucket
 * @older: record touched just before this one; NULL if there is none
 * @newer: record touched just after this one; NULL if there is none
 */
struct plug_conn {
	struct plug_tuple tuple;
	plug_time touched_at;
	struct plug_conn *next;
	struct plug_conn *older;
	struct plug_conn *newer;
};

/**
 * struct plug_conntable - hash table of flow records with an LRU list
 * @record_size: bytes per record, whose first member is a struct plug_conn
 * @count: number of records
 * @limit: maximum number of records; the caller evicts @oldest when it is
 *   reached
 * @bucket_count: length of @buckets, a power of two
 * @buckets: heads of the hash chains
 * @oldest: least recently touched record
 * @newest: most recently touched record
 */
struct plug_conntable {
	size_t record_size;
	unsigned int count;
	unsigned int limit;
	unsigned int bucket_count;
	struct plug_conn **buckets;
	struct plug_conn *oldest;
	struct plug_conn *newest;
};

enum plug_code plug_conntable_init(
    struct plug_conntable *table, size_t record_size, unsigned int limit);
void plug_conntable_finish(struct plug_conntable *table);
void *plug_conntable_find(
    const struct plug_conntable *table, const struct plug_tuple *tuple);
void *plug_conntable_add(struct plug_conntable *table,
    const struct plug_tuple *tuple, plug_time now);
void plug_conntable_touch(
    struct plug_conntable *table, struct plug_conn *conn, plug_time now);
void
plug_conntable_remove(struct plug_conntable *table, struct plug_conn *conn);
bool plug_conntable_is_full(const struct plug_conntable *table);

#endif
