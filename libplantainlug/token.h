#ifndef PLUG_TOKEN_H
#define PLUG_TOKEN_H

#include <stdint.h>

#include "packet.h"

#define PLUG_TOKEN_KEY_SIZE 16 /* bytes: SipHash-2-4 key */
#define PLUG_TOKEN_KEYS_MAX 4  /* keys of a service that verify at a time */

/**
 * struct plug_token - names the owner of a flow
 * @service: service id
 * @agent: address of the owning agent
 * @domain: hash of the owner's failure domain name
 * @generation: 0 when the flow opened, one more for each move
 * @instance: instance id of the owning agent
 * @flow: flow id
 * @minted_ms: owner's clock at minting, in milliseconds, wraps
 */
struct plug_token {
	uint32_t service;
	struct plug_endpoint agent;
	uint32_t domain;
	uint16_t generation;
	uint64_t instance;
	uint64_t flow;
	uint32_t minted_ms;
};

/**
 * struct plug_token_keys - MAC keys of one service
 * @count: keys in use, at least 1
 * @keys: the first one mints, all verify
 */
struct plug_token_keys {
	unsigned int count;
	uint8_t keys[PLUG_TOKEN_KEYS_MAX][PLUG_TOKEN_KEY_SIZE];
};

void plug_token_seal(const struct plug_token *token,
    const struct plug_token_keys *keys, uint8_t wire[PLUG_TOKEN_SIZE]);
enum plug_code plug_token_open(const uint8_t wire[PLUG_TOKEN_SIZE],
    const struct plug_token_keys *keys, struct plug_token *token);
bool
plug_token_peek(const uint8_t wire[PLUG_TOKEN_SIZE], struct plug_token *token);

#endif
