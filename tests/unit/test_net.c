#include <apr_general.h>
#include <arpa/inet.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/clock.h"
#include "net/control.h"
#include "net/datagram.h"
#include "net/frame.h"
#include "net/mailbox.h"
#include "net/pause.h"
#include "net/peer.h"
#include "net/record.h"
#include "net/upstream.h"
#include "suites.h"

#define ROUNDS_MAX  2000 /* polls before a test gives up */
#define POLL_MS	    10	 /* milliseconds for each poll */
#define LOG_THREADS 4
#define LOG_LINES   5000UL /* lines of each thread */

static const struct plug_endpoint loopback = { INADDR_LOOPBACK, 0 };

static uint8_t *
notice_frame(const char *key, size_t *len)
{
	Plug__KeyVersion version = PLUG__KEY_VERSION__INIT;
	Plug__Notice notice = PLUG__NOTICE__INIT;
	Plug__Message message = PLUG__MESSAGE__INIT;
	uint8_t *frame;

	version.key = (char *)(uintptr_t)key;
	notice.key = &version;
	message.body_case = PLUG__MESSAGE__BODY_NOTICE;
	message.notice = &notice;
	frame = plug_frame_encode(&message, len);
	ck_assert_ptr_nonnull(frame);
	return frame;
}

/* Guards against a frame that is lost when TCP splits it anywhere. */
START_TEST(frame_survives_any_split)
{
	struct plug_frame_reader reader;
	size_t len;
	uint8_t *frame = notice_frame("service/numbering", &len);

	plug_frame_reader_init(&reader);
	for (size_t split = 1; split < len; split++) {
		struct plug_str input = { (const char *)frame, split };
		Plug__Message *message;

		ck_assert_int_eq(
		    plug_frame_reader_feed(&reader, &input, &message), PLUG_OK);
		ck_assert_ptr_null(message);
		ck_assert(plug_frame_reader_partial(&reader));
		input.len = len - split;
		ck_assert_int_eq(
		    plug_frame_reader_feed(&reader, &input, &message), PLUG_OK);
		ck_assert_ptr_nonnull(message);
		ck_assert_str_eq(
		    message->notice->key->key, "service/numbering");
		ck_assert(!plug_frame_reader_partial(&reader));
		plug__message__free_unpacked(message, NULL);
	}
	plug_frame_reader_finish(&reader);
	free(frame);
}
END_TEST

/*
 * Guards against memory that a peer can claim with a length field, and against
 * garbage that is taken for a message.
 */
START_TEST(frame_refuses_bad_lengths)
{
	static const struct {
		const char *bytes;
		size_t len;
		enum plug_code code;
	} cases[] = {
		{ "\xff\xff\xff\xff", 4, PLUG_E_OVERSIZE },
		{ "\x00\x41\x00\x01", 4, PLUG_E_OVERSIZE },
		{ "\x00\x41\x00\x00", 4, PLUG_OK },
		{ "\x00\x00\x00\x00", 4, PLUG_E_MALFORMED },
		{ "\x00\x00\x00\x02zz", 6, PLUG_E_MALFORMED },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct plug_str input = { cases[i].bytes, cases[i].len };
		struct plug_frame_reader reader;
		Plug__Message *message;

		plug_frame_reader_init(&reader);
		ck_assert_int_eq(
		    plug_frame_reader_feed(&reader, &input, &message),
		    cases[i].code);
		ck_assert_ptr_null(message);
		ck_assert_uint_le(reader.capacity, 4096);
		plug_frame_reader_finish(&reader);
	}
}
END_TEST

/* Guards against an inner packet that is read at the wrong offset. */
START_TEST(gre_refuses_flags_and_other_protocols)
{
	uint8_t datagram[PLUG_GRE_SIZE + 1] = { 0 };

	plug_gre_encode(datagram);
	ck_assert(plug_gre_valid(datagram, sizeof(datagram)));
	for (size_t len = 0; len <= PLUG_GRE_SIZE; len++)
		ck_assert(!plug_gre_valid(datagram, len));
	for (unsigned int bit = 0; bit < PLUG_GRE_SIZE * 8; bit++) {
		plug_gre_encode(datagram);
		datagram[bit / 8] ^= (uint8_t)(1U << bit % 8);
		ck_assert(!plug_gre_valid(datagram, sizeof(datagram)));
	}
}
END_TEST

static struct plug_endpoint
bound_endpoint(int fd)
{
	struct sockaddr_in address = { 0 };
	socklen_t len = sizeof(address);

	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&address, &len), 0);
	return (struct plug_endpoint){ ntohl(address.sin_addr.s_addr),
		ntohs(address.sin_port) };
}

/*
 * Guards against forwarded datagrams that change, and against a bad datagram
 * that stops the batch.
 */
START_TEST(datagram_batch_is_forwarded_unchanged)
{
	struct plug_datagram *a =
	    plug_datagram_create(loopback, false, 1000, NULL);
	struct plug_datagram *b =
	    plug_datagram_create(loopback, false, 1000, NULL);
	uint8_t packet[PLUG_PACKET_MAX];
	unsigned int seen = 0;

	ck_assert_ptr_nonnull(a);
	ck_assert_ptr_nonnull(b);
	memset(packet, 'p', sizeof(packet));
	for (uint8_t i = 0; i < PLUG_DATAGRAM_BATCH + 6; i++) {
		packet[0] = i;
		plug_datagram_send(
		    a, bound_endpoint(b->fd), packet, sizeof(packet));
	}
	plug_datagram_flush(a);
	while (seen < PLUG_DATAGRAM_BATCH + 6) {
		unsigned int count = plug_datagram_receive(b, true);

		ck_assert_uint_gt(count, 0);
		for (unsigned int i = 0; i < count; i++)
			plug_datagram_forward(b, i, bound_endpoint(a->fd));
		seen += count;
	}
	plug_datagram_flush(b);
	for (unsigned int next = 0; next < seen;) {
		unsigned int count = plug_datagram_receive(a, true);

		ck_assert_uint_gt(count, 0);
		for (unsigned int i = 0; i < count; i++, next++) {
			size_t len;

			packet[0] = (uint8_t)next;
			ck_assert_mem_eq(plug_datagram_packet(a, i, &len),
			    packet, sizeof(packet));
			ck_assert_uint_eq(len, sizeof(packet));
		}
	}
	ck_assert_uint_eq(a->lost + b->lost + a->bad, 0);
	plug_datagram_destroy(a);
	plug_datagram_destroy(b);
}
END_TEST

/*
 * Guards against an entry that, after a pause, forwards what waited in its
 * socket. A short batch shows that the socket was empty.
 */
START_TEST(pause_drops_until_socket_is_empty)
{
	struct plug_pause pause;
	plug_time now = PLUG_SEC;

	plug_pause_init(&pause, now);
	now += PLUG_TICK_GAP_MAX;
	ck_assert(!plug_pause_check(&pause, now, PLUG_DATAGRAM_BATCH));
	now += PLUG_TICK_GAP_MAX + 1;
	ck_assert(plug_pause_check(&pause, now, PLUG_DATAGRAM_BATCH));
	ck_assert(plug_pause_check(&pause, now, PLUG_DATAGRAM_BATCH));
	ck_assert(plug_pause_check(&pause, now, 1));
	ck_assert(!plug_pause_check(&pause, now, PLUG_DATAGRAM_BATCH));
}
END_TEST

/* Guards against an entry that drops forever under load after a pause. */
START_TEST(pause_ends_under_full_batches)
{
	struct plug_pause pause;
	unsigned int batches = 0;

	plug_pause_init(&pause, 0);
	while (plug_pause_check(&pause, PLUG_SEC, PLUG_DATAGRAM_BATCH))
		ck_assert_uint_lt(++batches, 1000);
	ck_assert_uint_gt(batches, 1);
}
END_TEST

/* Guards against a queue that grows or loses items without saying so. */
START_TEST(mailbox_is_bounded)
{
	static struct plug_mailbox mailbox;
	static int items[PLUG_MAILBOX_SIZE];

	ck_assert(plug_mailbox_init(&mailbox));
	for (int i = 0; i < PLUG_MAILBOX_SIZE; i++)
		ck_assert(plug_mailbox_put(&mailbox, &items[i]));
	ck_assert(!plug_mailbox_put(&mailbox, &items[0]));
	for (int i = 0; i < PLUG_MAILBOX_SIZE; i++)
		ck_assert_ptr_eq(plug_mailbox_take(&mailbox), &items[i]);
	ck_assert_ptr_null(plug_mailbox_take(&mailbox));
	plug_mailbox_finish(&mailbox);
}
END_TEST

/* A log that writes into a pipe, so that a test can stall its sink. */
static struct plug_log *
pipe_log(int ends[2])
{
	struct plug_log *log;
	char path[64];

	ck_assert_int_eq(pipe(ends), 0);
	(void)snprintf(path, sizeof(path), "/dev/fd/%d", ends[1]);
	log = plug_log_create("test", path, PLUG_LOG_INFO, NULL);
	ck_assert_ptr_nonnull(log);
	(void)close(ends[1]);
	return log;
}

struct log_reader {
	int fd;
	pthread_t thread;
	unsigned int lines;
	unsigned int events;
	unsigned int bad;
	unsigned long long reported;
};

static void *
read_log(void *data)
{
	struct log_reader *reader = data;
	FILE *file = fdopen(reader->fd, "r");
	char line[PLUG_LOG_LINE_MAX * 2];

	while (fgets(line, sizeof(line), file) != NULL) {
		const char *dropped = strstr(line, "event=log_dropped");

		reader->lines++;
		if (strncmp(line, "time=", 5) != 0 ||
		    strstr(line, " name=test event=") == NULL ||
		    strchr(line, '\n') == NULL)
			reader->bad++;
		if (strstr(line, "event=sample") != NULL)
			reader->events++;
		if (dropped != NULL)
			reader->reported =
			    strtoull(strstr(dropped, "total=") + 6, NULL, 10);
	}
	(void)fclose(file);
	return NULL;
}

static void *
write_log(void *data)
{
	for (unsigned long i = 0; i < LOG_LINES; i++)
		plug_log_event(data, PLUG_LOG_INFO, "event=sample n=%lu", i);
	return NULL;
}

/*
 * Guards against traffic threads that wait for a slow sink, and against lines
 * that vanish without being counted. Nobody reads the pipe while the threads
 * write, so they finish only if a full ring drops lines.
 */
START_TEST(log_drops_and_counts_when_sink_stalls)
{
	struct log_reader reader = { 0 };
	pthread_t threads[LOG_THREADS];
	uint64_t dropped;
	struct plug_log *log;
	int ends[2];

	log = pipe_log(ends);
	for (int i = 0; i < LOG_THREADS; i++)
		ck_assert_int_eq(
		    pthread_create(&threads[i], NULL, write_log, log), 0);
	for (int i = 0; i < LOG_THREADS; i++)
		ck_assert_int_eq(pthread_join(threads[i], NULL), 0);
	dropped = plug_log_dropped(log);
	ck_assert_uint_gt(dropped, 0);
	reader.fd = ends[0];
	ck_assert_int_eq(
	    pthread_create(&reader.thread, NULL, read_log, &reader), 0);
	plug_log_destroy(log);
	ck_assert_int_eq(pthread_join(reader.thread, NULL), 0);
	ck_assert_uint_eq(reader.bad, 0);
	ck_assert_uint_eq(reader.events + dropped, LOG_THREADS * LOG_LINES);
	ck_assert_uint_eq(reader.reported, dropped);
}
END_TEST

/* Guards against a log that ignores its level. */
START_TEST(log_omits_less_severe_lines)
{
	struct log_reader reader = { 0 };
	struct plug_log *log;
	int ends[2];

	log = pipe_log(ends);
	plug_log_event(log, PLUG_LOG_DEBUG, "event=sample");
	plug_log_event(log, PLUG_LOG_ERROR, "event=sample");
	plug_log_destroy(log);
	reader.fd = ends[0];
	(void)read_log(&reader);
	ck_assert_uint_eq(reader.lines, 1);
}
END_TEST

static void
put32(uint8_t *buf, uint32_t value)
{
	value = htonl(value);
	memcpy(buf, &value, sizeof(value));
}

/* A reply with verifier AUTH_NONE as a record of one fragment. */
static size_t
encode_reply(uint8_t *buf, uint32_t xid, const uint32_t *words, size_t count)
{
	const uint32_t header[] = { xid, 1, 0, 0, 0 };
	size_t len = PLUG_RECORD_MARK;

	for (size_t i = 0; i < 5; i++, len += 4)
		put32(buf + len, header[i]);
	for (size_t i = 0; i < count; i++, len += 4)
		put32(buf + len, words[i]);
	put32(buf, (uint32_t)(len - PLUG_RECORD_MARK) | 0x80000000U);
	return len;
}

/* Guards against answers that are cut where the upstream splits records. */
START_TEST(record_joins_fragments_at_any_split)
{
	const char text[] = "\0\0\0\5hello\0\0\0\0\x80\0\0\6 world";
	const size_t len = sizeof(text) - 1;

	for (size_t split = 0; split <= len; split++) {
		struct plug_str input = { text, split };
		struct plug_record_reader reader;
		struct plug_str record;

		plug_record_reader_init(&reader);
		ck_assert_int_eq(
		    plug_record_reader_feed(&reader, &input, &record), PLUG_OK);
		if (split < len) {
			ck_assert_uint_eq(record.len, 0);
			input.len = len - split;
			ck_assert_int_eq(
			    plug_record_reader_feed(&reader, &input, &record),
			    PLUG_OK);
		}
		ck_assert_uint_eq(record.len, 11);
		ck_assert_mem_eq(record.data, "hello world", 11);
		plug_record_reader_finish(&reader);
	}
}
END_TEST

/* Guards against memory that an upstream can claim with fragment headers. */
START_TEST(record_refuses_bad_lengths)
{
	static const struct {
		const char *bytes;
		size_t len;
		enum plug_code code;
	} cases[] = {
		{ "\xff\xff\xff\xff", 4, PLUG_E_OVERSIZE },
		{ "\x00\x00\x00\x01x\x7f\xff\xff\xff", 9, PLUG_E_OVERSIZE },
		{ "\x80\x00\x00\x00", 4, PLUG_E_MALFORMED },
		{ "\x00\x00\x00\x00\x80\x00\x00\x00", 8, PLUG_E_MALFORMED },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct plug_str input = { cases[i].bytes, cases[i].len };
		struct plug_record_reader reader;
		struct plug_str record;

		plug_record_reader_init(&reader);
		ck_assert_int_eq(
		    plug_record_reader_feed(&reader, &input, &record),
		    cases[i].code);
		ck_assert_uint_le(reader.capacity, 4096);
		plug_record_reader_finish(&reader);
	}
}
END_TEST

static enum plug_code
decode(const uint32_t *words, size_t count, struct plug_record_reply *reply)
{
	static uint8_t buf[256];
	size_t len = encode_reply(buf, 9, words, count);

	return plug_record_decode_reply(
	    (struct plug_str){
		(const char *)buf + PLUG_RECORD_MARK, len - PLUG_RECORD_MARK },
	    reply);
}

/*
 * Guards against a reply whose result is misread: a refusal must be true, and
 * a length must not reach past the record.
 */
START_TEST(record_decodes_results)
{
	const uint32_t shed[] = { 0, PLUG_UPSTREAM_SHED, 0 };
	const uint32_t body[] = { 0, PLUG_UPSTREAM_DONE, 4, 0x61626364 };
	const uint32_t null[] = { 0 };
	const uint32_t system_error[] = { 5 };
	const uint32_t unknown_result[] = { 0, PLUG_UPSTREAM_FAILED + 1, 0 };
	const uint32_t long_body[] = { 0, PLUG_UPSTREAM_DONE, 5, 0x61626364 };
	struct plug_record_reply reply;

	ck_assert_int_eq(decode(shed, 3, &reply), PLUG_OK);
	ck_assert(reply.accepted && reply.has_result);
	ck_assert_int_eq(reply.result, PLUG_UPSTREAM_SHED);
	ck_assert_int_eq(decode(body, 4, &reply), PLUG_OK);
	ck_assert_uint_eq(reply.xid, 9);
	ck_assert_uint_eq(reply.body.len, 4);
	ck_assert_mem_eq(reply.body.data, "abcd", 4);
	ck_assert_int_eq(decode(null, 1, &reply), PLUG_OK);
	ck_assert(reply.accepted && !reply.has_result);
	ck_assert_int_eq(decode(system_error, 1, &reply), PLUG_OK);
	ck_assert(!reply.accepted);
	ck_assert_int_eq(decode(unknown_result, 3, &reply), PLUG_E_MALFORMED);
	ck_assert_int_eq(decode(long_body, 4, &reply), PLUG_E_MALFORMED);
}
END_TEST

/* What the handlers of the loopback tests have seen. */
struct seen {
	unsigned int messages;
	unsigned int opens;
	unsigned int closes;
	unsigned int replies;
	uint64_t last_id;
	enum plug_upstream_result last_result;
	char last_key[64];
};

static bool
count_message(void *data, struct plug_link *link, Plug__Message *message)
{
	struct seen *seen = data;

	(void)link;
	seen->messages++;
	if (message->body_case == PLUG__MESSAGE__BODY_NOTICE)
		(void)snprintf(seen->last_key, sizeof(seen->last_key), "%s",
		    message->notice->key->key);
	return false;
}

/* Guards against lost frames on a connection that is made on demand. */
START_TEST(peers_deliver_in_order)
{
	struct plug_log *log =
	    plug_log_create("test", "/dev/null", PLUG_LOG_ERROR, NULL);
	struct seen seen = { 0 };
	struct plug_endpoint from = loopback;
	struct plug_endpoint to = loopback;
	struct plug_peers *a =
	    plug_peers_create(&from, log, count_message, &seen, NULL);
	struct plug_peers *b =
	    plug_peers_create(&to, log, count_message, &seen, NULL);

	ck_assert_ptr_nonnull(a);
	ck_assert_ptr_nonnull(b);
	for (int i = 0; i < 100; i++) {
		char key[32];
		size_t len;
		uint8_t *frame;

		(void)snprintf(key, sizeof(key), "key-%d", i);
		frame = notice_frame(key, &len);
		plug_peers_send_frame(a, to, frame, len, false);
	}
	for (int i = 0; i < ROUNDS_MAX && seen.messages < 100; i++) {
		plug_peers_poll(a, 1);
		plug_peers_poll(b, 1);
	}
	ck_assert_uint_eq(seen.messages, 100);
	ck_assert_str_eq(seen.last_key, "key-99");
	ck_assert_uint_eq(plug_peers_counters(a)->dropped, 0);
	plug_peers_destroy(a);
	plug_peers_destroy(b);
	plug_log_destroy(log);
}
END_TEST

/*
 * Guards against memory that grows with the backlog of a peer that doesn't
 * read. The oldest frames are dropped and counted.
 */
START_TEST(peers_bound_the_queue)
{
	struct plug_log *log =
	    plug_log_create("test", "/dev/null", PLUG_LOG_ERROR, NULL);
	struct seen seen = { 0 };
	struct plug_endpoint from = loopback;
	struct plug_endpoint to = loopback;
	struct plug_peers *a =
	    plug_peers_create(&from, log, count_message, &seen, NULL);
	struct plug_peers *b =
	    plug_peers_create(&to, log, count_message, &seen, NULL);

	/* Without a poll nothing is written. */
	for (int i = 0; i < PLUG_PEER_QUEUE_FRAMES + 10; i++) {
		size_t len;
		uint8_t *frame = notice_frame("k", &len);

		plug_peers_send_frame(a, to, frame, len, false);
	}
	ck_assert_uint_eq(plug_peers_counters(a)->dropped, 10);
	plug_peers_destroy(a);
	plug_peers_destroy(b);
	plug_log_destroy(log);
}
END_TEST

static int
connect_loopback(struct plug_endpoint target)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(target.port),
		.sin_addr.s_addr = htonl(target.address),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(
	    connect(fd, (const struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

/* Guards against a peer that keeps a connection after sending garbage. */
START_TEST(peers_close_malformed_connections)
{
	struct plug_log *log =
	    plug_log_create("test", "/dev/null", PLUG_LOG_ERROR, NULL);
	struct seen seen = { 0 };
	struct plug_endpoint local = loopback;
	struct plug_peers *peers =
	    plug_peers_create(&local, log, count_message, &seen, NULL);
	int fd = connect_loopback(local);
	ssize_t n = -1;
	char byte;

	ck_assert_int_eq(send(fd, "\xff\xff\xff\xff", 4, 0), 4);
	for (int i = 0; i < ROUNDS_MAX && n < 0; i++) {
		plug_peers_poll(peers, POLL_MS);
		n = recv(fd, &byte, 1, MSG_DONTWAIT);
	}
	ck_assert_int_eq(n, 0);
	ck_assert_uint_eq(plug_peers_counters(peers)->malformed, 1);
	ck_assert_uint_eq(seen.messages, 0);
	(void)close(fd);
	plug_peers_destroy(peers);
	plug_log_destroy(log);
}
END_TEST

static void
count_event(void *data, const struct plug_agent_event *event)
{
	struct seen *seen = data;

	switch (event->kind) {
	case PLUG_AGENT_UPSTREAM_OPEN:
		seen->opens++;
		break;
	case PLUG_AGENT_UPSTREAM_CLOSED:
		seen->closes++;
		break;
	case PLUG_AGENT_UPSTREAM_REPLY:
		seen->replies++;
		seen->last_id = event->reply.id;
		seen->last_result = event->reply.result;
		break;
	default:
		break;
	}
}

static void
step(struct plug_upstream *upstream)
{
	struct pollfd pollfd;

	plug_upstream_pollfd(upstream, &pollfd);
	(void)poll(&pollfd, 1, POLL_MS);
	plug_upstream_handle(upstream, pollfd.revents, plug_clock_now());
}

static struct plug_upstream *
create_upstream(int listener, struct plug_log *log, struct seen *seen)
{
	const struct plug_endpoint target = { INADDR_LOOPBACK,
		bound_endpoint(listener).port };

	return plug_upstream_create(target, 7, log, count_event, seen);
}

/* Waits for the connection. Return: the peer's descriptor. */
static int
accept_upstream(
    struct plug_upstream *upstream, const struct seen *seen, int listener)
{
	for (int i = 0; i < ROUNDS_MAX && seen->opens == 0; i++)
		step(upstream);
	return accept(listener, NULL, NULL);
}

/* Reads calls until one of the procedure arrives; returns its xid. */
static uint32_t
read_call(int fd, uint32_t procedure)
{
	struct plug_record_reader reader;
	uint32_t words[6];

	plug_record_reader_init(&reader);
	do {
		struct plug_str record = { NULL, 0 };

		while (record.len == 0) {
			struct plug_str input;
			char byte;

			ck_assert_int_eq(recv(fd, &byte, 1, 0), 1);
			input = (struct plug_str){ &byte, 1 };
			ck_assert_int_eq(
			    plug_record_reader_feed(&reader, &input, &record),
			    PLUG_OK);
		}
		ck_assert_uint_ge(record.len, sizeof(words));
		memcpy(words, record.data, sizeof(words));
	} while (ntohl(words[5]) != procedure);
	plug_record_reader_finish(&reader);
	ck_assert_uint_eq(ntohl(words[3]), 7);
	return ntohl(words[0]);
}

/*
 * Guards against an answer that reaches another request, an answer that is
 * delivered twice, a lost connection that isn't reported, and calls that
 * survive a reconnect.
 */
START_TEST(upstream_matches_replies_and_reconnects)
{
	const uint32_t done[] = { 0, PLUG_UPSTREAM_DONE, 0 };
	const uint32_t shed[] = { 0, PLUG_UPSTREAM_SHED, 0 };
	struct plug_log *log =
	    plug_log_create("test", "/dev/null", PLUG_LOG_ERROR, NULL);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct plug_upstream *upstream;
	struct seen seen = { 0 };
	uint32_t first;
	uint32_t second;
	uint8_t buf[256];
	size_t len;
	int fd;

	ck_assert_int_eq(listen(listener, 8), 0);
	upstream = create_upstream(listener, log, &seen);
	fd = accept_upstream(upstream, &seen, listener);
	plug_upstream_call(upstream, 100, 1, 50, PLUG_STR("a"));
	plug_upstream_call(upstream, 200, 2, 50, PLUG_STR("b"));
	first = read_call(fd, 1);
	second = read_call(fd, 2);

	len = encode_reply(buf, second, shed, 3);
	ck_assert_int_eq(send(fd, buf, len, 0), len);
	ck_assert_int_eq(send(fd, buf, len, 0), len);
	for (int i = 0; i < ROUNDS_MAX && seen.replies == 0; i++)
		step(upstream);
	ck_assert_uint_eq(seen.last_id, 200);
	ck_assert_int_eq(seen.last_result, PLUG_UPSTREAM_SHED);
	plug_upstream_cancel(upstream, 100);
	(void)read_call(fd, 0x7fff0001);

	(void)close(fd);
	for (int i = 0; i < ROUNDS_MAX && seen.opens < 2; i++)
		step(upstream);
	ck_assert_uint_eq(seen.closes, 1);
	fd = accept(listener, NULL, NULL);
	len = encode_reply(buf, first, done, 3);
	ck_assert_int_eq(send(fd, buf, len, 0), len);
	plug_upstream_call(upstream, 300, 3, 50, PLUG_STR("c"));
	len = encode_reply(buf, read_call(fd, 3), done, 3);
	ck_assert_int_eq(send(fd, buf, len, 0), len);
	for (int i = 0; i < ROUNDS_MAX && seen.replies < 2; i++)
		step(upstream);
	ck_assert_uint_eq(seen.replies, 2);
	ck_assert_uint_eq(seen.last_id, 300);
	(void)close(fd);
	(void)close(listener);
	plug_upstream_destroy(upstream);
	plug_log_destroy(log);
}
END_TEST

/* Guards against an answer that broke off halfway and is taken for a whole
 * one: at each byte, then the end of the connection. */
START_TEST(cut_answer_of_the_upstream_is_none)
{
	const uint32_t done[] = { 0, PLUG_UPSTREAM_DONE, 0 };
	struct plug_log *log =
	    plug_log_create("test", "/dev/null", PLUG_LOG_ERROR, NULL);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	uint8_t buf[256];
	size_t len = 2;

	ck_assert_int_eq(listen(listener, 8), 0);
	for (size_t cut = 1; cut < len; cut++) {
		struct seen seen = { 0 };
		struct plug_upstream *upstream =
		    create_upstream(listener, log, &seen);
		int fd = accept_upstream(upstream, &seen, listener);

		plug_upstream_call(upstream, 100, 1, 50, PLUG_STR("a"));
		len = encode_reply(buf, read_call(fd, 1), done, 3);
		ck_assert_int_eq(send(fd, buf, cut, 0), cut);
		(void)close(fd);
		for (int i = 0; i < ROUNDS_MAX && seen.closes == 0; i++)
			step(upstream);
		ck_assert_uint_eq(seen.closes, 1);
		ck_assert_uint_eq(seen.replies, 0);
		plug_upstream_destroy(upstream);
	}
	(void)close(listener);
	plug_log_destroy(log);
}
END_TEST

/* Guards against running work that is given up because the process, and perhaps
 * the whole machine, did not run for a while. */
START_TEST(upstream_is_not_silent_after_a_pause)
{
	struct plug_log *log =
	    plug_log_create("test", "/dev/null", PLUG_LOG_ERROR, NULL);
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	struct plug_upstream *upstream;
	struct seen seen = { 0 };
	plug_time now;
	int fd;

	ck_assert_int_eq(listen(listener, 8), 0);
	upstream = create_upstream(listener, log, &seen);
	fd = accept_upstream(upstream, &seen, listener);
	plug_upstream_call(upstream, 100, 1, 50, PLUG_STR("a"));
	now = plug_clock_now() + 10 * PLUG_SEC;
	plug_upstream_handle(upstream, 0, now);
	ck_assert_uint_eq(seen.closes, 0);
	/* It is silent after as long in small steps. */
	for (int i = 0; i < 100; i++)
		plug_upstream_handle(upstream, 0, now += 40 * PLUG_MSEC);
	ck_assert_uint_eq(seen.closes, 1);
	(void)close(fd);
	(void)close(listener);
	plug_upstream_destroy(upstream);
	plug_log_destroy(log);
}
END_TEST

static void
start_apr(void)
{
	ck_assert_int_eq(apr_initialize(), APR_SUCCESS);
}

Suite *
net_suite(void)
{
	Suite *suite = suite_create("net");
	TCase *test = tcase_create("net");

	tcase_add_checked_fixture(test, start_apr, apr_terminate);
	tcase_add_test(test, frame_survives_any_split);
	tcase_add_test(test, frame_refuses_bad_lengths);
	tcase_add_test(test, gre_refuses_flags_and_other_protocols);
	tcase_add_test(test, datagram_batch_is_forwarded_unchanged);
	tcase_add_test(test, pause_drops_until_socket_is_empty);
	tcase_add_test(test, pause_ends_under_full_batches);
	tcase_add_test(test, mailbox_is_bounded);
	tcase_add_test(test, log_drops_and_counts_when_sink_stalls);
	tcase_add_test(test, log_omits_less_severe_lines);
	tcase_add_test(test, record_joins_fragments_at_any_split);
	tcase_add_test(test, record_refuses_bad_lengths);
	tcase_add_test(test, record_decodes_results);
	tcase_add_test(test, peers_deliver_in_order);
	tcase_add_test(test, peers_bound_the_queue);
	tcase_add_test(test, peers_close_malformed_connections);
	tcase_add_test(test, upstream_matches_replies_and_reconnects);
	tcase_add_test(test, cut_answer_of_the_upstream_is_none);
	tcase_add_test(test, upstream_is_not_silent_after_a_pause);
	suite_add_tcase(suite, test);
	return suite;
}
