/** @file retry_budget.c @brief Token bucket refilled by successes. */
#include "papayaswitch/retry_budget.h"

#include "papayaswitch/errors.h"

#include <math.h>

#define MILLI 1000

void
pps_retry_budget_init(pps_retry_budget_t *budget, double share,
                      unsigned int burst)
{
    budget->earn_milli = llround(share * MILLI);
    budget->max_milli = (int64_t)burst * MILLI;
    atomic_init(&budget->available_milli, budget->max_milli);
}

void
pps_retry_budget_earn(pps_retry_budget_t *budget)
{
    int64_t available = atomic_load(&budget->available_milli);
    int64_t next;

    do {
        next = available + budget->earn_milli;
        next = next > budget->max_milli ? budget->max_milli : next;
    } while (!atomic_compare_exchange_weak(&budget->available_milli,
                                           &available, next));
}

int
pps_retry_budget_spend(pps_retry_budget_t *budget)
{
    int64_t available = atomic_load(&budget->available_milli);

    do {
        if (available < MILLI) {
            return pps_error_set(PPS_ELIMIT, "retry budget used up");
        }
    } while (!atomic_compare_exchange_weak(&budget->available_milli,
                                           &available, available - MILLI));
    return PPS_OK;
}
