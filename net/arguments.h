#ifndef PLUG_ARGUMENTS_H
#define PLUG_ARGUMENTS_H

#include <stdbool.h>

/* Exit codes of every subcommand. */
enum plug_exit {
	PLUG_EXIT_OK = 0,
	PLUG_EXIT_FAILURE = 1,
	PLUG_EXIT_USAGE = 2,
};

struct arg_dbl;
struct arg_int;

bool plug_arguments_parse(int argc, char **argv, void **table, int *status);
int plug_arguments_int(const struct arg_int *arg, int standard);
double plug_arguments_double(const struct arg_dbl *arg, double standard);

#endif
