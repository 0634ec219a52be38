#ifndef PLUG_CLOCK_H
#define PLUG_CLOCK_H

#include "libplantainlug/client.h"

plug_time plug_clock_now(void);

#endif
