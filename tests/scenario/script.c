#include "world.h"

#define WORDS_MAX   12
#define LINE_SIZE   256
#define ENTRY_NET   0x0a010000U
#define AGENT_NET   0x0a020000U
#define SERVICE_NET 0x0a080000U

/* The lines of a scenario; an included file's are put in their place. */
static struct {
	char file[LINE_SIZE];
	int number;
	char text[LINE_SIZE];
	struct expectation expect;
} lines[LINES_MAX];
static int line_count;

/* The command that is being executed: its words and converted arguments. */
static int current;
static int word_count;
static char *words[WORDS_MAX];
static struct {
	struct process *process;
	int service, places[2];
	double number;
} arg;

static void __attribute__((noreturn))
fail(const char *message, const char *detail)
{
	(void)fprintf(stderr, "%s:%d: %s: %s\n", lines[current].file,
	    lines[current].number, message, detail);
	exit(2);
}

static void
split(int line)
{
	char *save = NULL, *text = apr_pstrdup(world.pool, lines[line].text);

	current = line;
	word_count = 0;
	for (char *word = strtok_r(text, " \t", &save); word != NULL;
	     word = strtok_r(NULL, " \t", &save)) {
		if (word_count == WORDS_MAX)
			fail("too many words", word);
		words[word_count++] = word;
	}
}

static bool
is(int i, const char *text)
{
	return i < word_count && strcmp(words[i], text) == 0;
}

/* A number, in seconds when it has a unit. */
static double
number(const char *text)
{
	char *rest;
	double value = strtod(text, &rest);

	if (rest == text)
		fail("not a number", text);
	if (strcmp(rest, "ms") == 0)
		return value / 1000;
	if (*rest != '\0' && strcmp(rest, "s") != 0)
		fail("unknown unit", text);
	return value;
}

static const char *
option(const char *name)
{
	size_t len = strlen(name);

	for (int i = 0; i < word_count; i++)
		if (strncmp(words[i], name, len) == 0 && words[i][len] == '=')
			return words[i] + len + 1;
	return NULL;
}

static double
option_number(const char *name, double otherwise)
{
	return option(name) == NULL ? otherwise : number(option(name));
}

static int
find_service(const char *name)
{
	for (int i = 0; i < world.service_count; i++)
		if (strcmp(world.services[i].name, name) == 0)
			return i;
	fail("unknown service", name);
}

static int
find_place(const char *name)
{
	if (strcmp(name, "config") == 0)
		return PLACE_CONFIG;
	if (name[0] == 'd' && name[1] >= '1' && name[1] < '1' + DOMAINS)
		return PLACE_DOMAIN - (name[1] - '1');
	for (int i = 0; i < world.process_count; i++)
		if (strcmp(world.processes[i].name, name) == 0)
			return i;
	fail("unknown place", name);
}

static void
add_service(void)
{
	int index = world.service_count++;
	struct service *service = &world.services[index];
	char *save = NULL, *names = apr_pstrdup(world.pool, words[4]);

	if (index == SERVICES_MAX)
		fail("too many services", words[1]);
	service->name = words[1];
	service->slots = (unsigned int)option_number("slots", 1);
	service->address =
	    (struct plug_endpoint){ SERVICE_NET | (uint32_t)(index + 1), 9000 };
	(void)apr_strtok(names, "=", &save);
	for (int i = 0; i < OPERATIONS; i++)
		service->operations[i] = apr_strtok(NULL, ",", &save);
	for (int i = 0; i < (int)option_number("hosts", 1); i++)
		(void)process_add(words[1], i + 1, i % DOMAINS, index,
		    AGENT_NET | (uint32_t)(index << 8 | (i + 1)));
}

static void
add_callers(void)
{
	unsigned int weights[OPERATIONS] = { 0 };
	const char *mix = option("mix"), *at;

	for (int i = 0; i < OPERATIONS && mix != NULL; i++) {
		at = strstr(mix, world.services[arg.service].operations[i]);
		at = at == NULL ? NULL : strchr(at, ':');
		weights[i] = at == NULL ? 0 : (unsigned int)atoi(at + 1);
	}
	if (weights[0] + weights[1] + weights[2] == 0)
		fail("no operation of the service in", "mix=");
	for (int i = 0; i < (int)option_number("count", 100); i++)
		caller_add(arg.service, seconds(option_number("from", 0)),
		    seconds(option_number("every", 1)), weights);
}

/* Takes a domain out of one service or of all, or back. */
static void
change_domain(int domain, bool out)
{
	if (domain < 0)
		fail("unknown domain", words[2]);
	for (int i = 0; i < world.service_count; i++) {
		if (!is(1, "all") && !is(1, world.services[i].name))
			continue;
		world.services[i].out[domain] = out;
		world.services[i].out_since[domain] = world.now;
		config_document(i, false);
	}
}

static void
cut_links(int from, int to)
{
	if (world.cut_count == CUTS_MAX)
		fail("too many cuts", words[1]);
	world.cuts[world.cut_count][0] = from;
	world.cuts[world.cut_count++][1] = to;
}

/* Stops gracefully; the instance list shows an agent as leaving. */
static void
stop(struct process *p)
{
	if (p->service < 0) {
		process_end(p, false);
		return;
	}
	p->leaving = true;
	p->leave_time = world.now;
	config_members(p->service, p->domain);
	(void)event_new(0, AGENT(STOP), p->index, p->epoch);
}

static void
read_expectation(void)
{
	struct expectation *e = &lines[current].expect;
	double value;

	if (e->metric != NULL)
		return;
	if (!is(2, "==") && !is(2, "<=") && !is(2, ">="))
		fail("unknown comparison", words[2]);
	e->metric = strdup(words[1]);
	e->op = strdup(words[2]);
	e->bound = arg.number;
	e->from = option_number("from", 0);
	e->to = option_number("to", SECONDS_MAX);
	e->base_from = option_number("base_from", 0);
	e->base_to = option_number("base_to", 0);
	e->service =
	    option("service") == NULL ? -1 : find_service(option("service"));
	if (!verdict_figure(e, &value))
		fail("unknown figure", words[1]);
}

/* Arguments: s service, p process, l place, n number, w any word. */
static const struct {
	const char *arguments, *names;
} commands[] = {
	{ "", " delay list heal " },
	{ "n", " run entries silence-callers " },
	{ "w", " service link config " },
	{ "s", " callers publish corrupt stale rollback " },
	{ "p", " cold drain health silence silence-fabric " },
	{ "wp", " start kill stop pause resume " },
	{ "ll", " cut " },
	{ "wl", " out back " },
	{ "psw", " reuse " },
	{ "wwn", " expect " },
};

static void
set_world(void)
{
	struct link *link = &world.links[LINK_CONTROL];

	if (is(0, "service"))
		add_service();
	else if (is(0, "callers"))
		add_callers();
	else if (is(0, "expect"))
		read_expectation();
	else if (is(0, "run"))
		world.end = seconds(arg.number);
	else if (is(0, "list"))
		world.list_lag = seconds(option_number("lag", 1));
	else if (is(0, "delay")) {
		world.across = seconds(option_number("across", 0));
		world.to_caller = seconds(option_number("callers", 0));
	} else if (is(0, "entries")) {
		for (int i = 0; i < (int)arg.number; i++)
			(void)process_add("entry", i + 1, i % DOMAINS, -1,
			    ENTRY_NET | (uint32_t)(i + 1));
	} else if (is(0, "link")) {
		if (is(1, "caller"))
			link = &world.links[LINK_CALLER];
		else if (is(1, "data"))
			link = &world.links[LINK_DATA];
		else if (!is(1, "control"))
			fail("unknown link class", words[1]);
		link->loss = option_number("loss", link->loss);
		link->duplicate = option_number("duplicate", link->duplicate);
		link->jitter = option_number("jitter", link->jitter);
	}
}

static void
inject_fault(void)
{
	if (is(0, "cut")) {
		cut_links(arg.places[0], arg.places[1]);
		if (!is(3, "oneway"))
			cut_links(arg.places[1], arg.places[0]);
	} else if (is(0, "heal")) {
		world.cut_count = 0;
		world.healed = world.now;
	} else if (is(0, "config")) {
		world.config_down = is(1, "down");
		world.healed = world.now;
	} else if (is(0, "out") || is(0, "back"))
		change_domain(PLACE_DOMAIN - arg.places[0], is(0, "out"));
	else if (is(0, "publish") || is(0, "corrupt"))
		config_document(arg.service, is(0, "corrupt"));
	else if (is(0, "stale"))
		world.services[arg.service].document->stale = true;
	else if (is(0, "rollback"))
		config_rollback(arg.service);
	else if (is(0, "silence-callers"))
		for (int i = 0; i < (int)arg.number; i++)
			world.callers[i].silent_port =
			    world.callers[i].flow.caller.port;
}

/* Changes an entry, agent, upstream or host; a host is the last two. */
static void
change_process(void)
{
	struct process *p = arg.process;
	struct upstream *u = &p->upstream;
	const bool alone = is(1, "upstream"), host = alone || is(1, "host");

	if (is(0, "start")) {
		if (host && !u->alive)
			upstream_start(p, 0);
		if (!alone)
			process_start(p);
	} else if (is(0, "kill") || is(0, "reuse")) {
		if (host || is(0, "reuse"))
			upstream_kill(p);
		if (!alone)
			process_end(p, true);
	} else if (is(0, "stop"))
		stop(p);
	else if (is(0, "pause")) {
		p->paused = p->alive;
		p->gone = world.now;
	} else if (is(0, "resume"))
		process_resume(p);
	else if (is(0, "cold")) {
		u->started = world.now;
		u->unannounced = true;
		u->told = 0;
	} else if (is(0, "drain")) {
		u->draining = true;
		p->leave_time = world.now;
	} else if (is(0, "health")) {
		u->lie = option_number("lie", -1);
		u->lag = seconds(option_number("lag", 0));
	} else if (is(0, "silence"))
		u->silent = u->connection;
	else if (is(0, "silence-fabric"))
		p->mute = true;
	if (is(0, "reuse")) { /* by a new agent of another service */
		p = process_add(
		    words[3], 0, p->domain, arg.service, p->endpoint.address);
		upstream_start(p, 0);
		process_start(p);
	}
}

static void
convert(char kind, char *word, int *places)
{
	if (kind == 's')
		arg.service = find_service(word);
	else if (kind == 'n')
		arg.number = number(word);
	else if (kind == 'l')
		arg.places[(*places)++] = find_place(word);
	else if (kind == 'p' && find_place(word) < 0)
		fail("not an instance", word);
	else if (kind == 'p')
		arg.process = &world.processes[find_place(word)];
}

/* Runs the command in the words from one on, or only checks its form. */
static void
execute(int first, bool check)
{
	const char *kinds = NULL, *name;
	int places = 0;

	word_count -= first;
	memmove(words, words + first, (size_t)word_count * sizeof(*words));
	name = apr_pstrcat(world.pool, " ", words[0], " ", NULL);
	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (strstr(commands[i].names, name) != NULL)
			kinds = commands[i].arguments;
	if (kinds == NULL)
		fail("unknown command", words[0]);
	if ((int)strlen(kinds) >= word_count)
		fail("too few words", words[0]);
	for (int i = 0; kinds[i] != '\0' && !check; i++)
		convert(kinds[i], words[i + 1], &places);
	if (check)
		return;
	if (strchr(kinds, 'p') != NULL)
		change_process();
	set_world();
	inject_fault();
}

/* Runs the timed command of a line. */
void
script_command(int line)
{
	split(line);
	trace("script %s", lines[line].text);
	execute(2, false);
}

/* Reads a scenario; "deployment X" reads X.deployment beside it. */
int
script_load(const char *path)
{
	FILE *file = fopen(path, "r");
	const char *slash = strrchr(path, '/');
	int dir = slash == NULL ? 0 : (int)(slash - path) + 1;
	char kind[16], name[32], other[LINE_SIZE];

	if (file == NULL) {
		perror(path);
		exit(2);
	}
	for (int i = 1; line_count < LINES_MAX; i++) {
		char *text = lines[line_count].text;

		if (fgets(text, LINE_SIZE, file) == NULL)
			break;
		text[strcspn(text, "#\n")] = '\0';
		(void)apr_cpystrn(lines[line_count].file, path, LINE_SIZE);
		lines[line_count].number = i;
		if (sscanf(text, "%15[a-z] %31s", kind, name) == 2 &&
		    (strcmp(kind, "deployment") == 0 ||
			strcmp(kind, "include") == 0)) {
			(void)snprintf(other, sizeof(other), "%.*s%s.%s", dir,
			    path, name, kind);
			(void)script_load(other);
		} else if (text[strspn(text, " \t")] != '\0')
			line_count++;
	}
	(void)fclose(file);
	return line_count;
}

static bool
domain_has_entries(int domain)
{
	for (int i = 0; i < world.process_count; i++)
		if (world.processes[i].service < 0 &&
		    world.processes[i].domain == domain)
			return true;
	return false;
}

/* Builds the world of the header and queues the timed commands. */
void
script_setup(void)
{
	const char *list = "";

	world.list_lag = PLUG_SEC;
	for (int i = 0; i < line_count; i++) {
		split(i);
		if (word_count > 2 && is(0, "at")) {
			(void)event_new(
			    seconds(number(words[1])), EV_COMMAND, i, 0);
			execute(2, true);
		} else
			execute(0, false);
	}
	if (world.end == 0 || world.end >= SECONDS_MAX * PLUG_SEC)
		fail("no run time below an hour", "run");
	for (int i = 0; i < world.service_count; i++) {
		config_document(i, false);
		list = apr_psprintf(world.pool, "%s%s\"service/%s\"", list,
		    i > 0 ? "," : "", world.services[i].name);
	}
	config_store("service/?keys", apr_psprintf(world.pool, "[%s]", list));
	list = "";
	for (int i = 0; i < DOMAINS; i++)
		if (domain_has_entries(i))
			list = apr_psprintf(world.pool,
			    "%s%s\"instances/entries/d%d\"", list,
			    list[0] != '\0' ? "," : "", i + 1);
	config_store(
	    "instances/entries/?keys", apr_psprintf(world.pool, "[%s]", list));
	for (int i = 0; i < world.process_count; i++) {
		if (world.processes[i].service >= 0)
			upstream_start(&world.processes[i], LONG_UPTIME);
		process_start(&world.processes[i]);
	}
}

/* The expectation on a line, or NULL. */
struct expectation *
script_expectation(int line)
{
	return lines[line].expect.metric == NULL ? NULL : &lines[line].expect;
}
