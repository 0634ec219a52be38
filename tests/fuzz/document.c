#include <stdlib.h>

#include "libplantainlug/settings.h"
#include "libplantainlug/view.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Reads arbitrary bytes as a document, as settings and as an instance list. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct plug_str text = { (const char *)data, size };
	struct plug_document document;
	struct plug_settings settings;
	struct plug_member *members;
	struct plug_status status;
	unsigned int count;

	(void)plug_document_parse(text, &document, &status);
	(void)plug_settings_parse(text, &settings, &status);
	if (plug_members_parse(text, &members, &count, &status) == PLUG_OK)
		free(members);
	return 0;
}
