#include "backoff.h"

#define LIMIT_MIN (100 * PLUG_MSEC)
#define LIMIT_MAX PLUG_SEC

/**
 * plug_backoff_init() - start anew after a success
 * @backoff: backoff to fill
 */
void
plug_backoff_init(struct plug_backoff *backoff)
{
	*backoff = (struct plug_backoff){ .limit = LIMIT_MIN };
}

/**
 * plug_backoff_fail() - count a failure
 * @backoff: backoff
 * @client: random state
 *
 * Delays double from 100 ms to 1 s. Half of each is random, as all processes
 * lose the store at the same moment.
 *
 * Return: delay until the next attempt, microseconds.
 */
plug_time
plug_backoff_fail(struct plug_backoff *backoff, struct plug_client *client)
{
	const plug_time half = backoff->limit / 2;

	backoff->failures++;
	backoff->limit *= 2;
	if (backoff->limit > LIMIT_MAX)
		backoff->limit = LIMIT_MAX;
	return half + plug_client_random(client, (uint32_t)half);
}

/**
 * plug_backoff_shorten() - another read was answered
 * @backoff: backoff
 *
 * A store that answers one read is back for the others, too.
 *
 * Return: whether the next attempt is to be made at once.
 */
bool
plug_backoff_shorten(struct plug_backoff *backoff)
{
	backoff->limit = LIMIT_MIN;
	return backoff->failures > 0;
}
