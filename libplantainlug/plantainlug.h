#ifndef PLANTAINLUG_H
#define PLANTAINLUG_H

/*
 * Public header of libplantainlug, the decision library.
 *
 * Nothing in the library opens a socket, reads a clock or starts a thread.
 * A driver passes the time, an event and the state; actions and log lines
 * come back through the handlers of struct plug_client.
 *
 *   client.h    handlers, actions, random numbers
 *   packet.h    packets between callers and services
 *   node.h      control state of any process: configuration and membership
 *   router.h    an entry's decision for each packet
 *   agent.h     an agent's decisions: flows, admission, moves
 *   document.h  the service document
 *   settings.h  the settings of a process
 */

#include "agent.h"
#include "client.h"
#include "document.h"
#include "node.h"
#include "packet.h"
#include "router.h"
#include "settings.h"
#include "status.h"
#include "str.h"
#include "token.h"
#include "view.h"

#define PLUG_VERSION "0.1.0"

#endif
