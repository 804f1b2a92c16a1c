/** @file forward_plan.c @brief Routes of datagrams to all hosts. */
#include "forward_plan.h"

#include "gossip_state.h"
#include "relay_tree.h"

#include <string.h>

/** Failure domains that are served through relays; hosts of further ones get
 * datagrams directly. */
#define DOMAINS_MAX 64

typedef struct {
    const pps_gossip_t *gossip;
    pps_forward_fn send;
    void *user;
} plan_t;

static int
is_relay(const pps_gossip_t *gossip)
{
    return pps_gossip_relay_rank(gossip) < PPS_GOSSIP_RELAYS;
}

static int
is_in(const pps_gossip_peer_t *peer, const char *failure_domain)
{
    return strcmp(peer->state.failure_domain, failure_domain) == 0;
}

static void
visit_hosts(const plan_t *plan, const char *failure_domain)
{
    const pps_gossip_peer_t *peer;

    cds_list_for_each_entry (peer, &plan->gossip->peers, node) {
        if (pps_gossip_is_live(plan->gossip, peer) &&
            is_in(peer, failure_domain)) {
            plan->send(plan->user, peer, PPS_FORWARD_NONE);
        }
    }
}

/* Sends to the relays of a domain. If it has fewer than two that can forward,
 * one lost host could cut it off: then all its hosts are visited. */
static void
visit_domain(const plan_t *plan, const char *failure_domain)
{
    const pps_gossip_peer_t *relays[PPS_GOSSIP_RELAYS];
    size_t count =
        pps_gossip_list_relays(relays, plan->gossip, failure_domain);

    if (count < PPS_GOSSIP_RELAYS) {
        visit_hosts(plan, failure_domain);
        return;
    }
    for (size_t i = 0; i < count; i++) {
        plan->send(plan->user, relays[i], PPS_FORWARD_DOMAIN);
    }
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

/* Lists the failure domains of the live hosts but one. Hosts of domains beyond
 * the maximum are visited. */
static size_t
list_domains(const char **out, const plan_t *plan, const char *from_domain)
{
    const char *own_domain = plan->gossip->own.state.failure_domain;
    const pps_gossip_peer_t *peer;
    size_t count = 0;

    if (strcmp(own_domain, from_domain) != 0) {
        out[count++] = own_domain;
    }
    cds_list_for_each_entry (peer, &plan->gossip->peers, node) {
        if (!pps_gossip_is_live(plan->gossip, peer) ||
            is_in(peer, from_domain) ||
            contains(out, count, peer->state.failure_domain)) {
            continue;
        }
        if (count < DOMAINS_MAX) {
            out[count++] = peer->state.failure_domain;
        }
        else {
            plan->send(plan->user, peer, PPS_FORWARD_NONE);
        }
    }
    return count;
}

static void
visit_other_domains(const plan_t *plan, const char *from_domain)
{
    const char *own_domain = plan->gossip->own.state.failure_domain;
    const char *domains[DOMAINS_MAX];
    size_t count = list_domains(domains, plan, from_domain);

    for (size_t i = 0; i < count; i++) {
        if (strcmp(domains[i], own_domain) == 0 && is_relay(plan->gossip)) {
            visit_hosts(plan, own_domain);
        }
        else {
            visit_domain(plan, domains[i]);
        }
    }
}

/* Only hubs hear the hosts of all domains; the others leave it to them. */
static void
visit_others(const plan_t *plan, const char *from_domain)
{
    const pps_gossip_state_t *hubs[PPS_GOSSIP_READERS];
    const pps_gossip_peer_t *peer;
    size_t count;

    if (pps_gossip_hears_all(plan->gossip)) {
        visit_other_domains(plan, from_domain);
        return;
    }
    count = pps_gossip_list_hubs(hubs, plan->gossip);
    cds_list_for_each_entry (peer, &plan->gossip->peers, node) {
        if (pps_gossip_is_listed(hubs, count, peer)) {
            plan->send(plan->user, peer, PPS_FORWARD_OTHERS);
        }
    }
}

void
pps_forward_plan_duty(const pps_gossip_t *gossip, pps_forward_duty_t duty,
                      const char *from_domain, pps_forward_fn send, void *user)
{
    const plan_t plan = {gossip, send, user};

    if ((duty & PPS_FORWARD_DOMAIN) != 0) {
        visit_hosts(&plan, gossip->own.state.failure_domain);
    }
    if ((duty & PPS_FORWARD_OTHERS) != 0) {
        visit_others(&plan, from_domain);
    }
}

void
pps_forward_plan_origin(const pps_gossip_t *gossip, pps_forward_fn send,
                        void *user)
{
    const char *own_domain = gossip->own.state.failure_domain;
    const pps_gossip_peer_t *relays[PPS_GOSSIP_RELAYS];
    const plan_t plan = {gossip, send, user};

    if (!is_relay(gossip) && pps_gossip_hears_all(gossip)) {
        visit_domain(&plan, own_domain);
        visit_others(&plan, own_domain);
    }
    else if (is_relay(gossip) ||
             pps_gossip_list_relays(relays, gossip, own_domain) <
                 PPS_GOSSIP_RELAYS) {
        pps_forward_plan_duty(gossip, PPS_FORWARD_ALL, own_domain, send, user);
    }
    else {
        for (size_t i = 0; i < PPS_GOSSIP_RELAYS; i++) {
            send(user, relays[i], PPS_FORWARD_ALL);
        }
    }
}
