#ifndef CLI_COMMANDS_H
#define CLI_COMMANDS_H

/* Each subcommand has its own name as argv[0] and returns an exit status. */
int plug_cli_standin_caller(int argc, char **argv);
int plug_cli_standin_fabric(int argc, char **argv);
int plug_cli_standin_upstream(int argc, char **argv);

#endif
