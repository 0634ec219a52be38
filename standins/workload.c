#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "workload.h"

/**
 * plug_workload_format() - write the body of a request
 * @workload: request
 * @buf: result, with a final NUL
 *
 * Return: length in bytes.
 */
size_t
plug_workload_format(
    const struct plug_workload *workload, char buf[PLUG_WORKLOAD_BODY_SIZE])
{
	int n = snprintf(buf, PLUG_WORKLOAD_BODY_SIZE, "%s %" PRIu32,
	    workload->id, workload->size);

	return n < 0 ? 0 : (size_t)n;
}

/**
 * plug_workload_parse() - read the body of a request
 * @body: body
 * @workload: result
 *
 * Return: false when it isn't such a body.
 */
bool
plug_workload_parse(struct plug_str body, struct plug_workload *workload)
{
	char buf[PLUG_WORKLOAD_BODY_SIZE];
	unsigned long size;
	char *space, *end;

	if (body.len >= sizeof(buf))
		return false;
	(void)plug_str_copy(body, buf, sizeof(buf));
	space = strchr(buf, ' ');
	if (space == NULL || space - buf >= PLUG_WORKLOAD_ID_SIZE)
		return false;
	*space = '\0';
	size = strtoul(space + 1, &end, 10);
	if (end == space + 1 || *end != '\0' || size > UINT32_MAX)
		return false;
	memcpy(workload->id, buf, (size_t)(space - buf) + 1);
	workload->size = (uint32_t)size;
	return true;
}

/* Eight bytes of the answer depend on the request and on their place. */
static uint64_t
word_at(const struct plug_workload *workload, size_t place)
{
	return XXH64(workload->id, strlen(workload->id), place);
}

/**
 * plug_workload_fill() - write the answer that a request must get
 * @workload: request
 * @buf: result
 * @size: bytes to write, at most @workload->size
 */
void
plug_workload_fill(
    const struct plug_workload *workload, uint8_t *buf, size_t size)
{
	for (size_t i = 0; i < size; i += sizeof(uint64_t)) {
		uint64_t word = word_at(workload, i);
		size_t n = size - i < sizeof(word) ? size - i : sizeof(word);

		memcpy(buf + i, &word, n);
	}
}

/**
 * plug_workload_check() - whether an answer belongs to a request
 * @workload: request
 * @answer: answer
 */
bool
plug_workload_check(
    const struct plug_workload *workload, struct plug_str answer)
{
	if (answer.len != workload->size)
		return false;
	for (size_t i = 0; i < answer.len; i += sizeof(uint64_t)) {
		uint64_t word = word_at(workload, i);
		size_t n = answer.len - i < sizeof(word) ? answer.len - i
							 : sizeof(word);

		if (memcmp(answer.data + i, &word, n) != 0)
			return false;
	}
	return true;
}
