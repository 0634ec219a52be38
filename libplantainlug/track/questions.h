#ifndef PLUG_TRACK_QUESTIONS_H
#define PLUG_TRACK_QUESTIONS_H

#include "action.h"

/**
 * struct plug_question - asks an agent whether its host has a flow
 * @agent: address of the agent
 * @ack: last acknowledgement number of the client, which tells apart two hosts
 *   that have answered the same SYN
 * @tuple: flow
 */
struct plug_question {
	uint32_t agent;
	uint32_t ack;
	struct plug_tuple tuple;
};

/**
 * struct plug_questions - unsent questions, to be batched by agent
 * @count: length of @items
 * @capacity: allocated length of @items
 * @items: questions in the order of plug_questions_add()
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
