/** @file fold_hosts.c @brief Tracks the incarnations of hosts in a fold. */
#include "fold_state.h"

#include <stdlib.h>
#include <string.h>

pps_fold_host_t *
pps_fold_host_intern(pps_work_fold_t *fold, const char *name)
{
    pps_table_item_t *item = pps_table_find(&fold->hosts, name, strlen(name));
    pps_fold_host_t *host;

    if (item != NULL) {
        return caa_container_of(item, pps_fold_host_t, item);
    }
    host = calloc(1, sizeof(*host));
    if (host == NULL) {
        return NULL;
    }
    strncpy(host->name, name, sizeof(host->name) - 1);
    cds_list_add_tail(&host->node, &fold->host_list);
    pps_table_add(&fold->hosts, &host->item, host->name, strlen(host->name));
    return host;
}

int
pps_fold_host_is_expired(const pps_work_fold_t *fold,
                         const pps_fold_host_t *host)
{
    return host->claims == 0 &&
           fold->log_time_us - host->time_us > fold->retention_us;
}

int
pps_fold_host_record_claim(pps_work_fold_t *fold, pps_fold_host_t *host,
                           uint64_t incarnation)
{
    if (pps_fold_host_is_expired(fold, host)) {
        host->incarnation = 0;
    }
    if (incarnation < host->incarnation) {
        return 1;
    }
    host->incarnation = incarnation;
    host->time_us = fold->log_time_us;
    cds_list_del(&host->node);
    cds_list_add_tail(&host->node, &fold->host_list);
    return 0;
}

void
pps_fold_host_remove(pps_work_fold_t *fold, pps_fold_host_t *host)
{
    pps_table_remove(&fold->hosts, &host->item);
    cds_list_del(&host->node);
    free(host);
}
