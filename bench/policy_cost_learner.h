/**
 * @file policy_cost_learner.h
 * @brief Runs the product's version choice with ratings that arrive late.
 */
#ifndef POLICY_COST_LEARNER_H
#define POLICY_COST_LEARNER_H

#include "papayaswitch/evidence.h"
#include "policy_cost_world.h"

#include <stdio.h>
#include <string.h>

/** Requests of a workspace between two updates of its estimates. */
#define REPLAN_REQUESTS 200

/** Sums over the requests of a workspace that a policy has served. */
typedef struct {
    double cost;
    double quality;
    int requests;
} outcome_t;

/** Parts of the policy that are in use. */
typedef struct {
    int uses_price;
    int uses_cascades;
    double margin_deviations; /**< margin, in standard deviations */
    double horizon; /**< requests to make up a shortfall in; 0: not at all */
} learner_t;

static void
serve(outcome_t *out, const request_t *request, int version)
{
    outcome_t *outcome = &out[request->workspace];

    outcome->cost += versions[version].cost;
    outcome->quality += request->answer[version];
    outcome->requests++;
}

/** Sums over the answers delivered. */
typedef struct {
    double answers;
    double judge_sum;
} delivered_t;

/** State of a run of a policy that uses evidence. */
typedef struct {
    pps_quality_source_t source; /**< estimates of the last update */
    const world_t *world;
    const learner_t *learner;
    pps_tally_t *tally;
    pps_evidence_t evidence;
    pps_candidate_t candidates[WORKSPACES][KINDS][VERSIONS];
    pps_price_t price[WORKSPACES];
    delivered_t delivered[WORKSPACES][KINDS][VERSIONS][2]; /**< by stage */
    int served[WORKSPACES];
    pps_workspace_t workspaces[WORKSPACES];
    char names[WORKSPACES][8];
    int *due;  /**< first rating due at a request, as index + 1 */
    int *next; /**< next rating due at the same request */
    int *version[2];
    pps_rng_t rng;
} run_t;

static void
estimate_cached(const pps_quality_source_t *self, pps_quality_t *out,
                const char *workspace, const char *kind,
                const pps_version_t *version)
{
    const run_t *run = (const run_t *)self;
    int k = 0;

    while (strcmp(run->world->mix->kinds[k], kind) != 0) {
        k++;
    }
    *out = run->candidates[atoi(workspace)][k][version - versions].quality;
}

/** Returns the estimated sum of the answers' ratings, less the margin. */
static double
estimate_delivered(const run_t *run, int w)
{
    double sum = 0.0;
    double variance = 0.0;

    for (int i = 0; i < KINDS * VERSIONS; i++) {
        const pps_quality_t *quality =
            &run->candidates[w][i / VERSIONS][i % VERSIONS].quality;
        const delivered_t *delivered =
            run->delivered[w][i / VERSIONS][i % VERSIONS];

        if (delivered[0].answers > 0) {
            sum += delivered[0].answers *
                   pps_quality_predict(quality, delivered[0].judge_sum /
                                                    delivered[0].answers);
        }
        sum += delivered[1].answers * quality->escalated_mean;
        variance += pow((delivered[0].answers + delivered[1].answers) *
                            quality->deviation,
                        2.0);
    }
    return sum - run->learner->margin_deviations * sqrt(variance);
}

static void
replan(run_t *run, int w)
{
    double target = run->world->target[w];
    pps_demand_t demands[KINDS];

    for (int k = 0; k < KINDS; k++) {
        for (int v = 0; v < VERSIONS; v++) {
            pps_candidate_t *candidate = &run->candidates[w][k][v];

            candidate->version = &versions[v];
            run->evidence.source.estimate(
                &run->evidence.source, &candidate->quality, run->names[w],
                run->world->mix->kinds[k], &versions[v]);
            if (!run->learner->uses_cascades) {
                candidate->quality.judge_slope = 0.0;
            }
        }
        demands[k] = (pps_demand_t){run->world->mix->kind_weights[k],
                                    run->candidates[w][k], VERSIONS};
    }
    if (run->learner->horizon > 0) {
        target = pps_target_correct(target, run->served[w],
                                    estimate_delivered(run, w),
                                    run->learner->horizon);
    }
    pps_price_find(&run->price[w], demands, KINDS, target,
                   run->learner->margin_deviations);
}

static void
count_rating(run_t *run, int index)
{
    const request_t *request = &run->world->requests[index];

    for (int stage = 0; stage < 2; stage++) {
        int version = run->version[stage][index];

        if (version >= 0) {
            pps_rating_t rating = {run->names[request->workspace],
                                   run->world->mix->kinds[request->kind],
                                   versions[version].name,
                                   stage,
                                   request->rating[version],
                                   request->judgement[version]};

            pps_evidence_count_rating(run->tally, &rating);
        }
    }
}

static void
count_judgement(run_t *run, const request_t *request, int version, int stage)
{
    pps_rating_t judged = {run->names[request->workspace],
                           run->world->mix->kinds[request->kind],
                           versions[version].name,
                           stage,
                           0.0,
                           request->judgement[version]};

    if (run->learner->uses_cascades) {
        pps_evidence_count_judgement(run->tally, &judged);
    }
}

static void
deliver(run_t *run, outcome_t *out, const request_t *request, int version,
        int stage)
{
    delivered_t *delivered =
        &run->delivered[request->workspace][request->kind][version][stage];

    delivered->answers++;
    delivered->judge_sum += request->judgement[version];
    run->served[request->workspace]++;
    serve(out, request, version);
}

static void
answer_request(run_t *run, outcome_t *out, int index)
{
    const pps_version_t *candidates[] = {&versions[0], &versions[1],
                                         &versions[2]};
    pps_choice_version_input_t input = PPS_CHOICE_VERSION_INPUT_INIT;
    const request_t *request = &run->world->requests[index];
    int w = request->workspace;
    pps_choice_version_t chosen;
    int stage = 0;
    int version;

    input.workspace = &run->workspaces[w];
    input.model = "m";
    input.kind = run->world->mix->kinds[request->kind];
    input.quality = &run->source;
    input.rng = &run->rng;
    if (run->learner->uses_price) {
        input.price = pps_price_draw(&run->price[w], pps_rng_unit(&run->rng));
    }
    pps_choice_select_version_among(&chosen, &input, candidates, VERSIONS);
    version = (int)(chosen.version - versions);
    run->version[0][index] = version;
    run->version[1][index] = -1;
    count_judgement(run, request, version, 0);
    if (chosen.escalate_to != NULL &&
        request->judgement[version] < chosen.escalate_below) {
        out[w].cost += versions[version].cost;
        version = (int)(chosen.escalate_to - versions);
        run->version[1][index] = version;
        stage = 1;
        count_judgement(run, request, version, stage);
    }
    deliver(run, out, request, version, stage);
}

static void
run_start(run_t *run, const world_t *world, const learner_t *learner)
{
    static const char *const allow[] = {"m/small", "m/medium", "m/large"};

    memset(run, 0, sizeof(*run));
    run->source.estimate = estimate_cached;
    run->world = world;
    run->learner = learner;
    pps_tally_new(&run->tally, "host", 1);
    pps_evidence_init(&run->evidence, run->tally);
    run->due = calloc(REQUESTS, sizeof(int));
    run->next = calloc(REQUESTS, sizeof(int));
    run->version[0] = calloc(REQUESTS, sizeof(int));
    run->version[1] = calloc(REQUESTS, sizeof(int));
    pps_rng_init(&run->rng, 1);
    for (int w = 0; w < WORKSPACES; w++) {
        snprintf(run->names[w], sizeof(run->names[w]), "%d", w);
        run->workspaces[w] =
            (pps_workspace_t){.name = run->names[w],
                              .quality_target = world->target[w],
                              .allow = allow,
                              .allow_count = VERSIONS};
    }
}

static void
run_clear(run_t *run)
{
    pps_tally_free(run->tally);
    free(run->due);
    free(run->next);
    free(run->version[0]);
    free(run->version[1]);
}

static void
run_learner(outcome_t *out, const world_t *world, const void *user)
{
    run_t run;

    run_start(&run, world, user);
    for (int i = 0; i < REQUESTS; i++) {
        const request_t *request = &world->requests[i];
        int due = i + request->rating_delay;

        for (int r = run.due[i]; r != 0; r = run.next[r - 1]) {
            count_rating(&run, r - 1);
        }
        if (out[request->workspace].requests % REPLAN_REQUESTS == 0) {
            replan(&run, request->workspace);
        }
        answer_request(&run, out, i);
        if (request->rating[0] >= 0 && due < REQUESTS) {
            run.next[i] = run.due[due];
            run.due[due] = i + 1;
        }
    }
    run_clear(&run);
}

#endif
