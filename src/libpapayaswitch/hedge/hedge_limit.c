/** @file hedge_limit.c @brief Token bucket with a list of waiters. */
#include "hedge_limit.h"

#include <stddef.h>

/** Copies that may be saved up for later. */
#define COPIES_MAX 10.0
/** Tolerance for the rounding of sums of shares. */
#define ROUNDING 1e-9

void
pps_hedge_limit_init(pps_hedge_limit_t *limit)
{
    limit->copies = 0;
    CDS_INIT_LIST_HEAD(&limit->waiters);
}

void
pps_hedge_limit_count_request(pps_hedge_limit_t *limit, double share)
{
    limit->copies += share;
    if (limit->copies > COPIES_MAX) {
        limit->copies = COPIES_MAX;
    }
}

int
pps_hedge_limit_is_open(const pps_hedge_limit_t *limit)
{
    return limit->copies >= 1 - ROUNDING;
}

void
pps_hedge_limit_take(pps_hedge_limit_t *limit)
{
    limit->copies -= 1;
}

void
pps_hedge_limit_add_waiter(pps_hedge_limit_t *limit,
                           pps_hedge_waiter_t *waiter)
{
    if (waiter->node.next == NULL) {
        cds_list_add_tail(&waiter->node, &limit->waiters);
    }
}

void
pps_hedge_limit_remove_waiter(pps_hedge_waiter_t *waiter)
{
    if (waiter->node.next != NULL) {
        cds_list_del(&waiter->node);
        waiter->node.next = NULL;
    }
}

static double
excess(const pps_hedge_waiter_t *waiter, int64_t now_us)
{
    return (double)(now_us - waiter->sent_us) /
           (double)(waiter->usual_us > 0 ? waiter->usual_us : 1);
}

pps_hedge_waiter_t *
pps_hedge_limit_next(pps_hedge_limit_t *limit, int64_t now_us)
{
    pps_hedge_waiter_t *best = NULL;
    pps_hedge_waiter_t *waiter;

    if (!pps_hedge_limit_is_open(limit)) {
        return NULL;
    }
    cds_list_for_each_entry (waiter, &limit->waiters, node) {
        if (best == NULL || excess(waiter, now_us) > excess(best, now_us)) {
            best = waiter;
        }
    }
    if (best != NULL) {
        pps_hedge_limit_remove_waiter(best);
    }
    return best;
}
