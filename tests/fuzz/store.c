#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>

#include "platform/platform.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#define ANSWER_SIZE 8192

static void
take_item(void *data, struct plug_store_item *item)
{
	(void)data;
	if (item->kind == PLUG_STORE_CONFIG && item->readable && !item->removed)
		plug_config_release(item->config);
}

static void
read_answer(struct plug_str text)
{
	struct plug_store_page page;
	struct plug_status status;

	(void)plug_store_read_answer(text, take_item, NULL, &page, &status);
}

/* Reads arbitrary bytes as an answer of the store, as the value of a host and
 * as that of the configuration. The first byte selects which. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char *const keys[] = { "servers/a", "op/config" };
	char text[ANSWER_SIZE], base64[ANSWER_SIZE / 2];
	int len;

	if (size == 0 || sodium_base64_encoded_len(size,
			     sodium_base64_VARIANT_ORIGINAL) > sizeof(base64))
		return 0;
	if (data[0] % 3 == 2) {
		read_answer(
		    (struct plug_str){ (const char *)data + 1, size - 1 });
		return 0;
	}
	(void)sodium_bin2base64(base64, sizeof(base64), data + 1, size - 1,
	    sodium_base64_VARIANT_ORIGINAL);
	len = snprintf(text, sizeof(text),
	    "{\"items\":[{\"key\":\"%s\",\"value\":\"%s\",\"rev\":1}],"
	    "\"store-revision\":1}",
	    keys[data[0] % 3], base64);
	read_answer((struct plug_str){ text, (size_t)len });
	return 0;
}
