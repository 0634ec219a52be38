#ifndef PLUG_TRACK_STOREVIEW_H
#define PLUG_TRACK_STOREVIEW_H

#include "../client.h"
#include "fleet.h"

#define PLUG_STOREVIEW_DEPARTED_MAX 256 /* hosts that have gone lately */

/**
 * struct plug_store_position - position in the history of the store
 * @generation: number of the history: a store that is restored from a copy
 *   starts a new one at an older revision; 0 when the store names none
 * @revision: revision, increases with each change within a generation
 */
struct plug_store_position {
	uint64_t generation;
	uint64_t revision;
};

/**
 * struct plug_storeview_list - hosts of one read of the host list
 * @count: length of @hosts
 * @capacity: room in @hosts
 * @hosts: hosts
 */
struct plug_storeview_list {
	unsigned int count;
	unsigned int capacity;
	struct plug_fleet_host *hosts;
};

/**
 * struct plug_storeview_domains - domains that a read has shown to be out of
 * service
 * @count: length of @ids
 * @ids: hashes of their names
 */
struct plug_storeview_domains {
	unsigned int count;
	uint32_t ids[PLUG_DOMAINS_OUT_MAX];
};

/**
 * struct plug_storeview_back - a domain that was taken back
 * @domain: hash of its name
 * @at: time when that was learned; 0 for an unused place
 */
struct plug_storeview_back {
	uint32_t domain;
	plug_time at;
};

/**
 * struct plug_storeview_read - a complete read of the host list
 * @began: time when its first page was asked for
 * @position: position of the store at its first page
 * @consistent: it is guaranteed to be current
 */
struct plug_storeview_read {
	plug_time began;
	struct plug_store_position position;
	bool consistent;
};

/**
 * struct plug_storeview_departed - a host that has gone
 * @id: hash of its instance id
 * @started_ms: as in struct plug_fleet_host
 */
struct plug_storeview_departed {
	uint64_t id;
	uint64_t started_ms;
};

enum plug_storeview_counter {
	PLUG_STOREVIEW_IGNORED,	 /* host lists older than the one in force */
	PLUG_STOREVIEW_RESTORED, /* restores of the store that were seen */
	PLUG_STOREVIEW_COUNTERS,
};

/**
 * struct plug_storeview - what a process believes of the platform's store
 * @client: log handler
 * @config: configuration in force; NULL before the first one
 * @out_count: length of @out
 * @out: hashes of the domains that are out of service
 * @back_count: domains that were taken back, in all; the last ones are in @back
 * @back: the n-th one at index n modulo its length
 * @changes_suffice: the operators' part is known up to @operators_at, so that
 *   its changes are read next, not the complete part
 * @operators_at: position of the last read of that part
 * @found: domains that the pages of the operators' part which are being read
 *   have shown
 * @domains_at: position of the last read of the domains alone; a domain item
 *   that isn't newer tells nothing
 * @found_alone: domains that the pages of such a read have shown
 * @pending: hosts of the pages that are being read, in the order of their
 *   arrival
 * @hosts: hosts of the list in force, sorted by id
 * @position: position of that list; its revision is 0 before the first one
 * @adopted_at: time of its adoption
 * @consistent_read_at: when the last consistent read began whose list was
 *   adopted; 0 before the first one
 * @failed_at: time of the last read that failed; 0 without one
 * @restored_at: when a restore of the store was last seen; 0 if never
 * @operators_unconfirmed: the operators' part was read from a copy that may
 *   lack some of it; a complete read is due when the store has had time to get
 *   it back
 * @departed_count: hosts that have gone, in all; the last ones are in @departed
 * @departed: hosts that have gone, the n-th one at index n modulo its length
 * @generation: newest generation of the store that was seen; 0 when it names
 *   none
 * @ignored_since: when the first of the lists was ignored that came after the
 *   one in force; 0 when none was
 * @ignored_count: number of these lists
 * @ignored_logged: they have a log line
 * @counters: counters for metrics
 */
struct plug_storeview {
	const struct plug_client *client;
	struct plug_config *config;
	unsigned int out_count;
	uint32_t out[PLUG_DOMAINS_OUT_MAX];
	unsigned int back_count;
	struct plug_storeview_back back[PLUG_DOMAINS_OUT_MAX];
	bool changes_suffice;
	struct plug_store_position operators_at;
	struct plug_storeview_domains found;
	struct plug_store_position domains_at;
	struct plug_storeview_domains found_alone;
	struct plug_storeview_list pending;
	struct plug_storeview_list hosts;
	struct plug_store_position position;
	plug_time adopted_at;
	plug_time consistent_read_at;
	plug_time failed_at;
	plug_time restored_at;
	bool operators_unconfirmed;
	unsigned int departed_count;
	struct plug_storeview_departed departed[PLUG_STOREVIEW_DEPARTED_MAX];
	uint64_t generation;
	plug_time ignored_since;
	unsigned int ignored_count;
	bool ignored_logged;
	uint64_t counters[PLUG_STOREVIEW_COUNTERS];
};

void plug_storeview_init(
    struct plug_storeview *view, const struct plug_client *client);
void plug_storeview_finish(struct plug_storeview *view);
bool plug_storeview_note_generation(struct plug_storeview *view, plug_time now,
    uint64_t generation, const char *read);
void plug_storeview_note_failure(struct plug_storeview *view, plug_time now);
bool plug_storeview_take_config(
    struct plug_storeview *view, struct plug_config *config);
void plug_storeview_take_domain(struct plug_storeview *view, plug_time now,
    uint32_t domain, bool out, struct plug_store_position position);
void plug_storeview_begin_domains(struct plug_storeview *view);
void plug_storeview_add_domain(struct plug_storeview *view, uint32_t domain);
bool plug_storeview_end_domains(struct plug_storeview *view, plug_time now,
    struct plug_store_position position);
plug_time plug_storeview_next_changes(
    const struct plug_storeview *view, plug_time now, uint64_t *after_revision);
void plug_storeview_restart_operators(struct plug_storeview *view);
bool plug_storeview_begin_operators(
    struct plug_storeview *view, uint64_t generation, bool changes);
void plug_storeview_end_operators(struct plug_storeview *view, plug_time now,
    struct plug_store_position position, bool changes);
void plug_storeview_begin_hosts(struct plug_storeview *view);
void plug_storeview_add_host(struct plug_storeview *view, plug_time now,
    const struct plug_fleet_host *host);
bool plug_storeview_end_hosts(struct plug_storeview *view, plug_time now,
    const struct plug_storeview_read *read);
bool
plug_storeview_is_outdated(const struct plug_storeview *view, plug_time now);
struct plug_fleet *
plug_storeview_fleet(const struct plug_storeview *view, plug_time now);

#endif
