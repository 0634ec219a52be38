#ifndef PLUG_CONNECTION_H
#define PLUG_CONNECTION_H

#include <rpc/rpc.h>

#include "libplantainlug/agent.h"

#define PLUG_CONNECTION_RECORD_MAX 8192 /* bytes of one call */

/**
 * struct plug_bytes - growing bytes
 * @data: bytes
 * @len: bytes in use
 * @capacity: bytes allocated
 */
struct plug_bytes {
	uint8_t *data;
	size_t len;
	size_t capacity;
};

/**
 * struct plug_connection - ONC RPC connection of an agent to the stand-in
 * @fd: socket, -1 when closed
 * @id: never reused, unlike the place in an array
 * @silent: neither read nor answered any more
 * @in: bytes received that no record has taken
 * @record: fragments of the current record so far
 * @out: bytes to send
 */
struct plug_connection {
	int fd;
	uint64_t id;
	bool silent;
	struct plug_bytes in;
	struct plug_bytes record;
	struct plug_bytes out;
};

/* Result of plug_connection_next(). */
enum plug_connection_state {
	PLUG_CONNECTION_INCOMPLETE, /* more bytes are needed */
	PLUG_CONNECTION_RECORD,	    /* a whole record was read */
	PLUG_CONNECTION_INVALID,    /* protocol error, or memory ran out */
};

void plug_connection_close(struct plug_connection *connection);
bool plug_connection_receive(
    struct plug_connection *connection, const uint8_t *data, size_t len);
enum plug_connection_state
plug_connection_next(struct plug_connection *connection);
void plug_connection_flush(struct plug_connection *connection);
void plug_connection_reply(struct plug_connection *connection, uint32_t xid,
    enum accept_stat stat, enum plug_upstream_result result,
    const uint8_t *body, uint32_t len);

#endif
