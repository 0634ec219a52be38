#include <getopt.h>

#include "world.h"

static const char usage[] =
    "usage: scenario [--seeds A-B] [--trace] [--values] [--measure] "
    "[--baseline] FILE\n";

/* Distance by which a value misses its bound; not positive when it holds. */
static double
excess(const struct expectation *e, double value)
{
	if (e->op[0] == '=')
		return fabs(value - e->bound);
	return e->op[0] == '<' ? value - e->bound : e->bound - value;
}

/* Runs one seed and adds its figures; whether every expectation held. */
static bool
run_seed(int lines, bool first)
{
	bool good = true;

	world_run();
	for (int i = 0; i < lines; i++) {
		struct expectation *e = script_expectation(i);
		double value;

		if (e == NULL || !verdict_figure(e, &value))
			continue;
		if (first || excess(e, value) > excess(e, e->worst))
			e->worst = value;
		e->sum += value;
		if (excess(e, value) <= 0)
			continue;
		good = false;
		(void)snprintf(e->seeds + strlen(e->seeds),
		    sizeof(e->seeds) - strlen(e->seeds), "%s%llu",
		    e->seeds[0] == '\0' ? "" : ",",
		    (unsigned long long)world.seed);
	}
	world_finish();
	return good;
}

static void
report(const struct expectation *e, bool values)
{
	const bool failed = e->seeds[0] != '\0';

	printf("event=result metric=%s bound=%s%g from=%g result=%s", e->metric,
	    e->op, e->bound, e->from, failed ? "fail" : "pass");
	if (values || failed)
		printf(" worst=%.6g", e->worst);
	if (failed)
		printf(" failing_seeds=%s", e->seeds);
	printf("\n");
}

int
main(int argc, char **argv)
{
	static struct world blank;
	int values = 0, measure = 0, traced = 0, baseline = 0, option, lines;
	const struct option options[] = {
		{ "seeds", required_argument, NULL, 's' },
		{ "values", no_argument, &values, 1 },
		{ "measure", no_argument, &measure, 1 },
		{ "trace", no_argument, &traced, 1 },
		{ "baseline", no_argument, &baseline, 1 },
		{ NULL, 0, NULL, 0 },
	};
	unsigned long long from = 1, to = 1;
	unsigned int failed = 0;

	(void)apr_initialize();
	while ((option = getopt_long(argc, argv, "", options, NULL)) != -1) {
		if (option == 's' &&
		    sscanf(optarg, "%llu-%llu", &from, &to) == 1)
			to = from;
		if (option == '?')
			optind = argc;
	}
	if (optind != argc - 1) {
		(void)fputs(usage, stderr);
		return 2;
	}
	blank.trace = traced;
	blank.baseline = baseline;
	lines = script_load(argv[optind]);
	for (unsigned long long seed = from; seed <= to; seed++) {
		world = blank;
		world.seed = seed;
		failed += !run_seed(lines, seed == from);
	}
	for (int i = 0; i < lines; i++) {
		const struct expectation *e = script_expectation(i);

		if (e != NULL && measure)
			printf("metric=%s mean=%.6g worst=%.6g\n", e->metric,
			    e->sum / (double)(to - from + 1), e->worst);
		else if (e != NULL)
			report(e, values);
	}
	if (!measure)
		printf("event=summary seeds=%llu failed=%u\n", to - from + 1,
		    failed);
	return failed == 0 || measure ? 0 : 1;
}
