/** @file state_plan.c @brief Routes of state datagrams. */
#include "state_plan.h"

#include "clock.h"

#include <string.h>

/** A host counts as not served when no digest has listed it for this long,
 * times the scale of the periods: two digests of both relays are missing. */
#define SERVED_TIMEOUT_US (3 * PPS_US_PER_S)

static int
is_same_domain(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    return strcmp(peer->state.failure_domain,
                  gossip->own.state.failure_domain) == 0;
}

/* Checks whether one of the two hosts reaches no workers and the other one is
 * among those whose help it asks for. */
static int
needs_help(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    int is_peer_cut = peer->last_received_us != 0 && !peer->state.takes_relays;

    return (!gossip->own.state.takes_relays || is_peer_cut) &&
           pps_gossip_is_helper(gossip, peer);
}

static int
contains(const char *const *list, size_t count, const char *failure_domain)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(list[i], failure_domain) == 0) {
            return 1;
        }
    }
    return 0;
}

static void
add_domain(pps_state_plan_t *plan, const pps_gossip_t *gossip,
           const char *failure_domain)
{
    const pps_gossip_peer_t **relays =
        plan->all_relays + plan->all_relay_count;
    size_t count = pps_gossip_list_relays(relays, gossip, failure_domain);

    plan->all_relay_count += count;
    if (count < PPS_GOSSIP_RELAYS) {
        plan->direct_domains[plan->direct_domain_count++] = failure_domain;
    }
}

static void
list_all_relays(pps_state_plan_t *plan, const pps_gossip_t *gossip)
{
    const char *domains[PPS_STATE_PLAN_DOMAINS_MAX];
    const pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &gossip->peers, node) {
        const char *domain = peer->state.failure_domain;

        if (plan->domain_count < PPS_STATE_PLAN_DOMAINS_MAX &&
            pps_gossip_is_live(gossip, peer) &&
            !contains(domains, plan->domain_count, domain)) {
            domains[plan->domain_count++] = domain;
            add_domain(plan, gossip, domain);
        }
    }
}

void
pps_state_plan_begin(pps_state_plan_t *out, const pps_gossip_t *gossip,
                     int is_urgent)
{
    double served_us = SERVED_TIMEOUT_US * pps_gossip_period_scale(gossip);

    *out = (pps_state_plan_t){.is_large = pps_gossip_is_large(gossip),
                              .is_urgent = is_urgent};
    if (!out->is_large) {
        return;
    }
    out->is_hub = pps_gossip_hears_all(gossip);
    out->is_relay = pps_gossip_relay_rank(gossip) < PPS_GOSSIP_RELAYS;
    out->is_served =
        gossip->served_us != 0 &&
        gossip->reactor->now_us - gossip->served_us < (int64_t)served_us;
    out->hub_count = pps_gossip_list_hubs(out->hubs, gossip);
    out->relay_count = pps_gossip_list_relays(
        out->relays, gossip, gossip->own.state.failure_domain);
    if (out->is_hub) {
        list_all_relays(out, gossip);
    }
}

static int
has_peer(const pps_gossip_peer_t *const *list, size_t count,
         const pps_gossip_peer_t *peer)
{
    for (size_t i = 0; i < count; i++) {
        if (list[i] == peer) {
            return 1;
        }
    }
    return 0;
}

static int
is_in_own_domain_target(const pps_state_plan_t *plan,
                        const pps_gossip_peer_t *peer)
{
    return plan->is_relay || !plan->is_served ||
           has_peer(plan->relays, plan->relay_count, peer) ||
           (peer->state.lacks & PPS_GOSSIP_LACKS_DIGESTS) != 0;
}

/* A hub's state reaches the hosts of a domain through its relays. A domain
 * with fewer than two, and hosts of older builds, get it directly. */
static int
is_hub_target(const pps_state_plan_t *plan, const pps_gossip_t *gossip,
              const pps_gossip_peer_t *peer)
{
    return plan->is_urgent || !pps_gossip_is_live(gossip, peer) ||
           (peer->state.lacks & PPS_GOSSIP_LACKS_DIGESTS) != 0 ||
           plan->domain_count == PPS_STATE_PLAN_DOMAINS_MAX ||
           has_peer(plan->all_relays, plan->all_relay_count, peer) ||
           contains(plan->direct_domains, plan->direct_domain_count,
                    peer->state.failure_domain);
}

static int
is_relay_elsewhere(const pps_gossip_t *gossip, const pps_gossip_peer_t *peer)
{
    return peer->relay_us != 0 && gossip->reactor->now_us - peer->relay_us <
                                      PPS_STATE_PLAN_RELAY_KEPT_US;
}

int
pps_state_plan_is_target(const pps_state_plan_t *plan,
                         const pps_gossip_t *gossip,
                         const pps_gossip_peer_t *peer)
{
    return !plan->is_large ||
           pps_gossip_is_listed(plan->hubs, plan->hub_count, peer) ||
           (is_same_domain(gossip, peer) &&
            is_in_own_domain_target(plan, peer)) ||
           (plan->is_hub && is_hub_target(plan, gossip, peer)) ||
           (plan->is_relay && is_relay_elsewhere(gossip, peer)) ||
           needs_help(gossip, peer);
}

int
pps_state_plan_is_sought(const pps_state_plan_t *plan,
                         const pps_gossip_peer_t *peer)
{
    return peer->last_received_us == 0 &&
           (!plan->is_large || (!plan->is_served && !plan->is_relay));
}
