#ifndef PLUG_ENTRYD_H
#define PLUG_ENTRYD_H

#include "libplantainlug/settings.h"

enum plug_code plug_entryd_run(
    const struct plug_settings *settings, struct plug_status *status);

#endif
