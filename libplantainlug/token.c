#include <sodium.h>
#include <string.h>

#include "token.h"

#define TOKEN_FORMAT   1
#define TOKEN_MAC_AT   40 /* bytes covered by the MAC */
#define TOKEN_MAC_SIZE crypto_shorthash_BYTES

_Static_assert(TOKEN_MAC_AT + TOKEN_MAC_SIZE == PLUG_TOKEN_SIZE,
    "token fields and MAC fill the token");
_Static_assert(PLUG_TOKEN_KEY_SIZE == crypto_shorthash_KEYBYTES,
    "token keys are SipHash keys");

static uint8_t *
put_number(uint8_t *p, uint64_t value, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--)
		*p++ = (uint8_t)(value >> (8 * i));
	return p;
}

static const uint8_t *
get_number(const uint8_t *p, uint64_t *value, int bytes)
{
	*value = 0;
	for (int i = 0; i < bytes; i++)
		*value = *value << 8 | *p++;
	return p;
}

/**
 * plug_token_seal() - encode a token and add its MAC
 * @token: token to encode
 * @keys: the service's keys; the first one is used
 * @wire: result, PLUG_TOKEN_SIZE bytes
 */
void
plug_token_seal(const struct plug_token *token,
    const struct plug_token_keys *keys, uint8_t wire[PLUG_TOKEN_SIZE])
{
	uint8_t *p = wire;

	p = put_number(p, TOKEN_FORMAT, 2);
	p = put_number(p, token->generation, 2);
	p = put_number(p, token->service, 4);
	p = put_number(p, token->agent.address, 4);
	p = put_number(p, token->agent.port, 2);
	p = put_number(p, 0, 2);
	p = put_number(p, token->domain, 4);
	p = put_number(p, token->minted_ms, 4);
	p = put_number(p, token->instance, 8);
	p = put_number(p, token->flow, 8);
	(void)crypto_shorthash(p, wire, TOKEN_MAC_AT, keys->keys[0]);
}

static void
decode(const uint8_t *p, struct plug_token *token)
{
	uint64_t v;

	p = get_number(p, &v, 2);
	token->generation = (uint16_t)v;
	p = get_number(p, &v, 4);
	token->service = (uint32_t)v;
	p = get_number(p, &v, 4);
	token->agent.address = (uint32_t)v;
	p = get_number(p, &v, 2);
	token->agent.port = (uint16_t)v;
	p = get_number(p, &v, 2);
	p = get_number(p, &v, 4);
	token->domain = (uint32_t)v;
	p = get_number(p, &v, 4);
	token->minted_ms = (uint32_t)v;
	p = get_number(p, &token->instance, 8);
	(void)get_number(p, &token->flow, 8);
}

/**
 * plug_token_peek() - decode a token without checking its MAC
 * @wire: PLUG_TOKEN_SIZE bytes from a packet
 * @token: result; not to be trusted, for logs only
 *
 * Return: false for an unknown format.
 */
bool
plug_token_peek(const uint8_t wire[PLUG_TOKEN_SIZE], struct plug_token *token)
{
	const uint8_t *p = wire;
	uint64_t v;

	p = get_number(p, &v, 2);
	if (v != TOKEN_FORMAT)
		return false;
	decode(p, token);
	return true;
}

/**
 * plug_token_open() - check a token's MAC and decode it
 * @wire: PLUG_TOKEN_SIZE bytes from a packet
 * @keys: the service's keys
 * @token: result, untouched on an error
 *
 * Return: PLUG_OK, PLUG_E_VERSION for an unknown format, PLUG_E_TOKEN when no
 * key matches.
 */
enum plug_code
plug_token_open(const uint8_t wire[PLUG_TOKEN_SIZE],
    const struct plug_token_keys *keys, struct plug_token *token)
{
	uint8_t mac[TOKEN_MAC_SIZE];
	const uint8_t *p = wire;
	uint64_t v;
	unsigned int i;

	p = get_number(p, &v, 2);
	if (v != TOKEN_FORMAT)
		return PLUG_E_VERSION;
	for (i = 0; i < keys->count; i++) {
		(void)crypto_shorthash(mac, wire, TOKEN_MAC_AT, keys->keys[i]);
		if (!sodium_memcmp(mac, wire + TOKEN_MAC_AT, TOKEN_MAC_SIZE))
			break;
	}
	if (i == keys->count)
		return PLUG_E_TOKEN;

	decode(p, token);
	return PLUG_OK;
}
