#include <stdlib.h>

#include "buffer.h"

#define BUFFER_MIN 4096 /* bytes of the first allocation */

/**
 * plug_buffer_reserve() - grow a buffer by doubling
 * @buf: buffer from malloc(3), or NULL
 * @capacity: its size in bytes
 * @size: size needed in bytes
 *
 * Return: false when memory ran out; the buffer is unchanged then.
 */
bool
plug_buffer_reserve(uint8_t **buf, size_t *capacity, size_t size)
{
	size_t grown = *capacity != 0 ? *capacity : BUFFER_MIN;
	uint8_t *moved;

	if (size <= *capacity)
		return true;
	while (grown < size)
		grown *= 2;
	moved = realloc(*buf, grown);
	if (moved == NULL)
		return false;
	*buf = moved;
	*capacity = grown;
	return true;
}
