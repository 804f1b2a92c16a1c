/**
 * @file price_plan.h
 * @brief Computes the price of quality for a workspace's requests.
 */
#ifndef PPS_QUALITY_PRICE_PLAN_H
#define PPS_QUALITY_PRICE_PLAN_H

#include "price_book.h"

/** Input of a plan; all pointers are borrowed. */
typedef struct {
    const pps_catalog_t *catalog;
    const pps_workspace_t *workspace;
    const pps_quality_source_t *source;
    pps_name_set_t held;
} pps_price_plan_input_t;

/** Finds the price at which an account's workspace meets its target, corrected
 * for the quality already delivered. */
void
pps_price_plan_compute(pps_price_t *out, const pps_price_account_t *account,
                       const pps_price_plan_input_t *input);

#endif
