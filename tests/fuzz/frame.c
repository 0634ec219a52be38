#include <stdlib.h>

#include "net/frame.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Feeds arbitrary bytes in two parts; the first byte places the cut. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct plug_frame_reader reader;
	size_t cut = size > 0 ? data[0] % size : 0;
	struct plug_str parts[2] = { { (const char *)data, cut },
		{ (const char *)data + cut, size - cut } };
	enum plug_code code = PLUG_OK;

	plug_frame_reader_init(&reader);
	for (int i = 0; i < 2; i++) {
		while (code == PLUG_OK && parts[i].len > 0) {
			Plug__Message *message;

			code = plug_frame_reader_feed(
			    &reader, &parts[i], &message);
			if (message != NULL)
				plug__message__free_unpacked(message, NULL);
		}
	}
	plug_frame_reader_finish(&reader);
	return 0;
}
