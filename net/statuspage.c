#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <stdlib.h>
#include <string.h>

#include "statuspage.h"

#define BACKLOG	       16 /* connections that are not accepted yet */
#define IDLE_TIMEOUT_S 30 /* of a kept connection */

struct plug_statuspage {
	struct evhttp *http;
	const char *ready_path;
	struct plug_statuspage_handlers handlers;
	char metrics[PLUG_METRICS_SIZE];
};

static void
answer(struct evhttp_request *request, int code, const char *reason)
{
	evhttp_send_reply(request, code, reason, NULL);
}

static void
answer_metrics(struct plug_statuspage *page, struct evhttp_request *request)
{
	size_t len = page->handlers.metrics(
	    page->handlers.data, page->metrics, sizeof(page->metrics));

	(void)evhttp_add_header(evhttp_request_get_output_headers(request),
	    "Content-Type", "text/plain");
	if (evbuffer_add(evhttp_request_get_output_buffer(request),
		page->metrics, len) != 0)
		answer(request, HTTP_INTERNAL, "Out of memory");
	else
		answer(request, HTTP_OK, "OK");
}

static void
on_request(struct evhttp_request *request, void *data)
{
	struct plug_statuspage *page = data;
	const char *path =
	    evhttp_uri_get_path(evhttp_request_get_evhttp_uri(request));

	if (path != NULL && strcmp(path, page->ready_path) == 0) {
		if (page->handlers.ready(page->handlers.data))
			answer(request, HTTP_OK, "OK");
		else
			answer(request, HTTP_SERVUNAVAIL, "Not ready");
	} else if (path != NULL && strcmp(path, PLUG_METRICS_PATH) == 0) {
		answer_metrics(page, request);
	} else {
		answer(request, HTTP_NOTFOUND, "Not found");
	}
}

static bool
listen_on(struct plug_statuspage *page, struct event_base *base,
    struct plug_endpoint listen)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(listen.port),
		.sin_addr.s_addr = htonl(listen.address),
	};
	struct evconnlistener *listener = evconnlistener_new_bind(base, NULL,
	    NULL,
	    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
	    BACKLOG, (const struct sockaddr *)&address, sizeof(address));

	if (listener == NULL)
		return false;
	if (evhttp_bind_listener(page->http, listener) != NULL)
		return true;
	evconnlistener_free(listener);
	return false;
}

/**
 * plug_statuspage_create() - listen for requests
 * @loop: loop of the calling thread
 * @listen: TCP address
 * @ready_path: path of the readiness check
 * @handlers: what the pages show; copied
 * @status: receives the reason of a failure
 *
 * Return: pages for plug_statuspage_destroy(), or NULL.
 */
struct plug_statuspage *
plug_statuspage_create(struct plug_loop *loop, struct plug_endpoint listen,
    const char *ready_path, const struct plug_statuspage_handlers *handlers,
    struct plug_status *status)
{
	struct plug_statuspage *page = calloc(1, sizeof(*page));

	if (page != NULL)
		page->http = evhttp_new(plug_loop_base(loop));
	if (page == NULL || page->http == NULL) {
		(void)plug_status_set(status, PLUG_E_MEMORY, "out of memory");
		free(page);
		return NULL;
	}
	page->ready_path = ready_path;
	page->handlers = *handlers;
	evhttp_set_allowed_methods(page->http, EVHTTP_REQ_GET);
	evhttp_set_timeout(page->http, IDLE_TIMEOUT_S);
	evhttp_set_gencb(page->http, on_request, page);
	if (!listen_on(page, plug_loop_base(loop), listen)) {
		(void)plug_status_set(status, PLUG_E_IO,
		    "can't listen for the readiness check on port %u",
		    listen.port);
		plug_statuspage_destroy(page);
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
	evhttp_free(page->http);
	free(page);
}
