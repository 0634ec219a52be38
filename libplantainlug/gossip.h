#ifndef PLUG_GOSSIP_H
#define PLUG_GOSSIP_H

#include "catalog.h"
#include "node.h"
#include "partners.h"
#include "peerset.h"

#define PLUG_INQUIRY_PEERS 3 /* peers that a newcomer asks */
#define PLUG_NEVER	   INT64_MIN

/**
 * struct plug_inquiry - a question for the current versions
 * @open: the view is not confirmed
 * @started: when it began
 * @pause: shortest time between the last two questions to peers
 * @repeat_at: when other peers are asked
 * @answer: last answer, or @started
 * @nonce: marks the answers
 * @answered: peers that have answered
 * @answered_count: length of @answered
 */
struct plug_inquiry {
	bool open;
	plug_time started;
	plug_time pause;
	plug_time repeat_at;
	plug_time answer;
	uint64_t nonce;
	struct plug_endpoint answered[PLUG_INQUIRY_PEERS];
	unsigned int answered_count;
};

/**
 * struct plug_gossip - exchange of versions and values with peers
 * @client: handlers and random state
 * @config: what the process knows of itself, without strings and seeds
 * @catalog: values held
 * @peers: peers known
 * @partners: those that get digests
 * @inquiry: open while the view is not confirmed
 * @heard: last message from a peer, or PLUG_NEVER
 * @next_digest: when the next digests are due
 * @window: place in the rotation of listed keys
 * @budget: bytes of lists and values that may be sent before the next tick
 * @peers_changed: keys, peers or their liveness changed; watches are due
 */
struct plug_gossip {
	struct plug_client *client;
	struct plug_node_config config;
	struct plug_catalog catalog;
	struct plug_peerset peers;
	struct plug_partners partners;
	struct plug_inquiry inquiry;
	plug_time heard;
	plug_time next_digest;
	unsigned int window;
	int64_t budget;
	bool peers_changed;
};

enum plug_code
plug_gossip_init(struct plug_gossip *gossip, struct plug_client *client,
    const struct plug_node_config *config, plug_time now);
void plug_gossip_finish(struct plug_gossip *gossip);
void plug_gossip_handle(
    struct plug_gossip *gossip, plug_time now, const Plug__Message *message);
void plug_gossip_tick(struct plug_gossip *gossip, plug_time now);
void plug_gossip_inquire(struct plug_gossip *gossip, plug_time now);
enum plug_code
plug_gossip_accept(struct plug_gossip *gossip, struct plug_item *item,
    uint64_t version, struct plug_str data, const char *source);
bool plug_item_wanted(const struct plug_item *item);

#endif
