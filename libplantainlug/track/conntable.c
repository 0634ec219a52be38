#include <stdlib.h>
#include <string.h>

#include "conntable.h"

#define BUCKETS_INITIAL 256 /* a power of two */

/**
 * plug_conntable_init() - initialize an empty table
 * @table: uninitialized table
 * @record_size: bytes per record, at least those of struct plug_conn
 * @limit: maximum number of records
 *
 * Return: PLUG_OK or PLUG_E_MEMORY.
 */
enum plug_code
plug_conntable_init(
    struct plug_conntable *table, size_t record_size, unsigned int limit)
{
	*table = (struct plug_conntable){
		.record_size = record_size,
		.limit = limit,
		.bucket_count = BUCKETS_INITIAL,
		.buckets = calloc(BUCKETS_INITIAL, sizeof(struct plug_conn *)),
	};
	return table->buckets == NULL ? PLUG_E_MEMORY : PLUG_OK;
}

/**
 * plug_conntable_finish() - free the records and buckets of a table
 * @table: table; zeroed, so it must be initialized before it is used again
 */
void
plug_conntable_finish(struct plug_conntable *table)
{
	struct plug_conn *conn = table->oldest;

	while (conn != NULL) {
		struct plug_conn *newer = conn->newer;

		free(conn);
		conn = newer;
	}
	free(table->buckets);
	*table = (struct plug_conntable){ 0 };
}

static struct plug_conn **
bucket_of(const struct plug_conntable *table, const struct plug_tuple *tuple)
{
	uint64_t hash = plug_tuple_hash(tuple);

	return &table->buckets[hash & (table->bucket_count - 1)];
}

/**
 * plug_conntable_find() - look up the record of a flow
 * @table: table
 * @tuple: flow
 *
 * Return: the record, owned by @table, or NULL.
 */
void *
plug_conntable_find(
    const struct plug_conntable *table, const struct plug_tuple *tuple)
{
	struct plug_conn *conn = *bucket_of(table, tuple);

	while (conn != NULL && !plug_tuple_equal(&conn->tuple, tuple))
		conn = conn->next;
	return conn;
}

/* Doubles the number of buckets. Without memory for them the table stays as it
 * is and its chains get longer. */
static void
grow_buckets(struct plug_conntable *table)
{
	unsigned int count = table->bucket_count * 2;
	struct plug_conn **buckets = calloc(count, sizeof(struct plug_conn *));
	struct plug_conn *conn;

	if (buckets == NULL)
		return;
	free(table->buckets);
	table->buckets = buckets;
	table->bucket_count = count;
	for (conn = table->oldest; conn != NULL; conn = conn->newer) {
		struct plug_conn **bucket = bucket_of(table, &conn->tuple);

		conn->next = *bucket;
		*bucket = conn;
	}
}

static void
lru_append(struct plug_conntable *table, struct plug_conn *conn)
{
	conn->older = table->newest;
	conn->newer = NULL;
	if (table->newest != NULL)
		table->newest->newer = conn;
	else
		table->oldest = conn;
	table->newest = conn;
}

static void
lru_unlink(struct plug_conntable *table, struct plug_conn *conn)
{
	if (conn->older != NULL)
		conn->older->newer = conn->newer;
	else
		table->oldest = conn->newer;
	if (conn->newer != NULL)
		conn->newer->older = conn->older;
	else
		table->newest = conn->older;
}

/**
 * plug_conntable_add() - add a record for a flow that has none
 * @table: table, not full
 * @tuple: flow
 * @now: current time
 *
 * Return: the record, owned by @table and zeroed after its header, or NULL when
 * out of memory.
 */
void *
plug_conntable_add(
    struct plug_conntable *table, const struct plug_tuple *tuple, plug_time now)
{
	struct plug_conn *conn = calloc(1, table->record_size);
	struct plug_conn **bucket;

	if (conn == NULL)
		return NULL;
	if (table->count >= table->bucket_count)
		grow_buckets(table);
	bucket = bucket_of(table, tuple);
	conn->tuple = *tuple;
	conn->touched_at = now;
	conn->next = *bucket;
	*bucket = conn;
	lru_append(table, conn);
	table->count++;
	return conn;
}

/**
 * plug_conntable_touch() - make a record the most recently touched one
 * @table: table
 * @conn: record in @table
 * @now: current time
 */
void
plug_conntable_touch(
    struct plug_conntable *table, struct plug_conn *conn, plug_time now)
{
	conn->touched_at = now;
	if (table->newest == conn)
		return;
	lru_unlink(table, conn);
	lru_append(table, conn);
}

/**
 * plug_conntable_remove() - remove and free a record
 * @table: table
 * @conn: record in @table; invalid afterwards
 */
void
plug_conntable_remove(struct plug_conntable *table, struct plug_conn *conn)
{
	struct plug_conn **bucket = bucket_of(table, &conn->tuple);

	while (*bucket != conn)
		bucket = &(*bucket)->next;
	*bucket = conn->next;
	lru_unlink(table, conn);
	table->count--;
	free(conn);
}

/**
 * plug_conntable_is_full() - whether a record must be removed to add another
 * @table: table
 */
bool
plug_conntable_is_full(const struct plug_conntable *table)
{
	return table->count >= table->limit;
}
