#ifndef PLUG_RECORD_H
#define PLUG_RECORD_H

#include <stdbool.h>

#include "libplantainlug/agent.h"

#define PLUG_RECORD_MARK     4			/* bytes of a fragment header */
#define PLUG_RECORD_BODY_MAX (4U * 1024 * 1024) /* bytes of an answer */
#define PLUG_RECORD_MAX	     (PLUG_RECORD_BODY_MAX + 1024) /* with headers */
#define PLUG_RECORD_CALL_MAX 1536 /* bytes of a call with its mark */

/**
 * struct plug_record_reader - joins the fragments of RPC records
 * @mark: fragment header, as far as it has arrived
 * @mark_len: bytes in @mark
 * @left: bytes missing of the current fragment
 * @last: the current fragment ends the record
 * @body: record without fragment headers
 * @body_len: bytes in @body
 * @capacity: size of @body in bytes; grows with the bytes that arrive
 */
struct plug_record_reader {
	uint8_t mark[PLUG_RECORD_MARK];
	size_t mark_len;
	uint32_t left;
	bool last;
	uint8_t *body;
	size_t body_len;
	size_t capacity;
};

/**
 * struct plug_record_call - a call to the upstream
 * @xid: transaction id on the connection
 * @program: service id
 * @procedure: operation or reserved procedure
 * @budget_ms: time left, in milliseconds
 * @body: arguments, at most PLUG_BODY_MAX bytes
 */
struct plug_record_call {
	uint32_t xid;
	uint32_t program;
	uint32_t procedure;
	uint32_t budget_ms;
	struct plug_str body;
};

/**
 * struct plug_record_reply - a reply of the upstream
 * @xid: transaction id of the call
 * @accepted: the upstream executed the procedure
 * @has_result: @result and @body are present; the null call has none
 * @result: how the request ended
 * @body: answer; points into the decoded record
 */
struct plug_record_reply {
	uint32_t xid;
	bool accepted;
	bool has_result;
	enum plug_upstream_result result;
	struct plug_str body;
};

void plug_record_reader_init(struct plug_record_reader *reader);
void plug_record_reader_finish(struct plug_record_reader *reader);
enum plug_code plug_record_reader_feed(struct plug_record_reader *reader,
    struct plug_str *input, struct plug_str *record);
size_t plug_record_encode_call(
    const struct plug_record_call *call, uint8_t buf[PLUG_RECORD_CALL_MAX]);
enum plug_code plug_record_decode_reply(
    struct plug_str record, struct plug_record_reply *reply);

#endif
