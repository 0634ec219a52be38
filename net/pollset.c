#include "pollset.h"

/**
 * plug_pollset_from() - turn select(2) sets of a library into poll(2) entries
 * @in: descriptors to read
 * @out: descriptors to write
 * @top: highest descriptor, or -1
 * @fds: receives descriptors and events
 * @max: room in @fds
 *
 * Return: descriptors stored.
 */
unsigned int
plug_pollset_from(const fd_set *in, const fd_set *out, int top,
    struct pollfd *fds, unsigned int max)
{
	unsigned int count = 0;

	for (int fd = 0; fd <= top && count < max; fd++) {
		short events = 0;

		if (FD_ISSET(fd, in))
			events |= POLLIN;
		if (FD_ISSET(fd, out))
			events |= POLLOUT;
		if (events != 0)
			fds[count++] =
			    (struct pollfd){ .fd = fd, .events = events };
	}
	return count;
}
