#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#include "arguments.h"

static void
print_usage(FILE *file, const char *name, void **table)
{
	(void)fprintf(file, "usage: plantainlug %s", name);
	arg_print_syntax(file, table, "\n");
	arg_print_glossary(file, table, "  %-28s %s\n");
}

/**
 * plug_arguments_parse() - parse the arguments of a subcommand
 * @argc: number of arguments, with the subcommand
 * @argv: arguments
 * @table: argtable whose last element is an arg_end
 * @status: exit status when the subcommand should not run
 *
 * --help and -h print the options. Return: whether the subcommand should run.
 */
bool
plug_arguments_parse(int argc, char **argv, void **table, int *status)
{
	size_t last = 0;

	*status = PLUG_EXIT_FAILURE;
	if (arg_nullcheck(table) != 0)
		return false;
	if (argc == 2 &&
	    (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0)) {
		print_usage(stdout, argv[0], table);
		*status = PLUG_EXIT_OK;
		return false;
	}
	if (arg_parse(argc, argv, table) == 0)
		return true;
	while (!(((struct arg_hdr *)table[last])->flag & ARG_TERMINATOR))
		last++;
	arg_print_errors(stderr, table[last], argv[0]);
	print_usage(stderr, argv[0], table);
	*status = PLUG_EXIT_USAGE;
	return false;
}

/**
 * plug_arguments_int() - value of an optional number
 * @arg: option
 * @standard: value when the option was not given
 */
int
plug_arguments_int(const struct arg_int *arg, int standard)
{
	return arg->count > 0 ? arg->ival[0] : standard;
}

/**
 * plug_arguments_double() - value of an optional floating-point number
 * @arg: option
 * @standard: value when the option was not given
 */
double
plug_arguments_double(const struct arg_dbl *arg, double standard)
{
	return arg->count > 0 ? arg->dval[0] : standard;
}
