#ifndef PLUG_DOCUMENT_H
#define PLUG_DOCUMENT_H

#include "packet.h"
#include "status.h"
#include "str.h"
#include "token.h"

#define PLUG_NAME_SIZE	       64      /* bytes of a name, with the NUL */
#define PLUG_OPERATIONS_MAX    32      /* operations of a service */
#define PLUG_DOMAINS_MAX       16      /* failure domains in one document */
#define PLUG_DOCUMENT_SCHEMA   1       /* newest schema that is understood */
#define PLUG_DOCUMENT_SIZE_MAX 1048576 /* bytes */
#define PLUG_SERVICE_ID_MAX    2147483647.0 /* 2^31 - 1 */

enum plug_class {
	PLUG_CLASS_SHORT,
	PLUG_CLASS_BULK,
};

/**
 * struct plug_operation - one procedure of a service
 * @procedure: RPC procedure number, from 1
 * @name: name in logs
 * @idempotent: running it twice does no harm
 * @class: admission class
 * @deadline_ms: longest time that a request may take, in milliseconds
 */
struct plug_operation {
	uint32_t procedure;
	char name[PLUG_NAME_SIZE];
	bool idempotent;
	enum plug_class class;
	uint32_t deadline_ms;
};

/**
 * struct plug_document - a validated service document
 * @name: service name
 * @service: service id, the RPC program number
 * @address: service address that callers use
 * @slots: requests that one warm host runs at a time
 * @connections: flows that one host holds
 * @queue: requests that may wait at an agent
 * @cold_seconds: length of the ramp after a start, in seconds
 * @cold_slots: slots of a host that has just started
 * @bulk_share: share of the slots that bulk work may use at a time, 0.1 to 1
 * @operations: operations, @operation_count of them
 * @domains_out: hashes of the names of the domains taken out
 * @token_keys: MAC keys of the service's tokens
 */
struct plug_document {
	char name[PLUG_NAME_SIZE];
	uint32_t service;
	struct plug_endpoint address;
	uint32_t slots;
	uint32_t connections;
	uint32_t queue;
	uint32_t cold_seconds;
	uint32_t cold_slots;
	double bulk_share;
	unsigned int operation_count;
	struct plug_operation operations[PLUG_OPERATIONS_MAX];
	unsigned int domain_out_count;
	uint32_t domains_out[PLUG_DOMAINS_MAX];
	struct plug_token_keys token_keys;
};

uint32_t plug_domain_hash(struct plug_str name);
enum plug_code plug_document_parse(struct plug_str text,
    struct plug_document *document, struct plug_status *status);
bool
plug_document_domain_out(const struct plug_document *document, uint32_t domain);
const struct plug_operation *plug_document_operation(
    const struct plug_document *document, uint32_t procedure);

#endif
