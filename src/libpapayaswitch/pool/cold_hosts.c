/** @file cold_hosts.c @brief The largest number of hosts known lately. */
#include "cold_hosts.h"

#include "clock.h"

#include <stdio.h>
#include <string.h>

/** A cut between hosts may last for minutes, and hosts that forget the others
 * in the meantime would each take the whole rate of a cold worker. Hosts that
 * are gone for good lower the rate for this long. */
#define PERIOD_US (200 * PPS_US_PER_S)
/** Time after its start in which a host is no sender. It hears from the others
 * within two of their periods, which are 1 s at most. */
#define WARM_UP_US (3 * PPS_US_PER_S)

static int
find(const pps_cold_hosts_t *all, const char *name)
{
    for (unsigned int i = 0; i < all->count; i++) {
        if (strcmp(all->domains[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

pps_cold_domain_t *
pps_cold_hosts_domain(pps_cold_hosts_t *all, const char *name)
{
    int found = find(all, name);
    pps_cold_domain_t *added = &all->domains[all->count];

    if (found >= 0) {
        return &all->domains[found];
    }
    if (all->count == PPS_COLD_DOMAINS_MAX) {
        return NULL;
    }
    all->count++;
    snprintf(added->name, sizeof(added->name), "%s", name);
    return added;
}

void
pps_cold_domain_note(pps_cold_domain_t *domain, unsigned int hosts,
                     int64_t now_us)
{
    int64_t period = now_us / PERIOD_US;
    unsigned int *peak = &domain->peaks[period % PPS_COLD_PERIODS];

    if (period - domain->period >= PPS_COLD_PERIODS) {
        memset(domain->peaks, 0, sizeof(domain->peaks));
        domain->period = period;
    }
    while (domain->period < period) {
        domain->period++;
        domain->peaks[domain->period % PPS_COLD_PERIODS] = 0;
    }
    if (hosts > *peak) {
        *peak = hosts;
    }
    domain->noted_us = now_us;
}

static unsigned int
peak_of(const pps_cold_hosts_t *all, const char *name, unsigned int hosts,
        int64_t now_us)
{
    int found = find(all, name);
    int64_t oldest = now_us / PERIOD_US - PPS_COLD_PERIODS;
    const pps_cold_domain_t *domain;

    if (found < 0) {
        return hosts;
    }
    domain = &all->domains[found];
    for (int64_t period = domain->period;
         period > domain->period - PPS_COLD_PERIODS && period > oldest &&
         period >= 0;
         period--) {
        if (domain->peaks[period % PPS_COLD_PERIODS] > hosts) {
            hosts = domain->peaks[period % PPS_COLD_PERIODS];
        }
    }
    return hosts;
}

pps_cold_rank_t
pps_cold_hosts_rank(const pps_cold_hosts_t *all, const char *name,
                    unsigned int hosts, int before, int64_t now_us)
{
    return (pps_cold_rank_t){
        .hosts = hosts,
        .peak = peak_of(all, name, hosts, now_us),
        .before = now_us - all->started_us < WARM_UP_US ? -1 : before,
    };
}
