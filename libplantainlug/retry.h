#ifndef PLUG_RETRY_H
#define PLUG_RETRY_H

#include "client.h"

/**
 * struct plug_retry_budget - token bucket that limits retries
 * @tokens: retries that are allowed now
 */
struct plug_retry_budget {
	double tokens;
};

void plug_retry_budget_init(struct plug_retry_budget *budget);
void plug_retry_budget_deposit(struct plug_retry_budget *budget);
bool plug_retry_budget_take(struct plug_retry_budget *budget,
    struct plug_client *client, plug_time now, plug_time deadline,
    unsigned int attempts, plug_time *retry_at);

#endif
