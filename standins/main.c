#include <stdio.h>
#include <string.h>

#include "configservice.h"
#include "standin.h"

/* What takes the place of the platform in tests and in the demonstration. */
static const struct standin {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
} standins[] = {
	{ "config", plug_standin_config_main,
	    "serve files as the configuration service" },
	{ "fabric", plug_standin_fabric_main,
	    "run the fabric of a test deployment" },
	{ "upstream", plug_standin_upstream_main,
	    "run an upstream of a test deployment" },
	{ "caller", plug_standin_caller_main,
	    "run callers of a test deployment" },
};

#define STANDIN_COUNT (sizeof(standins) / sizeof(standins[0]))

static void
print_usage(FILE *file)
{
	(void)fprintf(file, "usage: plantainlug-standin NAME [OPTION]...\n\n");
	for (size_t i = 0; i < STANDIN_COUNT; i++)
		(void)fprintf(file, "  %-10s %s\n", standins[i].name,
		    standins[i].summary);
}

int
main(int argc, char **argv)
{
	if (argc >= 2 && strcmp(argv[1], "--help") == 0) {
		print_usage(stdout);
		return PLUG_EXIT_OK;
	}
	for (size_t i = 0; argc >= 2 && i < STANDIN_COUNT; i++) {
		if (strcmp(argv[1], standins[i].name) == 0)
			return standins[i].run(argc - 1, argv + 1);
	}
	print_usage(stderr);
	return PLUG_EXIT_USAGE;
}
