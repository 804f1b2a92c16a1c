/** @file brittle_play_hosts.c @brief Implements the hosts of a play. */
#include "brittle_play_hosts.h"

#include "clock.h"
#include "exchange/brittle_step.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/** Time for which hosts have run that know each other. */
#define SETTLED_US (10 * PPS_US_PER_S)
#define RANKS_KEPT 64

typedef struct {
    pps_dispatcher_t dispatcher;
    pps_http_server_t *callers;
    pps_relay_server_t *relays;
    pps_relay_desk_t relay_desk;
    char relay[NET_ADDRESS_BYTES];
    char id[16];
    int is_gone;
} brittle_host_t;

static pps_reactor_t *reactor;
static brittle_hosts_options_t options;
static brittle_host_t hosts[BRITTLE_HOSTS_MAX];
static unsigned int notice_count;
static int is_cut;           /* into two halves */
static unsigned int changes; /* of who hears whom, over all plays */

/* Returns whether a host hears another one. */
static int
hears(const brittle_host_t *host, const brittle_host_t *other)
{
    return !host->is_gone && !other->is_gone &&
           (!is_cut || (host - hosts) % 2 == (other - hosts) % 2);
}

static void
send_notice(void *user, const pps_brittle_notice_t *notice)
{
    unsigned int lost = (unsigned int)options.loses_notices;

    for (unsigned int i = 0; i < options.count; i++) {
        if (&hosts[i] != user && hears(&hosts[i], user) &&
            (lost == 0 || ++notice_count % lost != 0)) {
            pps_dispatcher_on_brittle(&hosts[i].dispatcher, notice);
        }
    }
}

/* The ranks of a worker's hosts among those that each hears. */
typedef struct {
    uint64_t key;
    unsigned int change; /* of the hosts, when they were computed */
    int before[BRITTLE_HOSTS_MAX];
} ranks_t;

static void
compute_ranks(ranks_t *ranks)
{
    uint64_t hashes[BRITTLE_HOSTS_MAX];

    for (unsigned int i = 0; i < options.count; i++) {
        hashes[i] = XXH64(hosts[i].id, strlen(hosts[i].id), ranks->key);
    }
    for (unsigned int i = 0; i < options.count; i++) {
        ranks->before[i] = 0;
        for (unsigned int j = 0; j < options.count; j++) {
            ranks->before[i] +=
                hashes[j] < hashes[i] && hears(&hosts[i], &hosts[j]);
        }
    }
}

static ranks_t *
ranks_for(uint64_t key)
{
    static ranks_t all[RANKS_KEPT];
    ranks_t *ranks = &all[key % RANKS_KEPT];

    if (ranks->key != key || ranks->change != changes) {
        ranks->key = key;
        ranks->change = changes;
        compute_ranks(ranks);
    }
    return ranks;
}

static void
rank(void *user, const pps_pool_worker_t *worker, unsigned int *count,
     int *before)
{
    const brittle_host_t *own = user;

    *count = 0;
    for (unsigned int i = 0; i < options.count; i++) {
        *count += hears(own, &hosts[i]) != 0;
    }
    *before = ranks_for(worker->digest)->before[own - hosts];
}

static int
knows_host(void *user, const char *address)
{
    return 1;
}

static size_t
list_neighbours(void *user, const pps_neighbour_filter_t *filter,
                char (*out)[PPS_NEIGHBOUR_ADDRESS_BYTES], size_t max)
{
    size_t count = 0;

    for (unsigned int i = 0; i < options.count && count < max; i++) {
        if (&hosts[i] != user && hears(&hosts[i], user) &&
            (filter == NULL || filter->first == 0 ||
             ranks_for(filter->key)->before[i] < (int)filter->first)) {
            snprintf(out[count++], PPS_NEIGHBOUR_ADDRESS_BYTES, "%s",
                     hosts[i].relay);
        }
    }
    return count;
}

static void
start_relays(brittle_host_t *host)
{
    host->relay_desk = (pps_relay_desk_t){&host->dispatcher, knows_host, host};
    host->dispatcher.neighbours.list = list_neighbours;
    host->dispatcher.neighbours.user = host;
    cr_assert_eq(pps_relay_server_new(&host->relays, reactor, "127.0.0.1", 0,
                                      NULL, &pps_relay_desk_ops,
                                      &host->relay_desk),
                 0);
    snprintf(host->relay, sizeof(host->relay), "127.0.0.1:%u",
             pps_relay_server_port(host->relays));
}

static void
start_host(brittle_host_t *host, unsigned int index)
{
    fixture_start_host(&host->dispatcher, &host->callers, reactor);
    snprintf(host->id, sizeof(host->id), "h%u", index);
    host->dispatcher.hosts = options.count;
    if (options.is_settled) {
        host->dispatcher.permit_hosts.started_us -= SETTLED_US;
    }
    host->dispatcher.brittle_notice = send_notice;
    host->dispatcher.limit_rank = rank;
    host->dispatcher.notice_user = host;
    if (options.hands_on) {
        start_relays(host);
    }
}

void
brittle_hosts_start(pps_reactor_t *the_reactor,
                    const brittle_hosts_options_t *the_options)
{
    memset(hosts, 0, sizeof(hosts));
    reactor = the_reactor;
    options = *the_options;
    is_cut = 0;
    changes++;
    for (unsigned int i = 0; i < options.count; i++) {
        start_host(&hosts[i], i);
    }
}

void
brittle_hosts_add(void)
{
    cr_assert_lt(options.count, BRITTLE_HOSTS_MAX);
    options.is_settled = 0;
    start_host(&hosts[options.count], options.count);
    hosts[options.count].dispatcher.permit_hosts.started_us = reactor->now_us;
    options.count++;
    changes++;
}

void
brittle_hosts_end(unsigned int index)
{
    pps_pool_t *pool = hosts[index].dispatcher.pool;
    pps_pool_worker_t *worker;
    pps_pool_worker_t *next;

    hosts[index].is_gone = 1;
    changes++;
    cds_list_for_each_entry_safe (worker, next, pps_pool_workers(pool), node) {
        if (worker->listed) {
            pps_pool_remove(pool, worker->info.id);
        }
    }
}

void
brittle_hosts_cut(void)
{
    is_cut = 1;
    changes++;
}

void
brittle_hosts_step(void)
{
    for (unsigned int i = 0; i < options.count; i++) {
        if (!hosts[i].is_gone) {
            pps_brittle_step(&hosts[i].dispatcher);
        }
    }
}

void
brittle_hosts_put(const pps_worker_info_t *info)
{
    for (unsigned int i = 0; i < options.count; i++) {
        if (!hosts[i].is_gone) {
            pps_pool_put(hosts[i].dispatcher.pool, info);
        }
    }
}

void
brittle_hosts_remove(const char *id)
{
    for (unsigned int i = 0; i < options.count; i++) {
        pps_pool_remove(hosts[i].dispatcher.pool, id);
    }
}

pps_http_server_t *
brittle_hosts_draw(pps_rng_t *rng)
{
    unsigned int index;

    do {
        index = (unsigned int)pps_rng_below(rng, options.count);
    } while (hosts[index].is_gone);
    return hosts[index].callers;
}
