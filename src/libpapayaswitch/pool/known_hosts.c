/** @file known_hosts.c @brief The largest number of hosts known lately. */
#include "known_hosts.h"

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
find(const pps_known_hosts_t *all, const char *name)
{
    for (unsigned int i = 0; i < all->count; i++) {
        if (strcmp(all->domains[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

pps_known_domain_t *
pps_known_hosts_domain(pps_known_hosts_t *all, const char *name)
{
    int found = find(all, name);
    pps_known_domain_t *added = &all->domains[all->count];

    if (found >= 0) {
        return &all->domains[found];
    }
    if (all->count == PPS_KNOWN_DOMAINS_MAX) {
        return NULL;
    }
    all->count++;
    snprintf(added->name, sizeof(added->name), "%s", name);
    return added;
}

static int64_t
period_at(const pps_known_hosts_t *all, int64_t now_us)
{
    return now_us / (all->period_us > 0 ? all->period_us : PERIOD_US);
}

void
pps_known_hosts_note(const pps_known_hosts_t *all, pps_known_domain_t *domain,
                     unsigned int hosts, int64_t now_us)
{
    int64_t period = period_at(all, now_us);
    unsigned int *peak = &domain->peaks[period % PPS_KNOWN_PERIODS];

    if (period - domain->period >= PPS_KNOWN_PERIODS) {
        memset(domain->peaks, 0, sizeof(domain->peaks));
        domain->period = period;
    }
    while (domain->period < period) {
        domain->period++;
        domain->peaks[domain->period % PPS_KNOWN_PERIODS] = 0;
    }
    if (hosts > *peak) {
        *peak = hosts;
    }
    domain->noted_us = now_us;
}

int
pps_known_hosts_is_settled(const pps_known_hosts_t *all, int64_t now_us)
{
    return now_us - all->started_us >= WARM_UP_US;
}

unsigned int
pps_known_hosts_peak(const pps_known_hosts_t *all, const char *name,
                     unsigned int hosts, int64_t now_us)
{
    int found = find(all, name);
    int64_t oldest = period_at(all, now_us) - PPS_KNOWN_PERIODS;
    const pps_known_domain_t *domain;

    if (found < 0) {
        return hosts;
    }
    domain = &all->domains[found];
    for (int64_t period = domain->period;
         period > domain->period - PPS_KNOWN_PERIODS && period > oldest &&
         period >= 0;
         period--) {
        if (domain->peaks[period % PPS_KNOWN_PERIODS] > hosts) {
            hosts = domain->peaks[period % PPS_KNOWN_PERIODS];
        }
    }
    return hosts;
}

pps_host_rank_t
pps_known_hosts_rank(const pps_known_hosts_t *all, const char *name,
                     unsigned int hosts, int before, int64_t now_us)
{
    return (pps_host_rank_t){
        .hosts = hosts,
        .peak = pps_known_hosts_peak(all, name, hosts, now_us),
        .before = pps_known_hosts_is_settled(all, now_us) ? before : -1,
    };
}
