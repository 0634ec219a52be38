#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "standin.h"

#define RECEIVE_BUFFER (4 << 20) /* bytes; the kernel may grant less */
#define LISTEN_BACKLOG 64
#define NSEC_PER_USEC  1000

/**
 * plug_standin_now() - monotonic time
 */
plug_time
plug_standin_now(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_MONOTONIC, &ts);
	return ts.tv_sec * PLUG_SEC + ts.tv_nsec / NSEC_PER_USEC;
}

/**
 * plug_standin_wall_time() - time since 1970, for records that are compared
 */
plug_time
plug_standin_wall_time(void)
{
	struct timespec ts;

	(void)clock_gettime(CLOCK_REALTIME, &ts);
	return ts.tv_sec * PLUG_SEC + ts.tv_nsec / NSEC_PER_USEC;
}

/**
 * plug_standin_to_sockaddr() - socket address of an endpoint
 * @endpoint: endpoint
 */
struct sockaddr_in
plug_standin_to_sockaddr(struct plug_endpoint endpoint)
{
	return (struct sockaddr_in){ .sin_family = AF_INET,
		.sin_port = htons(endpoint.port),
		.sin_addr.s_addr = htonl(endpoint.address) };
}

/**
 * plug_standin_from_sockaddr() - endpoint of a socket address
 * @in: address
 */
struct plug_endpoint
plug_standin_from_sockaddr(struct sockaddr_in in)
{
	return (struct plug_endpoint){ ntohl(in.sin_addr.s_addr),
		ntohs(in.sin_port) };
}

/**
 * plug_standin_endpoint() - parse "ip:port", where the port may be 0
 * @text: text
 * @endpoint: result
 *
 * Return: false, after a message on standard error, when it isn't valid.
 */
bool
plug_standin_endpoint(const char *text, struct plug_endpoint *endpoint)
{
	struct plug_status status;

	plug_status_init(&status);
	if (plug_endpoint_parse_listen(
		plug_str_from(text), endpoint, &status) == PLUG_OK)
		return true;
	(void)fprintf(stderr, "event=error code=%d text=\"%s\"\n",
	    (int)status.code, status.message);
	return false;
}

/**
 * plug_standin_bind() - open a bound socket that doesn't block
 * @type: SOCK_DGRAM, or SOCK_STREAM for a listening socket
 * @local: address to bind; the port that the kernel chose on return
 *
 * Return: descriptor, or -1 after a message on standard error.
 */
int
plug_standin_bind(int type, struct plug_endpoint *local)
{
	struct sockaddr_in in = plug_standin_to_sockaddr(*local);
	socklen_t len = sizeof(in);
	int size = RECEIVE_BUFFER, one = 1;
	int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0) {
		perror("socket");
		return -1;
	}
	if (type == SOCK_STREAM)
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	else
		(void)setsockopt(
		    fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) != 0 ||
	    (type == SOCK_STREAM && listen(fd, LISTEN_BACKLOG) != 0) ||
	    getsockname(fd, (struct sockaddr *)&in, &len) != 0) {
		perror("bind");
		(void)close(fd);
		return -1;
	}
	*local = plug_standin_from_sockaddr(in);
	return fd;
}

/**
 * plug_standin_signals() - receive stop and user signals as events
 *
 * Return: descriptor to poll, or -1 after a message on standard error.
 */
int
plug_standin_signals(void)
{
	sigset_t set;
	int fd;

	(void)signal(SIGPIPE, SIG_IGN);
	(void)sigemptyset(&set);
	(void)sigaddset(&set, SIGTERM);
	(void)sigaddset(&set, SIGINT);
	(void)sigaddset(&set, SIGUSR1);
	(void)sigaddset(&set, SIGUSR2);
	(void)sigprocmask(SIG_BLOCK, &set, NULL);
	fd = signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC);
	if (fd < 0)
		perror("signalfd");
	return fd;
}

/**
 * plug_standin_take_signal() - take one received signal
 * @fd: from plug_standin_signals()
 *
 * Return: signal number, 0 when there is none.
 */
int
plug_standin_take_signal(int fd)
{
	struct signalfd_siginfo info;

	if (read(fd, &info, sizeof(info)) != sizeof(info))
		return 0;
	return (int)info.ssi_signo;
}

/**
 * plug_standin_poll_wait() - timeout for poll(2)
 * @now: time
 * @due: time of the next event, or INT64_MAX
 * @longest: longest wait
 *
 * Return: milliseconds, rounded up.
 */
int
plug_standin_poll_wait(plug_time now, plug_time due, plug_time longest)
{
	plug_time wait = due - now;

	if (wait > longest)
		wait = longest;
	if (wait <= 0)
		return 0;
	return (int)((wait + PLUG_MSEC - 1) / PLUG_MSEC);
}
