#ifndef PLUG_TRACK_QUESTIONS_H
#define PLUG_TRACK_QUESTIONS_H

#include "action.h"

/**
 * struct plug_question - whether the host of one agent holds one flow
 * @agent: address of its machine
 * @ack: last acknowledgement of the client
 * @tuple: flow
 */
struct plug_question {
	uint32_t agent;
	uint32_t ack;
	struct plug_tuple tuple;
};

/**
 * struct plug_questions - questions that share datagrams
 * @count: length of @items
 * @capacity: allocated length
 * @items: questions that have not been sent
 */
struct plug_questions {
	unsigned int count;
	unsigned int capacity;
	struct plug_question *items;
};

void plug_questions_finish(struct plug_questions *questions);
void plug_questions_add(
    struct plug_questions *questions, const struct plug_question *question);
void plug_questions_send(
    struct plug_questions *questions, const struct plug_track_driver *driver);

#endif
