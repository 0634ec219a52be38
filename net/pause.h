#ifndef PLUG_PAUSE_H
#define PLUG_PAUSE_H

#include "libplantainlug/client.h"

/**
 * struct plug_pause - notices that a traffic thread stood still
 * @last: time of the last batch
 * @old: datagrams that may still be old; 0 when none is
 */
struct plug_pause {
	plug_time last;
	unsigned int old;
};

void plug_pause_init(struct plug_pause *pause, plug_time now);
bool plug_pause_check(
    struct plug_pause *pause, plug_time now, unsigned int received);

#endif
