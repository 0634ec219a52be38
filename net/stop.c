#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <unistd.h>

#include "stop.h"

#define EXIT_INTERRUPTED 1 /* exit status of an immediate stop */

static atomic_int requests;
static atomic_bool reload;

static void
handle_signal(int signum)
{
	(void)signum;
	if (atomic_fetch_add(&requests, 1) > 0)
		_exit(EXIT_INTERRUPTED);
}

static void
handle_reload(int signum)
{
	(void)signum;
	atomic_store(&reload, true);
}

/**
 * plug_stop_install() - handle SIGTERM, SIGINT and SIGHUP
 *
 * SIGHUP asks for a new look at the settings.
 * The first signal requests a graceful stop, the second one ends the process.
 * SIGPIPE is ignored: writes to closed connections report an error.
 */
void
plug_stop_install(void)
{
	struct sigaction action;

	memset(&action, 0, sizeof(action));
	action.sa_handler = handle_signal;
	action.sa_flags = SA_RESTART;
	(void)sigaction(SIGTERM, &action, NULL);
	(void)sigaction(SIGINT, &action, NULL);
	action.sa_handler = handle_reload;
	(void)sigaction(SIGHUP, &action, NULL);
	action.sa_handler = SIG_IGN;
	(void)sigaction(SIGPIPE, &action, NULL);
}

/**
 * plug_stop_requested() - whether a graceful stop was requested
 */
bool
plug_stop_requested(void)
{
	return atomic_load(&requests) > 0;
}

/**
 * plug_stop_reload_taken() - whether SIGHUP has come since the last call
 */
bool
plug_stop_reload_taken(void)
{
	return atomic_exchange(&reload, false);
}
