#ifndef PLUG_PORTS_H
#define PLUG_PORTS_H

#include "control.h"

/*
 * Opens the UDP sockets of a role on control->endpoint. data is that of the
 * control hooks. Leaves nothing open when it fails.
 */
typedef enum plug_code (*plug_ports_opener)(
    void *data, struct plug_status *status);

enum plug_code plug_ports_open(struct plug_control *control,
    const struct plug_settings *settings,
    const struct plug_control_hooks *hooks, plug_ports_opener open_udp,
    struct plug_status *status);

#endif
