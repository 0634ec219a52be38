#include <arpa/inet.h>
#include <errno.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "connection.h"
#include "net/buffer.h"

#define RESULTS_SPARE 512 /* bytes around an answer in its record */
#define LAST_FRAGMENT 0x80000000U

static bool
append(struct plug_bytes *buffer, const void *data, size_t len)
{
	if (!plug_buffer_reserve(
		&buffer->data, &buffer->capacity, buffer->len + len))
		return false;
	memcpy(buffer->data + buffer->len, data, len);
	buffer->len += len;
	return true;
}

static void
consume(struct plug_bytes *buffer, size_t len)
{
	buffer->len -= len;
	memmove(buffer->data, buffer->data + len, buffer->len);
}

static void
release(struct plug_bytes *buffer)
{
	free(buffer->data);
	*buffer = (struct plug_bytes){ 0 };
}

/**
 * plug_connection_close() - close the socket and free the buffers
 * @connection: open connection
 */
void
plug_connection_close(struct plug_connection *connection)
{
	(void)close(connection->fd);
	release(&connection->in);
	release(&connection->record);
	release(&connection->out);
	connection->fd = -1;
}

/**
 * plug_connection_receive() - add bytes of the socket to the input
 * @connection: connection
 * @data: bytes
 * @len: number of bytes
 *
 * Return: false when memory ran out.
 */
bool
plug_connection_receive(
    struct plug_connection *connection, const uint8_t *data, size_t len)
{
	return append(&connection->in, data, len);
}

/**
 * plug_connection_next() - take whole fragments off the input
 * @connection: connection; the caller empties @record after a whole one
 *
 * Return: whether @record of the connection is complete.
 */
enum plug_connection_state
plug_connection_next(struct plug_connection *connection)
{
	uint32_t mark, len;

	while (connection->in.len >= sizeof(mark)) {
		memcpy(&mark, connection->in.data, sizeof(mark));
		mark = ntohl(mark);
		len = mark & ~LAST_FRAGMENT;
		if (len + connection->record.len > PLUG_CONNECTION_RECORD_MAX)
			return PLUG_CONNECTION_INVALID;
		if (connection->in.len < sizeof(mark) + len)
			return PLUG_CONNECTION_INCOMPLETE;
		if (!append(&connection->record,
			connection->in.data + sizeof(mark), len))
			return PLUG_CONNECTION_INVALID;
		consume(&connection->in, sizeof(mark) + len);
		if (mark & LAST_FRAGMENT)
			return PLUG_CONNECTION_RECORD;
	}
	return PLUG_CONNECTION_INCOMPLETE;
}

/**
 * plug_connection_flush() - send what the socket takes
 * @connection: connection; a broken one is closed when it is next read
 */
void
plug_connection_flush(struct plug_connection *connection)
{
	ssize_t n;

	if (connection->out.len == 0 || connection->silent)
		return;
	n = send(connection->fd, connection->out.data, connection->out.len,
	    MSG_NOSIGNAL);
	if (n > 0)
		consume(&connection->out, (size_t)n);
	else if (n < 0 && errno != EAGAIN && errno != EINTR)
		connection->out.len = 0;
}

static bool_t
code_no_results(XDR *xdr, ...)
{
	(void)xdr;
	return 1;
}

/**
 * plug_connection_reply() - answer a call
 * @connection: connection of the call
 * @xid: xid of the call
 * @stat: RPC status; the other arguments count for SUCCESS only
 * @result: result of the call
 * @body: answer
 * @len: its length in bytes
 */
void
plug_connection_reply(struct plug_connection *connection, uint32_t xid,
    enum accept_stat stat, enum plug_upstream_result result,
    const uint8_t *body, uint32_t len)
{
	uint32_t number = (uint32_t)result, mark;
	struct rpc_msg msg = { 0 };
	uint8_t *buf;
	XDR xdr;

	buf = malloc(len + RESULTS_SPARE);
	if (buf == NULL)
		return;
	msg.rm_xid = xid;
	msg.rm_direction = REPLY;
	msg.rm_reply.rp_stat = MSG_ACCEPTED;
	msg.acpted_rply.ar_stat = stat;
	msg.acpted_rply.ar_results.proc = code_no_results;
	xdrmem_create(&xdr, (char *)buf, len + RESULTS_SPARE, XDR_ENCODE);
	if (xdr_replymsg(&xdr, &msg) &&
	    (stat != SUCCESS ||
		(xdr_uint32_t(&xdr, &number) && xdr_uint32_t(&xdr, &len) &&
		    (len == 0 ||
			xdr_opaque(&xdr, (char *)(uintptr_t)body, len))))) {
		mark = htonl(LAST_FRAGMENT | xdr_getpos(&xdr));
		(void)append(&connection->out, &mark, sizeof(mark));
		(void)append(&connection->out, buf, xdr_getpos(&xdr));
	}
	free(buf);
	plug_connection_flush(connection);
}
