#include <time.h>

#include "clock.h"

#define NSEC_PER_USEC 1000

/**
 * plug_clock_now() - current time for the decision library
 *
 * Uses the clock that also counts while the machine is suspended, so that a
 * suspended machine is noticed like a stopped process.
 *
 * Return: microseconds since an arbitrary start.
 */
plug_time
plug_clock_now(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_BOOTTIME, &ts);
	return (plug_time)ts.tv_sec * PLUG_SEC + ts.tv_nsec / NSEC_PER_USEC;
}
