#include <math.h>

#include "estimate.h"

/* Window of the moving averages, in measurements; until it is full, all
 * measurements have the same weight. A host that turns cold or slow is noticed
 * within a second, and a single outlier changes little. */
#define WINDOW 16

/* Few measurements exceed the mean by more than this many deviations. TCP uses
 * the same factor for its retransmission timeout. */
#define DEVIATIONS 4.0

/**
 * plug_estimate_add() - add a measurement
 * @estimate: estimate; zeroed memory is a valid initial value
 * @time: measured time in microseconds
 */
void
plug_estimate_add(struct plug_estimate *estimate, plug_time time)
{
	double error = (double)time - estimate->mean;

	if (estimate->measurement_count == 0) {
		estimate->measurement_count = 1;
		estimate->mean = (double)time;
		estimate->deviation = (double)time / 2;
		return;
	}
	if (estimate->measurement_count < WINDOW)
		estimate->measurement_count++;
	estimate->mean += error / estimate->measurement_count;
	estimate->deviation +=
	    (fabs(error) - estimate->deviation) / estimate->measurement_count;
}

/**
 * plug_estimate_upper_bound() - get a time that few measurements exceed
 * @estimate: estimate
 *
 * Return: microseconds; 0 before the first measurement.
 */
plug_time
plug_estimate_upper_bound(const struct plug_estimate *estimate)
{
	return (plug_time)(estimate->mean + DEVIATIONS * estimate->deviation);
}
