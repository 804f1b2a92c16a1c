/**
 * @file retry_budget.h
 * @brief Limits the load that retries add to a pool.
 *
 * Each success adds a fraction of a retry to the budget, and each retry uses
 * one up. A full budget allows a burst of retries; if most requests fail, the
 * budget runs out. Lock-free.
 */
#ifndef PAPAYASWITCH_RETRY_BUDGET_H
#define PAPAYASWITCH_RETRY_BUDGET_H

#include <stdatomic.h>
#include <stdint.h>

/** Token bucket, in thousandths of a retry. */
typedef struct {
    _Atomic int64_t available_milli;
    int64_t earn_milli; /**< added by each success */
    int64_t max_milli;
} pps_retry_budget_t;

/** Starts with `burst` retries. @param share retries per success, [0, 1] */
void
pps_retry_budget_init(pps_retry_budget_t *budget, double share,
                      unsigned int burst);

/** Adds the share of one success, up to the full budget. */
void
pps_retry_budget_earn(pps_retry_budget_t *budget);

/** Uses up one retry. @return 0; PPS_ELIMIT: less than one is available */
int
pps_retry_budget_spend(pps_retry_budget_t *budget);

#endif
