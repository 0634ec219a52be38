#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "commands.h"
#include "libplantainlug/track/settings.h"
#include "net/file.h"
#include "net/stop.h"
#include "net/trackd.h"
#include "platform/platform.h"

static enum plug_code
read_settings(const char *path, enum plug_role role,
    struct plug_track_settings *settings, struct plug_status *status)
{
	enum plug_code code;
	size_t len = 0;
	char *text = NULL;

	code = plug_file_read(
	    path, PLUG_TRACK_SETTINGS_SIZE_MAX, &text, &len, status);
	if (code == PLUG_OK)
		code = plug_track_settings_parse(
		    (struct plug_str){ text, len }, settings, status);
	free(text);
	if (code == PLUG_OK)
		code = plug_cli_check_role(settings->role, role, status);
	return code;
}

static int
run(const char *path, enum plug_role role)
{
	struct plug_track_settings settings;
	struct plug_status status;
	enum plug_code code;

	plug_status_init(&status);
	code = read_settings(path, role, &settings, &status);
	if (code == PLUG_OK) {
		plug_stop_install();
		code = plug_trackd_run(
		    path, &settings, &plug_platform_adapter, &status);
	}
	return plug_cli_result(path, code, &status);
}

static int
run_role(int argc, char **argv, enum plug_role role)
{
	struct arg_file *config =
	    arg_file0("c", "config", "FILE", "process settings");
	void *table[] = { config, arg_end(8) };
	int result;

	if (plug_arguments_parse(argc, argv, table, &result))
		result = run(config->count > 0
				 ? config->filename[0]
				 : plug_platform_adapter.settings_path(),
		    role);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}

/**
 * plug_cli_tracking_entry() - run an entry that tracks flows
 * @argc: argument count
 * @argv: arguments; argv[0] is the subcommand
 *
 * Return: exit code.
 */
int
plug_cli_tracking_entry(int argc, char **argv)
{
	return run_role(argc, argv, PLUG_ROLE_ENTRY);
}

/**
 * plug_cli_tracking_agent() - run an agent that tracks flows
 * @argc: argument count
 * @argv: arguments; argv[0] is the subcommand
 *
 * Return: exit code.
 */
int
plug_cli_tracking_agent(int argc, char **argv)
{
	return run_role(argc, argv, PLUG_ROLE_AGENT);
}
