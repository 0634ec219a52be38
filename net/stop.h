#ifndef PLUG_STOP_H
#define PLUG_STOP_H

#include <stdbool.h>

void plug_stop_install(void);
bool plug_stop_requested(void);
bool plug_stop_reload_taken(void);

#endif
