#include <event2/event.h>
#include <stdlib.h>

#include "loop.h"

/**
 * struct plug_loop - event loop of one thread
 * @base: libevent's part
 * @timer: ends a wait
 * @watched: ends a wait when a descriptor can be read, or NULL
 */
struct plug_loop {
	struct event_base *base;
	struct event *timer;
	struct event *watched;
};

static void
on_event(int fd, short what, void *data)
{
	(void)fd;
	(void)what;
	(void)data;
}

/**
 * plug_loop_create() - prepare an event loop
 *
 * Return: loop for plug_loop_destroy(), or NULL when libevent failed.
 */
struct plug_loop *
plug_loop_create(void)
{
	struct plug_loop *loop = calloc(1, sizeof(*loop));

	if (loop == NULL)
		return NULL;
	loop->base = event_base_new();
	if (loop->base != NULL)
		loop->timer = evtimer_new(loop->base, on_event, loop);
	if (loop->timer == NULL) {
		plug_loop_destroy(loop);
		return NULL;
	}
	return loop;
}

/**
 * plug_loop_destroy() - release a loop that nothing uses any more
 * @loop: loop, or NULL
 */
void
plug_loop_destroy(struct plug_loop *loop)
{
	if (loop == NULL)
		return;
	if (loop->watched != NULL)
		event_free(loop->watched);
	if (loop->timer != NULL)
		event_free(loop->timer);
	if (loop->base != NULL)
		event_base_free(loop->base);
	free(loop);
}

/**
 * plug_loop_base() - what libevent's objects of this thread are made with
 * @loop: loop
 */
struct event_base *
plug_loop_base(struct plug_loop *loop)
{
	return loop->base;
}

/**
 * plug_loop_watch() - end waits when a descriptor can be read
 * @loop: loop that watches none yet
 * @fd: descriptor; open until the loop is destroyed
 *
 * Return: false when libevent failed.
 */
bool
plug_loop_watch(struct plug_loop *loop, int fd)
{
	loop->watched =
	    event_new(loop->base, fd, EV_READ | EV_PERSIST, on_event, loop);
	return loop->watched != NULL && event_add(loop->watched, NULL) == 0;
}

/**
 * plug_loop_wait() - handle what happens, or wait until something does
 * @loop: loop
 * @time: longest wait in microseconds
 */
void
plug_loop_wait(struct plug_loop *loop, plug_time time)
{
	const struct timeval tv = {
		.tv_sec = time / PLUG_SEC,
		.tv_usec = time % PLUG_SEC,
	};

	if (time <= 0 || evtimer_add(loop->timer, &tv) != 0) {
		(void)event_base_loop(loop->base, EVLOOP_NONBLOCK);
		return;
	}
	(void)event_base_loop(loop->base, EVLOOP_ONCE);
	(void)evtimer_del(loop->timer);
}
