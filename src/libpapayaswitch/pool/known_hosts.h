/**
 * @file known_hosts.h
 * @brief The largest number of hosts known lately, by failure domain. Does no
 * I/O and reads no clock.
 *
 * A host that is separated from others hears of fewer hosts than there are.
 * The others may still send to the same workers.
 */
#ifndef PPS_POOL_KNOWN_HOSTS_H
#define PPS_POOL_KNOWN_HOSTS_H

#include "host_rank.h"

#include <stdint.h>

/** Number of failure domains that are told apart. */
#define PPS_KNOWN_DOMAINS_MAX 32
/** Periods for which the largest numbers are kept. */
#define PPS_KNOWN_PERIODS 4
#define PPS_KNOWN_DOMAIN_BYTES 64

/** The hosts that can send to the workers of a failure domain. */
typedef struct {
    char name[PPS_KNOWN_DOMAIN_BYTES];
    unsigned int peaks[PPS_KNOWN_PERIODS]; /**< by period, as a ring */
    int64_t period;                        /**< number of the last one */
    int64_t noted_us;                      /**< when a number was last noted */
} pps_known_domain_t;

/** Zero: nothing noted. */
typedef struct {
    int64_t started_us;  /**< start of this host */
    int64_t step_due_us; /**< when numbers are next noted */
    int64_t period_us;   /**< the largest numbers of so many of these are kept;
                              0: as long as cuts between hosts may last */
    pps_known_domain_t domains[PPS_KNOWN_DOMAINS_MAX];
    unsigned int count;
} pps_known_hosts_t;

/** Finds a failure domain, or adds it. NULL beyond PPS_KNOWN_DOMAINS_MAX. */
pps_known_domain_t *
pps_known_hosts_domain(pps_known_hosts_t *all, const char *name);

/** Notes how many hosts are known now for a failure domain. */
void
pps_known_hosts_note(const pps_known_hosts_t *all, pps_known_domain_t *domain,
                     unsigned int hosts, int64_t now_us);

/** Returns whether this host has run for long enough to know the others. */
int
pps_known_hosts_is_settled(const pps_known_hosts_t *all, int64_t now_us);

/** Returns the largest number of hosts noted lately for a failure domain, at
 * least `hosts`. */
unsigned int
pps_known_hosts_peak(const pps_known_hosts_t *all, const char *name,
                     unsigned int hosts, int64_t now_us);

/** Returns the rank of this host among those that can send to the workers of a
 * failure domain, with the largest number noted lately. A host
 * that has just started can't be a sender, as it doesn't know the others yet.
 * @param hosts known now @param before as in pps_host_rank_t */
pps_host_rank_t
pps_known_hosts_rank(const pps_known_hosts_t *all, const char *name,
                     unsigned int hosts, int before, int64_t now_us);

#endif
