#ifndef PLUG_TRACK_ESTIMATE_H
#define PLUG_TRACK_ESTIMATE_H

#include "../client.h"

/**
 * struct plug_estimate - moving average of a measured time
 * @mean: moving average, microseconds
 * @deviation: moving average of the absolute difference from @mean,
 *   microseconds
 * @measurement_count: measurements so far, up to a limit; 0 before the first
 */
struct plug_estimate {
	double mean;
	double deviation;
	unsigned int measurement_count;
};

void plug_estimate_add(struct plug_estimate *estimate, plug_time time);
plug_time plug_estimate_upper_bound(const struct plug_estimate *estimate);

#endif
