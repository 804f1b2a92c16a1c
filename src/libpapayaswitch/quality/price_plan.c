/** @file price_plan.c @brief Target corrected by delivery, then the price. */
#include "price_plan.h"

#include <math.h>
#include <string.h>

/** The demands of an account with what may serve them. */
typedef struct {
    pps_demand_t demands[PPS_PRICE_DEMANDS_MAX];
    pps_candidate_t candidates[PPS_PRICE_DEMANDS_MAX][PPS_CANDIDATES_MAX];
} plan_t;

/** What was delivered, by what is believed now. */
typedef struct {
    double answers;
    double quality;
    double variance;
} delivered_t;

/**
 * A version under roll-out gets no more than its share, whatever the price;
 * what it delivers is corrected afterwards.
 */
static int
may_be_planned(const pps_price_plan_input_t *input,
               const pps_version_t *version, const char *model)
{
    return version != NULL && strcmp(version->model, model) == 0 &&
           version->state == PPS_VERSION_ACTIVE && version->exposure >= 1.0 &&
           !pps_name_set_has(&input->held, version->name);
}

static void
gather(plan_t *plan, size_t index, const pps_price_demand_t *demand,
       const pps_price_plan_input_t *input)
{
    const pps_workspace_t *workspace = input->workspace;
    pps_candidate_t *candidates = plan->candidates[index];
    size_t count = 0;

    for (size_t i = 0;
         i < workspace->allow_count && count < PPS_CANDIDATES_MAX; i++) {
        const pps_version_t *version =
            pps_catalog_version(input->catalog, workspace->allow[i]);

        if (may_be_planned(input, version, demand->model)) {
            candidates[count].version = version;
            input->source->estimate(input->source, &candidates[count].quality,
                                    workspace->name, demand->kind, version);
            /* Nobody judges an answer inline: no cascades. */
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
pps_price_plan(pps_price_t *out, const pps_price_account_t *account,
               const pps_price_plan_input_t *input)
{
    delivered_t delivered = {0.0, 0.0, 0.0};
    plan_t plan;
    double target;

    for (size_t i = 0; i < account->demand_count; i++) {
        gather(&plan, i, &account->demands[i], input);
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
