#include "retry.h"

#define BUDGET_SHARE  0.1  /* retries for each first attempt */
#define BUDGET_MAX    10.0 /* retries in one burst */
#define BACKOFF_BASE  (20 * PLUG_MSEC)
#define BACKOFF_MAX   PLUG_SEC
#define DOUBLINGS_MAX 6

/**
 * plug_retry_budget_init() - prepare a full budget
 * @retry: budget to fill
 */
void
plug_retry_budget_init(struct plug_retry_budget *retry)
{
	retry->tokens = BUDGET_MAX;
}

/**
 * plug_retry_budget_deposit() - count a first attempt
 * @retry: budget
 */
void
plug_retry_budget_deposit(struct plug_retry_budget *retry)
{
	retry->tokens += BUDGET_SHARE;
	if (retry->tokens > BUDGET_MAX)
		retry->tokens = BUDGET_MAX;
}

/**
 * plug_retry_budget_take() - decide whether and when to send a request once
 * more
 * @retry: budget, charged when a retry is granted
 * @client: random numbers for the jitter
 * @now: time
 * @deadline: the retry must start before it
 * @starts: times that the request was sent, at least 1
 * @at: result, when to send it
 *
 * The backoff doubles with each attempt; half of it is random.
 *
 * Return: false when the budget or the deadline forbids a retry.
 */
bool
plug_retry_budget_take(struct plug_retry_budget *retry,
    struct plug_client *client, plug_time now, plug_time deadline,
    unsigned int starts, plug_time *at)
{
	unsigned int doublings =
	    starts - 1 < DOUBLINGS_MAX ? starts - 1 : DOUBLINGS_MAX;
	plug_time backoff = BACKOFF_BASE << doublings;

	if (backoff > BACKOFF_MAX)
		backoff = BACKOFF_MAX;
	backoff =
	    backoff / 2 + plug_client_random(client, (uint32_t)(backoff / 2));
	if (retry->tokens < 1.0 || now + backoff >= deadline)
		return false;
	retry->tokens -= 1.0;
	*at = now + backoff;
	return true;
}
