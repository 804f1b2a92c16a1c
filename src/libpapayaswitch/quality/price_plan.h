/**
 * @file price_plan.h
 * @brief The price that a workspace's requests pay from now on.
 */
#ifndef PPS_QUALITY_PRICE_PLAN_H
#define PPS_QUALITY_PRICE_PLAN_H

#include "price_book.h"

/** What a plan is made from; all borrowed. */
typedef struct {
    const pps_catalog_t *catalog;
    const pps_workspace_t *workspace;
    const pps_quality_source_t *source;
    pps_name_set_t held;
} pps_price_plan_input_t;

/** Finds the price of an account. */
void
pps_price_plan(pps_price_t *out, const pps_price_account_t *account,
               const pps_price_plan_input_t *input);

#endif
