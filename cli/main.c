#include <stdio.h>

#include "libplantainlug/plantainlug.h"

int
main(void)
{
	(void)printf("plantainlug %s\n", PLUG_VERSION);
	return 0;
}
