#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "libplantainlug/track/backoff.h"
#include "libplantainlug/track/storeview.h"
#include "storereader.h"

/* An agent needs little of the configuration: it reads it this often. */
#define AGENT_PERIOD (60 * PLUG_SEC)

#define FIRST_PERIOD PLUG_SEC /* until there is one */

/* A page has at most about 1 MB of values, in base64. */
#define ANSWER_SIZE_MAX ((size_t)4 * 1024 * 1024)

/* Until an answer begins to arrive. It takes 4 ms, or 60 times as long when the
 * store is slow. */
#define ANSWER_MS 1000L

/* An answer may take any time as long as it arrives: the largest configuration
 * takes over 1 s on a link of 10 Mbit/s. Without a byte for this long, its
 * connection has gone silent. */
#define STALL_MS 1000L

/* Reads of the host list that may lag cost a tenth of an exact one. */
#define HOSTS_PERIOD (700 * PLUG_MSEC)

/* Exact reads that were asked for, and reads that follow an answer which can't
 * be used, are at least this far apart. */
#define REFRESH_SPACING (100 * PLUG_MSEC)

/* An answer on the operators' part that takes longer to arrive is large for the
 * entry's link. Meanwhile the domains are read alone, this often. */
#define LARGE_AFTER    (200 * PLUG_MSEC)
#define DOMAINS_PERIOD (500 * PLUG_MSEC)

/* Changes that take this many times longer to arrive than they were waited for
 * come faster than the entry can read them, or it has missed some. */
#define BEHIND_RATIO 4

#define STATUS_OK   200
#define STATUS_GONE 410 /* the history that was asked for was dropped */

/* Each revision of an item that can't be used is logged once, with at most
 * UNREADABLE_LINES lines in UNREADABLE_INTERVAL. The last UNREADABLE_REMEMBERED
 * ones are known to have their line. */
#define UNREADABLE_INTERVAL   (5 * PLUG_SEC)
#define UNREADABLE_LINES      20
#define UNREADABLE_REMEMBERED 256

/**
 * struct part - one of the things that are read over and over
 * @reader: owner
 * @slot: its GET
 * @query: query under way, or the next one
 * @due: time of the next query
 * @began: time when the first page was asked for
 * @asked_at: time when the current page was asked for
 * @position: position of the store at the first page
 * @generation: generation of the store that the last answer names; 0 when it
 *   names none
 * @backoff: delays after failures
 */
struct part {
	struct plug_storereader *reader;
	struct plug_fetch_slot *slot;
	struct plug_store_query query;
	plug_time due;
	plug_time began;
	plug_time asked_at;
	struct plug_store_position position;
	uint64_t generation;
	struct plug_backoff backoff;
};

/**
 * struct unreadable_log - items that can't be used and have a log line
 * @items: hashes of their keys and revisions, the n-th one at index n modulo
 *   the length
 * @count: number of lines, in all
 * @began: begin of the current interval
 * @lines: lines in the current interval
 */
struct unreadable_log {
	uint64_t items[UNREADABLE_REMEMBERED];
	unsigned int count;
	plug_time began;
	unsigned int lines;
};

/**
 * struct plug_storereader - reader of the operators' part and the host list
 * @operators: reads of the operators' part
 * @domains: reads of the domains out of service alone, while the operators'
 *   part is late
 * @hosts: reads of the host list
 * @view: what the answers have told
 * @exact_at: when the last exact read began
 * @exact_wanted: an exact read was asked for
 * @unreadable: items that can't be used
 */
struct plug_storereader {
	const struct plug_adapter *adapter;
	struct plug_endpoint store;
	struct plug_client *client;
	struct plug_storereader_handlers handlers;
	struct part operators;
	struct part domains;
	struct part hosts;
	struct plug_storeview view;
	plug_time exact_at;
	bool exact_wanted;
	struct unreadable_log unreadable;
	uint64_t counters[PLUG_STORE_COUNTERS];
};

static void on_header(void *data, struct plug_str line);
static void on_operators(void *data, const struct plug_fetch_answer *answer);
static void on_domains(void *data, const struct plug_fetch_answer *answer);
static void on_hosts(void *data, const struct plug_fetch_answer *answer);

static bool
init_part(struct plug_storereader *reader, struct part *part,
    struct plug_loop *loop, enum plug_store_read what,
    void (*done)(void *data, const struct plug_fetch_answer *answer))
{
	const struct plug_fetch_handlers handlers = {
		.header = on_header,
		.done = done,
		.data = part,
		.body_max = ANSWER_SIZE_MAX,
		.stall_ms = STALL_MS,
	};

	part->reader = reader;
	part->query.what = what;
	plug_backoff_init(&part->backoff);
	part->slot = plug_fetch_slot_create(loop, &handlers);
	return part->slot != NULL;
}

/**
 * plug_storereader_create() - start reading the platform's store
 * @adapter: how it speaks
 * @store: its address
 * @loop: loop of the calling thread
 * @client: log handler and random state; kept by the caller
 * @handlers: results; copied
 *
 * Return: reader, or NULL when memory ran out.
 */
struct plug_storereader *
plug_storereader_create(const struct plug_adapter *adapter,
    struct plug_endpoint store, struct plug_loop *loop,
    struct plug_client *client,
    const struct plug_storereader_handlers *handlers)
{
	struct plug_storereader *reader = calloc(1, sizeof(*reader));

	if (reader == NULL)
		return NULL;
	reader->adapter = adapter;
	reader->store = store;
	reader->client = client;
	reader->handlers = *handlers;
	plug_storeview_init(&reader->view, client);
	if (!init_part(reader, &reader->operators, loop, PLUG_STORE_OPERATORS,
		on_operators) ||
	    !init_part(reader, &reader->domains, loop, PLUG_STORE_DOMAINS,
		on_domains) ||
	    !init_part(
		reader, &reader->hosts, loop, PLUG_STORE_HOSTS, on_hosts)) {
		plug_storereader_destroy(reader);
		return NULL;
	}
	reader->exact_wanted = true;
	return reader;
}

/**
 * plug_storereader_destroy() - stop reading
 * @reader: reader, or NULL
 */
void
plug_storereader_destroy(struct plug_storereader *reader)
{
	if (reader == NULL)
		return;
	plug_fetch_slot_destroy(reader->operators.slot);
	plug_fetch_slot_destroy(reader->domains.slot);
	plug_fetch_slot_destroy(reader->hosts.slot);
	plug_storeview_finish(&reader->view);
	free(reader);
}

/**
 * plug_storereader_refresh() - read the host list anew, exactly
 * @reader: reader
 */
void
plug_storereader_refresh(struct plug_storereader *reader)
{
	reader->exact_wanted = true;
}

/**
 * plug_storereader_count() - one of the reader's counters
 * @reader: reader
 * @counter: counter
 */
uint64_t
plug_storereader_count(
    const struct plug_storereader *reader, enum plug_store_counter counter)
{
	switch (counter) {
	case PLUG_STORE_IGNORED:
		return reader->view.counters[PLUG_STOREVIEW_IGNORED];
	case PLUG_STORE_RESTORED:
		return reader->view.counters[PLUG_STOREVIEW_RESTORED];
	default:
		return reader->counters[counter];
	}
}

/**
 * plug_storereader_age() - age of the host list
 * @reader: reader
 * @now: time
 *
 * Return: microseconds since its adoption, -1 before the first one.
 */
plug_time
plug_storereader_age(const struct plug_storereader *reader, plug_time now)
{
	return reader->view.position.revision == 0
		   ? -1
		   : now - reader->view.adopted_at;
}

static void
publish(struct plug_storereader *reader, plug_time now)
{
	struct plug_fleet *fleet;

	if (reader->handlers.fleet == NULL)
		return;
	fleet = plug_storeview_fleet(&reader->view, now);
	if (fleet != NULL)
		reader->handlers.fleet(reader->handlers.data, fleet);
}

/* Return: whether an item is to be logged, which is noted then. */
static bool
reserve_log_line(struct unreadable_log *log, plug_time now, uint64_t item)
{
	for (unsigned int i = 0; i < log->count && i < UNREADABLE_REMEMBERED;
	     i++) {
		if (log->items[i] == item)
			return false;
	}
	if (log->began == 0 || now - log->began >= UNREADABLE_INTERVAL) {
		log->began = now;
		log->lines = 0;
	}
	if (log->lines == UNREADABLE_LINES)
		return false;
	log->lines++;
	log->items[log->count++ % UNREADABLE_REMEMBERED] = item;
	return true;
}

static void
log_unreadable(
    struct plug_storereader *reader, const struct plug_store_item *item)
{
	reader->counters[PLUG_STORE_UNREADABLE]++;
	if (!reserve_log_line(&reader->unreadable, plug_clock_now(),
		plug_str_hash(plug_str_from(item->key)) + item->revision))
		return;
	plug_client_log(reader->client, PLUG_LOG_WARN,
	    "event=store_item_unreadable key=%s revision=%llu reason=\"%s\" "
	    "total=%llu",
	    item->key, (unsigned long long)item->revision, item->reason,
	    (unsigned long long)reader->counters[PLUG_STORE_UNREADABLE]);
}

static void
on_operators_item(void *data, struct plug_store_item *item)
{
	struct plug_storereader *reader = data;

	if (!item->readable) {
		log_unreadable(reader, item);
		return;
	}
	switch (item->kind) {
	case PLUG_STORE_CONFIG:
		if (!item->removed &&
		    plug_storeview_take_config(&reader->view, item->config) &&
		    reader->handlers.config != NULL)
			reader->handlers.config(
			    reader->handlers.data, reader->view.config);
		return;
	case PLUG_STORE_DOMAIN_OUT:
		plug_storeview_take_domain(&reader->view, plug_clock_now(),
		    item->domain, !item->removed,
		    (struct plug_store_position){
			reader->operators.generation, item->revision });
		return;
	case PLUG_STORE_HOST:
	case PLUG_STORE_OTHER:
		return;
	}
}

static const char *
read_name(const struct part *part)
{
	switch (part->query.what) {
	case PLUG_STORE_OPERATORS:
		return "operators";
	case PLUG_STORE_CHANGES:
		return "changes";
	case PLUG_STORE_DOMAINS:
		return "domains";
	case PLUG_STORE_HOSTS:
		return "hosts";
	}
	return "-";
}

/* Both reads of the operators' part go under its name. */
static const char *
part_name(const struct part *part)
{
	return part == &part->reader->operators ? "operators" : read_name(part);
}

static void
fail(struct part *part, plug_time now, const char *reason, size_t received)
{
	struct plug_storereader *reader = part->reader;

	reader->counters[PLUG_STORE_FAILURES]++;
	plug_storeview_note_failure(&reader->view, now);
	if (part->backoff.failures == 0)
		plug_client_log(reader->client, PLUG_LOG_WARN,
		    "event=store_lost part=%s reason=\"%s\" revision=%llu "
		    "read=%s received=%zu after_ms=%lld",
		    part_name(part), reason,
		    (unsigned long long)part->position.revision,
		    read_name(part), received,
		    (long long)((now - part->asked_at) / PLUG_MSEC));
	part->due = now + plug_backoff_fail(&part->backoff, reader->client);
	part->query.cursor[0] = '\0';
	if (part == &reader->hosts && !part->query.may_lag)
		reader->exact_wanted = true;
}

/* The store answers, so that the other parts need not wait for long either. */
static void
succeeded(struct part *part, plug_time now)
{
	struct plug_storereader *reader = part->reader;
	struct part *const parts[] = { &reader->operators, &reader->domains,
		&reader->hosts };

	if (part->backoff.failures > 0)
		plug_client_log(reader->client, PLUG_LOG_INFO,
		    "event=store_back part=%s failures=%u", part_name(part),
		    part->backoff.failures);
	plug_backoff_init(&part->backoff);
	for (size_t i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		if (parts[i] != part &&
		    plug_backoff_shorten(&parts[i]->backoff) &&
		    parts[i]->due > now)
			parts[i]->due = now;
	}
}

static void
on_header(void *data, struct plug_str line)
{
	struct part *part = data;

	(void)part->reader->adapter->read_store_header(line, &part->generation);
}

/* After a restore of the store, the operators' part is read at once: a read
 * that waits for changes might do so for seconds. */
static void
note_generation(struct part *part, plug_time now)
{
	struct plug_storereader *reader = part->reader;
	struct part *operators = &reader->operators;

	if (!plug_storeview_note_generation(
		&reader->view, now, part->generation, read_name(part)) ||
	    part == operators)
		return;
	plug_fetch_cancel(operators->slot);
	operators->query.cursor[0] = '\0';
	operators->due = now;
}

/* Return: false when the answer can't be used; the part then backs off. */
static bool
read_page(struct part *part, plug_time now,
    const struct plug_fetch_answer *answer,
    void (*item)(void *data, struct plug_store_item *item),
    struct plug_store_page *page)
{
	struct plug_storereader *reader = part->reader;
	struct plug_status status;
	bool first = part->query.cursor[0] == '\0';
	char reason[64];

	if (answer->status != STATUS_OK) {
		(void)snprintf(
		    reason, sizeof(reason), "status %ld", answer->status);
		fail(part, now, answer->status == 0 ? answer->reason : reason,
		    answer->received);
		return false;
	}
	plug_status_init(&status);
	if (!first && part->generation != part->position.generation) {
		fail(part, now, "the store was restored between two pages",
		    answer->received);
		return false;
	}
	if (reader->adapter->read_answer(
		answer->body, item, reader, page, &status) != PLUG_OK) {
		fail(part, now, status.message, answer->received);
		return false;
	}
	if (!first && page->more &&
	    strcmp(page->cursor, part->query.cursor) == 0) {
		fail(part, now, "a page ends where the one before did",
		    answer->received);
		return false;
	}
	succeeded(part, now);
	if (first)
		part->position = (struct plug_store_position){ part->generation,
			page->revision };
	part->query.cursor[0] = '\0';
	if (page->more)
		memcpy(part->query.cursor, page->cursor,
		    sizeof(part->query.cursor));
	return true;
}

/* Chooses between the changes since the last answer and a complete read. */
static void
set_operators_query(struct plug_storereader *reader, plug_time now)
{
	struct plug_store_query *query = &reader->operators.query;
	plug_time wait;

	query->what = PLUG_STORE_OPERATORS;
	if (reader->handlers.fleet == NULL)
		return;
	wait = plug_storeview_next_changes(
	    &reader->view, now, &query->after_revision);
	if (wait <= 0)
		return;
	query->what = PLUG_STORE_CHANGES;
	query->wait_ms = (unsigned int)((wait + PLUG_MSEC - 1) / PLUG_MSEC);
}

/* Reads the operators' part completely next if changes come faster than they
 * arrive: the history that was missed may be larger than the part itself. */
static void
skip_large_history(
    struct plug_storereader *reader, const struct plug_fetch_answer *answer)
{
	if (answer->arriving <= LARGE_AFTER ||
	    answer->arriving <= BEHIND_RATIO * answer->waited)
		return;
	plug_client_log(reader->client, PLUG_LOG_INFO,
	    "event=changes_skipped after=%llu received=%zu waited_ms=%lld "
	    "arriving_ms=%lld",
	    (unsigned long long)reader->view.operators_at.revision,
	    answer->received, (long long)(answer->waited / PLUG_MSEC),
	    (long long)(answer->arriving / PLUG_MSEC));
	plug_storeview_restart_operators(&reader->view);
}

static void
on_operators(void *data, const struct plug_fetch_answer *answer)
{
	struct part *part = data;
	struct plug_storereader *reader = part->reader;
	plug_time now = plug_clock_now();
	struct plug_store_page page;
	bool changes = part->query.what == PLUG_STORE_CHANGES;
	bool first = part->query.cursor[0] == '\0';

	note_generation(part, now);
	part->due = part->began + REFRESH_SPACING;
	if (changes && answer->status == STATUS_GONE) {
		plug_client_log(reader->client, PLUG_LOG_INFO,
		    "event=store_history_dropped after=%llu",
		    (unsigned long long)part->query.after_revision);
		plug_storeview_restart_operators(&reader->view);
		return;
	}
	if (first && answer->status == STATUS_OK &&
	    !plug_storeview_begin_operators(
		&reader->view, part->generation, changes))
		return;
	part->due = now;
	if (!read_page(part, now, answer, on_operators_item, &page)) {
		/* What arrived of the changes is lost, and more has come. */
		if (changes && answer->status == 0 && answer->received > 0)
			plug_storeview_restart_operators(&reader->view);
		return;
	}
	if (page.more)
		return;
	plug_storeview_end_operators(
	    &reader->view, now, part->position, changes);
	if (changes)
		skip_large_history(reader, answer);
	if (reader->handlers.fleet == NULL)
		part->due = now + (reader->view.config == NULL ? FIRST_PERIOD
							       : AGENT_PERIOD);
	else
		publish(reader, now);
}

static void
on_domains_item(void *data, struct plug_store_item *item)
{
	struct plug_storereader *reader = data;

	if (item->kind == PLUG_STORE_DOMAIN_OUT && !item->removed)
		plug_storeview_add_domain(&reader->view, item->domain);
}

static void
on_domains(void *data, const struct plug_fetch_answer *answer)
{
	struct part *part = data;
	struct plug_storereader *reader = part->reader;
	plug_time now = plug_clock_now();
	struct plug_store_page page;

	note_generation(part, now);
	if (part->query.cursor[0] == '\0')
		plug_storeview_begin_domains(&reader->view);
	part->due = now;
	if (!read_page(part, now, answer, on_domains_item, &page) || page.more)
		return;
	part->due = part->began + DOMAINS_PERIOD;
	if (plug_storeview_end_domains(&reader->view, now, part->position))
		publish(reader, now);
}

static void
on_host_item(void *data, struct plug_store_item *item)
{
	struct plug_storereader *reader = data;

	if (!item->readable) {
		log_unreadable(reader, item);
		return;
	}
	if (item->kind == PLUG_STORE_HOST && !item->removed)
		plug_storeview_add_host(
		    &reader->view, plug_clock_now(), &item->host);
}

static void
on_hosts(void *data, const struct plug_fetch_answer *answer)
{
	struct part *part = data;
	struct plug_storereader *reader = part->reader;
	plug_time now = plug_clock_now();
	struct plug_storeview_read read;
	struct plug_store_page page;

	note_generation(part, now);
	if (part->query.cursor[0] == '\0')
		plug_storeview_begin_hosts(&reader->view);
	part->due = now;
	if (!read_page(part, now, answer, on_host_item, &page) || page.more)
		return;
	part->due = part->began + HOSTS_PERIOD;
	if (!part->query.may_lag)
		reader->exact_at = part->began;
	read = (struct plug_storeview_read){
		.began = part->began,
		.position = part->position,
		.consistent = !part->query.may_lag,
	};
	if (plug_storeview_end_hosts(&reader->view, now, &read))
		publish(reader, now);
	else if (plug_storeview_is_outdated(&reader->view, now))
		reader->exact_wanted = true;
}

static void
start(struct part *part, plug_time now)
{
	struct plug_storereader *reader = part->reader;
	char url[PLUG_FETCH_URL_SIZE];
	long timeout = ANSWER_MS;

	if (part->query.what == PLUG_STORE_CHANGES)
		timeout += part->query.wait_ms;
	if (part->query.cursor[0] == '\0')
		part->began = now;
	part->asked_at = now;
	part->generation = 0;
	reader->counters[PLUG_STORE_CALLS]++;
	if (part->query.may_lag)
		reader->counters[PLUG_STORE_LAGGING]++;
	if (!reader->adapter->query_url(
		&part->query, reader->store, url, sizeof(url)) ||
	    !plug_fetch_start(part->slot, url, timeout))
		fail(part, now, "the query can't be started", 0);
}

/* Whether the operators' part can't be read, or takes long to arrive. */
static bool
operators_are_late(const struct plug_storereader *reader, plug_time now)
{
	return reader->operators.backoff.failures > 0 ||
	       plug_fetch_arriving_for(reader->operators.slot, now) >
		   LARGE_AFTER;
}

/**
 * plug_storereader_step() - start the reads that are due
 * @reader: reader
 * @now: time
 *
 * Return: time of the next call, at the latest.
 */
plug_time
plug_storereader_step(struct plug_storereader *reader, plug_time now)
{
	struct part *operators = &reader->operators, *hosts = &reader->hosts;
	struct part *domains = &reader->domains;
	plug_time next = now + PLUG_SEC;

	if (!plug_fetch_busy(operators->slot)) {
		if (operators->due <= now) {
			if (operators->query.cursor[0] == '\0')
				set_operators_query(reader, now);
			start(operators, now);
		} else if (operators->due < next) {
			next = operators->due;
		}
	}
	if (reader->handlers.fleet == NULL)
		return next;
	if (!plug_fetch_busy(domains->slot) &&
	    (domains->query.cursor[0] != '\0' ||
		operators_are_late(reader, now))) {
		if (domains->due <= now)
			start(domains, now);
		else if (domains->due < next)
			next = domains->due;
	}
	if (plug_fetch_busy(hosts->slot))
		return next;
	if (reader->exact_wanted && hosts->backoff.failures == 0 &&
	    hosts->due > reader->exact_at + REFRESH_SPACING)
		hosts->due = reader->exact_at + REFRESH_SPACING;
	if (hosts->due <= now) {
		if (hosts->query.cursor[0] == '\0') {
			hosts->query.may_lag = !reader->exact_wanted;
			reader->exact_wanted = false;
		}
		start(hosts, now);
	} else if (hosts->due < next) {
		next = hosts->due;
	}
	return next;
}
