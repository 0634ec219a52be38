#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "common.h"

#define NSEC_PER_SEC 1e9

/**
 * bench_now() - monotonic time in seconds
 */
double
bench_now(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / NSEC_PER_SEC;
}

/**
 * bench_samples_add() - take a sample; those beyond the limit are ignored
 * @samples: samples
 * @value: sample
 */
void
bench_samples_add(struct bench_samples *samples, double value)
{
	if (samples->count < BENCH_SAMPLES_MAX)
		samples->values[samples->count++] = value;
}

static int
compare_doubles(const void *a, const void *b)
{
	const double *x = a, *y = b;

	return (*x > *y) - (*x < *y);
}

/**
 * bench_samples_sort() - order the samples, before quantiles are read
 * @samples: samples
 */
void
bench_samples_sort(struct bench_samples *samples)
{
	qsort(samples->values, samples->count, sizeof(samples->values[0]),
	    compare_doubles);
}

/**
 * bench_samples_quantile() - quantile of sorted samples by nearest rank
 * @samples: sorted samples
 * @q: 0 to 1; 0.5 is the median, 1 the maximum
 *
 * Return: the quantile, 0 when there are no samples.
 */
double
bench_samples_quantile(const struct bench_samples *samples, double q)
{
	size_t rank;

	if (samples->count == 0)
		return 0;
	rank = (size_t)ceil(q * (double)samples->count);
	return samples->values[rank == 0 ? 0 : rank - 1];
}

/**
 * bench_fit_line() - least-squares line
 * @sizes: sizes
 * @figures: figure measured at each size
 * @count: points, at least 2 with different sizes
 */
struct bench_fit
bench_fit_line(const double *sizes, const double *figures, size_t count)
{
	struct bench_fit fit = { 0, 0, 0 };
	double sx = 0, sy = 0, sxx = 0, sxy = 0, n = (double)count;

	for (size_t i = 0; i < count; i++) {
		sx += sizes[i];
		sy += figures[i];
		sxx += sizes[i] * sizes[i];
		sxy += sizes[i] * figures[i];
	}
	fit.slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
	fit.intercept = (sy - fit.slope * sx) / n;
	for (size_t i = 0; i < count; i++) {
		double line = fit.intercept + fit.slope * sizes[i];
		double share = figures[i] == 0
				   ? 0
				   : fabs(figures[i] - line) / fabs(figures[i]);

		if (share > fit.error)
			fit.error = share;
	}
	return fit;
}

/**
 * bench_resident_kib() - resident memory of this process in KiB
 *
 * Return: resident size from /proc/self/statm, 0 when it can't be read.
 */
double
bench_resident_kib(void)
{
	FILE *file = fopen("/proc/self/statm", "r");
	char line[128], *end = line;
	long resident = 0;

	if (file == NULL)
		return 0;
	if (fgets(line, sizeof(line), file) != NULL) {
		(void)strtol(line, &end, 10);
		resident = strtol(end, NULL, 10);
	}
	(void)fclose(file);
	return (double)resident * (double)sysconf(_SC_PAGESIZE) / 1024;
}
