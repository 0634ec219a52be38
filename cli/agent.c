#include "commands.h"
#include "net/agentd.h"

/**
 * plug_cli_agent() - subcommand "agent": run an agent
 * @argc: argument count
 * @argv: arguments
 */
int
plug_cli_agent(int argc, char **argv)
{
	return plug_cli_run(argc, argv, PLUG_ROLE_AGENT, plug_agentd_run);
}
