#include <stdlib.h>

#include "net/record.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Decodes arbitrary bytes as records and as one reply. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct plug_str input = { (const char *)data, size };
	struct plug_record_reader reader;
	struct plug_record_reply reply;
	struct plug_str record;

	(void)plug_record_decode_reply(input, &reply);
	plug_record_reader_init(&reader);
	while (input.len > 0 &&
	       plug_record_reader_feed(&reader, &input, &record) == PLUG_OK) {
		if (record.len > 0)
			(void)plug_record_decode_reply(record, &reply);
	}
	plug_record_reader_finish(&reader);
	return 0;
}
