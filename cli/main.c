#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "libplantainlug/plantainlug.h"

static const struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
} commands[] = {
	{ "entry", plug_cli_entry, "run an entry" },
	{ "agent", plug_cli_agent, "run an agent" },
	{ "tracking-entry", plug_cli_tracking_entry,
	    "run an entry that tracks flows" },
	{ "tracking-agent", plug_cli_tracking_agent,
	    "run an agent that tracks flows" },
	{ "status", plug_cli_status, "print the state of an entry or agent" },
	{ "check", plug_cli_check, "check a document or a settings file" },
	{ "explain", plug_cli_explain,
	    "tell from logs why something happened" },
};

#define COMMAND_COUNT (sizeof(commands) / sizeof(commands[0]))

static void
print_usage(FILE *file)
{
	(void)fprintf(file, "usage: plantainlug SUBCOMMAND [OPTION]...\n"
			    "       plantainlug --help | --version\n\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		(void)fprintf(file, "  %-18s %s\n", commands[i].name,
		    commands[i].summary);
	(void)fprintf(file,
	    "\nEach subcommand prints its options with --help.\n"
	    "Exit codes: 0 success, 1 failure, 2 wrong usage.\n");
}

int
main(int argc, char **argv)
{
	if (argc < 2) {
		print_usage(stderr);
		return PLUG_EXIT_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		print_usage(stdout);
		return PLUG_EXIT_OK;
	}
	if (strcmp(argv[1], "--version") == 0) {
		(void)printf("plantainlug %s\n", PLUG_VERSION);
		return PLUG_EXIT_OK;
	}
	for (size_t i = 0; i < COMMAND_COUNT; i++) {
		if (strcmp(argv[1], commands[i].name) == 0)
			return commands[i].run(argc - 1, argv + 1);
	}
	(void)fprintf(stderr,
	    "plantainlug: unknown subcommand \"%s\"; see plantainlug --help\n",
	    argv[1]);
	return PLUG_EXIT_USAGE;
}
