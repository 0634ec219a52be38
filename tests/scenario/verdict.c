#include "world.h"

#define SETTLE (2 * PLUG_SEC) /* past a deadline until a caller must know */

/* Compares what a process holds of a key with what it should hold. */
void
verdict_sample(struct process *p, int index)
{
	const struct key *key = &world.keys[index];
	const struct plug_key_entry *entry = plug_keystore_find(
	    plug_node_keystore(p->node), plug_str_from(key->name));
	uint64_t held = entry == NULL ? 0 : entry->version;
	double *lag = &world.figures.config_everywhere;
	double since = fmax((double)key->published,
	    fmax((double)p->since, (double)world.healed));

	world.figures.reverts += held < p->seen[index];
	world.figures.accepted_bad += key->corrupt && held == key->version;
	p->seen[index] = held;
	if (key->service >= 0 && world.cut_count == 0 && held < key->wanted &&
	    (p->service < 0 || p->service == key->service))
		*lag = fmax(*lag, ((double)world.now - since) / PLUG_SEC);
}

static int
compare_double(const void *left, const void *right)
{
	const double *a = left, *b = right;

	return (*a > *b) - (*a < *b);
}

static bool
counts(const struct expectation *e, const struct request *r, double from,
    double to)
{
	return r->sent >= seconds(from) && r->sent < seconds(to) &&
	       !r->retried && r->deadline + SETTLE <= world.end &&
	       (e->service < 0 || r->service == e->service);
}

/* Requests that ended in a way, of those that count. */
static double
ended(const struct expectation *e, enum request_end end)
{
	double count = 0;

	for (size_t i = 0; i < world.request_count; i++)
		count += counts(e, &world.requests[i], e->from, e->to) &&
			 (end == ENDS || world.requests[i].end == end);
	return count;
}

/* Quantile of the latency of short requests in milliseconds. */
static double
latency(const struct expectation *e, double from, double to)
{
	double *samples = apr_palloc(
	    world.pool, (world.request_count + 1) * sizeof(*samples));
	double quantile = 0;
	size_t count = 0;

	if (sscanf(e->metric, "p%lf_short", &quantile) != 1)
		return 0;
	quantile /= quantile > 100 ? 1000 : 100;
	for (size_t i = 0; i < world.request_count; i++) {
		const struct request *r = &world.requests[i];

		if (counts(e, r, from, to) && r->end == END_ANSWERED &&
		    r->operation != BULK)
			samples[count++] =
			    (double)(r->ended - r->sent) / PLUG_MSEC;
	}
	qsort(samples, count, sizeof(*samples), compare_double);
	return count == 0 ? 0
			  : samples[(size_t)ceil(quantile * (double)count) - 1];
}

/* Work of the busiest host over the mean, over hosts in service at the end. */
static double
imbalance(const struct expectation *e)
{
	double worst = 0, sum = 0;
	int hosts = 0, to = (int)fmin(e->to, SECONDS_MAX);

	for (int i = 0; i < world.process_count; i++) {
		const struct process *p = &world.processes[i];
		double work = 0;

		if (p->service != e->service || !p->alive || p->leaving ||
		    p->since > seconds(e->from))
			continue;
		for (int s = (int)e->from; s < to; s++)
			work += p->upstream.busy[s];
		sum += work;
		worst = fmax(worst, work);
		hosts += work > 0;
	}
	return sum == 0 ? 0 : worst * hosts / sum;
}

/* Value of a figure, times in seconds; false when there is none. */
bool
verdict_figure(const struct expectation *e, double *value)
{
	const struct figures *f = &world.figures;
	const double started = fmax(f->runs - f->repeated_runs, 1);
	const double now = latency(e, e->from, e->to);
	const double base = latency(e, e->base_from, e->base_to);
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
		{ "answered",
		    ended(e, END_ANSWERED) / fmax(ended(e, ENDS), 1) },
		{ "unanswered", ended(e, END_NONE) },
		{ "unknown", ended(e, END_UNKNOWN) },
		{ "refused", ended(e, END_NOT_RUN) + ended(e, END_NOT_SENT) },
		{ "imbalance", imbalance(e) },
		{ "p50_short", now },
		{ "p99_short", now },
		{ "p999_short", now },
		{ "p100_short", now },
		{ "p99_short_ratio", now / fmax(base, 1e-9) },
	};

	for (size_t i = 0; i < sizeof(figures) / sizeof(figures[0]); i++)
		if (strcmp(e->metric, figures[i].name) == 0) {
			*value = figures[i].value;
			return true;
		}
	return false;
}
