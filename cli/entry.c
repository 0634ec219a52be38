#include "commands.h"
#include "net/entryd.h"

/**
 * plug_cli_entry() - subcommand "entry": run an entry
 * @argc: argument count
 * @argv: arguments
 */
int
plug_cli_entry(int argc, char **argv)
{
	return plug_cli_run(argc, argv, PLUG_ROLE_ENTRY, plug_entryd_run);
}
