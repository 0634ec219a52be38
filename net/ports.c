#include "ports.h"

#define BIND_ATTEMPTS 16 /* ephemeral ports tried for TCP and UDP together */

/**
 * plug_ports_open() - open the TCP and UDP ports of a role
 * @control: control thread; initialized by the call
 * @settings: settings of the process
 * @hooks: hooks of the role
 * @open_udp: opens the UDP sockets on the port that TCP got
 * @status: reason of a failure
 *
 * An ephemeral TCP port may be taken for UDP; then another one is tried.
 *
 * Return: PLUG_OK, or a code after which nothing is left open.
 */
enum plug_code
plug_ports_open(struct plug_control *control,
    const struct plug_settings *settings,
    const struct plug_control_hooks *hooks, plug_ports_opener open_udp,
    struct plug_status *status)
{
	int attempts = settings->listen.port == 0 ? BIND_ATTEMPTS : 1;
	enum plug_code code = PLUG_OK;

	for (int i = 0; i < attempts; i++) {
		code = plug_control_init(control, settings, hooks, status);
		if (code != PLUG_OK)
			return code;
		code = open_udp(hooks->data, status);
		if (code == PLUG_OK)
			return PLUG_OK;
		plug_control_finish(control);
	}
	return code;
}
