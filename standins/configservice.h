#ifndef PLUG_CONFIGSERVICE_H
#define PLUG_CONFIGSERVICE_H

#include "../libplantainlug/packet.h"

/*
 * Stand-in for the configuration service: serves the files DIR/KIND/NAME or
 * DIR/KIND/NAME.json as the keys KIND/NAME. A version is a counter that rises
 * with each change of a content. Files whose names start with "." or end in
 * ".tmp" are left out, so a writer can rename a complete file into place.
 */
struct plug_standin_config;

struct plug_standin_config *
plug_standin_config_start(const char *dir, struct plug_endpoint listen,
    uint64_t first_version, struct plug_status *status);
struct plug_endpoint
plug_standin_config_address(const struct plug_standin_config *service);
void plug_standin_config_scan(struct plug_standin_config *service);
void plug_standin_config_stop(struct plug_standin_config *service);
int plug_standin_config_main(int argc, char **argv);

#endif
