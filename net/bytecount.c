#include <stdio.h>

#include "bytecount.h"

#define HASH_FACTOR 0x9e3779b97f4a7c15ULL /* 2^64 over the golden ratio */
#define HASH_SHIFT  51		 /* leaves log2(PLUG_BYTECOUNT_PAIRS) */
#define KEY_USED    (1ULL << 63) /* above any service id */
#define PROBES_MAX  64 /* slots looked at for a pair; bounds the work */

_Static_assert(PLUG_BYTECOUNT_PAIRS == 1ULL << (64 - HASH_SHIFT),
    "the hash covers the table");

/* Only the counting thread writes, so a load and a store are enough. */
static void
add(atomic_uint_fast64_t *counter, uint64_t value)
{
	atomic_store_explicit(counter,
	    atomic_load_explicit(counter, memory_order_relaxed) + value,
	    memory_order_relaxed);
}

/**
 * plug_bytecount_add() - count a packet
 * @traffic: counters of the calling thread
 * @service: service id, 0 for control that belongs to none
 * @domain: hash of the name of the domain that it is sent to
 * @cause: why it is sent
 * @bytes: length of the datagram or frame, without UDP and IP headers
 */
void
plug_bytecount_add(struct plug_bytecount *traffic, uint32_t service,
    uint32_t domain, enum plug_bytecount_cause cause, size_t bytes)
{
	uint64_t key = KEY_USED | (uint64_t)service << 32 | domain;
	size_t slot = (size_t)(key * HASH_FACTOR >> HASH_SHIFT);

	for (unsigned int i = 0; i < PROBES_MAX; i++) {
		struct plug_bytecount_pair *pair =
		    &traffic->pairs[(slot + i) % PLUG_BYTECOUNT_PAIRS];
		uint64_t held =
		    atomic_load_explicit(&pair->key, memory_order_relaxed);

		if (held == 0)
			atomic_store_explicit(
			    &pair->key, key, memory_order_release);
		else if (held != key)
			continue;
		add(&pair->counts[cause].bytes, bytes);
		add(&pair->counts[cause].packets, 1);
		return;
	}
	add(&traffic->uncounted, 1);
}

static const char *
cause_name(unsigned int cause)
{
	static const char *const names[PLUG_BYTECOUNT_CAUSE_COUNT] = {
		[PLUG_BYTECOUNT_REQUEST] = "request",
		[PLUG_BYTECOUNT_FORWARD] = "forward",
		[PLUG_BYTECOUNT_ANSWER] = "answer",
		[PLUG_BYTECOUNT_MOVE] = "move",
		[PLUG_BYTECOUNT_CONTROL] = "control",
	};

	return names[cause];
}

static void
format_service(const struct plug_bytecount_place *place, uint32_t id,
    char buf[PLUG_NAME_SIZE])
{
	const struct plug_service *service = plug_view_service(place->view, id);

	if (service != NULL)
		(void)snprintf(
		    buf, PLUG_NAME_SIZE, "%s", service->document.name);
	else if (id == 0)
		(void)snprintf(buf, PLUG_NAME_SIZE, "-");
	else if (place->service[0] != '\0')
		(void)snprintf(buf, PLUG_NAME_SIZE, "%s", place->service);
	else
		(void)snprintf(buf, PLUG_NAME_SIZE, "%u", id);
}

/* Other domains are known by the hash of their names only. */
static void
format_domain(const struct plug_bytecount_place *place, uint32_t domain,
    char buf[PLUG_NAME_SIZE])
{
	if (domain == plug_domain_hash(plug_str_from(place->domain)))
		(void)snprintf(buf, PLUG_NAME_SIZE, "%s", place->domain);
	else if (domain == 0)
		(void)snprintf(buf, PLUG_NAME_SIZE, "unknown");
	else
		(void)snprintf(buf, PLUG_NAME_SIZE, "#%08x", domain);
}

static void
report_count(struct plug_bytecount_count *count, uint64_t key,
    unsigned int cause, const struct plug_bytecount_place *place,
    struct plug_log *log)
{
	uint64_t bytes =
	    atomic_load_explicit(&count->bytes, memory_order_relaxed);
	uint64_t packets =
	    atomic_load_explicit(&count->packets, memory_order_relaxed);
	char service[PLUG_NAME_SIZE], domain[PLUG_NAME_SIZE];

	if (bytes == count->reported_bytes)
		return;
	format_service(place, (uint32_t)((key & ~KEY_USED) >> 32), service);
	format_domain(place, (uint32_t)key, domain);
	plug_log_event(log, PLUG_LOG_INFO,
	    "event=traffic service=%s from_domain=%s to_domain=%s cause=%s "
	    "bytes=%llu packets=%llu",
	    service, place->domain, domain, cause_name(cause),
	    (unsigned long long)(bytes - count->reported_bytes),
	    (unsigned long long)(packets - count->reported_packets));
	count->reported_bytes = bytes;
	count->reported_packets = packets;
}

/**
 * plug_bytecount_report() - log what was counted since the last report
 * @traffic: counters of the threads
 * @count: length of @traffic
 * @place: names for the lines
 * @log: log
 *
 * One line for each thread, service, domain and cause that had traffic. Only
 * one thread may report.
 */
void
plug_bytecount_report(struct plug_bytecount *const *traffic, unsigned int count,
    const struct plug_bytecount_place *place, struct plug_log *log)
{
	uint64_t uncounted = 0;

	for (unsigned int i = 0; i < count; i++) {
		for (size_t j = 0; j < PLUG_BYTECOUNT_PAIRS; j++) {
			struct plug_bytecount_pair *pair =
			    &traffic[i]->pairs[j];
			uint64_t key = atomic_load_explicit(
			    &pair->key, memory_order_acquire);

			for (unsigned int cause = 0;
			     key != 0 && cause < PLUG_BYTECOUNT_CAUSE_COUNT;
			     cause++)
				report_count(&pair->counts[cause], key, cause,
				    place, log);
		}
		uncounted += atomic_load_explicit(
		    &traffic[i]->uncounted, memory_order_relaxed);
	}
	if (uncounted > 0)
		plug_log_event(log, PLUG_LOG_WARN,
		    "event=traffic_uncounted packets=%llu",
		    (unsigned long long)uncounted);
}

static bool
find_member(const struct plug_member *members, unsigned int count,
    struct plug_endpoint endpoint, uint32_t *domain)
{
	for (unsigned int i = 0; i < count; i++) {
		if (plug_endpoint_equal(members[i].endpoint, endpoint)) {
			*domain = members[i].domain;
			return true;
		}
	}
	return false;
}

/**
 * plug_bytecount_domain() - domain of the process at an address
 * @view: view, or NULL
 * @endpoint: address
 * @domain: hash of the domain's name; left alone when it isn't known
 *
 * Return: whether the view lists the address. Walks all instance lists, so it
 * is for control messages and not for each packet of an entry.
 */
bool
plug_bytecount_domain(const struct plug_view *view,
    struct plug_endpoint endpoint, uint32_t *domain)
{
	if (view == NULL)
		return false;
	for (unsigned int i = 0; i < view->service_count; i++) {
		if (find_member(view->services[i].members,
			view->services[i].member_count, endpoint, domain))
			return true;
	}
	return find_member(view->entries, view->entry_count, endpoint, domain);
}
