#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "document.h"
#include "explain_internal.h"

#define ITEM_SIZE  (PLUG_NAME_SIZE + 16) /* bytes of an item, with the NUL */
#define NAMES_SIZE 400 /* bytes of the names in a row, with the NUL */

/**
 * struct belief - what a process holds of an item of the store
 * @item: "config", "domain/HASH" or "host/ID"
 * @name: name of the process
 * @value: version, "out", "ready" or "draining"; empty when it has gone
 */
struct belief {
	char item[ITEM_SIZE];
	char name[PLUG_NAME_SIZE];
	char value[PLUG_NAME_SIZE];
};

/**
 * struct beliefs - beliefs of all processes
 * @list: beliefs, ordered by item, then by name
 * @count: length of @list
 * @size: allocated length of @list
 * @memory: memory ran out
 */
struct beliefs {
	struct belief *list;
	size_t count;
	size_t size;
	bool memory;
};

/**
 * plug_explain_store_feed() - take a line for the report on the store
 * @explain: explanation
 * @line: line
 */
bool
plug_explain_store_feed(
    struct plug_explain *explain, const struct plug_logline *line)
{
	static const char *const events[] = { "start", "config_adopted",
		"domain_out", "domain_back", "host_listed", "host_draining",
		"host_ready", "host_gone", "store_restored",
		"store_item_unreadable" };

	if (explain->query.to != 0 && line->time > explain->query.to)
		return false;
	for (size_t i = 0; i < sizeof(events) / sizeof(events[0]); i++) {
		if (plug_str_equal(line->event, plug_str_from(events[i])))
			return true;
	}
	return false;
}

static int
compare_beliefs(const struct belief *a, const struct belief *b)
{
	int order = strcmp(a->item, b->item);

	return order != 0 ? order : strcmp(a->name, b->name);
}

/* Index of the first belief that is not ordered before @key. */
static size_t
position(const struct beliefs *beliefs, const struct belief *key)
{
	size_t low = 0, high = beliefs->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (compare_beliefs(&beliefs->list[middle], key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static void
set_belief(struct beliefs *beliefs, const struct belief *belief)
{
	size_t at = position(beliefs, belief);

	if (at < beliefs->count &&
	    compare_beliefs(&beliefs->list[at], belief) == 0) {
		beliefs->list[at] = *belief;
		return;
	}
	if (beliefs->count == beliefs->size) {
		size_t size = beliefs->size * 2 + 64;
		struct belief *list =
		    realloc(beliefs->list, size * sizeof(*list));

		if (list == NULL) {
			beliefs->memory = true;
			return;
		}
		beliefs->list = list;
		beliefs->size = size;
	}
	memmove(&beliefs->list[at + 1], &beliefs->list[at],
	    (beliefs->count - at) * sizeof(beliefs->list[0]));
	beliefs->list[at] = *belief;
	beliefs->count++;
}

/* A process that starts knows nothing. */
static void
forget(struct beliefs *beliefs, const char *name)
{
	for (size_t i = 0; i < beliefs->count; i++) {
		if (strcmp(beliefs->list[i].name, name) == 0)
			beliefs->list[i].value[0] = '\0';
	}
}

static void
apply(struct beliefs *beliefs, const struct plug_explain_record *record)
{
	const struct plug_logline *line = &record->line;
	const char *kind = "config", *key = "", *value = "";
	struct belief belief = { 0 };
	struct plug_str text;

	(void)plug_str_copy(line->name, belief.name, sizeof(belief.name));
	if (plug_explain_is(record, "start")) {
		forget(beliefs, belief.name);
		return;
	}
	if (plug_explain_is(record, "store_restored") ||
	    plug_explain_is(record, "store_item_unreadable"))
		return;
	if (plug_explain_is(record, "domain_out") ||
	    plug_explain_is(record, "domain_back")) {
		kind = "domain/";
		key = "domain";
		value = plug_explain_is(record, "domain_out") ? "out" : "";
	} else if (!plug_explain_is(record, "config_adopted")) {
		kind = "host/";
		key = "host";
		if (!plug_explain_is(record, "host_gone"))
			value = plug_logline_has(line, "draining", "1")
				    ? "draining"
				    : "ready";
	}
	text = plug_logline_get(line, key);
	(void)snprintf(belief.item, sizeof(belief.item), "%s%.*s", kind,
	    text.len < PLUG_NAME_SIZE ? (int)text.len : PLUG_NAME_SIZE - 1,
	    text.len > 0 ? text.data : "");
	(void)plug_str_copy(
	    plug_str_from(value), belief.value, sizeof(belief.value));
	if (key[0] == '\0')
		(void)plug_str_copy(plug_logline_get(line, "version"),
		    belief.value, sizeof(belief.value));
	set_belief(beliefs, &belief);
}

/* Agents keep neither hosts nor domains, so that only entries are compared. */
static bool
is_entry(const struct plug_explain *explain, const char *name)
{
	for (size_t i = 0; i < explain->count; i++) {
		const struct plug_explain_record *record = &explain->records[i];

		if (plug_str_equal(record->line.name, plug_str_from(name)) &&
		    plug_explain_is(record, "start"))
			return plug_logline_has(&record->line, "role", "entry");
	}
	return true;
}

/* Collects the names of all entries in the keys of @names. */
static bool
list_names(const struct plug_explain *explain, struct plug_tally *names)
{
	for (size_t i = 0; i < explain->count; i++) {
		char name[PLUG_NAME_SIZE];

		(void)plug_str_copy(
		    explain->records[i].line.name, name, sizeof(name));
		if (plug_tally_count(names, name) == 0 &&
		    is_entry(explain, name) &&
		    !plug_tally_add(names, name, 1, 0))
			return false;
	}
	return true;
}

static const char *
value_at(const struct beliefs *beliefs, const char *item, const char *name)
{
	struct belief key = { 0 };
	size_t at;

	(void)plug_str_copy(plug_str_from(item), key.item, sizeof(key.item));
	(void)plug_str_copy(plug_str_from(name), key.name, sizeof(key.name));
	at = position(beliefs, &key);
	if (at == beliefs->count ||
	    compare_beliefs(&beliefs->list[at], &key) != 0 ||
	    beliefs->list[at].value[0] == '\0')
		return "none";
	return beliefs->list[at].value;
}

/* Prints the entries that hold @value of @item. */
static void
print_holders(const struct beliefs *beliefs, const struct plug_tally *names,
    const char *item, const char *value,
    const struct plug_explain_output *output)
{
	char text[NAMES_SIZE] = "";
	size_t len = 0;
	unsigned int count = 0;

	for (size_t i = 0; i < names->used; i++) {
		const char *name = names->entries[i].key;

		if (strcmp(value_at(beliefs, item, name), value) != 0)
			continue;
		if (len < sizeof(text))
			len += (size_t)snprintf(text + len, sizeof(text) - len,
			    "%s%s", count > 0 ? "," : "", name);
		count++;
	}
	plug_explain_row(output,
	    "event=difference item=%s value=%s count=%u names=%s", item, value,
	    count, text);
}

/* Prints a row for each value that entries hold of an item, when they differ.
 *
 * Return: whether they differ. */
static bool
print_item(const struct beliefs *beliefs, const struct plug_tally *names,
    const char *item, const struct plug_explain_output *output)
{
	const char *first = value_at(beliefs, item, names->entries[0].key);
	bool differs = false;

	for (size_t i = 1; i < names->used && !differs; i++)
		differs = strcmp(first, value_at(beliefs, item,
					    names->entries[i].key)) != 0;
	for (size_t i = 0; differs && i < names->used; i++) {
		const char *value =
		    value_at(beliefs, item, names->entries[i].key);
		size_t j = 0;

		while (strcmp(value,
			   value_at(beliefs, item, names->entries[j].key)) != 0)
			j++;
		if (j == i)
			print_holders(beliefs, names, item, value, output);
	}
	return differs;
}

/* Prints what one entry holds, in figures. */
static void
print_entry(const struct plug_explain *explain, const struct beliefs *beliefs,
    const char *name, const struct plug_explain_output *output)
{
	unsigned int hosts = 0, draining = 0, out = 0, restores = 0;

	for (size_t i = 0; i < beliefs->count; i++) {
		const struct belief *belief = &beliefs->list[i];

		if (strcmp(belief->name, name) != 0 || belief->value[0] == '\0')
			continue;
		if (strncmp(belief->item, "host/", 5) == 0)
			hosts++;
		if (strcmp(belief->value, "draining") == 0)
			draining++;
		if (strcmp(belief->value, "out") == 0)
			out++;
	}
	for (size_t i = 0; i < explain->count; i++) {
		if (plug_explain_is(&explain->records[i], "store_restored") &&
		    plug_str_equal(
			explain->records[i].line.name, plug_str_from(name)))
			restores++;
	}
	plug_explain_row(output,
	    "event=belief name=%s config=%s hosts=%u draining=%u "
	    "domains_out=%u restores=%u",
	    name, value_at(beliefs, "config", name), hosts, draining, out,
	    restores);
}

static bool
has_same(const struct plug_logline *a, const struct plug_logline *b,
    const char *field)
{
	return plug_str_equal(
	    plug_logline_get(a, field), plug_logline_get(b, field));
}

/* Whether a later line of the same process tells of the same item. */
static bool
is_repeated(const struct plug_explain *explain, size_t index)
{
	const struct plug_logline *line = &explain->records[index].line;

	for (size_t i = index + 1; i < explain->count; i++) {
		const struct plug_explain_record *later = &explain->records[i];

		if (plug_explain_is(later, "store_item_unreadable") &&
		    plug_str_equal(later->line.name, line->name) &&
		    has_same(&later->line, line, "key"))
			return true;
	}
	return false;
}

/* Prints the items that processes have left out, each with its last reason. */
static void
print_left_out(const struct plug_explain *explain,
    const struct plug_explain_output *output)
{
	for (size_t i = 0; i < explain->count; i++) {
		const struct plug_logline *line = &explain->records[i].line;
		struct plug_str key, revision, reason;

		if (!plug_explain_is(
			&explain->records[i], "store_item_unreadable") ||
		    is_repeated(explain, i))
			continue;
		key = plug_logline_get(line, "key");
		revision = plug_logline_get(line, "revision");
		reason = plug_logline_get(line, "reason");
		plug_explain_row(output,
		    "event=left_out name=%.*s key=%.*s revision=%.*s "
		    "reason=\"%.*s\"",
		    (int)line->name.len, line->name.data, (int)key.len,
		    key.data, (int)revision.len, revision.data, (int)reason.len,
		    reason.data);
	}
}

/**
 * plug_explain_store_report() - where entries differ about the store
 * @explain: explanation that was fed all lines, ordered by time
 * @output: receives a row for each entry, one for each value of an item that
 *   not all of them hold, one for each item that a process has left out, and a
 *   summary
 *
 * Return: whether the logs hold anything on it.
 */
bool
plug_explain_store_report(const struct plug_explain *explain,
    const struct plug_explain_output *output)
{
	struct beliefs beliefs = { 0 };
	struct plug_tally names;
	unsigned int differences = 0;
	bool found;

	plug_tally_init(&names);
	found = list_names(explain, &names) && names.used > 0;
	for (size_t i = 0; found && i < explain->count; i++)
		apply(&beliefs, &explain->records[i]);
	found = found && !beliefs.memory;
	for (size_t i = 0; found && i < names.used; i++)
		print_entry(explain, &beliefs, names.entries[i].key, output);
	for (size_t i = 0; found && i < beliefs.count; i++) {
		const char *item = beliefs.list[i].item;

		if ((i == 0 || strcmp(item, beliefs.list[i - 1].item) != 0) &&
		    print_item(&beliefs, &names, item, output))
			differences++;
	}
	if (found) {
		print_left_out(explain, output);
		plug_explain_row(output,
		    "event=summary entries=%zu differences=%u", names.used,
		    differences);
	}
	plug_tally_finish(&names);
	free(beliefs.list);
	return found;
}
