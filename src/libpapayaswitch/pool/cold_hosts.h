/**
 * @file cold_hosts.h
 * @brief The largest number of hosts known lately, by failure domain. Does no
 * I/O and reads no clock.
 *
 * A host that is separated from others hears of fewer hosts than there are.
 * The others may still send to the same workers.
 */
#ifndef PPS_POOL_COLD_HOSTS_H
#define PPS_POOL_COLD_HOSTS_H

#include "cold_start.h"

#include <stdint.h>

/** Number of failure domains that are told apart. */
#define PPS_COLD_DOMAINS_MAX 32
/** Periods for which the largest numbers are kept. */
#define PPS_COLD_PERIODS 4
#define PPS_COLD_DOMAIN_BYTES 64

/** The hosts that can send to the workers of a failure domain. */
typedef struct {
    char name[PPS_COLD_DOMAIN_BYTES];
    unsigned int peaks[PPS_COLD_PERIODS]; /**< by period, as a ring */
    int64_t period;                       /**< number of the last one */
    int64_t noted_us;                     /**< when a number was last noted */
} pps_cold_domain_t;

/** Zero: nothing noted. */
typedef struct {
    int64_t started_us;  /**< start of this host */
    int64_t step_due_us; /**< when numbers are next noted */
    pps_cold_domain_t domains[PPS_COLD_DOMAINS_MAX];
    unsigned int count;
} pps_cold_hosts_t;

/** Finds a failure domain, or adds it. NULL beyond PPS_COLD_DOMAINS_MAX. */
pps_cold_domain_t *
pps_cold_hosts_domain(pps_cold_hosts_t *all, const char *name);

/** Notes how many hosts are known now for a failure domain. */
void
pps_cold_domain_note(pps_cold_domain_t *domain, unsigned int hosts,
                     int64_t now_us);

/** Returns the rank of this host among those that can send to the workers of a
 * failure domain, with the largest number noted in the last 10 minutes. A host
 * that has just started can't be a sender, as it doesn't know the others yet.
 * @param hosts known now @param before as in pps_cold_rank_t */
pps_cold_rank_t
pps_cold_hosts_rank(const pps_cold_hosts_t *all, const char *name,
                    unsigned int hosts, int before, int64_t now_us);

#endif
