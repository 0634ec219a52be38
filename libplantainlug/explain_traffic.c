#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "document.h"
#include "explain_internal.h"

#define DOMAIN_SIZE (PLUG_NAME_SIZE + 16) /* bytes of a domain, with NUL */

/* Processes know other domains by the hash of their names; the line that each
 * logs at its start names its own. */
static void
learn_domain(struct plug_explain *explain, struct plug_str name)
{
	char key[PLUG_NAME_SIZE + 32];

	if (name.len == 0 || name.len >= PLUG_NAME_SIZE)
		return;
	(void)snprintf(key, sizeof(key), "#%08x %.*s", plug_domain_hash(name),
	    (int)name.len, name.data);
	if (!plug_tally_add(&explain->domains, key, 1, 0))
		explain->memory = true;
}

/**
 * plug_explain_traffic_feed() - take a line for the report on traffic
 * @explain: explanation
 * @line: line
 */
bool
plug_explain_traffic_feed(
    struct plug_explain *explain, const struct plug_logline *line)
{
	static const char *const keys[] = { "service", "from_domain",
		"to_domain", "cause" };
	char key[PLUG_TALLY_KEY_SIZE];
	size_t len = 0;

	if (plug_str_equal(line->event, PLUG_STR("listening")))
		learn_domain(explain, plug_logline_get(line, "domain"));
	if (!plug_str_equal(line->event, PLUG_STR("traffic")))
		return false;
	for (size_t i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		struct plug_str value = plug_logline_get(line, keys[i]);

		if (value.len >= PLUG_NAME_SIZE)
			value.len = PLUG_NAME_SIZE - 1;
		len += (size_t)snprintf(key + len, sizeof(key) - len, "%s%.*s",
		    i > 0 ? " " : "", (int)value.len, value.data);
		if (len >= sizeof(key))
			return false;
	}
	if (!plug_tally_add(&explain->tally, key,
		plug_logline_number(line, "packets"),
		plug_logline_number(line, "bytes")))
		explain->memory = true;
	return false;
}

/* Replaces a hash by the name of the domain when a log names it. */
static void
resolve_domain(const struct plug_explain *explain, char domain[DOMAIN_SIZE])
{
	size_t len = strlen(domain);

	for (size_t i = 0; domain[0] == '#' && i < explain->domains.used; i++) {
		const char *key = explain->domains.entries[i].key;

		if (strncmp(key, domain, len) == 0 && key[len] == ' ')
			(void)snprintf(
			    domain, DOMAIN_SIZE, "%s", key + len + 1);
	}
}

struct sum {
	char service[PLUG_NAME_SIZE];
	char from[DOMAIN_SIZE];
	char to[DOMAIN_SIZE];
	char cause[PLUG_NAME_SIZE];
	uint64_t bytes;
	uint64_t packets;
};

static bool
is_unknown(const struct sum *sum)
{
	return strcmp(sum->to, "unknown") == 0;
}

static bool
crosses(const struct sum *sum)
{
	return !is_unknown(sum) && strcmp(sum->from, sum->to) != 0;
}

/* Sums that cross domains first, then the larger ones. */
static int
compare_sums(const void *a, const void *b)
{
	const struct sum *x = a;
	const struct sum *y = b;

	if (crosses(x) != crosses(y))
		return crosses(x) ? -1 : 1;
	if (x->bytes != y->bytes)
		return x->bytes > y->bytes ? -1 : 1;
	return 0;
}

static struct sum *
read_sums(const struct plug_explain *explain)
{
	struct sum *sums = calloc(explain->tally.used, sizeof(*sums));

	for (size_t i = 0; sums != NULL && i < explain->tally.used; i++) {
		const struct plug_tally_entry *entry =
		    &explain->tally.entries[i];
		struct sum *sum = &sums[i];

		(void)sscanf(entry->key, "%63s %79s %79s %63s", sum->service,
		    sum->from, sum->to, sum->cause);
		resolve_domain(explain, sum->from);
		resolve_domain(explain, sum->to);
		sum->bytes = entry->amount;
		sum->packets = entry->count;
	}
	return sums;
}

/**
 * plug_explain_traffic_report() - bytes between failure domains
 * @explain: explanation
 * @output: receives one row for each service, pair of domains and cause, and a
 *	summary of what crosses domains
 */
bool
plug_explain_traffic_report(const struct plug_explain *explain,
    const struct plug_explain_output *output)
{
	size_t count = explain->tally.used;
	uint64_t crossing = 0, inside = 0, unknown = 0;
	struct sum *sums;

	if (count == 0)
		return false;
	sums = read_sums(explain);
	if (sums == NULL)
		return false;
	qsort(sums, count, sizeof(*sums), compare_sums);
	for (size_t i = 0; i < count; i++) {
		const struct sum *sum = &sums[i];

		if (is_unknown(sum))
			unknown += sum->bytes;
		else if (crosses(sum))
			crossing += sum->bytes;
		else
			inside += sum->bytes;
		plug_explain_row(output,
		    "event=traffic_sum service=%s from_domain=%s to_domain=%s "
		    "cause=%s bytes=%llu packets=%llu crosses=%d",
		    sum->service, sum->from, sum->to, sum->cause,
		    (unsigned long long)sum->bytes,
		    (unsigned long long)sum->packets, crosses(sum));
	}
	plug_explain_row(output,
	    "event=summary crossing_bytes=%llu inside_bytes=%llu "
	    "unknown_bytes=%llu largest_cause=%s largest_service=%s",
	    (unsigned long long)crossing, (unsigned long long)inside,
	    (unsigned long long)unknown, crossing > 0 ? sums[0].cause : "none",
	    crossing > 0 ? sums[0].service : "none");
	free(sums);
	return true;
}
