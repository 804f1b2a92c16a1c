/** @file model_cost.c @brief Mean work of requests, and a request's share. */
#include "model_cost.h"

/** Work of generating an answer, in prompt tokens: steps are shared by the
 * requests of a batch, so that an answer of some hundred tokens takes about as
 * much of a worker as reading these. */
#define ANSWER_TOKENS 2000.0
#define SMOOTHING_WEIGHT 0.02
/** Limits of the factor, so that no kind of request always or never gets the
 * larger model. */
#define FACTOR_MIN 0.35
#define FACTOR_MAX 1.6

static double
work_of(int64_t prompt_tokens)
{
    return (prompt_tokens > 0 ? (double)prompt_tokens : 0) + ANSWER_TOKENS;
}

void
pps_model_cost_add(pps_model_cost_t *cost, int64_t prompt_tokens)
{
    double work = work_of(prompt_tokens);

    if (cost->mean_tokens <= 0) {
        cost->mean_tokens = work;
        return;
    }
    cost->mean_tokens += (work - cost->mean_tokens) * SMOOTHING_WEIGHT;
}

double
pps_model_cost_factor(const pps_model_cost_t *cost, int64_t prompt_tokens)
{
    double factor;

    if (cost->mean_tokens <= 0) {
        return 1;
    }
    factor = work_of(prompt_tokens) / cost->mean_tokens;
    if (factor < FACTOR_MIN) {
        return FACTOR_MIN;
    }
    return factor < FACTOR_MAX ? factor : FACTOR_MAX;
}
