#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <rpc/rpc_msg.h>
#include <stdlib.h>
#include <string.h>

#include "buffer.h"
#include "record.h"

#define LAST_FRAGMENT 0x80000000U /* RFC 5531 section 11 */
#define VERF_SIZE     16	  /* bytes: floor, attempt, budget_ms, offset */

/**
 * plug_record_reader_init() - prepare a reader
 * @reader: reader to fill
 */
void
plug_record_reader_init(struct plug_record_reader *reader)
{
	memset(reader, 0, sizeof(*reader));
}

/**
 * plug_record_reader_finish() - free what the reader holds
 * @reader: reader
 */
void
plug_record_reader_finish(struct plug_record_reader *reader)
{
	free(reader->body);
	memset(reader, 0, sizeof(*reader));
}

/* Returns false when more bytes are needed. */
static bool
read_mark(struct plug_record_reader *reader, struct plug_str *input)
{
	uint32_t mark;

	while (reader->mark_len < PLUG_RECORD_MARK) {
		if (input->len == 0)
			return false;
		reader->mark[reader->mark_len++] = (uint8_t)*input->data;
		input->data++;
		input->len--;
	}
	memcpy(&mark, reader->mark, sizeof(mark));
	mark = ntohl(mark);
	reader->last = (mark & LAST_FRAGMENT) != 0;
	reader->left = mark & ~LAST_FRAGMENT;
	return true;
}

/**
 * plug_record_reader_feed() - consume bytes up to the end of one record
 * @reader: reader
 * @input: bytes received; advanced past what was consumed
 * @record: the record, valid until the next call; empty when more bytes are
 * needed
 *
 * Return: PLUG_OK; PLUG_E_OVERSIZE, PLUG_E_MALFORMED or PLUG_E_MEMORY when the
 * connection has to be closed. An empty record is malformed.
 */
enum plug_code
plug_record_reader_feed(struct plug_record_reader *reader,
    struct plug_str *input, struct plug_str *record)
{
	record->data = NULL;
	record->len = 0;
	for (;;) {
		size_t n;

		if (reader->left == 0) {
			if (!read_mark(reader, input))
				return PLUG_OK;
			reader->mark_len = 0;
			if (reader->left > PLUG_RECORD_MAX - reader->body_len)
				return PLUG_E_OVERSIZE;
		}
		n = reader->left < input->len ? reader->left : input->len;
		if (!plug_buffer_reserve(
			&reader->body, &reader->capacity, reader->body_len + n))
			return PLUG_E_MEMORY;
		if (n > 0)
			memcpy(reader->body + reader->body_len, input->data, n);
		reader->body_len += n;
		reader->left -= (uint32_t)n;
		input->data += n;
		input->len -= n;
		if (reader->left > 0)
			return PLUG_OK;
		if (reader->last)
			break;
	}
	if (reader->body_len == 0)
		return PLUG_E_MALFORMED;
	record->data = (const char *)reader->body;
	record->len = reader->body_len;
	reader->body_len = 0;
	return PLUG_OK;
}

static bool
put_verf(uint32_t budget_ms, char verf[VERF_SIZE])
{
	uint32_t floor = 0;
	uint32_t attempt = 0;
	uint32_t offset = 0;
	XDR xdr;

	xdrmem_create(&xdr, verf, VERF_SIZE, XDR_ENCODE);
	return xdr_uint32_t(&xdr, &floor) && xdr_uint32_t(&xdr, &attempt) &&
	       xdr_uint32_t(&xdr, &budget_ms) && xdr_uint32_t(&xdr, &offset);
}

/**
 * plug_record_encode_call() - encode a call as a record of one fragment
 * @call: call
 * @buf: PLUG_RECORD_CALL_MAX bytes
 *
 * Return: length in bytes, or 0 when the arguments are too long.
 */
size_t
plug_record_encode_call(
    const struct plug_record_call *call, uint8_t buf[PLUG_RECORD_CALL_MAX])
{
	struct rpc_msg msg = { .rm_xid = call->xid, .rm_direction = CALL };
	uint32_t body_len = (uint32_t)call->body.len;
	char verf[VERF_SIZE];
	uint32_t mark;
	XDR xdr;

	if (call->body.len > PLUG_BODY_MAX || !put_verf(call->budget_ms, verf))
		return 0;
	msg.rm_call.cb_rpcvers = RPC_MSG_VERSION;
	msg.rm_call.cb_prog = call->program;
	msg.rm_call.cb_vers = PLUG_RPC_VERSION;
	msg.rm_call.cb_proc = call->procedure;
	msg.rm_call.cb_cred.oa_flavor = AUTH_NONE;
	msg.rm_call.cb_verf.oa_flavor = (enum_t)PLUG_CALL_VERF_FLAVOR;
	msg.rm_call.cb_verf.oa_base = verf;
	msg.rm_call.cb_verf.oa_length = VERF_SIZE;
	xdrmem_create(&xdr, (char *)buf + PLUG_RECORD_MARK,
	    PLUG_RECORD_CALL_MAX - PLUG_RECORD_MARK, XDR_ENCODE);
	if (!xdr_callmsg(&xdr, &msg) || !xdr_uint32_t(&xdr, &body_len) ||
	    (body_len > 0 && !xdr_opaque(&xdr,
				 (char *)(uintptr_t)call->body.data, body_len)))
		return 0;
	mark = htonl(xdr_getpos(&xdr) | LAST_FRAGMENT);
	memcpy(buf, &mark, sizeof(mark));
	return PLUG_RECORD_MARK + xdr_getpos(&xdr);
}

/* Results are read after the header, since they differ for the null call. */
static bool_t
code_no_results(XDR *xdr, ...)
{
	(void)xdr;
	return TRUE;
}

static bool
get_results(XDR *xdr, struct plug_record_reply *reply)
{
	uint32_t result;
	uint32_t len;

	if (!xdr_uint32_t(xdr, &result) || result > PLUG_UPSTREAM_FAILED ||
	    !xdr_uint32_t(xdr, &len) || len > PLUG_RECORD_BODY_MAX)
		return false;
	reply->has_result = true;
	reply->result = (enum plug_upstream_result)result;
	reply->body.len = len;
	if (len > 0)
		reply->body.data = (const char *)XDR_INLINE(xdr, RNDUP(len));
	return len == 0 || reply->body.data != NULL;
}

/**
 * plug_record_decode_reply() - decode a reply
 * @record: record without fragment headers
 * @reply: decoded reply
 *
 * Return: PLUG_OK, or PLUG_E_MALFORMED.
 */
enum plug_code
plug_record_decode_reply(
    struct plug_str record, struct plug_record_reply *reply)
{
	char verf[MAX_AUTH_BYTES];
	struct rpc_msg msg;
	XDR xdr;

	memset(reply, 0, sizeof(*reply));
	memset(&msg, 0, sizeof(msg));
	msg.acpted_rply.ar_verf.oa_base = verf;
	msg.acpted_rply.ar_results.proc = code_no_results;
	xdrmem_create(&xdr, (char *)(uintptr_t)record.data,
	    (unsigned int)record.len, XDR_DECODE);
	if (!xdr_replymsg(&xdr, &msg))
		return PLUG_E_MALFORMED;
	reply->xid = msg.rm_xid;
	reply->accepted = msg.rm_reply.rp_stat == MSG_ACCEPTED &&
			  msg.acpted_rply.ar_stat == SUCCESS;
	if (!reply->accepted || xdr_getpos(&xdr) == record.len)
		return PLUG_OK;
	return get_results(&xdr, reply) ? PLUG_OK : PLUG_E_MALFORMED;
}
