#ifndef PLUG_LOOP_H
#define PLUG_LOOP_H

#include "libplantainlug/client.h"

struct event_base;
struct plug_loop;

/*
 * The event loop of one thread, on libevent. What is made with its base, as the
 * GETs of fetch.h and the pages of statuspage.h, goes on in plug_loop_wait(),
 * which calls their handlers.
 */
struct plug_loop *plug_loop_create(void);
void plug_loop_destroy(struct plug_loop *loop);
struct event_base *plug_loop_base(struct plug_loop *loop);
bool plug_loop_watch(struct plug_loop *loop, int fd);
void plug_loop_wait(struct plug_loop *loop, plug_time time);

#endif
