#include <check.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libplantainlug/track/settings.h"
#include "net/fetch.h"
#include "platform/platform.h"
#include "suites.h"

#define ITEMS_MAX 16

static struct plug_store_item items[ITEMS_MAX];
static unsigned int item_count;

static void
setup(void)
{
	item_count = 0;
}

static void
teardown(void)
{
	for (unsigned int i = 0; i < item_count; i++) {
		if (items[i].kind == PLUG_STORE_CONFIG && items[i].readable &&
		    !items[i].removed)
			plug_config_release(items[i].config);
	}
}

static void
take_item(void *data, struct plug_store_item *item)
{
	(void)data;
	ck_assert_uint_lt(item_count, ITEMS_MAX);
	items[item_count++] = *item;
}

static enum plug_code
read_text(const char *text, struct plug_store_page *page)
{
	struct plug_status status;

	plug_status_init(&status);
	return plug_store_read_answer(
	    plug_str_from(text), take_item, NULL, page, &status);
}

/* A segment of 10.1.2.3:4660 to 198.18.5.6:443 with 3 bytes of data. */
static const uint8_t client_bytes[] = { 0x10, 0, 0, 0, 7, 0, 0, 0, 9, 198, 18,
	5, 6, 0x12, 0x34, 0x01, 0xbb, 10, 1, 2, 3, 0, 3, 0, 0, 0, 0, 1, 2, 3, 4,
	'a', 'b', 'c' };

/* Guards against fields that are read from a wrong place or in a wrong order.
 */
START_TEST(header_of_a_client)
{
	const struct plug_str bytes = { (const char *)client_bytes,
		sizeof(client_bytes) };
	struct plug_segment segment;

	ck_assert(plug_header_decode_client(bytes, &segment));
	ck_assert_uint_eq(segment.flags, PLUG_SEGMENT_ACK);
	ck_assert_uint_eq(segment.seq, 7);
	ck_assert_uint_eq(segment.ack, 9);
	ck_assert_uint_eq(segment.len, 3);
	ck_assert_uint_eq(segment.tuple.client, 0x0a010203);
	ck_assert_uint_eq(segment.tuple.client_port, 0x1234);
	ck_assert_uint_eq(segment.tuple.service, 0xc6120506);
	ck_assert_uint_eq(segment.tuple.service_port, 443);
}
END_TEST

/* Guards against a host's segment being taken for one of another flow, and
 * against a returned one being taken for an answer. */
START_TEST(header_of_a_host)
{
	uint8_t buf[sizeof(client_bytes)];
	const struct plug_str bytes = { (const char *)buf, sizeof(buf) };
	struct plug_segment segment;

	memcpy(buf, client_bytes, sizeof(buf));
	ck_assert(plug_header_decode_host(bytes, &segment));
	ck_assert_uint_eq(segment.tuple.client, 0xc6120506);
	ck_assert_uint_eq(segment.tuple.client_port, 443);
	buf[0] |= 0x20;
	ck_assert(plug_header_decode_host(bytes, &segment));
	ck_assert_uint_eq(segment.tuple.client, 0x0a010203);
	ck_assert_uint_eq(
	    segment.flags, PLUG_SEGMENT_ACK | PLUG_SEGMENT_BOUNCED);
	plug_header_unmark(buf, sizeof(buf));
	ck_assert_int_eq(memcmp(buf, client_bytes, sizeof(buf)), 0);
}
END_TEST

/* Guards against reads past the end of short and lying segments. */
START_TEST(header_of_wrong_length)
{
	struct plug_segment segment;

	for (size_t len = 0; len < sizeof(client_bytes); len++)
		ck_assert(!plug_header_decode_client(
		    (struct plug_str){ (const char *)client_bytes, len },
		    &segment));
}
END_TEST

START_TEST(reset_names_the_flow)
{
	const struct plug_tuple tuple = { 0x0a010203, 0xc6120506, 0x1234, 443 };
	uint8_t buf[64];
	struct plug_segment segment;
	size_t len =
	    plug_header_encode_reset(&tuple, 0x01020304, buf, sizeof(buf));

	ck_assert(plug_header_decode_host(
	    (struct plug_str){ (const char *)buf, len }, &segment));
	ck_assert_uint_eq(segment.flags, PLUG_SEGMENT_RST);
	ck_assert_uint_eq(segment.seq, 0x01020304);
	ck_assert(plug_tuple_equal(&segment.tuple, &tuple));
	ck_assert_uint_eq(plug_header_encode_reset(&tuple, 0, buf, 30), 0);
}
END_TEST

/* {"service":"s","address":"10.0.0.1:80","zone":"z","version":"v","slots":3,
 *  "state":"draining","cold-remaining-ms":250,"seq":1,"born":77} */
#define HOST_VALUE                                                             \
	"eyJzZXJ2aWNlIjoicyIsImFkZHJlc3MiOiIxMC4wLjAuMTo4MCIsInpvbmUiOiJ6Iiwi" \
	"dmVyc2lvbiI6InYiLCJzbG90cyI6Mywic3RhdGUiOiJkcmFpbmluZyIsImNvbGQtcmVt" \
	"YWluaW5nLW1zIjoyNTAsInNlcSI6MSwiYm9ybiI6Nzd9"

START_TEST(host_list)
{
	struct plug_store_page page;

	ck_assert_int_eq(
	    read_text("{\"items\":[{\"key\":\"servers/i-1\",\"value\":"
		      "\"" HOST_VALUE "\",\"rev\":5}],\"has-more\":true,"
		      "\"store-revision\":9}",
		&page),
	    PLUG_OK);
	ck_assert_uint_eq(page.revision, 9);
	ck_assert(page.more);
	ck_assert_str_eq(page.cursor, "servers/i-1");
	ck_assert_uint_eq(item_count, 1);
	ck_assert(items[0].readable);
	ck_assert_int_eq(items[0].kind, PLUG_STORE_HOST);
	ck_assert_str_eq(items[0].host.name, "i-1");
	ck_assert_uint_eq(items[0].host.address, 0x0a000001);
	ck_assert_uint_eq(items[0].host.slots, 3);
	ck_assert(items[0].host.draining);
	ck_assert_int_eq(items[0].host.cold_until, 250 * PLUG_MSEC);
	ck_assert_uint_eq(items[0].host.started_ms, 77);
}
END_TEST

/* Guards against a foreign writer's entry that spoils the whole list, or is
 * used as a host: no base64, no object, {"state":"other"}, {"slots":"3"}. */
START_TEST(unreadable_entries_leave_the_others)
{
	struct plug_store_page page;

	ck_assert_int_eq(
	    read_text("{\"items\":[{\"key\":\"servers/a\",\"value\":\"%%%\"},"
		      "{\"key\":\"servers/b\",\"value\":\"MTI=\"},"
		      "{\"key\":\"servers/c\",\"value\":"
		      "\"eyJzdGF0ZSI6Im90aGVyIn0=\"},"
		      "{\"key\":\"servers/d\",\"value\":5},"
		      "{\"key\":\"servers/e\"},"
		      "{\"key\":\"servers/f\",\"value\":\"" HOST_VALUE "\"}],"
		      "\"store-revision\":9}",
		&page),
	    PLUG_OK);
	ck_assert_uint_eq(item_count, 6);
	for (unsigned int i = 0; i < 5; i++) {
		ck_assert(!items[i].readable);
		ck_assert_uint_gt(strlen(items[i].reason), 0);
	}
	ck_assert(items[5].readable);
}
END_TEST

/* Reads a list of a host with this value and of two others, one before and one
 * after it. Return: the host's item. */
static const struct plug_store_item *
read_between_others(const char *value)
{
	const size_t len = strlen(value);
	const size_t encoded =
	    sodium_base64_encoded_len(len, sodium_base64_VARIANT_ORIGINAL);
	const size_t size = encoded + 2 * sizeof(HOST_VALUE) + 256;
	char *base64 = malloc(encoded), *text = malloc(size);
	struct plug_store_page page;

	ck_assert_ptr_nonnull(base64);
	ck_assert_ptr_nonnull(text);
	(void)sodium_bin2base64(base64, encoded, (const unsigned char *)value,
	    len, sodium_base64_VARIANT_ORIGINAL);
	(void)snprintf(text, size,
	    "{\"items\":[{\"key\":\"servers/a\",\"value\":\"" HOST_VALUE
	    "\"},{\"key\":\"servers/b\",\"value\":\"%s\"},"
	    "{\"key\":\"servers/c\",\"value\":\"" HOST_VALUE "\"}],"
	    "\"has-more\":true,\"store-revision\":9}",
	    base64);
	item_count = 0;
	ck_assert_msg(read_text(text, &page) == PLUG_OK, "%.80s", value);
	free(base64);
	free(text);
	ck_assert(page.more);
	ck_assert_str_eq(page.cursor, "servers/c");
	ck_assert_uint_eq(item_count, 3);
	ck_assert(items[0].readable && items[2].readable);
	return &items[1];
}

/* A host's value with one field replaced. */
#define VALUE_WITH(address, slots, cold, more)                       \
	"{\"service\":\"s\",\"address\":" address ",\"zone\":\"z\"," \
	"\"version\":\"v\",\"slots\":" slots ",\"state\":\"ready\"," \
	"\"cold-remaining-ms\":" cold ",\"seq\":1" more "}"
#define WITH_ADDRESS(address) VALUE_WITH(address, "3", "0", "")
#define WITH_SLOTS(slots)     VALUE_WITH("\"10.0.0.1:80\"", slots, "0", "")
#define WITH_COLD(cold)	      VALUE_WITH("\"10.0.0.1:80\"", "3", cold, "")
#define WITH_MORE(more)	      VALUE_WITH("\"10.0.0.1:80\"", "3", "0", more)

/* Guards against another writer's entry that ends the process, ends the reading
 * of the list or is used as a host: its numbers overflow, its port is out of
 * range, or a field isn't of the type that hosts write. */
START_TEST(odd_entries_name_no_host)
{
	static const char *const values[] = { "", "null", "5", "[]", "\"\"",
		"{", "{}", WITH_COLD("9223372036854775807"),
		WITH_COLD("9223372036854775"), WITH_COLD("4294967296"),
		WITH_COLD("99999999999999999999999999"), WITH_COLD("1e300"),
		WITH_COLD("1e999"), WITH_COLD("-1e999"), WITH_COLD("-1"),
		WITH_COLD("NaN"), WITH_COLD("Infinity"), WITH_COLD("-Infinity"),
		WITH_COLD("\"5\""), WITH_COLD("[5]"), WITH_SLOTS("0"),
		WITH_SLOTS("-3"), WITH_SLOTS("4294967296"),
		WITH_SLOTS("18446744073709551615"), WITH_SLOTS("1e999"),
		WITH_SLOTS("NaN"), WITH_SLOTS("null"),
		WITH_ADDRESS("\"10.0.0.1:65536\""),
		WITH_ADDRESS("\"10.0.0.1:99999999999999999999\""),
		WITH_ADDRESS("\"10.0.0.1:0\""), WITH_ADDRESS("\"10.0.0.1:-1\""),
		WITH_ADDRESS("\"10.0.0.1:\""), WITH_ADDRESS("\"10.0.0.1\""),
		WITH_ADDRESS("\"10.0.0.256:80\""), WITH_ADDRESS("\"host:80\""),
		WITH_ADDRESS("\"\""), WITH_ADDRESS("80"), WITH_ADDRESS("{}"),
		WITH_MORE(",\"born\":1e300"), WITH_MORE(",\"born\":1.5"),
		WITH_MORE(",\"born\":9223372036854775807"),
		WITH_MORE(",\"born\":18446744073709551615"),
		WITH_MORE(",\"born\":-1"), WITH_MORE(",\"born\":\"77\""),
		WITH_MORE(",\"born\":{}") };

	ck_assert(read_between_others(WITH_MORE(",\"born\":77"))->readable);
	ck_assert(read_between_others(WITH_MORE(""))->readable);
	ck_assert(read_between_others(WITH_COLD("4294967295"))->readable);
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		const struct plug_store_item *item =
		    read_between_others(values[i]);

		ck_assert_msg(!item->readable, "%s", values[i]);
		ck_assert_uint_gt(strlen(item->reason), 0);
	}
}
END_TEST

/* Guards against an entry of another writer that lacks a field which all hosts
 * write, or has it in another type, and is taken for a host that displaces the
 * one which runs on that machine. */
START_TEST(entry_without_a_field_names_no_host)
{
	static const struct {
		const char *name;
		const char *value;
		const char *other_type;
	} fields[] = { { "service", "\"s\"", "1" },
		{ "address", "\"10.0.0.1:80\"", "1" }, { "zone", "\"z\"", "1" },
		{ "version", "\"v\"", "1" }, { "slots", "3", "\"3\"" },
		{ "state", "\"ready\"", "true" },
		{ "cold-remaining-ms", "0", "\"0\"" },
		{ "seq", "1", "\"1\"" } };
	static const char *const odd[] = { "null", "[]", "{}" };
	const size_t count = sizeof(fields) / sizeof(fields[0]);
	const size_t odd_count = sizeof(odd) / sizeof(odd[0]);

	for (size_t changed = 0; changed < count; changed++) {
		/* The field is missing, of another type, or one of odd[]. */
		for (size_t how = 0; how < 2 + odd_count; how++) {
			char text[256] = "{\"born\":77";

			for (size_t i = 0; i < count; i++) {
				const char *value = fields[i].value;
				const size_t len = strlen(text);

				if (i == changed && how == 0)
					continue;
				if (i == changed)
					value = how == 1 ? fields[i].other_type
							 : odd[how - 2];
				(void)snprintf(text + len, sizeof(text) - len,
				    ",\"%s\":%s", fields[i].name, value);
			}
			ck_assert_uint_lt(strlen(text) + 1, sizeof(text));
			(void)snprintf(text + strlen(text),
			    sizeof(text) - strlen(text), "}");
			ck_assert_msg(
			    !read_between_others(text)->readable, "%s", text);
		}
	}
}
END_TEST

/* Guards against an entry that exhausts the stack or ends the reading of the
 * list, as it is nested as deeply as the size of a value allows. */
START_TEST(deeply_nested_entry_names_no_host)
{
	static const char *const brackets[] = { "[", "{\"a\":" };
	const size_t count = 1 << 17;

	for (size_t i = 0; i < sizeof(brackets) / sizeof(brackets[0]); i++) {
		const size_t len = strlen(brackets[i]);
		char *value = malloc(count * len + 1);

		ck_assert_ptr_nonnull(value);
		for (size_t j = 0; j < count; j++)
			memcpy(value + j * len, brackets[i], len);
		value[count * len] = '\0';
		ck_assert(!read_between_others(value)->readable);
		free(value);
	}
}
END_TEST

/* {"version":3,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"s"},
 *  {"host":"198.18.0.1","prefix":"/80/","traffic-split":[{"service":"s",
 *  "weight":9},{"service":"t","weight":1}]}],"services":[{"name":"s",
 *  "health-path":"/h","cold-start-s":2.5,"cold-per-s":4}],
 *  "limits":{"idle-timeout-ms":9000}} */
#define CONFIG_VALUE                                                           \
	"eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOlt7Imhvc3QiOiIxOTguMTguMC4xIiwicHJlZml4" \
	"IjoiLzQ0My8iLCJzZXJ2aWNlIjoicyJ9LHsiaG9zdCI6IjE5OC4xOC4wLjEiLCJwcmVm" \
	"aXgiOiIvODAvIiwidHJhZmZpYy1zcGxpdCI6W3sic2VydmljZSI6InMiLCJ3ZWlnaHQi" \
	"Ojl9LHsic2VydmljZSI6InQiLCJ3ZWlnaHQiOjF9XX1dLCJzZXJ2aWNlcyI6W3sibmFt" \
	"ZSI6InMiLCJoZWFsdGgtcGF0aCI6Ii9oIiwiY29sZC1zdGFydC1zIjoyLjUsImNvbGQt" \
	"cGVyLXMiOjR9XSwibGltaXRzIjp7ImlkbGUtdGltZW91dC1tcyI6OTAwMH19"

START_TEST(operators_part)
{
	struct plug_store_page page;
	const struct plug_config *config;
	const struct plug_route *route;

	ck_assert_int_eq(
	    read_text("{\"events\":[{\"key\":\"op/config\",\"value\":"
		      "\"" CONFIG_VALUE "\"},{\"key\":\"op/evacuate/z\","
		      "\"value\":\"e30=\"},{\"key\":\"op/evacuate/y\","
		      "\"rev\":4,\"tombstone\":true}],\"store-revision\":4}",
		&page),
	    PLUG_OK);
	ck_assert_uint_eq(item_count, 3);
	ck_assert(items[0].readable && items[1].readable);
	config = items[0].config;
	ck_assert_uint_eq(config->version, 3);
	ck_assert_int_eq(config->idle_timeout, 9 * PLUG_SEC);
	ck_assert_str_eq(config->services[0].health_path, "/h");
	ck_assert(config->services[0].cold_per_s == 4.0);
	ck_assert_int_eq(config->services[0].cold_time, 2500 * PLUG_MSEC);
	route = plug_config_find_route(
	    config, (struct plug_endpoint){ 0xc6120001, 80 });
	ck_assert_ptr_nonnull(route);
	ck_assert_uint_eq(route->weight_sum, 10);
	ck_assert_ptr_null(plug_config_find_route(
	    config, (struct plug_endpoint){ 0xc6120001, 81 }));
	ck_assert_int_eq(items[1].kind, PLUG_STORE_DOMAIN_OUT);
	ck_assert(!items[1].removed);
	ck_assert(items[2].removed);
	ck_assert_uint_eq(items[2].domain, plug_domain_hash(PLUG_STR("y")));
}
END_TEST

/* Guards against a version that is ignored as a whole because one of its routes
 * is split between many services. */
START_TEST(route_is_split_between_any_number_of_services)
{
	enum { SERVICES = 40 };
	char text[4096] = "{\"version\":3,\"services\":[],\"routes\":["
			  "{\"host\":\"198.18.0.2\",\"prefix\":\"/80/\","
			  "\"service\":\"a\"},{\"host\":\"198.18.0.1\","
			  "\"prefix\":\"/80/\",\"traffic-split\":[";
	struct plug_config *config;
	const struct plug_route *route;
	struct plug_status status;
	struct json_object *value;

	for (unsigned int i = 0; i < SERVICES; i++)
		(void)snprintf(text + strlen(text), sizeof(text) - strlen(text),
		    "%s{\"service\":\"s%u\",\"weight\":%u}", i == 0 ? "" : ",",
		    i, i + 1);
	(void)snprintf(
	    text + strlen(text), sizeof(text) - strlen(text), "]}]}");
	value = json_tokener_parse(text);
	ck_assert_ptr_nonnull(value);
	plug_status_init(&status);
	ck_assert_msg(
	    plug_config_decode(value, &config, &status), "%s", status.message);
	json_object_put(value);
	route = plug_config_find_route(
	    config, (struct plug_endpoint){ 0xc6120001, 80 });
	ck_assert_ptr_nonnull(route);
	ck_assert_uint_eq(route->share_count, SERVICES);
	ck_assert_uint_eq(route->weight_sum, SERVICES * (SERVICES + 1) / 2);
	ck_assert(plug_route_allows(route, plug_str_hash(PLUG_STR("s39"))));
	route = plug_config_find_route(
	    config, (struct plug_endpoint){ 0xc6120002, 80 });
	ck_assert_ptr_nonnull(route);
	ck_assert(plug_route_allows(route, plug_str_hash(PLUG_STR("a"))));
	plug_config_release(config);
}
END_TEST

/* Guards against a crash or a half-read list on answers that were cut. */
START_TEST(broken_answers_are_refused)
{
	static const char *const texts[] = { "", "{", "[]", "null", "{}",
		"{\"items\":5,\"store-revision\":1}", "{\"items\":[]}",
		"{\"items\":[5],\"store-revision\":1}",
		"{\"items\":[{\"key\":7}],\"store-revision\":1}" };
	struct plug_store_page page;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++)
		ck_assert_int_eq(read_text(texts[i], &page), PLUG_E_MALFORMED);
}
END_TEST

START_TEST(query_urls)
{
	const struct plug_endpoint store = { 0x0a000001, 80 };
	struct plug_store_query query = {
		.what = PLUG_STORE_HOSTS,
		.may_lag = true,
		.cursor = "servers/i-9",
	};
	char url[128];

	ck_assert(plug_store_query_url(&query, store, url, sizeof(url)));
	ck_assert_str_eq(url, "http://10.0.0.1:80/kv-range?prefix=servers/"
			      "&after=servers/i-9&allow-stale=1");
	query = (struct plug_store_query){
		.what = PLUG_STORE_CHANGES,
		.after_revision = 12,
		.wait_ms = 500,
	};
	ck_assert(plug_store_query_url(&query, store, url, sizeof(url)));
	ck_assert_str_eq(
	    url, "http://10.0.0.1:80/kv-watch?prefix=op/&after=12&wait-ms=500");
	ck_assert(!plug_store_query_url(&query, store, url, 20));
}
END_TEST

/* Guards against a list that is read no further than to a page that ends with a
 * key which can't stand in a URL as it is. */
START_TEST(cursor_takes_any_key)
{
	static const struct {
		const char *key; /* as JSON */
		const char *cursor;
	} cases[] = { { "servers/i-1._~", "servers/i-1._~" },
		{ "servers/back up", "servers/back%20up" },
		{ "servers/a&b=c#d%e?f+g",
		    "servers/a%26b%3Dc%23d%25e%3Ff%2Bg" },
		{ "servers/\\u0000\\n\\\"\\\\", "servers/%00%0A%22%5C" },
		{ "servers/\xc3\xa9", "servers/%C3%A9" } };
	const struct plug_endpoint store = { 0x0a000001, 80 };
	char text[256], url[256], expected[256];

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct plug_store_query query = { .what = PLUG_STORE_HOSTS };
		struct plug_store_page page;

		(void)snprintf(text, sizeof(text),
		    "{\"items\":[{\"key\":\"%s\",\"value\":\"\"}],"
		    "\"has-more\":true,\"store-revision\":9}",
		    cases[i].key);
		ck_assert_int_eq(read_text(text, &page), PLUG_OK);
		ck_assert_str_eq(page.cursor, cases[i].cursor);
		memcpy(query.cursor, page.cursor, sizeof(query.cursor));
		(void)snprintf(expected, sizeof(expected),
		    "http://10.0.0.1:80/kv-range?prefix=servers/&after=%s",
		    cases[i].cursor);
		ck_assert(
		    plug_store_query_url(&query, store, url, sizeof(url)));
		ck_assert_str_eq(url, expected);
	}
}
END_TEST

/* Guards against the same for the longest key, each byte of which takes three
 * in the URL. */
START_TEST(cursor_takes_the_longest_key)
{
	const struct plug_endpoint store = { 0xffffffff, 65535 };
	struct plug_store_query query = { .what = PLUG_STORE_HOSTS,
		.may_lag = true };
	struct plug_store_page page;
	char text[320], url[PLUG_FETCH_URL_SIZE];

	(void)snprintf(text, sizeof(text),
	    "{\"items\":[{\"key\":\"servers/%192s\",\"value\":\"\"}],"
	    "\"has-more\":true,\"store-revision\":9}",
	    "");
	ck_assert_int_eq(read_text(text, &page), PLUG_OK);
	ck_assert_uint_eq(
	    strlen(page.cursor), strlen("servers/") + 192 * strlen("%20"));
	memcpy(query.cursor, page.cursor, sizeof(query.cursor));
	ck_assert(plug_store_query_url(&query, store, url, sizeof(url)));
}
END_TEST

START_TEST(health_header)
{
	struct plug_health health = { 0 };

	plug_platform_adapter.read_health(
	    PLUG_STR("Server-Load: 1,0,2\r\n"), &health);
	ck_assert_uint_eq(health.host, 0);
	plug_platform_adapter.read_health(
	    PLUG_STR("instance-id:  i-77 \r\n"), &health);
	ck_assert_str_eq(health.name, "i-77");
	ck_assert_uint_eq(health.host, plug_str_hash(PLUG_STR("i-77")));
}
END_TEST

/* Guards against a restore of the store that goes unnoticed, or is made up from
 * a header that can't be read. */
START_TEST(store_generation_header)
{
	static const char *const others[] = { "Date: 5",
		"Store-Era:", "Store-Era: -5", "Store-Era: x", "Store-Era: 5x",
		"Store-Era: 99999999999999999999" };
	uint64_t generation = 0;

	ck_assert(plug_platform_adapter.read_store_header(
	    PLUG_STR("store-era: 41\r\n"), &generation));
	ck_assert_uint_eq(generation, 41);
	for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++) {
		ck_assert(!plug_platform_adapter.read_store_header(
		    plug_str_from(others[i]), &generation));
		ck_assert_uint_eq(generation, 41);
	}
}
END_TEST

static enum plug_code
parse_settings(const char *text, struct plug_status *status)
{
	struct plug_track_settings settings;

	plug_status_init(status);
	return plug_track_settings_parse(
	    plug_str_from(text), &settings, status);
}

#define COMMON_KEYS                                                    \
	"\"name\":\"n\",\"domain\":\"d\",\"segments\":\"10.0.0.1:1\"," \
	"\"ready\":\"10.0.0.1:2\",\"store\":\"10.0.0.9:3\","
#define ENTRY_KEYS COMMON_KEYS "\"notice_port\":7720"

/* Guards against settings that are taken although a role can't work with
 * them, and against errors that don't name the key. */
START_TEST(tracking_settings)
{
	struct plug_status status;

	ck_assert_int_eq(
	    parse_settings("{\"role\":\"entry\"," ENTRY_KEYS "}", &status),
	    PLUG_OK);
	ck_assert_int_eq(
	    parse_settings("{\"role\":\"agent\"," ENTRY_KEYS "}", &status),
	    PLUG_E_MISSING_KEY);
	ck_assert_ptr_nonnull(strstr(status.message, "host"));
	ck_assert_int_eq(parse_settings("{\"role\":\"agent\"," ENTRY_KEYS
					",\"host\":\"10.0.0.1:5\","
					"\"host_output\":\"10.0.0.1:6\"}",
			     &status),
	    PLUG_OK);
	ck_assert_int_eq(parse_settings("{\"role\":\"entry\"," ENTRY_KEYS
					",\"host\":\"10.0.0.1:5\"}",
			     &status),
	    PLUG_E_UNKNOWN_KEY);
	ck_assert_int_eq(parse_settings("{\"role\":\"entry\"," COMMON_KEYS
					"\"notice_port\":0}",
			     &status),
	    PLUG_E_RANGE);
	ck_assert_ptr_nonnull(strstr(status.message, "notice_port"));
}
END_TEST

Suite *
adapter_suite(void)
{
	Suite *suite = suite_create("adapter");
	TCase *test = tcase_create("adapter");

	tcase_add_checked_fixture(test, setup, teardown);
	tcase_add_test(test, header_of_a_client);
	tcase_add_test(test, header_of_a_host);
	tcase_add_test(test, header_of_wrong_length);
	tcase_add_test(test, reset_names_the_flow);
	tcase_add_test(test, host_list);
	tcase_add_test(test, unreadable_entries_leave_the_others);
	tcase_add_test(test, odd_entries_name_no_host);
	tcase_add_test(test, entry_without_a_field_names_no_host);
	tcase_add_test(test, deeply_nested_entry_names_no_host);
	tcase_add_test(test, operators_part);
	tcase_add_test(test, route_is_split_between_any_number_of_services);
	tcase_add_test(test, broken_answers_are_refused);
	tcase_add_test(test, query_urls);
	tcase_add_test(test, cursor_takes_any_key);
	tcase_add_test(test, cursor_takes_the_longest_key);
	tcase_add_test(test, health_header);
	tcase_add_test(test, store_generation_header);
	tcase_add_test(test, tracking_settings);
	suite_add_tcase(suite, test);
	return suite;
}
