/**
 * @file evacuated_domains.h
 * @brief The failure domains that get no new requests. Does no I/O and reads
 * no clock.
 */
#ifndef PPS_EXCHANGE_EVACUATED_DOMAINS_H
#define PPS_EXCHANGE_EVACUATED_DOMAINS_H

#include "pool/pool.h"

/** Maximum number of failure domains that are evacuated at once. */
#define PPS_EVACUATED_MAX 64

/** A failure domain that is evacuated. */
typedef struct {
    struct cds_list_head node;
    char name[PPS_WORKER_TEXT_BYTES];
    int64_t since_us;
    int is_unconfirmed; /**< a restored store lacks its order */
} pps_evacuated_domain_t;

/** All evacuated failure domains. */
typedef struct {
    struct cds_list_head domains;
    size_t count;
} pps_evacuated_domains_t;

void
pps_evacuated_domains_init(pps_evacuated_domains_t *evacuated);

/** Finds an evacuated failure domain by name, or NULL. */
pps_evacuated_domain_t *
pps_evacuated_domains_find(const pps_evacuated_domains_t *evacuated,
                           const char *name);

/** Adds a failure domain. @return 1; 0 if it is known; PPS_EINVALID: the name
 * is empty or too long for a worker's record; PPS_ELIMIT; PPS_ENOMEM */
int
pps_evacuated_domains_add(pps_evacuated_domains_t *evacuated, const char *name,
                          int64_t now_us);

/** Removes a failure domain. @return 1, or 0 if it is not known */
int
pps_evacuated_domains_remove(pps_evacuated_domains_t *evacuated,
                             const char *name);

#endif
