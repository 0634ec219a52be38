#include <stdlib.h>

#include "mechanism.h"
#include "questions.h"

/* Questions per datagram. At 27 bytes each, they fit into a packet of 1500
 * bytes with its headers. */
#define QUESTIONS_PER_NOTICE 40

#define CAPACITY_INITIAL 64

/**
 * plug_questions_finish() - free all questions without sending them
 * @questions: questions; a zeroed struct is a valid empty list
 */
void
plug_questions_finish(struct plug_questions *questions)
{
	free(questions->items);
	*questions = (struct plug_questions){ 0 };
}

/**
 * plug_questions_add() - add a question to be sent by plug_questions_send()
 * @questions: questions
 * @question: question; copied. It is dropped when memory runs out, like a lost
 *   datagram; lookups repeat unanswered questions
 */
void
plug_questions_add(
    struct plug_questions *questions, const struct plug_question *question)
{
	if (questions->count == questions->capacity) {
		unsigned int capacity = questions->capacity == 0
					    ? CAPACITY_INITIAL
					    : questions->capacity * 2;
		struct plug_question *items =
		    realloc(questions->items, capacity * sizeof(*items));

		if (items == NULL)
			return;
		questions->items = items;
		questions->capacity = capacity;
	}
	questions->items[questions->count++] = *question;
}

static int
compare_agents(const void *a, const void *b)
{
	const struct plug_question *x = a, *y = b;

	if (x->agent == y->agent)
		return 0;
	return x->agent < y->agent ? -1 : 1;
}

/* Sends questions to the agent of the first one in a single notice. */
static void
send_notice(const struct plug_track_driver *driver,
    const struct plug_question *items, unsigned int count)
{
	Plug__TrackNotice notice = PLUG__TRACK_NOTICE__INIT;
	Plug__Locate locate = PLUG__LOCATE__INIT;
	Plug__Question questions[QUESTIONS_PER_NOTICE];
	Plug__Question *list[QUESTIONS_PER_NOTICE];
	Plug__Tuple tuples[QUESTIONS_PER_NOTICE];

	for (unsigned int i = 0; i < count; i++) {
		plug__question__init(&questions[i]);
		plug__tuple__init(&tuples[i]);
		plug_tuple_write(&items[i].tuple, &tuples[i]);
		questions[i].tuple = &tuples[i];
		questions[i].ack = items[i].ack;
		list[i] = &questions[i];
	}
	locate.n_questions = count;
	locate.questions = list;
	notice.body_case = PLUG__TRACK_NOTICE__BODY_LOCATE;
	notice.locate = &locate;
	plug_track_notify(driver, items->agent, &notice);
}

/**
 * plug_questions_send() - send all questions, batched by agent
 * @questions: questions; empty afterwards
 * @driver: handlers
 */
void
plug_questions_send(
    struct plug_questions *questions, const struct plug_track_driver *driver)
{
	const struct plug_question *items = questions->items;
	unsigned int i = 0;

	if (questions->count == 0)
		return;
	qsort(
	    questions->items, questions->count, sizeof(*items), compare_agents);
	while (i < questions->count) {
		unsigned int n = 1;

		while (plug_built_with(PLUG_MECHANISM_SHARED) &&
		       n < QUESTIONS_PER_NOTICE && i + n < questions->count &&
		       items[i + n].agent == items[i].agent)
			n++;
		send_notice(driver, &items[i], n);
		i += n;
	}
	questions->count = 0;
}
