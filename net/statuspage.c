#include <arpa/inet.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>

#include "pollset.h"
#include "statuspage.h"

#define CONNECTIONS_MAX 32U /* routers keep a few each */
#define IDLE_TIMEOUT_S	30U /* of a kept connection */

struct plug_statuspage {
	struct MHD_Daemon *daemon;
	const char *ready_path;
	struct plug_statuspage_handlers handlers;
	char metrics[PLUG_METRICS_SIZE];
};

static enum MHD_Result
answer(struct MHD_Connection *connection, unsigned int code, const char *body,
    size_t len)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
	    len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	enum MHD_Result result;

	if (response == NULL)
		return MHD_NO;
	result = MHD_queue_response(connection, code, response);
	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result
on_request(void *data, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *upload,
    size_t *upload_len, void **state)
{
	struct plug_statuspage *page = data;
	const struct plug_statuspage_handlers *handlers = &page->handlers;

	(void)version;
	(void)upload;
	(void)upload_len;
	(void)state;
	if (strcmp(method, MHD_HTTP_METHOD_GET) != 0)
		return answer(connection, MHD_HTTP_METHOD_NOT_ALLOWED, NULL, 0);
	if (strcmp(url, page->ready_path) == 0)
		return answer(connection,
		    handlers->ready(handlers->data)
			? MHD_HTTP_OK
			: MHD_HTTP_SERVICE_UNAVAILABLE,
		    NULL, 0);
	if (strcmp(url, PLUG_METRICS_PATH) == 0)
		return answer(connection, MHD_HTTP_OK, page->metrics,
		    handlers->metrics(
			handlers->data, page->metrics, sizeof(page->metrics)));
	return answer(connection, MHD_HTTP_NOT_FOUND, NULL, 0);
}

/**
 * plug_statuspage_create() - listen for requests
 * @listen: TCP address
 * @ready_path: path of the readiness check
 * @handlers: what the pages show; copied
 * @status: receives the reason of a failure
 *
 * Return: pages for plug_statuspage_destroy(), or NULL.
 */
struct plug_statuspage *
plug_statuspage_create(struct plug_endpoint listen, const char *ready_path,
    const struct plug_statuspage_handlers *handlers, struct plug_status *status)
{
	struct plug_statuspage *page = calloc(1, sizeof(*page));
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(listen.port),
		.sin_addr.s_addr = htonl(listen.address),
	};

	if (page == NULL) {
		(void)plug_status_set(status, PLUG_E_MEMORY, "out of memory");
		return NULL;
	}
	page->ready_path = ready_path;
	page->handlers = *handlers;
	page->daemon = MHD_start_daemon(MHD_NO_FLAG, listen.port, NULL, NULL,
	    on_request, page, MHD_OPTION_SOCK_ADDR, &address,
	    MHD_OPTION_CONNECTION_LIMIT, CONNECTIONS_MAX,
	    MHD_OPTION_CONNECTION_TIMEOUT, IDLE_TIMEOUT_S,
	    MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
	if (page->daemon == NULL) {
		(void)plug_status_set(status, PLUG_E_IO,
		    "can't listen for the readiness check on port %u",
		    listen.port);
		free(page);
		return NULL;
	}
	return page;
}

/**
 * plug_statuspage_destroy() - stop listening
 * @page: pages, or NULL
 */
void
plug_statuspage_destroy(struct plug_statuspage *page)
{
	if (page == NULL)
		return;
	MHD_stop_daemon(page->daemon);
	free(page);
}

/**
 * plug_statuspage_fds() - descriptors to wait for
 * @page: pages
 * @fds: receives descriptors and events
 * @max: room in @fds
 *
 * Return: descriptors stored.
 */
unsigned int
plug_statuspage_fds(
    struct plug_statuspage *page, struct pollfd *fds, unsigned int max)
{
	fd_set in, out, error;
	int top = -1;

	FD_ZERO(&in);
	FD_ZERO(&out);
	FD_ZERO(&error);
	(void)MHD_get_fdset(page->daemon, &in, &out, &error, &top);
	return plug_pollset_from(&in, &out, top, fds, max);
}

/**
 * plug_statuspage_perform() - go on with the requests; never blocks
 * @page: pages
 */
void
plug_statuspage_perform(struct plug_statuspage *page)
{
	(void)MHD_run(page->daemon);
}
