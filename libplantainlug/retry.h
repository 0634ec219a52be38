#ifndef PLUG_RETRY_H
#define PLUG_RETRY_H

#include "client.h"

/**
 * struct plug_retry_budget - budget of retries, a token bucket
 * @tokens: retries that may be sent now
 */
struct plug_retry_budget {
	double tokens;
};

void plug_retry_budget_init(struct plug_retry_budget *retry);
void plug_retry_budget_deposit(struct plug_retry_budget *retry);
bool plug_retry_budget_take(struct plug_retry_budget *retry,
    struct plug_client *client, plug_time now, plug_time deadline,
    unsigned int starts, plug_time *at);

#endif
