#ifndef PLUG_ARGUMENTS_H
#define PLUG_ARGUMENTS_H

#include <stdbool.h>

/* Exit codes of every subcommand. */
enum plug_exit {
	PLUG_EXIT_OK = 0,
	PLUG_EXIT_FAILURE = 1,
	PLUG_EXIT_USAGE = 2,
};

bool plug_arguments_parse(int argc, char **argv, void **table, int *status);

#endif
