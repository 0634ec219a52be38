#ifndef PLUG_ADAPTER_H
#define PLUG_ADAPTER_H

#include "libplantainlug/track/fleet.h"

#define PLUG_STORE_KEY_SIZE    256 /* bytes of a key, with the NUL */
#define PLUG_STORE_CURSOR_SIZE (3 * PLUG_STORE_KEY_SIZE)

enum plug_store_read {
	PLUG_STORE_OPERATORS, /* what the operators have written */
	PLUG_STORE_CHANGES,   /* what they write after a revision; may wait */
	PLUG_STORE_DOMAINS,   /* of their part, the domains out of service */
	PLUG_STORE_HOSTS,     /* the instance list */
};

/**
 * struct plug_store_query - one read of the store
 * @what: part to read
 * @may_lag: an answer that is some seconds old will do, as it costs less
 * @cursor: continue here; empty for the first page
 * @after_revision: PLUG_STORE_CHANGES: only what is newer
 * @wait_ms: PLUG_STORE_CHANGES: how long to wait for a change
 */
struct plug_store_query {
	enum plug_store_read what;
	bool may_lag;
	char cursor[PLUG_STORE_CURSOR_SIZE];
	uint64_t after_revision;
	unsigned int wait_ms;
};

enum plug_store_kind {
	PLUG_STORE_CONFIG,
	PLUG_STORE_DOMAIN_OUT,
	PLUG_STORE_HOST,
	PLUG_STORE_OTHER,
};

/**
 * struct plug_store_item - one item of an answer
 * @revision: revision of its last change; 0 if the answer doesn't tell
 * @kind: selects the member of the union
 * @removed: the item is gone
 * @readable: the member is filled; @reason tells why not
 * @key: key, for logs
 * @reason: reason of a failure, for logs
 * @config: configuration; the receiver's to release
 * @domain: hash of the name of a domain that is out of service
 * @host: host; its cold_until counts from 0 until the receiver adds the time
 */
struct plug_store_item {
	uint64_t revision;
	enum plug_store_kind kind;
	bool removed;
	bool readable;
	char key[PLUG_STORE_KEY_SIZE];
	char reason[PLUG_STATUS_MESSAGE_SIZE];
	union {
		struct plug_config *config;
		uint32_t domain;
		struct plug_fleet_host host;
	};
};

/**
 * struct plug_store_page - what an answer says besides its items
 * @revision: revision of the store
 * @more: another page follows at @cursor
 * @cursor: position behind the last item, for struct plug_store_query
 */
struct plug_store_page {
	uint64_t revision;
	bool more;
	char cursor[PLUG_STORE_CURSOR_SIZE];
};

/**
 * struct plug_health - what a health answer's header says of a host
 * @host: hash of its instance id; 0 when it has none
 * @name: instance id, for logs
 */
struct plug_health {
	uint64_t host;
	char name[PLUG_NAME_SIZE];
};

/**
 * struct plug_adapter - how a platform speaks
 * @settings_path: path of the settings file, or NULL
 * @ready_path: path of the readiness check
 * @health_path: path of a host's health check while none is configured
 * @query_url: URL of a query; false when it doesn't fit
 * @read_store_header: takes the store's generation from a header line of an
 *   answer; false when the line has none
 * @read_answer: calls @item for each item of an answer's body
 * @read_health: takes what it knows from one header line
 * @decode_client: header of a segment of a client, or one returned by a host
 * @decode_host: header of a segment of a host, or one that it returns
 * @encode_reset: a reset for a client; returns its length
 * @unmark: takes the mark off that a host puts on a segment it returns
 *
 * An adapter translates names and formats and decides nothing.
 */
struct plug_adapter {
	const char *(*settings_path)(void);
	const char *ready_path;
	const char *health_path;
	bool (*query_url)(const struct plug_store_query *query,
	    struct plug_endpoint store, char *buf, size_t size);
	bool (*read_store_header)(struct plug_str line, uint64_t *generation);
	enum plug_code (*read_answer)(struct plug_str body,
	    void (*item)(void *data, struct plug_store_item *item), void *data,
	    struct plug_store_page *page, struct plug_status *status);
	void (*read_health)(struct plug_str line, struct plug_health *health);
	bool (*decode_client)(
	    struct plug_str bytes, struct plug_segment *segment);
	bool (*decode_host)(
	    struct plug_str bytes, struct plug_segment *segment);
	size_t (*encode_reset)(const struct plug_tuple *tuple, uint32_t seq,
	    uint8_t *buf, size_t size);
	void (*unmark)(uint8_t *segment, size_t len);
};

#endif
