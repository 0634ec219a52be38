#include <math.h>

#include "world.h"

#define SETTLE (2 * PLUG_SEC) /* past a deadline until a caller must know */

/* Compares what a process holds of a key with what it should hold. */
static void
sample_key(struct process *process, int i)
{
	const struct key *key = &world.keys[i];
	const struct plug_key_entry *entry = plug_keystore_find(
	    plug_node_keystore(process->node), plug_str_from(key->name));
	uint64_t held = entry == NULL ? 0 : entry->version;
	double since = fmax((double)key->published,
	    fmax((double)process->since, (double)world.healed));

	world.figures.reverts += held < process->seen[i];
	world.figures.accepted_bad += key->corrupt && held == key->version;
	process->seen[i] = held;
	if (key->service < 0 || world.cut_count > 0 || held >= key->wanted ||
	    (process->service >= 0 && process->service != key->service))
		return;
	world.figures.config_lag =
	    fmax(world.figures.config_lag, (double)world.now - since);
}

/* Looks at the stores of all processes. */
void
verdict_sample(void)
{
	for (int i = 0; i < world.process_count; i++)
		for (int k = 0; k < world.key_count; k++)
			if (world.processes[i].alive &&
			    !world.processes[i].paused)
				sample_key(&world.processes[i], k);
}

static int
compare_double(const void *left, const void *right)
{
	const double *a = left, *b = right;

	return (*a > *b) - (*a < *b);
}

/* Latency of short requests in milliseconds; counts how requests ended. */
static double
scan_requests(const struct expectation *expect, double from, double to,
    double quantile, double ends[ENDS])
{
	double *samples = apr_palloc(
	    world.pool, (world.request_count + 1) * sizeof(*samples));
	size_t count = 0;

	for (size_t i = 0; i < world.request_count; i++) {
		const struct request *request = &world.requests[i];

		if (request->sent < seconds(from) ||
		    request->sent >= seconds(to) || request->retried ||
		    request->deadline + SETTLE > world.end ||
		    (expect->service >= 0 &&
			request->service != expect->service))
			continue;
		ends[request->end]++;
		if (request->end == END_ANSWERED && request->operation != BULK)
			samples[count++] =
			    (double)(request->ended - request->sent) /
			    (double)PLUG_MSEC;
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
	int hosts = 0;

	for (int i = 0; i < world.process_count; i++) {
		const struct process *process = &world.processes[i];
		double work = 0;

		if (process->service != expect->service || !process->alive ||
		    process->leaving || process->since > seconds(expect->from))
			continue;
		for (int s = (int)expect->from;
		     s < (int)fmin(expect->to, SECONDS_MAX); s++)
			work += process->upstream.busy[s];
		if (work == 0)
			continue;
		sum += work;
		worst = fmax(worst, work);
		hosts++;
	}
	return sum == 0 ? 0 : worst * hosts / sum;
}

/* Value of a figure, times in seconds; false when there is none. */
bool
verdict_figure(const struct expectation *expect, double *value)
{
	const struct figures *f = &world.figures;
	const char *metric = expect->metric;
	double ends[ENDS] = { 0 }, unused[ENDS], total = 0, quantile = 0.99;
	double started = 0, false_refusals = 0, quantile_ms, base_ms;

	if (sscanf(metric, "p%lf_short", &quantile) == 1)
		quantile /= quantile > 100 ? 1000 : 100;
	quantile_ms =
	    scan_requests(expect, expect->from, expect->to, quantile, ends);
	base_ms = scan_requests(
	    expect, expect->base_from, expect->base_to, quantile, unused);
	for (int i = 0; i < ENDS; i++)
		total += ends[i];
	for (size_t i = 0; i < world.request_count; i++) {
		started += world.requests[i].runs > 0;
		false_refusals += world.requests[i].runs > 0 &&
				  world.requests[i].end == END_NOT_RUN;
	}
	const struct {
		const char *name;
		double value;
	} figures[] = {
		{ "broken_flows", f->broken_flows },
		{ "lost_with_owner", f->lost_with_owner },
		{ "lost_with_domain", f->lost_with_domain },
		{ "all_broken", f->broken_flows + f->lost_with_owner +
				    f->lost_with_domain },
		{ "failed_opens", f->failed_opens },
		{ "duplicate_runs", f->duplicate_runs },
		{ "wrong_answers", f->wrong_answers },
		{ "foreign_work", f->foreign_work },
		{ "late_packets", f->late_packets },
		{ "overload", f->overload },
		{ "late_work", f->late_work },
		{ "reverts", f->reverts },
		{ "accepted_bad", f->accepted_bad },
		{ "renewals", f->renewals },
		{ "false_refusals", false_refusals },
		{ "retry_load", f->runs / fmax(started, 1) - 1 },
		{ "requests", total },
		{ "answered", ends[END_ANSWERED] / fmax(total, 1) },
		{ "unanswered", ends[END_NONE] },
		{ "unknown", ends[END_UNKNOWN] },
		{ "refused", ends[END_NOT_RUN] + ends[END_NOT_SENT] },
		{ "config_everywhere", f->config_lag / (double)PLUG_SEC },
		{ "domain_silent_after", f->domain_silent / (double)PLUG_SEC },
		{ "imbalance", imbalance(expect) },
		{ "p50_short", quantile_ms },
		{ "p99_short", quantile_ms },
		{ "p999_short", quantile_ms },
		{ "p100_short", quantile_ms },
		{ "p99_short_ratio", quantile_ms / fmax(base_ms, 1e-9) },
	};

	for (size_t i = 0; i < sizeof(figures) / sizeof(figures[0]); i++)
		if (strcmp(metric, figures[i].name) == 0) {
			*value = figures[i].value;
			return true;
		}
	return false;
}
