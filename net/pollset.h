#ifndef PLUG_POLLSET_H
#define PLUG_POLLSET_H

#include <poll.h>
#include <sys/select.h>

unsigned int plug_pollset_from(const fd_set *in, const fd_set *out, int top,
    struct pollfd *fds, unsigned int max);

#endif
