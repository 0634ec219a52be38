#ifndef PLUG_LOG_H
#define PLUG_LOG_H

#include "libplantainlug/client.h"

struct plug_log;

struct plug_log *plug_log_create(const char *name, const char *path,
    enum plug_log_level level, struct plug_status *status);
void plug_log_destroy(struct plug_log *log);
void plug_log_write(void *log, enum plug_log_level level, struct plug_str line);
void plug_log_event(struct plug_log *log, enum plug_log_level level,
    const char *format, ...) __attribute__((format(printf, 3, 4)));
uint64_t plug_log_dropped(const struct plug_log *log);

#endif
