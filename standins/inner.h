#ifndef PLUG_INNER_H
#define PLUG_INNER_H

#include <stdbool.h>

#include "libplantainlug/packet.h"

#define PLUG_GRE_SIZE 4 /* bytes: GRE header without options, RFC 2784 */

void plug_inner_wrap(uint8_t *packet, size_t payload,
    struct plug_endpoint source, struct plug_endpoint target);
bool plug_inner_unwrap(const uint8_t *packet, size_t len,
    struct plug_endpoint *source, struct plug_endpoint *target);
void plug_inner_put_gre(uint8_t header[PLUG_GRE_SIZE]);
bool plug_inner_is_gre(const uint8_t *datagram, size_t len);

#endif
