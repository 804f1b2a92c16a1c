/**
 * @file retry_budget.h
 * @brief Bounds the attempts that failures add to the work of a pool.
 *
 * Each success earns a part of a retry, each retry spends one. While all goes
 * well there is budget for a burst; when most fails there is none. Lock-free.
 */
#ifndef PAPAYASWITCH_RETRY_BUDGET_H
#define PAPAYASWITCH_RETRY_BUDGET_H

#include <stdatomic.h>
#include <stdint.h>

/** A bucket of retries, in thousandths. */
typedef struct {
    _Atomic int64_t milli;
    int64_t earn_milli; /**< by each success */
    int64_t max_milli;
} pps_retry_budget_t;

/** Starts full. @param share retries for one success, [0, 1] */
void
pps_retry_budget_init(pps_retry_budget_t *budget, double share,
                      unsigned int burst);

/** Counts a success. */
void
pps_retry_budget_earn(pps_retry_budget_t *budget);

/** Takes a retry. @return 0 or PPS_ELIMIT */
int
pps_retry_budget_spend(pps_retry_budget_t *budget);

#endif
