#include <stdlib.h>

#include "view.h"

/**
 * plug_view_create() - allocate an empty view
 * @service_count: length of the services array
 * @entry_count: length of the entries array
 *
 * Services and entries are zeroed for the caller to fill. The member arrays
 * that the caller attaches become the view's and are freed with free(3).
 *
 * Return: a view with one reference, or NULL when memory ran out.
 */
struct plug_view *
plug_view_create(unsigned int service_count, unsigned int entry_count)
{
	struct plug_view *view = calloc(1, sizeof(*view));

	if (view == NULL)
		return NULL;
	atomic_init(&view->references, 1);
	view->service_count = service_count;
	view->entry_count = entry_count;
	view->services = calloc(service_count + 1, sizeof(*view->services));
	view->entries = calloc(entry_count + 1, sizeof(*view->entries));
	if (view->services == NULL || view->entries == NULL) {
		plug_view_release(view);
		return NULL;
	}
	return view;
}

/**
 * plug_view_reference() - keep a view
 * @view: view
 *
 * Return: @view, for the caller to release.
 */
struct plug_view *
plug_view_reference(struct plug_view *view)
{
	atomic_fetch_add(&view->references, 1);
	return view;
}

/**
 * plug_view_release() - give up one reference
 * @view: view, or NULL; freed with its last reference
 */
void
plug_view_release(struct plug_view *view)
{
	if (view == NULL || atomic_fetch_sub(&view->references, 1) != 1)
		return;
	if (view->services != NULL) {
		for (unsigned int i = 0; i < view->service_count; i++)
			free(view->services[i].members);
	}
	free(view->services);
	free(view->entries);
	free(view);
}

static int
compare_service(const void *key, const void *element)
{
	const uint32_t *id = key;
	const struct plug_service *service = element;

	if (*id == service->document.service)
		return 0;
	return *id < service->document.service ? -1 : 1;
}

/**
 * plug_view_service() - find a service by id
 * @view: view, or NULL
 * @service: service id
 *
 * Return: the service, or NULL.
 */
const struct plug_service *
plug_view_service(const struct plug_view *view, uint32_t service)
{
	if (view == NULL)
		return NULL;
	return bsearch(&service, view->services, view->service_count,
	    sizeof(*view->services), compare_service);
}

/**
 * plug_service_member() - find an agent by its address
 * @service: service
 * @endpoint: address
 *
 * Return: the member, or NULL when the instance list doesn't show it.
 */
const struct plug_member *
plug_service_member(
    const struct plug_service *service, struct plug_endpoint endpoint)
{
	for (unsigned int i = 0; i < service->member_count; i++) {
		if (plug_endpoint_equal(service->members[i].endpoint, endpoint))
			return &service->members[i];
	}
	return NULL;
}

/**
 * plug_service_usable() - whether an agent may receive new flows
 * @service: service
 * @member: one of its members
 */
bool
plug_service_usable(
    const struct plug_service *service, const struct plug_member *member)
{
	return member->state == PLUG_MEMBER_LIVE &&
	       !plug_document_domain_out(&service->document, member->domain);
}
