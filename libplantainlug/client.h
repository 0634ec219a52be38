#ifndef PLUG_CLIENT_H
#define PLUG_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "../proto/control.pb-c.h"
#include "packet.h"
#include "str.h"

#define PLUG_LOG_LINE_MAX 512 /* bytes of one log line, with the NUL */

/* Time in microseconds of a monotonic clock that the driver chooses. */
typedef int64_t plug_time;

#define PLUG_MSEC ((plug_time)1000)
#define PLUG_SEC  ((plug_time)1000000)

/* Between two ticks of a process that runs; after a longer time it was paused
 * (design 4.6). */
#define PLUG_TICK_GAP_MAX (500 * PLUG_MSEC)

struct plug_view;

enum plug_log_level {
	PLUG_LOG_ERROR,
	PLUG_LOG_WARN,
	PLUG_LOG_INFO,
	PLUG_LOG_DEBUG,
};

/* What a decision asks its driver to do. */
enum plug_action_kind {
	PLUG_ACTION_DATAGRAM,	     /* send an inner packet over GRE-in-UDP */
	PLUG_ACTION_PEER,	     /* send a control message */
	PLUG_ACTION_WATCH,	     /* start a blocking query for a key */
	PLUG_ACTION_UNWATCH,	     /* stop it */
	PLUG_ACTION_VIEW,	     /* hand the view to the traffic threads */
	PLUG_ACTION_UPSTREAM_CALL,   /* start a request at the upstream */
	PLUG_ACTION_UPSTREAM_CANCEL, /* the answer is no longer wanted */
	PLUG_ACTION_UPSTREAM_RECONNECT, /* close and open the connection */
	PLUG_ACTION_FABRIC_RENEW, /* take a new source port to the fabric */
	PLUG_ACTION_STOPPED,	  /* the graceful stop is complete */
};

/**
 * struct plug_action - one action
 * @kind: selects the member of the union
 * @datagram: @target and an inner packet; valid during the handler call only
 * @peer: @target and a message; valid during the handler call only
 * @watch: key, and the modify index after which the query shall return
 * @view: new view; the handler must call plug_view_reference() to keep it
 * @upstream: request id, and for a call its procedure, time left and arguments
 */
struct plug_action {
	enum plug_action_kind kind;
	union {
		struct {
			struct plug_endpoint target;
			const uint8_t *data;
			size_t len;
		} datagram;
		struct {
			struct plug_endpoint target;
			const Plug__Message *message;
		} peer;
		struct {
			struct plug_str key;
			uint64_t index;
		} watch;
		struct plug_view *view;
		struct {
			uint64_t id;
			uint32_t procedure;
			uint32_t budget_ms;
			struct plug_str body;
		} upstream;
	};
};

/**
 * struct plug_client - handlers and random state passed to every decision
 * @emit: receives each action, in order
 * @emit_data: first argument of @emit
 * @log: receives each log line, one event as key=value pairs without newline
 * @log_data: first argument of @log
 * @random: state of the seeded generator, nrand48(3)
 */
struct plug_client {
	void (*emit)(void *data, const struct plug_action *action);
	void *emit_data;
	void (*log)(
	    void *data, enum plug_log_level level, struct plug_str line);
	void *log_data;
	unsigned short random[3];
};

void plug_client_emit(
    const struct plug_client *client, const struct plug_action *action);
void
plug_client_log(const struct plug_client *client, enum plug_log_level level,
    const char *format, ...) __attribute__((format(printf, 3, 4)));
uint32_t plug_client_random(struct plug_client *client, uint32_t below);
uint64_t plug_client_random_id(struct plug_client *client);

#endif
