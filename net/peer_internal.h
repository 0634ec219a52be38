#ifndef PLUG_PEER_INTERNAL_H
#define PLUG_PEER_INTERNAL_H

/* Shared by peer.c and link.c only. */

#include <apr_network_io.h>
#include <apr_poll.h>
#include <sys/queue.h>

#include "frame.h"
#include "peer.h"

#define PLUG_LINK_READ_SIZE 65536 /* bytes for each read */

struct plug_link_frame {
	STAILQ_ENTRY(plug_link_frame) entries;
	uint8_t *data;
	size_t len;
};

STAILQ_HEAD(plug_link_queue, plug_link_frame);

/*
 * One connection, of link.c. Outgoing links carry messages to target; incoming
 * ones receive, and carry status replies only. A closing link is destroyed by
 * the next sweep. socket is NULL while an outgoing link waits for retry_at.
 */
struct plug_link {
	TAILQ_ENTRY(plug_link) entries;
	struct plug_peers *peers;
	apr_pool_t *pool;
	apr_socket_t *socket;
	apr_pollfd_t poll;
	bool outgoing;
	bool connecting;
	bool closing;
	struct plug_endpoint target;
	struct plug_frame_reader reader;
	struct plug_link_queue queue;
	unsigned int queue_count;
	size_t queue_bytes;
	size_t written;	    /* bytes of the first frame */
	plug_time progress; /* last byte moved, or start of waiting */
	plug_time used;	    /* last message in either direction */
	plug_time asked;    /* oldest message without an answer; 0: none */
	/* doubles with each replacement without an answer */
	plug_time answer_timeout;
	plug_time retry_at;
};

TAILQ_HEAD(plug_link_list, plug_link);

struct plug_peers {
	apr_pool_t *pool;
	apr_pollset_t *pollset;
	apr_socket_t *listener;
	struct plug_log *log;
	plug_peers_handler handler;
	void *data;
	struct plug_link_list links;
	unsigned int link_count;
	unsigned int incoming_count;
	plug_time swept_at;
	bool listener_paused; /* no descriptor was left for a connection */
	plug_time malformed_at;
	uint64_t malformed_logged;
	struct plug_peers_counters counters;
	char scratch[PLUG_LINK_READ_SIZE];
};

struct plug_link *plug_link_create(struct plug_peers *peers, bool outgoing);
void plug_link_destroy(struct plug_link *link);
apr_status_t plug_link_accept(struct plug_link *link, apr_socket_t *listener);
void plug_link_send(
    struct plug_link *link, uint8_t *frame, size_t len, bool answered);
void plug_link_handle(struct plug_link *link, apr_int16_t events);
void plug_link_sweep(struct plug_link *link, plug_time now);
void plug_link_restart_timers(struct plug_link *link, plug_time now);

#endif
