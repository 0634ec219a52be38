#include <apr_general.h>
#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>

#include "commands.h"
#include "net/file.h"
#include "net/stop.h"

#define SETTINGS_SIZE_MAX ((size_t)1024 * 1024) /* bytes of a settings file */

/**
 * plug_cli_check_role() - compare the settings with the subcommand
 * @named: role in the settings
 * @role: role of the subcommand
 * @status: receives the reason of a failure
 *
 * Return: PLUG_OK or PLUG_E_RANGE.
 */
enum plug_code
plug_cli_check_role(
    enum plug_role named, enum plug_role role, struct plug_status *status)
{
	if (named == role)
		return PLUG_OK;
	return plug_status_set(status, PLUG_E_RANGE,
	    "the settings name another role than the subcommand");
}

/**
 * plug_cli_result() - print why a role has ended, if it failed
 * @path: settings file
 * @code: result of the role
 * @status: reason, when @code is a failure
 *
 * Return: exit code.
 */
int
plug_cli_result(
    const char *path, enum plug_code code, const struct plug_status *status)
{
	if (code == PLUG_OK)
		return PLUG_EXIT_OK;
	(void)fprintf(stderr, "plantainlug: %s: error %d (%s): %s\n", path,
	    code, plug_code_name(code), status->message);
	return PLUG_EXIT_FAILURE;
}

static enum plug_code
read_settings(const char *path, enum plug_role role,
    struct plug_settings *settings, struct plug_status *status)
{
	enum plug_code code;
	size_t len = 0;
	char *text = NULL;

	code = plug_file_read(path, SETTINGS_SIZE_MAX, &text, &len, status);
	if (code == PLUG_OK)
		code = plug_settings_parse(
		    (struct plug_str){ text, len }, settings, status);
	free(text);
	if (code == PLUG_OK)
		code = plug_cli_check_role(settings->role, role, status);
	return code;
}

static int
run_role(const char *path, enum plug_role role,
    enum plug_code (*run)(
	const struct plug_settings *settings, struct plug_status *status))
{
	struct plug_settings settings;
	struct plug_status status;
	enum plug_code code;

	plug_status_init(&status);
	code = read_settings(path, role, &settings, &status);
	if (code == PLUG_OK) {
		plug_stop_install();
		if (apr_initialize() != APR_SUCCESS)
			code = plug_status_set(&status, PLUG_E_LIBRARY,
			    "APR can't be initialized");
		else
			code = run(&settings, &status);
		apr_terminate();
	}
	return plug_cli_result(path, code, &status);
}

/**
 * plug_cli_run() - run a role from its settings file
 * @argc: argument count
 * @argv: arguments; argv[0] is the subcommand
 * @role: role that the settings must name
 * @run: runs the role until it is stopped
 *
 * Return: exit code.
 */
int
plug_cli_run(int argc, char **argv, enum plug_role role,
    enum plug_code (*run)(
	const struct plug_settings *settings, struct plug_status *status))
{
	struct arg_file *config =
	    arg_file1("c", "config", "FILE", "process settings");
	void *table[] = { config, arg_end(8) };
	int result;

	if (plug_arguments_parse(argc, argv, table, &result))
		result = run_role(config->filename[0], role, run);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
