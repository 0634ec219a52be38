#include "tests/scenario/world.h"

#define STEPS_MAX 2000000

/* An input of the recorded process, or the hash of an action. */
struct step {
	bool input;
	struct event event;
	uint64_t hash;
};

static const char *name;
static struct step *steps;
static size_t step_count, next, differ;
static struct process copy; /* as it was before its objects were built */
static plug_time started;
static bool replaying;

static void
record(struct process *process, const struct event *event)
{
	struct step *step = &steps[step_count];

	if (replaying || strcmp(process->name, name) != 0)
		return;
	if (event == NULL) {
		step_count = 0; /* the last run of the process is kept */
		copy = *process;
		started = world.now;
		return;
	}
	if (step_count++ == STEPS_MAX)
		abort();
	step->input = true;
	step->event = *event;
	step->event.time = world.now;
	step->event.data = apr_pmemdup(world.pool, event->data, event->len);
}

static uint64_t
hash_action(const struct plug_action *action)
{
	struct plug_str data = { "", 0 };
	uint8_t *packed;

	if (action->kind == PLUG_ACTION_DATAGRAM) {
		data.data = (const char *)action->datagram.data;
		data.len = action->datagram.len;
	} else if (action->kind == PLUG_ACTION_PEER) {
		data.len = plug__message__get_packed_size(action->peer.message);
		packed = apr_palloc(world.pool, data.len + 1);
		(void)plug__message__pack(action->peer.message, packed);
		data.data = (const char *)packed;
	} else if (action->kind <= PLUG_ACTION_UNWATCH)
		data = action->watch.key;
	else if (action->kind == PLUG_ACTION_UPSTREAM_CALL)
		data = action->upstream.body;
	return plug_str_hash(data) ^ (uint64_t)action->kind << 56 ^
	       (action->kind <= PLUG_ACTION_PEER
		       ? (uint64_t)action->datagram.target.address << 16
		       : 0);
}

/* Records an action, or compares it with the recorded one. */
static bool
tap(struct process *process, const struct plug_action *action)
{
	if (strcmp(process->name, name) != 0)
		return false;
	if (!replaying) {
		if (step_count == STEPS_MAX)
			abort();
		steps[step_count].input = false;
		steps[step_count++].hash = hash_action(action);
		return false;
	}
	differ += next >= step_count || steps[next].input ||
		  steps[next].hash != hash_action(action);
	next++;
	return action->kind != PLUG_ACTION_VIEW;
}

/* Feeds the recorded inputs to new objects and compares their actions. */
static void
replay(void)
{
	replaying = true;
	world.now = started;
	process_create(&copy);
	while (next < step_count) {
		if (!steps[next].input) {
			differ++; /* a recorded action is missing */
			next++;
			continue;
		}
		world.now = steps[next].event.time;
		next++;
		process_input(&copy, &steps[next - 1].event);
	}
	process_destroy(&copy);
}

int
main(int argc, char **argv)
{
	if (argc != 4) {
		(void)fputs("usage: replay FILE PROCESS SEED\n", stderr);
		return 2;
	}
	(void)apr_initialize();
	(void)script_load(argv[1]);
	name = argv[2];
	steps = calloc(STEPS_MAX, sizeof(*steps));
	if (steps == NULL)
		return 2;
	world.seed = strtoull(argv[3], NULL, 10);
	world.record = record;
	world.tap = tap;
	world_run();
	replay();
	world_finish();
	free(steps);
	printf("event=replay process=%s steps=%zu differ=%zu\n", name,
	    step_count, differ);
	return differ == 0 && step_count > 0 ? 0 : 1;
}
