#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "str.h"

/**
 * plug_str_from() - view a NUL-terminated string
 * @text: string, or NULL for the empty one
 */
struct plug_str
plug_str_from(const char *text)
{
	struct plug_str s = { text, text == NULL ? 0 : strlen(text) };

	return s;
}

/**
 * plug_str_equal() - compare two strings byte by byte
 * @a: first string
 * @b: second string
 */
bool
plug_str_equal(struct plug_str a, struct plug_str b)
{
	return a.len == b.len && (a.len == 0 || !memcmp(a.data, b.data, a.len));
}

/**
 * plug_str_hash() - 64-bit XXH64 hash of a string, the same on every host
 * @s: string
 */
uint64_t
plug_str_hash(struct plug_str s)
{
	return XXH64(s.data, s.len, 0);
}

/**
 * plug_str_copy() - copy into a buffer with a final NUL
 * @s: string; cut when it doesn't fit
 * @buf: destination
 * @size: size of @buf in bytes, at least 1
 *
 * Return: bytes copied, without the NUL.
 */
size_t
plug_str_copy(struct plug_str s, char *buf, size_t size)
{
	size_t n = s.len < size - 1 ? s.len : size - 1;

	if (n > 0)
		memcpy(buf, s.data, n);
	buf[n] = '\0';
	return n;
}

/**
 * plug_str_format() - format into a buffer
 * @s: result, which views @buf
 * @buf: destination, with a final NUL; longer text is cut
 * @size: size of @buf in bytes, at least 1
 * @format: printf format
 * @ap: its arguments
 *
 * Return: false when @format can't be converted; @s is unchanged then.
 */
bool
plug_str_format(
    struct plug_str *s, char *buf, size_t size, const char *format, va_list ap)
{
	int n = vsnprintf(buf, size, format, ap);

	if (n < 0)
		return false;
	s->data = buf;
	s->len = (size_t)n < size ? (size_t)n : size - 1;
	return true;
}
