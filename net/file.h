#ifndef PLUG_FILE_H
#define PLUG_FILE_H

#include "../libplantainlug/status.h"
#include "../libplantainlug/str.h"

enum plug_code plug_file_read(const char *path, size_t max, char **data,
    size_t *len, struct plug_status *status);

#endif
