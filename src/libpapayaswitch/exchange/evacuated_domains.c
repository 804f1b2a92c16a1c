/** @file evacuated_domains.c @brief List of evacuated failure domains. */
#include "evacuated_domains.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

void
pps_evacuated_domains_init(pps_evacuated_domains_t *evacuated)
{
    CDS_INIT_LIST_HEAD(&evacuated->domains);
    evacuated->count = 0;
}

pps_evacuated_domain_t *
pps_evacuated_domains_find(const pps_evacuated_domains_t *evacuated,
                           const char *name)
{
    pps_evacuated_domain_t *domain;

    cds_list_for_each_entry (domain, &evacuated->domains, node) {
        if (strcmp(domain->name, name) == 0) {
            return domain;
        }
    }
    return NULL;
}

int
pps_evacuated_domains_add(pps_evacuated_domains_t *evacuated, const char *name,
                          int64_t now_us)
{
    size_t size = strlen(name);
    pps_evacuated_domain_t *domain;

    if (size == 0 || size >= sizeof(domain->name)) {
        return PPS_EINVALID;
    }
    domain = pps_evacuated_domains_find(evacuated, name);
    if (domain != NULL) {
        domain->is_unconfirmed = 0;
        return 0;
    }
    if (evacuated->count == PPS_EVACUATED_MAX) {
        return PPS_ELIMIT;
    }
    domain = calloc(1, sizeof(*domain));
    if (domain == NULL) {
        return PPS_ENOMEM;
    }
    memcpy(domain->name, name, size);
    domain->since_us = now_us;
    cds_list_add_tail(&domain->node, &evacuated->domains);
    evacuated->count++;
    return 1;
}

int
pps_evacuated_domains_remove(pps_evacuated_domains_t *evacuated,
                             const char *name)
{
    pps_evacuated_domain_t *domain =
        pps_evacuated_domains_find(evacuated, name);

    if (domain == NULL) {
        return 0;
    }
    cds_list_del(&domain->node);
    evacuated->count--;
    free(domain);
    return 1;
}
