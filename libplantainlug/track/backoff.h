#ifndef PLUG_TRACK_BACKOFF_H
#define PLUG_TRACK_BACKOFF_H

#include "../client.h"

/**
 * struct plug_backoff - delays between repeated reads of the store
 * @failures: failures in a row
 * @limit: the next delay is at most this long, microseconds
 */
struct plug_backoff {
	unsigned int failures;
	plug_time limit;
};

void plug_backoff_init(struct plug_backoff *backoff);
plug_time
plug_backoff_fail(struct plug_backoff *backoff, struct plug_client *client);
bool plug_backoff_shorten(struct plug_backoff *backoff);

#endif
