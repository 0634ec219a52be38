#include <math.h>

#include "world.h"

/* Distance by which a value misses its bound; not positive when it holds. */
static double
excess(const struct expectation *expect, double value)
{
	if (expect->op[0] == '=')
		return fabs(value - expect->bound);
	return expect->op[0] == '<' ? value - expect->bound
				    : expect->bound - value;
}

/* Runs one seed and adds its figures; whether every expectation held. */
static bool
run_seed(int lines, bool first)
{
	bool good = true;

	world_run();
	for (int i = 0; i < lines; i++) {
		struct expectation *expect = script_expectation(i);
		double value;

		if (expect == NULL || !verdict_figure(expect, &value))
			continue;
		if (first ||
		    excess(expect, value) > excess(expect, expect->worst))
			expect->worst = value;
		expect->sum += value;
		if (excess(expect, value) <= 0)
			continue;
		good = false;
		(void)snprintf(expect->seeds + strlen(expect->seeds),
		    sizeof(expect->seeds) - strlen(expect->seeds), "%s%llu",
		    expect->seeds[0] == '\0' ? "" : ",",
		    (unsigned long long)world.seed);
	}
	world_finish();
	return good;
}

static void
report(const struct expectation *expect, bool values)
{
	const bool failed = expect->seeds[0] != '\0';

	printf("event=result metric=%s bound=%s%g from=%g result=%s",
	    expect->metric, expect->op, expect->bound, expect->from,
	    failed ? "fail" : "pass");
	if (values || failed)
		printf(" worst=%.6g", expect->worst);
	if (failed)
		printf(" failing_seeds=%s", expect->seeds);
	printf("\n");
}

int
main(int argc, char **argv)
{
	static struct world blank;
	const char *file = NULL;
	unsigned long long from = 1, to = 1;
	unsigned int failed = 0;
	bool values = false, measure = false, bad = false;
	int lines;

	(void)apr_initialize();
	for (int i = 1; i < argc; i++) {
		const char *value = i + 1 < argc ? argv[i + 1] : "";

		if (strcmp(argv[i], "--trace") == 0)
			blank.trace = true;
		else if (strcmp(argv[i], "--values") == 0)
			values = true;
		else if (strcmp(argv[i], "--measure") == 0)
			measure = true;
		else if (strcmp(argv[i], "--policy") == 0 && ++i)
			blank.baseline = strcmp(value, "baseline") == 0;
		else if (strncmp(argv[i], "--seed", 6) == 0 && ++i) {
			if (sscanf(value, "%llu-%llu", &from, &to) == 1)
				to = from;
		} else if (strcmp(argv[i], "--record") == 0 && ++i)
			blank.record = fopen(value, "w");
		else if (strcmp(argv[i], "--process") == 0 && ++i)
			blank.record_name = value;
		else if (strcmp(argv[i], "--replay") == 0)
			return process_replay(value);
		else if (argv[i][0] != '-')
			file = argv[i];
		else
			bad = true;
	}
	if (bad || file == NULL ||
	    (blank.record == NULL) != (blank.record_name == NULL)) {
		(void)fputs(
		    "usage: scenario FILE [--seeds A-B | --seed N] "
		    "[--trace] [--values] [--measure] [--policy baseline]\n"
		    "           [--record OUT --process NAME]\n"
		    "       scenario --replay FILE\n",
		    stderr);
		return 2;
	}
	lines = script_load(file);
	for (unsigned long long seed = from; seed <= to; seed++) {
		world = blank;
		world.seed = seed;
		failed += !run_seed(lines, seed == from);
	}
	for (int i = 0; i < lines; i++) {
		const struct expectation *expect = script_expectation(i);

		if (expect != NULL && measure)
			printf("%s=%.6g ", expect->metric,
			    expect->sum / (double)(to - from + 1));
		else if (expect != NULL)
			report(expect, values);
	}
	printf("%s seeds=%llu failed=%u\n", measure ? "" : "event=summary",
	    to - from + 1, failed);
	return failed == 0 || measure ? 0 : 1;
}
