#include <math.h>

#include "estimate.h"

/* About this many measurements count, the first ones alike: a host that turns
 * cold or slow is known within a second, and one odd time changes little. */
#define MEASUREMENTS 16

/* Hardly any time is further from the mean than this many deviations; the
 * retransmission timer of TCP has the same factor. */
#define DEVIATIONS 4.0

/**
 * plug_estimate_add() - a time was measured
 * @estimate: estimate; zeroed memory is a valid start
 * @time: time in microseconds
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
	if (estimate->measurement_count < MEASUREMENTS)
		estimate->measurement_count++;
	estimate->mean += error / estimate->measurement_count;
	estimate->deviation +=
	    (fabs(error) - estimate->deviation) / estimate->measurement_count;
}

/**
 * plug_estimate_upper_bound() - a time that is rarely exceeded
 * @estimate: estimate
 *
 * Return: microseconds, 0 while nothing is known.
 */
plug_time
plug_estimate_upper_bound(const struct plug_estimate *estimate)
{
	return (plug_time)(estimate->mean + DEVIATIONS * estimate->deviation);
}
