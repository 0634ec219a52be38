#ifndef SCENARIO_WORLD_H
#define SCENARIO_WORLD_H

#include <apr_pools.h>
#include <apr_skiplist.h>
#include <apr_strings.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libplantainlug/plantainlug.h"
#include "standins/callerflow.h"

#define DOMAINS	      3
#define SERVICES_MAX  4
#define KEYS_MAX      (2 * SERVICES_MAX + 2)
#define PROCESSES_MAX 64
#define CALLERS_MAX   2000
#define REQUESTS_MAX  500000
#define CUTS_MAX      64
#define KILLED_MAX    256
#define OPERATIONS    3
#define BULK	      2	   /* index of the operation with large answers */
#define SECONDS_MAX   4000 /* longest run */
#define LINES_MAX     200
#define SEEDS	      3 /* peers that a process knows at its start */
#define NODE_TICK     (100 * PLUG_MSEC)
#define SERVICE_BASE  100 /* service ids count up from here */
#define FABRIC_PORT   4754
#define LONG_UPTIME   (3600 * PLUG_SEC) /* of a warm upstream */

/* Ends of a link besides processes; a domain is PLACE_DOMAIN - index. */
#define PLACE_CALLERS (-1)
#define PLACE_CONFIG  (-2)
#define PLACE_DOMAIN  (-10)

enum link_class { LINK_CALLER, LINK_DATA, LINK_CONTROL, LINK_CLASSES };

/* Inputs of a process carry the library's own numbers. */
#define IN_NODE	    0
#define IN_AGENT    8
#define NODE(name)  (IN_NODE + PLUG_NODE_##name)
#define AGENT(name) (IN_AGENT + PLUG_AGENT_##name)

/* Inputs of the fakes, in groups by receiver. */
enum {
	EV_CALL = 32,
	EV_WORK_END,
	EV_CONNECT,
	EV_PACKET,
	EV_SUBMIT,
	EV_CALLER_TICK,
	EV_PUBLISH,
	EV_SAMPLE,
	EV_COMMAND,
};

struct event {
	plug_time time;
	uint64_t seq; /* orders events of one time */
	int kind;
	int target;	/* process, caller or line */
	uint64_t epoch; /* run or connection that it is meant for */
	uint64_t a, b;	/* arguments of the kind */
	double load;
	const char *key;
	uint8_t *data;
	size_t len;
};

struct link {
	double loss, duplicate; /* probabilities */
	double jitter;		/* seconds; more than 0 reorders */
};

struct key {
	const char *name, *data, *old_data;
	uint64_t version, old_version;
	uint64_t wanted; /* newest version that must be accepted */
	int service;	 /* of a service document, otherwise -1 */
	plug_time published;
	bool stale; /* every second reader's replica shows the old value */
	bool corrupt;
};

struct watch {
	bool active;
	uint64_t index;
	plug_time asked;
};

struct service {
	const char *name;
	char *operations[OPERATIONS];
	struct plug_endpoint address;
	unsigned int slots;
	struct key *document;
	bool out[DOMAINS];
	plug_time out_since[DOMAINS];
};

struct upstream {
	bool alive, draining;
	bool unannounced;	    /* cold again behind an open connection */
	plug_time started, told;    /* told: first refusal after that */
	plug_time lag;		    /* of the health endpoint */
	double lie;		    /* published load, negative for the truth */
	uint64_t epoch, connection; /* connection: 0 when closed */
	uint64_t silent;	    /* connection that went silent */
	unsigned int running;
	float busy[SECONDS_MAX]; /* work in microseconds */
};

struct process {
	const char *name;
	struct plug_endpoint endpoint;
	int index, domain, service; /* service -1 for an entry */
	bool alive, paused, stopped;
	bool leaving; /* as the instance list shows it */
	bool mute;    /* its path to the fabric is silent */
	plug_time since, gone;
	plug_time leave_time; /* of a stop or drain, otherwise 0 */
	uint64_t epoch, instance;
	struct plug_client client;
	struct plug_endpoint seeds[SEEDS];
	unsigned int seed_count;
	struct plug_node *node;
	struct plug_agent *agent; /* NULL for an entry */
	struct plug_router router;
	struct plug_view *view;
	struct watch watches[KEYS_MAX];
	uint64_t seen[KEYS_MAX]; /* versions held at the last sample */
	struct upstream upstream;
	apr_array_header_t *held; /* events of a paused process */
};

enum request_end {
	END_NONE,
	END_ANSWERED,
	END_NOT_RUN,
	END_UNKNOWN,
	END_NOT_SENT,
	ENDS
};

struct request {
	int service, operation;
	plug_time sent, ended, deadline;
	enum request_end end;
	bool retried;
	unsigned int runs;
};

struct caller {
	struct plug_callerflow flow;
	struct plug_callerflow_handler handler;
	struct plug_client client;
	int index, service;
	plug_time every;
	unsigned int weights[OPERATIONS];
	unsigned int flows;
	uint16_t silent_port;
	bool reopen;
};

/* Counted or highest figures; times in seconds. */
struct figures {
	double broken_flows, lost_with_owner, lost_with_domain;
	double duplicate_runs, wrong_answers, foreign_work, late_packets;
	double overload, late_work, reverts, accepted_bad, false_refusals;
	double runs, repeated_runs;
	double config_everywhere, domain_silent_after;
};

/* One expect line; times in seconds. */
struct expectation {
	const char *metric, *op;
	double bound, from, to, base_from, base_to;
	int service; /* -1 for all */
	double worst, sum;
	char seeds[128]; /* that failed */
};

/* The one world of this program; a run starts with an empty one. */
struct world {
	apr_pool_t *pool;
	apr_skiplist *queue;
	plug_time now, end;
	uint64_t seq, seed, version;
	unsigned short rng[3];
	bool trace, baseline, config_down;
	struct link links[LINK_CLASSES];
	int cuts[CUTS_MAX][2], cut_count;
	plug_time across, to_caller, list_lag, healed;
	int service_count, process_count, caller_count, key_count, killed_count;
	struct service services[SERVICES_MAX];
	struct process processes[PROCESSES_MAX];
	struct caller *callers;
	struct key keys[KEYS_MAX];
	uint64_t killed[KILLED_MAX]; /* instance ids of crashed agents */
	struct request *requests;
	size_t request_count;
	struct figures figures;
	/* Hooks of tests/replay; tap returns true to stop an action. */
	void (*record)(struct process *p, const struct event *event);
	bool (*tap)(struct process *p, const struct plug_action *action);
};
extern struct world world;

/* world.c */
double uniform(void);
plug_time seconds(double value);
void trace(const char *format, ...) __attribute__((format(printf, 1, 2)));
struct event *event_new(plug_time delay, int kind, int target, uint64_t epoch);
void event_at(struct event *event, plug_time delay);
bool link_cut(int from, int to);
void
link_send(enum link_class class, int from, int to, const struct event *event);
bool process_out(const struct process *p);
struct process *process_add(
    const char *name, int number, int domain, int service, uint32_t address);
void process_start(struct process *p);
void process_end(struct process *p, bool crash);
void process_resume(struct process *p);
void world_run(void);
void world_finish(void);

/* process.c */
void process_create(struct process *p);
void process_destroy(struct process *p);
void process_input(struct process *p, const struct event *event);

/* baseline.c */
void baseline_route(
    struct process *p, const struct event *event, struct plug_verdict *verdict);
void baseline_handle(struct process *p, const struct event *event);

/* upstream.c */
void upstream_start(struct process *p, plug_time age);
void upstream_kill(struct process *p);
void upstream_call(
    struct process *p, uint64_t id, uint32_t procedure, struct plug_str body);
void upstream_reconnect(struct process *p);
void upstream_event(struct event *event);
void upstream_poll(struct process *p);

/* config.c */
struct key *config_key(const char *name);
void config_store(const char *name, const char *data);
void config_document(int index, bool corrupt);
void config_rollback(int index);
void config_members(int service, int domain);
void config_poll(struct process *p);

/* callers.c */
void caller_add(
    int service, plug_time from, plug_time every, const unsigned int *weights);
void caller_event(struct event *event);
uint8_t *request_answer(uint64_t tag, size_t *len);

/* script.c */
int script_load(const char *path);
void script_setup(void);
void script_command(int line);
struct expectation *script_expectation(int line);

/* verdict.c */
void verdict_sample(struct process *p, int index);
bool verdict_figure(const struct expectation *e, double *value);

#endif
