#ifndef PLUG_WORKLOAD_H
#define PLUG_WORKLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "libplantainlug/str.h"

#define PLUG_WORKLOAD_ID_SIZE	64 /* bytes of a request id, with the NUL */
#define PLUG_WORKLOAD_BODY_SIZE 80 /* bytes of a body, with the NUL */

/* Procedures of the services in the demonstration. */
enum plug_workload_procedure {
	PLUG_WORKLOAD_NEXT = 1,	   /* short, idempotent */
	PLUG_WORKLOAD_CONFIRM = 2, /* short, not idempotent */
	PLUG_WORKLOAD_IMAGE = 3,   /* bulk, idempotent */
};

/**
 * struct plug_workload - what a request's body says
 * @id: request id; begins with the service id and a hyphen
 * @size: wanted length of the answer in bytes
 */
struct plug_workload {
	char id[PLUG_WORKLOAD_ID_SIZE];
	uint32_t size;
};

size_t plug_workload_format(
    const struct plug_workload *workload, char buf[PLUG_WORKLOAD_BODY_SIZE]);
bool plug_workload_parse(struct plug_str body, struct plug_workload *workload);
void plug_workload_fill(
    const struct plug_workload *workload, uint8_t *buf, size_t size);
bool plug_workload_check(
    const struct plug_workload *workload, struct plug_str answer);

#endif
