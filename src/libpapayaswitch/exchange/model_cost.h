/**
 * @file model_cost.h
 * @brief How much work the larger model has with a request, compared with the
 * other requests of its upstream. Does no I/O and reads no clock.
 *
 * Responds to loads at which the larger model can't be asked for all answers
 * of low confidence: its time on the workers is what is scarce, and a long
 * prompt takes many times as much of it as a short one. Scaling the load by
 * this factor keeps the larger model for the requests that cost the others
 * least, so that more callers get a good answer from the same workers.
 */
#ifndef PPS_EXCHANGE_MODEL_COST_H
#define PPS_EXCHANGE_MODEL_COST_H

#include <stdint.h>

/** Mean work of recent requests of an upstream. Zero-initialize it. */
typedef struct {
    double mean_tokens; /**< 0: no request yet */
} pps_model_cost_t;

/** Counts a request. @param prompt_tokens as the caller states it */
void
pps_model_cost_add(pps_model_cost_t *cost, int64_t prompt_tokens);

/** Returns the factor of the load for a request: 1 for one of mean work, less
 * for a shorter prompt, more for a longer one, within fixed limits. 1 as long
 * as no request was counted. */
double
pps_model_cost_factor(const pps_model_cost_t *cost, int64_t prompt_tokens);

#endif
