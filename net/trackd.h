#ifndef PLUG_TRACKD_H
#define PLUG_TRACKD_H

#include "adapter.h"
#include "libplantainlug/track/settings.h"

enum plug_code
plug_trackd_run(const char *path, const struct plug_track_settings *settings,
    const struct plug_adapter *adapter, struct plug_status *status);

#endif
