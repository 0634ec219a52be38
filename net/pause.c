#include "control.h"
#include "datagram.h"
#include "pause.h"

/*
 * Upper bound of the datagrams in a socket's buffer: its size over the least
 * that the kernel accounts for a datagram with its metadata.
 */
#define SOCKET_DATAGRAMS (8 * 1024 * 1024 / 512)

/**
 * plug_pause_init() - begin to watch
 * @pause: object to fill
 * @now: current time
 */
void
plug_pause_init(struct plug_pause *pause, plug_time now)
{
	pause->last = now;
	pause->old = 0;
}

/**
 * plug_pause_check() - decide whether a batch has to be dropped
 * @pause: object
 * @now: time after the batch was received
 * @received: datagrams in the batch
 *
 * After a gap of more than PLUG_TICK_GAP_MAX the datagrams that waited in the
 * socket are old: their senders have resent or given up. They are dropped
 * until the socket was seen empty, or as many as it can hold were dropped.
 */
bool
plug_pause_check(struct plug_pause *pause, plug_time now, unsigned int received)
{
	bool drop;

	if (now - pause->last > PLUG_TICK_GAP_MAX)
		pause->old = SOCKET_DATAGRAMS;
	pause->last = now;
	drop = pause->old > 0;
	if (received < PLUG_DATAGRAM_BATCH || pause->old < received)
		pause->old = 0;
	else
		pause->old -= received;
	return drop;
}
