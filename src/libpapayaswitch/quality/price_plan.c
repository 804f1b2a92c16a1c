/** @file price_plan.c @brief Price of quality for a corrected target. */
#include "price_plan.h"

#include <math.h>
#include <string.h>

/** Demands of an account with the versions that may serve them. */
typedef struct {
    pps_demand_t demands[PPS_PRICE_DEMANDS_MAX];
    pps_candidate_t candidates[PPS_PRICE_DEMANDS_MAX][PPS_CANDIDATES_MAX];
} plan_t;

/** Sums of the delivered answers and of their estimated ratings. */
typedef struct {
    double answers;
    double quality;
    double variance;
} delivered_t;

/**
 * Returns whether a plan may use a version. It may not use one under roll-out,
 * which serves only its share at any price; pps_target_correct() accounts for
 * the answers that it delivered.
 */
static int
is_eligible(const pps_price_plan_input_t *input, const pps_version_t *version,
            const char *model)
{
    return version != NULL && strcmp(version->model, model) == 0 &&
           version->state == PPS_VERSION_ACTIVE && version->exposure >= 1.0 &&
           !pps_name_set_has(&input->held, version->name);
}

static void
add_demand(plan_t *plan, size_t index, const pps_price_demand_t *demand,
           const pps_price_plan_input_t *input)
{
    const pps_workspace_t *workspace = input->workspace;
    pps_candidate_t *candidates = plan->candidates[index];
    size_t count = 0;

    for (size_t i = 0;
         i < workspace->allow_count && count < PPS_CANDIDATES_MAX; i++) {
        const pps_version_t *version =
            pps_catalog_version(input->catalog, workspace->allow[i]);

        if (is_eligible(input, version, demand->model)) {
            candidates[count].version = version;
            input->source->estimate(input->source, &candidates[count].quality,
                                    workspace->name, demand->kind, version);
            /* Disables cascades, because answers are not judged inline. */
            candidates[count].quality.judge_slope = 0.0;
            count++;
        }
    }
    plan->demands[index] = (pps_demand_t){demand->answers, candidates, count};
}

static void
add_delivered(delivered_t *sum, const pps_price_demand_t *demand,
              const pps_price_plan_input_t *input)
{
    for (size_t i = 0; i < demand->delivery_count; i++) {
        const pps_price_delivery_t *delivery = &demand->deliveries[i];
        const pps_version_t *version =
            pps_catalog_version(input->catalog, delivery->version);
        pps_quality_t quality;

        if (version != NULL) {
            input->source->estimate(input->source, &quality,
                                    input->workspace->name, demand->kind,
                                    version);
            sum->answers += delivery->answers;
            sum->quality += delivery->answers * quality.mean;
            sum->variance += pow(delivery->answers * quality.deviation, 2.0);
        }
    }
}

void
pps_price_plan_compute(pps_price_t *out, const pps_price_account_t *account,
                       const pps_price_plan_input_t *input)
{
    delivered_t delivered = {0.0, 0.0, 0.0};
    plan_t plan;
    double target;

    for (size_t i = 0; i < account->demand_count; i++) {
        add_demand(&plan, i, &account->demands[i], input);
        add_delivered(&delivered, &account->demands[i], input);
    }
    target =
        pps_target_correct(input->workspace->quality_target, delivered.answers,
                           delivered.quality - PPS_PRICE_MARGIN_DEVIATIONS *
                                                   sqrt(delivered.variance),
                           PPS_PRICE_HORIZON);
    pps_price_find(out, plan.demands, account->demand_count, target,
                   PPS_PRICE_MARGIN_DEVIATIONS);
}
