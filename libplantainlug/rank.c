#include <xxhash.h>

#include "rank.h"

/**
 * plug_rank_weight() - compute the rendezvous hash of an id and a candidate
 * @id: id of the object to place
 * @endpoint: address of the candidate
 *
 * Return: a weight, the same in every process; the highest is the first choice.
 */
uint64_t
plug_rank_weight(uint64_t id, struct plug_endpoint endpoint)
{
	const uint64_t input[2] = { id,
		(uint64_t)endpoint.address << 16 | endpoint.port };

	return XXH64(input, sizeof(input), 0);
}

/**
 * plug_rank_members() - rank the agents for a flow by rendezvous hash
 * @service: service
 * @flow: flow id
 * @excluded: address to leave out, that of the previous owner of the flow
 * @ranked: result, the highest weight first; points into @service
 *
 * Ranks only usable members.
 *
 * Return: number of members in @ranked, at most PLUG_RANKED_MAX.
 */
unsigned int
plug_rank_members(const struct plug_service *service, uint64_t flow,
    struct plug_endpoint excluded,
    const struct plug_member *ranked[PLUG_RANKED_MAX])
{
	uint64_t weights[PLUG_RANKED_MAX];
	unsigned int count = 0;

	for (unsigned int i = 0; i < service->member_count; i++) {
		const struct plug_member *member = &service->members[i];
		uint64_t weight;
		unsigned int pos;

		if (!plug_service_usable(service, member) ||
		    plug_endpoint_equal(member->endpoint, excluded))
			continue;
		weight = plug_rank_weight(flow, member->endpoint);
		for (pos = count; pos > 0 && weights[pos - 1] < weight; pos--) {
			if (pos < PLUG_RANKED_MAX) {
				weights[pos] = weights[pos - 1];
				ranked[pos] = ranked[pos - 1];
			}
		}
		if (pos == PLUG_RANKED_MAX)
			continue;
		weights[pos] = weight;
		ranked[pos] = member;
		if (count < PLUG_RANKED_MAX)
			count++;
	}
	return count;
}
