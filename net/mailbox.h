#ifndef PLUG_MAILBOX_H
#define PLUG_MAILBOX_H

#include <pthread.h>
#include <stdbool.h>

#define PLUG_MAILBOX_SIZE 4096 /* items */

/**
 * struct plug_mailbox - bounded queue of pointers between two threads
 * @lock: held for the copy of one pointer
 * @fd: eventfd, readable while items may wait
 * @head: items put
 * @tail: items taken
 * @items: ring
 */
struct plug_mailbox {
	pthread_mutex_t lock;
	int fd;
	unsigned int head;
	unsigned int tail;
	void *items[PLUG_MAILBOX_SIZE];
};

bool plug_mailbox_init(struct plug_mailbox *mailbox);
void plug_mailbox_finish(struct plug_mailbox *mailbox);
bool plug_mailbox_put(struct plug_mailbox *mailbox, void *item);
void *plug_mailbox_take(struct plug_mailbox *mailbox);
void plug_mailbox_clear(struct plug_mailbox *mailbox);

#endif
