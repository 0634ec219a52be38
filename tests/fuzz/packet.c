#include <stdlib.h>

#include "libplantainlug/packet.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Decodes arbitrary bytes as a call and as a reply. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct plug_call call;
	struct plug_reply reply;

	(void)plug_packet_decode_call(data, size, &call, NULL);
	(void)plug_packet_decode_reply(data, size, &reply, NULL);
	return 0;
}
