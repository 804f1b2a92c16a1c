/**
 * @file policy_cost_world.h
 * @brief Generates requests with the rating of each version's answer.
 */
#ifndef POLICY_COST_WORLD_H
#define POLICY_COST_WORLD_H

#include "papayaswitch/catalog.h"
#include "policy_random.h"

#include <stdlib.h>

#define VERSIONS 3
#define KINDS 3
#define WORKSPACES 10
#define REQUESTS 80000

/** Standard deviations of ratings, except for DIFFICULTY_SHARE. */
#define DECLARED_ERROR 0.03  /**< a version's true mean, from the note's */
#define WORKSPACE_ERROR 0.03 /**< a workspace's mean, from its kind's */
#define ANSWER_SPREAD 0.15   /**< an answer's rating, from its mean */
#define DIFFICULTY_SHARE 0.5 /**< of that variance, common to all versions */
#define JUDGE_NOISE 0.12     /**< a judgement, from the answer's true rating */
#define JUDGE_BIAS 0.01      /**< the judge's mean error in a workspace */
#define RATER_NOISE 0.10     /**< a rating, from the answer's true rating */

/** Minimum distance of a workspace's target below its best version. */
#define TARGET_MARGIN 0.03

/** Share of answers that are rated, and the mean delay in requests. */
#define RATED_SHARE 0.05
#define RATING_DELAY 700.0

/** A mix of kinds of requests, and the targets of its workspaces. */
typedef struct {
    const char *name;
    const char *kinds[KINDS];
    double kind_weights[KINDS];
    double offsets[KINDS][VERSIONS]; /**< mean of a kind, from its version's */
    double targets[2];               /**< lowest and highest of a workspace */
} mix_t;

static const pps_version_t versions[VERSIONS] = {
    {"m/small", "m", "u", PPS_VERSION_ACTIVE, 1.0, 0.74, 1.0, 1},
    {"m/medium", "m", "u", PPS_VERSION_ACTIVE, 4.0, 0.85, 1.0, 1},
    {"m/large", "m", "u", PPS_VERSION_ACTIVE, 15.0, 0.93, 1.0, 1},
};

static const mix_t mixes[] = {
    {"van-drunen",
     {"commentary", "footnote", "caption"},
     {0.30, 0.40, 0.30},
     {{-0.10, -0.03, 0.00}, {0.00, 0.00, 0.00}, {0.08, 0.04, 0.01}},
     {0.80, 0.88}},
    {"nutrilazo",
     {"plan-review", "chat", "label"},
     {0.10, 0.50, 0.40},
     {{-0.15, -0.05, -0.01}, {0.00, 0.01, 0.00}, {0.10, 0.05, 0.02}},
     {0.78, 0.86}},
};

/** A request with the ratings of each version's answer. */
typedef struct {
    int workspace;
    int kind;
    double answer[VERSIONS]; /**< true rating */
    double judgement[VERSIONS];
    double rating[VERSIONS]; /**< given by the rater; negative: not rated */
    int rating_delay;        /**< in requests */
} request_t;

/** The requests of a run and the true means behind them. */
typedef struct {
    const mix_t *mix;
    double target[WORKSPACES];
    double mean[WORKSPACES][KINDS][VERSIONS];
    double judge_bias[WORKSPACES];
    request_t *requests;
    int *order;                /**< indexes of requests, by workspace */
    int first[WORKSPACES + 1]; /**< start of a workspace in `order` */
} world_t;

static void
request_fill(world_t *world, request_t *request, pps_rng_t *rng)
{
    double difficulty = policy_normal(rng) * sqrt(DIFFICULTY_SHARE);
    int rated = pps_rng_unit(rng) < RATED_SHARE;

    request->kind = policy_pick(rng, world->mix->kind_weights, KINDS);
    request->rating_delay = (int)policy_exponential(rng, RATING_DELAY) + 1;
    for (int v = 0; v < VERSIONS; v++) {
        double independent = policy_normal(rng) * sqrt(1.0 - DIFFICULTY_SHARE);
        double mean = world->mean[request->workspace][request->kind][v];
        double answer =
            policy_clip(mean + ANSWER_SPREAD * (difficulty + independent));

        request->answer[v] = answer;
        request->judgement[v] =
            policy_clip(answer + world->judge_bias[request->workspace] +
                        JUDGE_NOISE * policy_normal(rng));
        request->rating[v] =
            rated ? policy_clip(answer + RATER_NOISE * policy_normal(rng))
                  : -1.0;
    }
}

static double
best_mean(const world_t *world, int w)
{
    double sum = 0.0;

    for (int k = 0; k < KINDS; k++) {
        sum += world->mix->kind_weights[k] * world->mean[w][k][VERSIONS - 1];
    }
    return sum;
}

static void
world_sort(world_t *world)
{
    int position = 0;

    world->order = calloc(REQUESTS, sizeof(int));
    for (int w = 0; w < WORKSPACES; w++) {
        world->first[w] = position;
        for (int i = 0; i < REQUESTS; i++) {
            if (world->requests[i].workspace == w) {
                world->order[position++] = i;
            }
        }
    }
    world->first[WORKSPACES] = position;
}

static void
world_make(world_t *world, const mix_t *mix, uint64_t seed)
{
    double sizes[WORKSPACES];
    double error[VERSIONS];
    pps_rng_t rng;

    pps_rng_init(&rng, seed);
    world->mix = mix;
    world->requests = calloc(REQUESTS, sizeof(*world->requests));
    for (int v = 0; v < VERSIONS; v++) {
        error[v] = DECLARED_ERROR * policy_normal(&rng);
    }
    for (int w = 0; w < WORKSPACES; w++) {
        sizes[w] = 1.0 / (w + 1);
        world->target[w] =
            mix->targets[0] +
            (mix->targets[1] - mix->targets[0]) * pps_rng_unit(&rng);
        for (int i = 0; i < KINDS * VERSIONS; i++) {
            world->mean[w][i / VERSIONS][i % VERSIONS] =
                versions[i % VERSIONS].quality + error[i % VERSIONS] +
                mix->offsets[i / VERSIONS][i % VERSIONS] +
                WORKSPACE_ERROR * policy_normal(&rng);
        }
        world->judge_bias[w] = JUDGE_BIAS * policy_normal(&rng);
        world->target[w] =
            fmin(world->target[w], best_mean(world, w) - TARGET_MARGIN);
    }
    for (int i = 0; i < REQUESTS; i++) {
        world->requests[i].workspace = policy_pick(&rng, sizes, WORKSPACES);
        request_fill(world, &world->requests[i], &rng);
    }
    world_sort(world);
}

static void
world_clear(world_t *world)
{
    free(world->requests);
    free(world->order);
}

#endif
