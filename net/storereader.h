#ifndef PLUG_STOREREADER_H
#define PLUG_STOREREADER_H

#include "adapter.h"
#include "fetch.h"

/**
 * struct plug_storereader_handlers - results of the reader
 * @config: a new configuration is in force; borrowed; or NULL
 * @fleet: a new snapshot; the receiver's to release; or NULL when the host list
 *   isn't wanted
 * @data: first argument of both
 */
struct plug_storereader_handlers {
	void (*config)(void *data, const struct plug_config *config);
	void (*fleet)(void *data, struct plug_fleet *fleet);
	void *data;
};

enum plug_store_counter {
	PLUG_STORE_CALLS,      /* reads that were started */
	PLUG_STORE_LAGGING,    /* of these, that may lag */
	PLUG_STORE_FAILURES,   /* without a usable answer */
	PLUG_STORE_UNREADABLE, /* items that name nothing to use */
	PLUG_STORE_IGNORED,    /* host lists older than the one in force */
	PLUG_STORE_RESTORED,   /* restores of the store that were seen */
	PLUG_STORE_COUNTERS,
};

struct plug_storereader;

struct plug_storereader *plug_storereader_create(
    const struct plug_adapter *adapter, struct plug_endpoint store,
    struct plug_loop *loop, struct plug_client *client,
    const struct plug_storereader_handlers *handlers);
void plug_storereader_destroy(struct plug_storereader *reader);
void plug_storereader_refresh(struct plug_storereader *reader);
plug_time plug_storereader_step(struct plug_storereader *reader, plug_time now);
uint64_t plug_storereader_count(
    const struct plug_storereader *reader, enum plug_store_counter counter);
plug_time
plug_storereader_age(const struct plug_storereader *reader, plug_time now);

#endif
