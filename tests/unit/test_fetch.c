#include <arpa/inet.h>
#include <check.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/clock.h"
#include "net/fetch.h"
#include "suites.h"

#define ROUNDS 2000 /* of 1 ms; a bound for a test that hangs */
#define ANSWER_OK                                                 \
	"HTTP/1.1 200 OK\r\nInstance-Id: i-1\r\nContent-Length: " \
	"5\r\n\r\nhello"
#define ANSWER_CUT "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello"

/* A server of one connection at a time, which is scripted by these. */
static struct {
	int listener;
	int connection;
	unsigned int accepted;
	unsigned int requests;
	const char *answer; /* to the next requests, NULL for none */
	bool closes;	    /* the connection, after an answer */
} server;

static struct plug_loop *loop;
static struct plug_fetch_slot *slot;
static char url[64];

/* The last result. */
static unsigned int done_count;
static long status;
static size_t received;
static bool refused;
static char body[64], header[64];

static void
on_header(void *data, struct plug_str line)
{
	(void)data;
	if (strncmp(line.data, "Instance-Id", strlen("Instance-Id")) == 0)
		(void)plug_str_copy(line, header, sizeof(header));
}

static void
on_done(void *data, const struct plug_fetch_answer *answer)
{
	(void)data;
	done_count++;
	status = answer->status;
	refused = answer->refused;
	received = answer->received;
	(void)plug_str_copy(answer->body, body, sizeof(body));
}

static void
create_slot(long stall_ms)
{
	const struct plug_fetch_handlers handlers = {
		.header = on_header,
		.done = on_done,
		.body_max = 32,
		.stall_ms = stall_ms,
	};

	plug_fetch_slot_destroy(slot);
	slot = plug_fetch_slot_create(loop, &handlers);
	ck_assert_ptr_nonnull(slot);
}

static void
setup(void)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(address);

	memset(&server, 0, sizeof(server));
	server.connection = -1;
	server.listener =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	ck_assert_int_eq(
	    bind(server.listener, (struct sockaddr *)&address, len), 0);
	ck_assert_int_eq(listen(server.listener, 4), 0);
	ck_assert_int_eq(
	    getsockname(server.listener, (struct sockaddr *)&address, &len), 0);
	(void)snprintf(url, sizeof(url), "http://127.0.0.1:%u/a?b=c",
	    ntohs(address.sin_port));
	loop = plug_loop_create();
	ck_assert_ptr_nonnull(loop);
	slot = NULL;
	create_slot(0);
	done_count = 0;
	header[0] = '\0';
}

static void
teardown(void)
{
	plug_fetch_slot_destroy(slot);
	plug_loop_destroy(loop);
	if (server.connection >= 0)
		(void)close(server.connection);
	(void)close(server.listener);
}

static void
drop_connection(void)
{
	(void)close(server.connection);
	server.connection = -1;
}

static void
serve(void)
{
	char request[1024];
	ssize_t n;

	if (server.connection < 0) {
		server.connection =
		    accept4(server.listener, NULL, NULL, SOCK_NONBLOCK);
		if (server.connection >= 0)
			server.accepted++;
	}
	if (server.connection < 0)
		return;
	n = recv(server.connection, request, sizeof(request) - 1, 0);
	if (n == 0)
		drop_connection();
	if (n <= 0)
		return;
	request[n] = '\0';
	ck_assert_ptr_nonnull(strstr(request, "GET /a?b=c HTTP/1.1\r\n"));
	server.requests++;
	if (server.answer != NULL)
		ck_assert_int_gt(send(server.connection, server.answer,
				     strlen(server.answer), MSG_NOSIGNAL),
		    0);
	if (server.closes)
		drop_connection();
}

static void
run_until(unsigned int count)
{
	for (unsigned int i = 0; done_count < count; i++) {
		ck_assert_uint_lt(i, ROUNDS);
		serve();
		plug_loop_wait(loop, PLUG_MSEC);
	}
}

static void
get(long timeout_ms)
{
	ck_assert(plug_fetch_start(slot, url, timeout_ms));
	run_until(done_count + 1);
}

/* Guards against a new connection for each GET, which is priced. */
START_TEST(connection_is_kept)
{
	server.answer = ANSWER_OK;
	get(1000);
	ck_assert_int_eq(status, 200);
	ck_assert_str_eq(body, "hello");
	ck_assert_str_eq(header, "Instance-Id: i-1");
	ck_assert(!plug_fetch_closed(slot));
	get(1000);
	ck_assert_int_eq(status, 200);
	ck_assert_uint_eq(server.accepted, 1);
}
END_TEST

/* Guards against an answer that broke off halfway and is taken for a whole
 * one. */
START_TEST(cut_answer_is_a_failure)
{
	server.answer = ANSWER_CUT;
	server.closes = true;
	get(1000);
	ck_assert_int_eq(status, 0);
	ck_assert(!refused);
}
END_TEST

/* Guards against an answer without an end. */
START_TEST(long_answer_is_a_failure)
{
	server.answer = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"
			"01234567890123456789012345678901234567890123456789";
	get(1000);
	ck_assert_int_eq(status, 0);
}
END_TEST

/* Guards against a host that has ended and is taken for a slow one. */
START_TEST(refused_connection_is_told)
{
	(void)close(server.listener);
	server.listener = -1;
	get(1000);
	ck_assert_int_eq(status, 0);
	ck_assert(refused);
	ck_assert(plug_fetch_closed(slot));
}
END_TEST

/* Guards against a GET that waits for ever, and against its late answer, which
 * must not become that of the next GET. */
START_TEST(late_answer_is_dropped)
{
	get(50);
	ck_assert_int_eq(status, 0);
	ck_assert_uint_eq(server.requests, 1);
	ck_assert_int_gt(send(server.connection, ANSWER_CUT, strlen(ANSWER_CUT),
			     MSG_NOSIGNAL),
	    0);
	drop_connection();
	server.answer = ANSWER_OK;
	get(1000);
	ck_assert_int_eq(status, 200);
	ck_assert_uint_eq(server.accepted, 2);
}
END_TEST

/* Guards against a second copy of an answer, late, on the kept connection: the
 * next GET got an answer that wasn't its own. */
START_TEST(second_copy_of_an_answer_is_dropped)
{
	server.answer = ANSWER_OK;
	get(1000);
	ck_assert_int_gt(
	    send(server.connection, ANSWER_OK, strlen(ANSWER_OK), MSG_NOSIGNAL),
	    0);
	for (unsigned int i = 0; i < 10; i++)
		plug_loop_wait(loop, PLUG_MSEC);
	ck_assert(plug_fetch_closed(slot));
	server.answer = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
	drop_connection();
	get(1000);
	ck_assert_int_eq(status, 404);
	ck_assert_uint_eq(server.accepted, 2);
}
END_TEST

/* Guards against an agent that doesn't see its host's end between two checks,
 * and against a GET that fails because its connection was closed meanwhile. */
START_TEST(closed_connection_is_noticed)
{
	server.answer = ANSWER_OK;
	get(1000);
	drop_connection();
	for (unsigned int i = 0; i < 100 && !plug_fetch_closed(slot); i++)
		plug_loop_wait(loop, PLUG_MSEC);
	ck_assert(plug_fetch_closed(slot));
	get(1000);
	ck_assert_int_eq(status, 200);
}
END_TEST

/* Guards against a GET that fails because the server closed the kept connection
 * just when it was sent. */
START_TEST(unanswered_get_is_sent_again)
{
	server.answer = ANSWER_OK;
	get(1000);
	server.answer = NULL;
	server.closes = true;
	ck_assert(plug_fetch_start(slot, url, 1000));
	for (unsigned int i = 0; server.requests < 2; i++) {
		ck_assert_uint_lt(i, ROUNDS);
		serve();
		plug_loop_wait(loop, PLUG_MSEC);
	}
	server.answer = ANSWER_OK;
	server.closes = false;
	run_until(2);
	ck_assert_int_eq(status, 200);
	ck_assert_uint_eq(server.requests, 3);
}
END_TEST

/* Sends @count bytes of a body, one after each @gap. */
static void
send_slowly(unsigned int count, plug_time gap)
{
	for (unsigned int i = 0; i < count && done_count == 0; i++) {
		const plug_time end = plug_clock_now() + gap;

		ck_assert_int_eq(
		    send(server.connection, "x", 1, MSG_NOSIGNAL), 1);
		while (plug_clock_now() < end)
			plug_loop_wait(loop, PLUG_MSEC);
	}
}

/* Starts a GET with a timeout of 200 ms and lets the header of an answer with a
 * body of @len bytes arrive. */
static void
begin_answer(unsigned int len)
{
	char text[64];

	(void)snprintf(text, sizeof(text),
	    "HTTP/1.1 200 OK\r\nContent-Length: %u\r\n\r\n", len);
	server.answer = text;
	ck_assert(plug_fetch_start(slot, url, 200));
	for (unsigned int i = 0; server.requests == 0; i++) {
		ck_assert_uint_lt(i, ROUNDS);
		serve();
		plug_loop_wait(loop, PLUG_MSEC);
	}
	server.answer = NULL;
}

/* Guards against a read that is cut off while its answer arrives, and is
 * repeated for ever as each attempt takes as long: a large configuration on a
 * slow link. */
START_TEST(arriving_answer_is_waited_for)
{
	create_slot(1000);
	begin_answer(10);
	send_slowly(10, 50 * PLUG_MSEC);
	run_until(1);
	ck_assert_int_eq(status, 200);
	ck_assert_str_eq(body, "xxxxxxxxxx");
}
END_TEST

/* Guards against a read that waits for ever on a connection that has gone
 * silent in the middle of an answer. */
START_TEST(stalled_answer_is_a_failure)
{
	create_slot(100);
	begin_answer(10);
	send_slowly(3, 10 * PLUG_MSEC);
	run_until(1);
	ck_assert_int_eq(status, 0);
	ck_assert_uint_eq(received, strlen("HTTP/1.1 200 OK\r\n"
					   "Content-Length: 10\r\n\r\nxxx"));
}
END_TEST

/* Guards against a health check without an end: its timeout holds for the whole
 * answer. */
START_TEST(arriving_answer_of_a_check_is_not_waited_for)
{
	begin_answer(30);
	send_slowly(30, 20 * PLUG_MSEC);
	ck_assert_uint_eq(done_count, 1);
	ck_assert_int_eq(status, 0);
}
END_TEST

Suite *
fetch_suite(void)
{
	Suite *suite = suite_create("fetch");
	TCase *gets = tcase_create("gets");

	tcase_add_checked_fixture(gets, setup, teardown);
	tcase_add_test(gets, connection_is_kept);
	tcase_add_test(gets, cut_answer_is_a_failure);
	tcase_add_test(gets, long_answer_is_a_failure);
	tcase_add_test(gets, refused_connection_is_told);
	tcase_add_test(gets, late_answer_is_dropped);
	tcase_add_test(gets, second_copy_of_an_answer_is_dropped);
	tcase_add_test(gets, closed_connection_is_noticed);
	tcase_add_test(gets, unanswered_get_is_sent_again);
	tcase_add_test(gets, arriving_answer_is_waited_for);
	tcase_add_test(gets, stalled_answer_is_a_failure);
	tcase_add_test(gets, arriving_answer_of_a_check_is_not_waited_for);
	suite_add_tcase(suite, gets);
	return suite;
}
