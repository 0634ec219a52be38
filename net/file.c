#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "file.h"

static enum plug_code
read_stream(
    FILE *file, size_t max, char *buf, size_t *len, struct plug_status *status)
{
	*len = fread(buf, 1, max + 1, file);
	if (ferror(file))
		return plug_status_set(
		    status, PLUG_E_IO, "can't read: %s", strerror(errno));
	if (*len > max)
		return plug_status_set(status, PLUG_E_OVERSIZE,
		    "at most %zu bytes are accepted", max);
	return PLUG_OK;
}

/**
 * plug_file_read() - read a whole file
 * @path: path
 * @max: longest accepted file in bytes
 * @data: receives the bytes and a final NUL, for the caller to free(3)
 * @len: receives their number, without the NUL
 * @status: receives the reason of a failure, or NULL
 *
 * Return: PLUG_OK, PLUG_E_IO, PLUG_E_OVERSIZE or PLUG_E_MEMORY.
 */
enum plug_code
plug_file_read(const char *path, size_t max, char **data, size_t *len,
    struct plug_status *status)
{
	FILE *file = fopen(path, "re");
	enum plug_code code;
	char *buf;

	if (file == NULL)
		return plug_status_set(
		    status, PLUG_E_IO, "can't open: %s", strerror(errno));
	buf = malloc(max + 2);
	if (buf == NULL) {
		(void)fclose(file);
		return plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	}
	code = read_stream(file, max, buf, len, status);
	(void)fclose(file);
	if (code != PLUG_OK) {
		free(buf);
		return code;
	}
	buf[*len] = '\0';
	*data = realloc(buf, *len + 1);
	if (*data == NULL)
		*data = buf;
	return PLUG_OK;
}
