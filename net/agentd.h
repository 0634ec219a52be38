#ifndef PLUG_AGENTD_H
#define PLUG_AGENTD_H

#include "libplantainlug/settings.h"

enum plug_code plug_agentd_run(
    const struct plug_settings *settings, struct plug_status *status);

#endif
