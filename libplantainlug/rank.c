#include <xxhash.h>

#include "rank.h"

/**
 * plug_rank_weight() - rendezvous weight of a candidate for an id
 * @id: what is being placed
 * @endpoint: candidate
 *
 * Return: a weight that every process computes alike; the highest wins.
 */
uint64_t
plug_rank_weight(uint64_t id, struct plug_endpoint endpoint)
{
	const uint64_t input[2] = { id,
		(uint64_t)endpoint.address << 16 | endpoint.port };

	return XXH64(input, sizeof(input), 0);
}

/**
 * plug_rank_members() - best agents for a flow by rendezvous hash
 * @service: service
 * @flow: flow id
 * @except: address that is left out, the flow's previous owner
 * @ranked: result, best first
 *
 * Only usable members are ranked. Return: members found, at most
 * PLUG_RANKED_MAX.
 */
unsigned int
plug_rank_members(const struct plug_service *service, uint64_t flow,
    struct plug_endpoint except,
    const struct plug_member *ranked[PLUG_RANKED_MAX])
{
	uint64_t weights[PLUG_RANKED_MAX];
	unsigned int count = 0;

	for (unsigned int i = 0; i < service->member_count; i++) {
		const struct plug_member *member = &service->members[i];
		uint64_t weight;
		unsigned int at;

		if (!plug_service_usable(service, member) ||
		    plug_endpoint_equal(member->endpoint, except))
			continue;
		weight = plug_rank_weight(flow, member->endpoint);
		for (at = count; at > 0 && weights[at - 1] < weight; at--) {
			if (at < PLUG_RANKED_MAX) {
				weights[at] = weights[at - 1];
				ranked[at] = ranked[at - 1];
			}
		}
		if (at == PLUG_RANKED_MAX)
			continue;
		weights[at] = weight;
		ranked[at] = member;
		if (count < PLUG_RANKED_MAX)
			count++;
	}
	return count;
}
