#ifndef PLUG_NODE_H
#define PLUG_NODE_H

#include "keystore.h"
#include "view.h"

/**
 * struct plug_node_config - what a process knows of itself and of others
 * @instance: random id of this run
 * @endpoint: own control and traffic address
 * @domain: hash of the own failure domain's name
 * @domain_name: its name
 * @service: service id of an agent; 0 for an entry, which holds all services
 * @service_name: service name of an agent; empty for an entry
 * @seeds: peers from the settings, @seed_count of them
 */
struct plug_node_config {
	uint64_t instance;
	struct plug_endpoint endpoint;
	uint32_t domain;
	struct plug_str domain_name;
	uint32_t service;
	struct plug_str service_name;
	const struct plug_endpoint *seeds;
	unsigned int seed_count;
};

enum plug_node_event_kind {
	PLUG_NODE_TICK,	   /* every 100 ms */
	PLUG_NODE_PEER,	   /* control message from a peer */
	PLUG_NODE_VALUE,   /* the configuration service answered a query */
	PLUG_NODE_FAILURE, /* a query failed; the driver retries after backoff
			    */
};

/**
 * struct plug_node_event - input of plug_node_handle()
 * @kind: selects the member
 * @peer: message; its sender field names the peer's address
 * @value: key, modify index and bytes
 * @failure: key whose query failed
 */
struct plug_node_event {
	enum plug_node_event_kind kind;
	union {
		const Plug__Message *peer;
		struct {
			struct plug_str key;
			uint64_t version;
			struct plug_str data;
		} value;
		struct plug_str failure;
	};
};

struct plug_node;

struct plug_node *plug_node_create(struct plug_client *client,
    const struct plug_node_config *config, plug_time now);
void plug_node_destroy(struct plug_node *node);
void plug_node_handle(
    struct plug_node *node, plug_time now, const struct plug_node_event *event);
bool plug_node_confirmed(const struct plug_node *node, plug_time now);
const struct plug_keystore *plug_node_keystore(const struct plug_node *node);

#endif
