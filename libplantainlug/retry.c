#include "retry.h"

#define BUDGET_SHARE  0.1  /* tokens for each first attempt */
#define BUDGET_MAX    10.0 /* tokens, the longest burst of retries */
#define BACKOFF_BASE  (20 * PLUG_MSEC)
#define BACKOFF_MAX   PLUG_SEC
#define DOUBLINGS_MAX 6 /* enough to reach BACKOFF_MAX */

/**
 * plug_retry_budget_init() - initialise a full budget
 * @budget: budget to initialise
 */
void
plug_retry_budget_init(struct plug_retry_budget *budget)
{
	budget->tokens = BUDGET_MAX;
}

/**
 * plug_retry_budget_deposit() - add BUDGET_SHARE tokens for a first attempt
 * @budget: budget; holds BUDGET_MAX tokens at most
 */
void
plug_retry_budget_deposit(struct plug_retry_budget *budget)
{
	budget->tokens += BUDGET_SHARE;
	if (budget->tokens > BUDGET_MAX)
		budget->tokens = BUDGET_MAX;
}

/**
 * plug_retry_budget_take() - take a token for a retry and compute its time
 * @budget: budget; unchanged when no retry is allowed
 * @client: random state, for the jitter
 * @now: current time
 * @deadline: the retry has to start before this time
 * @attempts: attempts so far, at least 1
 * @retry_at: result, time of the retry; unchanged when none is allowed
 *
 * The backoff doubles with each attempt, from BACKOFF_BASE to BACKOFF_MAX. Half
 * of it is random: the delay lies between half of the backoff and all of it.
 *
 * Return: false when the budget or the deadline rules out a retry.
 */
bool
plug_retry_budget_take(struct plug_retry_budget *budget,
    struct plug_client *client, plug_time now, plug_time deadline,
    unsigned int attempts, plug_time *retry_at)
{
	unsigned int doublings =
	    attempts - 1 < DOUBLINGS_MAX ? attempts - 1 : DOUBLINGS_MAX;
	plug_time backoff = BACKOFF_BASE << doublings;

	if (backoff > BACKOFF_MAX)
		backoff = BACKOFF_MAX;
	backoff =
	    backoff / 2 + plug_client_random(client, (uint32_t)(backoff / 2));
	if (budget->tokens < 1.0 || now + backoff >= deadline)
		return false;
	budget->tokens -= 1.0;
	*retry_at = now + backoff;
	return true;
}
