/** @file worker_permits.c @brief Permits of a brittle worker. */
#include "worker_permits.h"

#include "clock.h"

/** Share of what a worker held when it rejected a request that it is given
 * after that, and how fast this grows again. */
#define HELD_SHARE 0.85
#define GROWTH_PER_S 1.0
#define PERMITS_MIN 1.0
/** Requests that are rejected within this time were under way together. */
#define ROUND_TRIP_US (200 * PPS_US_PER_MS)

int
pps_worker_permits_name(pps_worker_permits_t *permits, int64_t now_us)
{
    int is_new = !permits->is_brittle;

    if (is_new) {
        *permits = (pps_worker_permits_t){.is_brittle = 1};
    }
    if (now_us > permits->named_us) {
        permits->named_us = now_us;
    }
    return is_new;
}

int
pps_worker_permits_end(pps_worker_permits_t *permits, int64_t sent_us)
{
    int was_brittle = permits->is_brittle;

    if (was_brittle && sent_us <= permits->named_us) {
        return 0;
    }
    if (was_brittle) {
        *permits = (pps_worker_permits_t){0};
    }
    if (sent_us > permits->denied_us) {
        permits->denied_us = sent_us;
    }
    return was_brittle;
}

void
pps_worker_permits_reject(pps_worker_permits_t *permits, double held,
                          unsigned int slots, int64_t now_us)
{
    double total = pps_worker_permits_total(permits, slots, now_us);

    if (permits->rejected_us != 0 &&
        now_us - permits->rejected_us < ROUND_TRIP_US) {
        return;
    }
    permits->level = (held < total ? held : total) * HELD_SHARE;
    permits->rejected_us = now_us;
}

double
pps_worker_permits_held_for(double total)
{
    return total / HELD_SHARE;
}

double
pps_worker_permits_total(const pps_worker_permits_t *permits,
                         unsigned int slots, int64_t now_us)
{
    double total = slots;

    if (permits->rejected_us != 0) {
        double grown =
            permits->level + (double)(now_us - permits->rejected_us) *
                                 GROWTH_PER_S / PPS_US_PER_S;

        total = grown < total ? grown : total;
    }
    return total > PERMITS_MIN ? total : PERMITS_MIN;
}

/* Returns the permits that the known hosts divide. */
static unsigned int
count_divided(const pps_permit_pool_t *pool, const pps_host_rank_t *rank)
{
    double total = pool->total;

    if (total < PERMITS_MIN) {
        return 0;
    }
    if (rank->hosts < rank->peak) {
        total = total * rank->hosts / rank->peak;
    }
    return (unsigned int)(total > PERMITS_MIN ? total : PERMITS_MIN);
}

unsigned int
pps_permit_holders(const pps_permit_pool_t *pool, const pps_host_rank_t *rank)
{
    unsigned int permits = count_divided(pool, rank);
    unsigned int holders =
        pool->largest > 1 ? permits / pool->largest : permits;

    if (permits > 0 && holders == 0) {
        return 1;
    }
    return holders;
}

unsigned int
pps_permit_part(const pps_permit_pool_t *pool, const pps_host_rank_t *rank)
{
    unsigned int permits = count_divided(pool, rank);
    unsigned int holders = pps_permit_holders(pool, rank);

    if (holders > rank->hosts) {
        holders = rank->hosts;
    }
    if (rank->before < 0 || (unsigned int)rank->before >= holders) {
        return 0;
    }
    return permits / holders +
           ((unsigned int)rank->before < permits % holders);
}
