#ifndef PLUG_RETRY_H
#define PLUG_RETRY_H

#include "client.h"

/**
 * struct plug_retry - budget of retries, a token bucket
 * @tokens: retries that may be sent now
 */
struct plug_retry {
	double tokens;
};

void plug_retry_init(struct plug_retry *retry);
void plug_retry_first(struct plug_retry *retry);
bool plug_retry_take(struct plug_retry *retry, struct plug_client *client,
    plug_time now, plug_time deadline, unsigned int starts, plug_time *at);

#endif
