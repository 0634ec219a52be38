#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "frame.h"

#define KEEP_MAX 65536 /* bytes of a buffer that is kept between frames */

/**
 * plug_frame_reader_init() - prepare a reader
 * @reader: reader to fill
 */
void
plug_frame_reader_init(struct plug_frame_reader *reader)
{
	memset(reader, 0, sizeof(*reader));
}

/**
 * plug_frame_reader_finish() - free what the reader holds
 * @reader: reader
 */
void
plug_frame_reader_finish(struct plug_frame_reader *reader)
{
	free(reader->body);
	memset(reader, 0, sizeof(*reader));
}

/**
 * plug_frame_reader_partial() - whether part of a frame has arrived
 * @reader: reader
 */
bool
plug_frame_reader_partial(const struct plug_frame_reader *reader)
{
	return reader->header_len > 0;
}

static uint32_t
body_size(const struct plug_frame_reader *reader)
{
	uint32_t size;

	memcpy(&size, reader->header, sizeof(size));
	return ntohl(size);
}

/**
 * plug_frame_reader_feed() - consume bytes up to the end of one frame
 * @reader: reader
 * @input: bytes received; advanced past what was consumed
 * @message: message for the caller to free, or NULL when more bytes are needed
 *
 * Return: PLUG_OK; PLUG_E_OVERSIZE, PLUG_E_MALFORMED or PLUG_E_MEMORY when the
 * connection has to be closed.
 */
enum plug_code
plug_frame_reader_feed(struct plug_frame_reader *reader, struct plug_str *input,
    Plug__Message **message)
{
	size_t missing;
	uint32_t size;

	*message = NULL;
	while (reader->header_len < PLUG_FRAME_HEADER) {
		if (input->len == 0)
			return PLUG_OK;
		reader->header[reader->header_len++] = (uint8_t)*input->data;
		input->data++;
		input->len--;
	}
	size = body_size(reader);
	if (size > PLUG_FRAME_MAX)
		return PLUG_E_OVERSIZE;
	if (size == 0)
		return PLUG_E_MALFORMED;
	if (input->len == 0)
		return PLUG_OK;
	missing = size - reader->body_len;
	if (missing > input->len)
		missing = input->len;
	if (!plug_buffer_reserve(
		&reader->body, &reader->capacity, reader->body_len + missing))
		return PLUG_E_MEMORY;
	memcpy(reader->body + reader->body_len, input->data, missing);
	reader->body_len += missing;
	input->data += missing;
	input->len -= missing;
	if (reader->body_len < size)
		return PLUG_OK;
	*message = plug__message__unpack(NULL, size, reader->body);
	reader->header_len = 0;
	reader->body_len = 0;
	/* A process has many links, and large frames are rare. */
	if (reader->capacity > KEEP_MAX)
		plug_frame_reader_finish(reader);
	return *message != NULL ? PLUG_OK : PLUG_E_MALFORMED;
}

/**
 * plug_frame_encode() - encode a message as a frame
 * @message: message
 * @len: length of the frame in bytes
 *
 * Return: frame for the caller to free, or NULL when the message exceeds
 * PLUG_FRAME_MAX or memory ran out.
 */
uint8_t *
plug_frame_encode(const Plug__Message *message, size_t *len)
{
	size_t size = plug__message__get_packed_size(message);
	uint32_t header = htonl((uint32_t)size);
	uint8_t *frame;

	if (size > PLUG_FRAME_MAX)
		return NULL;
	frame = malloc(PLUG_FRAME_HEADER + size);
	if (frame == NULL)
		return NULL;
	memcpy(frame, &header, sizeof(header));
	(void)plug__message__pack(message, frame + PLUG_FRAME_HEADER);
	*len = PLUG_FRAME_HEADER + size;
	return frame;
}
