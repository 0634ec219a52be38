#include "world.h"

#define SETTLE (2 * PLUG_SEC) /* past a deadline until a caller must know */

/* Compares what a process holds of a key with what it should hold. */
void
verdict_sample(struct process *process, int index)
{
	const struct key *key = &world.keys[index];
	const struct plug_key_entry *entry = plug_keystore_find(
	    plug_node_keystore(process->node), plug_str_from(key->name));
	uint64_t held = entry == NULL ? 0 : entry->version;
	double *lag = &world.figures.config_everywhere;
	double since = fmax((double)key->published,
	    fmax((double)process->since, (double)world.healed));

	world.figures.reverts += held < process->seen[index];
	world.figures.accepted_bad += key->corrupt && held == key->version;
	process->seen[index] = held;
	if (key->service >= 0 && world.cut_count == 0 && held < key->wanted &&
	    (process->service < 0 || process->service == key->service))
		*lag = fmax(*lag, ((double)world.now - since) / PLUG_SEC);
}

static int
compare_double(const void *left, const void *right)
{
	const double *a = left, *b = right;

	return (*a > *b) - (*a < *b);
}

static bool
counts(const struct expectation *expect, const struct request *request,
    double from, double to)
{
	return request->sent >= seconds(from) && request->sent < seconds(to) &&
	       !request->retried && request->deadline + SETTLE <= world.end &&
	       (expect->service < 0 || request->service == expect->service);
}

/* Requests that ended in a way, of those that count. */
static double
ended(const struct expectation *expect, enum request_end end)
{
	double count = 0;

	for (size_t i = 0; i < world.request_count; i++)
		count += counts(expect, &world.requests[i], expect->from,
			     expect->to) &&
			 (end == ENDS || world.requests[i].end == end);
	return count;
}

/* Quantile of the latency of short requests in milliseconds. */
static double
latency(const struct expectation *expect, double from, double to)
{
	double *samples = apr_palloc(
	    world.pool, (world.request_count + 1) * sizeof(*samples));
	double quantile = 0;
	size_t count = 0;

	if (sscanf(expect->metric, "p%lf_short", &quantile) != 1)
		return 0;
	quantile /= quantile > 100 ? 1000 : 100;
	for (size_t i = 0; i < world.request_count; i++) {
		const struct request *request = &world.requests[i];

		if (counts(expect, request, from, to) &&
		    request->end == END_ANSWERED && request->operation != BULK)
			samples[count++] =
			    (double)(request->ended - request->sent) /
			    PLUG_MSEC;
	}
	qsort(samples, count, sizeof(*samples), compare_double);
	return count == 0 ? 0
			  : samples[(size_t)ceil(quantile * (double)count) - 1];
}

/* Work of the busiest host over the mean, over hosts in service at the end. */
static double
imbalance(const struct expectation *expect)
{
	double worst = 0, sum = 0;
	int hosts = 0, to = (int)fmin(expect->to, SECONDS_MAX);

	for (int i = 0; i < world.process_count; i++) {
		const struct process *process = &world.processes[i];
		double work = 0;

		if (process->service != expect->service || !process->alive ||
		    process->leaving || process->since > seconds(expect->from))
			continue;
		for (int s = (int)expect->from; s < to; s++)
			work += process->upstream.busy[s];
		sum += work;
		worst = fmax(worst, work);
		hosts += work > 0;
	}
	return sum == 0 ? 0 : worst * hosts / sum;
}

/* Value of a figure, times in seconds; false when there is none. */
bool
verdict_figure(const struct expectation *expect, double *value)
{
	const struct figures *f = &world.figures;
	const double started = fmax(f->runs - f->repeated_runs, 1);
	const double now = latency(expect, expect->from, expect->to);
	const double base = latency(expect, expect->base_from, expect->base_to);
	const struct {
		const char *name;
		double value;
	} figures[] = {
		{ "broken_flows", f->broken_flows },
		{ "lost_with_owner", f->lost_with_owner },
		{ "lost_with_domain", f->lost_with_domain },
		{ "lost_otherwise", f->broken_flows + f->lost_with_owner },
		{ "duplicate_runs", f->duplicate_runs },
		{ "wrong_answers", f->wrong_answers },
		{ "foreign_work", f->foreign_work },
		{ "late_packets", f->late_packets },
		{ "overload", f->overload },
		{ "late_work", f->late_work },
		{ "reverts", f->reverts },
		{ "accepted_bad", f->accepted_bad },
		{ "config_everywhere", f->config_everywhere },
		{ "domain_silent_after", f->domain_silent_after },
		{ "false_refusals", f->false_refusals },
		{ "retry_load", f->runs / started - 1 },
		{ "answered", ended(expect, END_ANSWERED) /
				  fmax(ended(expect, ENDS), 1) },
		{ "unanswered", ended(expect, END_NONE) },
		{ "unknown", ended(expect, END_UNKNOWN) },
		{ "refused",
		    ended(expect, END_NOT_RUN) + ended(expect, END_NOT_SENT) },
		{ "imbalance", imbalance(expect) },
		{ "p50_short", now },
		{ "p99_short", now },
		{ "p999_short", now },
		{ "p100_short", now },
		{ "p99_short_ratio", now / fmax(base, 1e-9) },
	};

	for (size_t i = 0; i < sizeof(figures) / sizeof(figures[0]); i++)
		if (strcmp(expect->metric, figures[i].name) == 0) {
			*value = figures[i].value;
			return true;
		}
	return false;
}
