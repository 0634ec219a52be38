#include <sys/eventfd.h>
#include <unistd.h>

#include "mailbox.h"

/**
 * plug_mailbox_init() - prepare an empty mailbox
 * @mailbox: mailbox to fill
 *
 * Return: false when there is no descriptor left.
 */
bool
plug_mailbox_init(struct plug_mailbox *mailbox)
{
	mailbox->head = 0;
	mailbox->tail = 0;
	mailbox->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (mailbox->fd < 0)
		return false;
	(void)pthread_mutex_init(&mailbox->lock, NULL);
	return true;
}

/**
 * plug_mailbox_finish() - close a mailbox
 * @mailbox: mailbox; the caller has taken and freed the items
 */
void
plug_mailbox_finish(struct plug_mailbox *mailbox)
{
	(void)close(mailbox->fd);
	(void)pthread_mutex_destroy(&mailbox->lock);
}

/**
 * plug_mailbox_put() - add an item and make the descriptor readable
 * @mailbox: mailbox
 * @item: item; not NULL
 *
 * Return: false when the mailbox is full; the item stays with the caller.
 */
bool
plug_mailbox_put(struct plug_mailbox *mailbox, void *item)
{
	bool room;

	(void)pthread_mutex_lock(&mailbox->lock);
	room = mailbox->head - mailbox->tail < PLUG_MAILBOX_SIZE;
	if (room)
		mailbox->items[mailbox->head++ % PLUG_MAILBOX_SIZE] = item;
	(void)pthread_mutex_unlock(&mailbox->lock);
	if (room)
		(void)eventfd_write(mailbox->fd, 1);
	return room;
}

/**
 * plug_mailbox_take() - take the oldest item
 * @mailbox: mailbox
 *
 * Return: item, or NULL when the mailbox is empty.
 */
void *
plug_mailbox_take(struct plug_mailbox *mailbox)
{
	void *item = NULL;

	(void)pthread_mutex_lock(&mailbox->lock);
	if (mailbox->head != mailbox->tail)
		item = mailbox->items[mailbox->tail++ % PLUG_MAILBOX_SIZE];
	(void)pthread_mutex_unlock(&mailbox->lock);
	return item;
}

/**
 * plug_mailbox_clear() - make the descriptor unreadable
 * @mailbox: mailbox
 *
 * Shall be called before the items are taken, so that an item that is put
 * meanwhile makes it readable again.
 */
void
plug_mailbox_clear(struct plug_mailbox *mailbox)
{
	eventfd_t value;

	(void)eventfd_read(mailbox->fd, &value);
}
