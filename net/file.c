#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "file.h"

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
	char *buf = malloc(max + 2);
	enum plug_code code = PLUG_OK;
	size_t n = 0;

	if (file == NULL)
		code = plug_status_set(
		    status, PLUG_E_IO, "can't open: %s", strerror(errno));
	else if (buf == NULL)
		code = plug_status_set(status, PLUG_E_MEMORY, "out of memory");
	else
		n = fread(buf, 1, max + 1, file);
	if (code == PLUG_OK && ferror(file))
		code = plug_status_set(
		    status, PLUG_E_IO, "can't read: %s", strerror(errno));
	if (code == PLUG_OK && n > max)
		code = plug_status_set(status, PLUG_E_OVERSIZE,
		    "at most %zu bytes are accepted", max);
	if (file != NULL)
		(void)fclose(file);
	if (code != PLUG_OK) {
		free(buf);
		return code;
	}
	buf[n] = '\0';
	*len = n;
	*data = realloc(buf, n + 1);
	if (*data == NULL)
		*data = buf;
	return PLUG_OK;
}
