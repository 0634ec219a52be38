#ifndef PLUG_FRAME_H
#define PLUG_FRAME_H

#include "libplantainlug/status.h"
#include "libplantainlug/str.h"
#include "proto/control.pb-c.h"

#define PLUG_FRAME_HEADER 4 /* bytes: big-endian length */
/* Bytes of one message: a 4 MB answer in a COMPLETION and its other fields. */
#define PLUG_FRAME_MAX ((size_t)4 * 1024 * 1024 + 65536)

/**
 * struct plug_frame_reader - reassembles frames from a byte stream
 * @header: length field, as far as it has arrived
 * @header_len: bytes in @header
 * @body: message bytes
 * @body_len: bytes in @body
 * @capacity: size of @body in bytes; grows with the bytes that arrive
 */
struct plug_frame_reader {
	uint8_t header[PLUG_FRAME_HEADER];
	size_t header_len;
	uint8_t *body;
	size_t body_len;
	size_t capacity;
};

void plug_frame_reader_init(struct plug_frame_reader *reader);
void plug_frame_reader_finish(struct plug_frame_reader *reader);
bool plug_frame_reader_partial(const struct plug_frame_reader *reader);
enum plug_code plug_frame_reader_feed(struct plug_frame_reader *reader,
    struct plug_str *input, Plug__Message **message);
uint8_t *plug_frame_encode(const Plug__Message *message, size_t *len);

#endif
