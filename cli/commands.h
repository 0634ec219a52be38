#ifndef PLUG_COMMANDS_H
#define PLUG_COMMANDS_H

#include "../standins/configservice.h"

/* Subcommands: argv[0] is the name, the result is the exit status. */
int plug_cli_check(int argc, char **argv);

#endif
