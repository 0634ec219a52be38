#ifndef PLUG_STANDIN_H
#define PLUG_STANDIN_H

#include <netinet/in.h>

#include "libplantainlug/client.h"
#include "net/arguments.h"

plug_time plug_standin_now(void);
plug_time plug_standin_wall_time(void);
int plug_standin_bind(int type, struct plug_endpoint *local);
int plug_standin_signals(void);
int plug_standin_take_signal(int fd);
bool plug_standin_endpoint(const char *text, struct plug_endpoint *endpoint);
struct sockaddr_in plug_standin_to_sockaddr(struct plug_endpoint endpoint);
struct plug_endpoint plug_standin_from_sockaddr(struct sockaddr_in in);
int plug_standin_poll_wait(plug_time now, plug_time due, plug_time longest);

/* Each gets its name as argv[0] and returns an exit code. */
int plug_standin_fabric_main(int argc, char **argv);
int plug_standin_upstream_main(int argc, char **argv);
int plug_standin_caller_main(int argc, char **argv);

#endif
