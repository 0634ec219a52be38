#include <string.h>

#include "libplantainlug/explain.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
ignore_row(void *data, struct plug_str line)
{
	(void)data;
	(void)line;
}

/* Reads arbitrary bytes as the lines of a log and reports on them. The first
 * byte selects the question. */
int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct plug_explain_query query = {
		.flow = 0xa1,
		.tuple = "1.2.3.4:5-6.7.8.9:10",
		.host = "a",
		.to = INT64_MAX,
	};
	const struct plug_explain_output output = { ignore_row, NULL };
	struct plug_explain *explain;

	if (size == 0)
		return 0;
	query.kind =
	    (enum plug_explain_kind)(data[0] % (PLUG_EXPLAIN_STORE + 1));
	explain = plug_explain_create(&query);
	if (explain == NULL)
		return 0;
	data++;
	size--;
	while (size > 0) {
		const uint8_t *end = memchr(data, '\n', size);
		size_t len = end == NULL ? size : (size_t)(end - data);
		struct plug_str line = { (const char *)data, len };

		(void)plug_explain_feed(explain, line, NULL);
		len += end != NULL;
		data += len;
		size -= len;
	}
	(void)plug_explain_report(explain, &output);
	plug_explain_destroy(explain);
	return 0;
}
