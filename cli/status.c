#include <argtable2.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "commands.h"
#include "net/frame.h"

#define TIMEOUT_SECONDS 3     /* for the connection and for each read */
#define READ_SIZE	16384 /* bytes for each read */

static int
connect_to(struct plug_endpoint target)
{
	const struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(target.port),
		.sin_addr.s_addr = htonl(target.address),
	};
	const struct timeval timeout = { .tv_sec = TIMEOUT_SECONDS };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	if (connect(fd, (const struct sockaddr *)&address, sizeof(address)) ==
	    0)
		return fd;
	(void)close(fd);
	return -1;
}

static bool
send_request(int fd)
{
	Plug__StatusRequest request = PLUG__STATUS_REQUEST__INIT;
	Plug__Message message = PLUG__MESSAGE__INIT;
	size_t len = 0;
	uint8_t *frame;
	bool sent;

	message.body_case = PLUG__MESSAGE__BODY_STATUS_REQUEST;
	message.status_request = &request;
	frame = plug_frame_encode(&message, &len);
	if (frame == NULL)
		return false;
	sent = send(fd, frame, len, MSG_NOSIGNAL) == (ssize_t)len;
	free(frame);
	return sent;
}

static Plug__Message *
receive_message(int fd)
{
	struct plug_frame_reader reader;
	Plug__Message *message = NULL;
	char buf[READ_SIZE];
	ssize_t n;

	plug_frame_reader_init(&reader);
	while (message == NULL && (n = recv(fd, buf, sizeof(buf), 0)) > 0) {
		struct plug_str input = { buf, (size_t)n };

		if (plug_frame_reader_feed(&reader, &input, &message) !=
		    PLUG_OK)
			break;
	}
	plug_frame_reader_finish(&reader);
	return message;
}

static int
print_status(const char *text)
{
	struct plug_endpoint target;
	struct plug_status status;
	Plug__Message *message = NULL;
	int result = PLUG_EXIT_FAILURE;
	int fd;

	plug_status_init(&status);
	if (plug_endpoint_parse(plug_str_from(text), &target, &status) !=
	    PLUG_OK) {
		(void)fprintf(stderr, "status: %s\n", status.message);
		return PLUG_EXIT_USAGE;
	}
	fd = connect_to(target);
	if (fd < 0) {
		(void)fprintf(
		    stderr, "status: %s: %s\n", text, strerror(errno));
		return PLUG_EXIT_FAILURE;
	}
	if (send_request(fd))
		message = receive_message(fd);
	if (message != NULL &&
	    message->body_case == PLUG__MESSAGE__BODY_STATUS_REPLY) {
		(void)fputs(message->status_reply->text, stdout);
		result = PLUG_EXIT_OK;
	} else {
		(void)fprintf(stderr, "status: %s: no answer\n", text);
	}
	if (message != NULL)
		plug__message__free_unpacked(message, NULL);
	(void)close(fd);
	return result;
}

/**
 * plug_cli_status() - subcommand "status": print the state of a process
 * @argc: argument count
 * @argv: arguments
 */
int
plug_cli_status(int argc, char **argv)
{
	struct arg_str *address = arg_str1(
	    NULL, NULL, "IP:PORT", "control address of an entry or agent");
	void *table[] = { address, arg_end(8) };
	int result;

	if (plug_arguments_parse(argc, argv, table, &result))
		result = print_status(address->sval[0]);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return result;
}
