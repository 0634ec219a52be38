#ifndef BENCH_COMMON_H
#define BENCH_COMMON_H

#include <stddef.h>
#include <stdint.h>

#define BENCH_SAMPLES_MAX 65536

/**
 * struct bench_samples - exact samples of one figure
 * @count: samples taken
 * @values: samples, sorted by bench_samples_sort()
 */
struct bench_samples {
	size_t count;
	double values[BENCH_SAMPLES_MAX];
};

/**
 * struct bench_fit - straight line through measured points
 * @slope: change of the figure for each unit of size
 * @intercept: figure at size 0
 * @error: largest deviation of a point from the line, as a share of the point
 */
struct bench_fit {
	double slope;
	double intercept;
	double error;
};

double bench_now(void);
void bench_samples_add(struct bench_samples *samples, double value);
void bench_samples_sort(struct bench_samples *samples);
double bench_samples_quantile(const struct bench_samples *samples, double q);
struct bench_fit
bench_fit_line(const double *sizes, const double *figures, size_t count);
double bench_resident_kib(void);

#endif
