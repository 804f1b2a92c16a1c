/** @file host_counts.c @brief Notes the number of hosts by failure domain. */
#include "host_counts.h"

void
pps_host_counts_note(const pps_dispatcher_t *dispatcher,
                     pps_known_hosts_t *known, const pps_pool_worker_t *worker)
{
    int64_t now_us = dispatcher->reactor->now_us;
    pps_known_domain_t *domain =
        pps_known_hosts_domain(known, worker->info.failure_domain);
    unsigned int hosts;
    int before;

    if (dispatcher->limit_rank == NULL || domain == NULL ||
        domain->noted_us == now_us) {
        return;
    }
    dispatcher->limit_rank(dispatcher->notice_user, worker, &hosts, &before);
    pps_known_hosts_note(known, domain, hosts, now_us);
}
