#ifndef PLUG_BUFFER_H
#define PLUG_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

bool plug_buffer_reserve(uint8_t **buf, size_t *capacity, size_t size);

#endif
