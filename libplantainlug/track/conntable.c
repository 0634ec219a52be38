#include <stdlib.h>
#include <string.h>

#include "conntable.h"

#define BUCKETS_MIN 256 /* a power of two */

/**
 * plug_conntable_init() - prepare an empty table
 * @table: table to fill
 * @record_size: bytes of a record
 * @limit: most records
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
		.bucket_count = BUCKETS_MIN,
		.buckets = calloc(BUCKETS_MIN, sizeof(struct plug_conn *)),
	};
	return table->buckets == NULL ? PLUG_E_MEMORY : PLUG_OK;
}

/**
 * plug_conntable_finish() - free the table and its records
 * @table: table
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
 * plug_conntable_find() - record of a flow
 * @table: table
 * @tuple: flow
 *
 * Return: the record or NULL.
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

/* A table that can't grow stays correct with longer chains. */
static void
grow(struct plug_conntable *table)
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
append(struct plug_conntable *table, struct plug_conn *conn)
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
unlink_order(struct plug_conntable *table, struct plug_conn *conn)
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
 * @table: table that is not full
 * @tuple: flow
 * @now: time
 *
 * Return: the record, zeroed behind its head, or NULL when memory ran out.
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
		grow(table);
	bucket = bucket_of(table, tuple);
	conn->tuple = *tuple;
	conn->touched_at = now;
	conn->next = *bucket;
	*bucket = conn;
	append(table, conn);
	table->count++;
	return conn;
}

/**
 * plug_conntable_touch() - make a record the most recently used one
 * @table: table
 * @conn: record
 * @now: time
 */
void
plug_conntable_touch(
    struct plug_conntable *table, struct plug_conn *conn, plug_time now)
{
	conn->touched_at = now;
	if (table->newest == conn)
		return;
	unlink_order(table, conn);
	append(table, conn);
}

/**
 * plug_conntable_remove() - remove and free a record
 * @table: table
 * @conn: record
 */
void
plug_conntable_remove(struct plug_conntable *table, struct plug_conn *conn)
{
	struct plug_conn **bucket = bucket_of(table, &conn->tuple);

	while (*bucket != conn)
		bucket = &(*bucket)->next;
	*bucket = conn->next;
	unlink_order(table, conn);
	table->count--;
	free(conn);
}

/**
 * plug_conntable_is_full() - whether a record must go before one is added
 * @table: table
 */
bool
plug_conntable_is_full(const struct plug_conntable *table)
{
	return table->count >= table->limit;
}
