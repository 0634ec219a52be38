#ifndef PLUG_VIEW_H
#define PLUG_VIEW_H

#include <stdatomic.h>

#include "client.h"
#include "document.h"

enum plug_member_state {
	PLUG_MEMBER_LIVE,
	PLUG_MEMBER_LEAVING,
};

/**
 * struct plug_member - one line of an instance list
 * @name: host name in logs
 * @endpoint: UDP traffic and TCP control address of its process
 * @domain: hash of its failure domain's name
 * @state: live or leaving
 */
struct plug_member {
	char name[PLUG_NAME_SIZE];
	struct plug_endpoint endpoint;
	uint32_t domain;
	enum plug_member_state state;
};

/**
 * struct plug_service - a service in a view
 * @document: document in force
 * @document_version: its version
 * @member_version: version of the instance list; 0 when there is none
 * @member_count: length of @members
 * @members: agents of the service, ordered by name
 */
struct plug_service {
	struct plug_document document;
	uint64_t document_version;
	uint64_t member_version;
	unsigned int member_count;
	struct plug_member *members;
};

/**
 * struct plug_view - immutable snapshot of configuration and membership
 * @references: plug_view_reference() adds one, plug_view_release() takes one
 * @service_count: length of @services
 * @services: services, ordered by service id
 * @entry_count: length of @entries
 * @entries: entry instances
 */
struct plug_view {
	atomic_uint references;
	unsigned int service_count;
	struct plug_service *services;
	unsigned int entry_count;
	struct plug_member *entries;
};

struct plug_view *
plug_view_create(unsigned int service_count, unsigned int entry_count);
struct plug_view *plug_view_reference(struct plug_view *view);
void plug_view_release(struct plug_view *view);
const struct plug_service *
plug_view_service(const struct plug_view *view, uint32_t service);
const struct plug_member *plug_service_member(
    const struct plug_service *service, struct plug_endpoint endpoint);
bool plug_service_usable(
    const struct plug_service *service, const struct plug_member *member);
enum plug_code
plug_members_parse(struct plug_str text, struct plug_member **members,
    unsigned int *count, struct plug_status *status);

#endif
