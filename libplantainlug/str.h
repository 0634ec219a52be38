#ifndef PLUG_STR_H
#define PLUG_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct plug_str - length-counted string or byte block, not owned
 * @data: first byte; not NUL-terminated
 * @len: length in bytes
 */
struct plug_str {
	const char *data;
	size_t len;
};

/* A plug_str for a string literal. */
#define PLUG_STR(literal) \
	((struct plug_str){ .data = (literal), .len = sizeof(literal) - 1 })

struct plug_str plug_str_from(const char *text);
bool plug_str_equal(struct plug_str a, struct plug_str b);
uint64_t plug_str_hash(struct plug_str s);
size_t plug_str_copy(struct plug_str s, char *buf, size_t size);
bool plug_str_format(struct plug_str *s, char *buf, size_t size,
    const char *format, va_list ap) __attribute__((format(printf, 4, 0)));

#endif
