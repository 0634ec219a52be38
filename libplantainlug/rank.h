#ifndef PLUG_RANK_H
#define PLUG_RANK_H

#include "view.h"

#define PLUG_RANKED_MAX 3 /* candidates for the owner of a moved flow */

uint64_t plug_rank_weight(uint64_t id, struct plug_endpoint endpoint);
unsigned int plug_rank_members(const struct plug_service *service,
    uint64_t flow, struct plug_endpoint excluded,
    const struct plug_member *ranked[PLUG_RANKED_MAX]);

#endif
