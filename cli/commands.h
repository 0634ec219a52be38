#ifndef PLUG_COMMANDS_H
#define PLUG_COMMANDS_H

#include "libplantainlug/settings.h"
#include "net/arguments.h"

/* Each subcommand gets its own name as argv[0] and returns an exit code. */
int plug_cli_entry(int argc, char **argv);
int plug_cli_agent(int argc, char **argv);
int plug_cli_tracking_entry(int argc, char **argv);
int plug_cli_tracking_agent(int argc, char **argv);
int plug_cli_status(int argc, char **argv);
int plug_cli_check(int argc, char **argv);
int plug_cli_explain(int argc, char **argv);

enum plug_code plug_cli_check_role(
    enum plug_role named, enum plug_role role, struct plug_status *status);
int plug_cli_result(
    const char *path, enum plug_code code, const struct plug_status *status);
int plug_cli_run(int argc, char **argv, enum plug_role role,
    enum plug_code (*run)(
	const struct plug_settings *settings, struct plug_status *status));

#endif
