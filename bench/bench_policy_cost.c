/**
 * @file bench_policy_cost.c
 * @brief Compares policies by the cost at which they meet quality targets.
 *
 * The policies are those of the product, simple baselines, and two oracles.
 *
 * bench_policy_cost [SEEDS [FIRST]]: runs SEEDS (30) seeds starting at FIRST
 * (1) for each mix of requests.
 */
#include "policy_cost_learner.h"

#define SEEDS 30

/** Steps of the bisection with which an oracle finds its price. */
#define ORACLE_STEPS 30

/** A policy; `run` fills an outcome for each workspace. */
typedef struct {
    const char *name;
    void (*run)(outcome_t *out, const world_t *world, const void *user);
    const void *user;
} policy_t;

static void
run_fixed(outcome_t *out, const world_t *world, const void *user)
{
    for (int i = 0; i < REQUESTS; i++) {
        serve(out, &world->requests[i], *(const int *)user);
    }
}

static void
run_split(outcome_t *out, const world_t *world, const void *user)
{
    for (int i = 0; i < REQUESTS; i++) {
        serve(out, &world->requests[i], i % 2 ? VERSIONS - 1 : 0);
    }
}

/** Selects for each workspace the cheapest version that met its target. */
static void
run_hindsight(outcome_t *out, const world_t *world, const void *user)
{
    int is_chosen[WORKSPACES] = {0};

    for (int v = 0; v < VERSIONS; v++) {
        outcome_t fixed[WORKSPACES] = {0};

        run_fixed(fixed, world, &v);
        for (int w = 0; w < WORKSPACES; w++) {
            if (!is_chosen[w]) {
                out[w] = fixed[w];
                is_chosen[w] =
                    fixed[w].quality >= world->target[w] * fixed[w].requests;
            }
        }
    }
}

static double
known_quality(const world_t *world, const request_t *request, int version,
              int knows_ratings)
{
    return knows_ratings
               ? request->answer[version]
               : world->mean[request->workspace][request->kind][version];
}

/** Serves a workspace at one price with the true qualities known. */
static outcome_t
oracle_at(const world_t *world, int workspace, double price, int knows_ratings)
{
    outcome_t out[WORKSPACES] = {0};

    for (int i = world->first[workspace]; i < world->first[workspace + 1];
         i++) {
        const request_t *request = &world->requests[world->order[i]];
        double best_value = -INFINITY;
        int best = 0;

        for (int v = 0; v < VERSIONS; v++) {
            double value =
                price * known_quality(world, request, v, knows_ratings) -
                versions[v].cost;

            if (value > best_value) {
                best_value = value;
                best = v;
            }
        }
        serve(out, request, best);
    }
    return out[workspace];
}

/** Mixes the outcomes at two prices so that the target is met exactly. */
static void
run_oracle(outcome_t *out, const world_t *world, const void *user)
{
    int knows_ratings = *(const int *)user;

    for (int w = 0; w < WORKSPACES; w++) {
        double low = 1e-2;
        double high = 1e5;
        outcome_t below;
        outcome_t above;
        double share;

        for (int i = 0; i < ORACLE_STEPS; i++) {
            double middle = sqrt(low * high);
            outcome_t outcome = oracle_at(world, w, middle, knows_ratings);

            if (outcome.quality >= world->target[w] * outcome.requests) {
                high = middle;
            }
            else {
                low = middle;
            }
        }
        below = oracle_at(world, w, low, knows_ratings);
        above = oracle_at(world, w, high, knows_ratings);
        share = above.quality > below.quality
                    ? (world->target[w] * above.requests - below.quality) /
                          (above.quality - below.quality)
                    : 1.0;
        share = policy_clip(share);
        out[w] = above;
        out[w].cost = share * above.cost + (1 - share) * below.cost;
        out[w].quality = share * above.quality + (1 - share) * below.quality;
    }
}

static const int cheapest_version = 0;
static const int best_version = VERSIONS - 1;
static const int true_means = 0;
static const int true_ratings = 1;
static const learner_t target_per_answer = {0, 0, 1.0, 0.0};
static const learner_t price = {1, 0, 1.0, 0.0};
/** Settings of the router, where no judge rates answers inline. */
static const learner_t price_corrected = {1, 0, PPS_PRICE_MARGIN_DEVIATIONS,
                                          PPS_PRICE_HORIZON};
static const learner_t price_and_cascade = {1, 1, 1.0, 0.0};
static const learner_t price_and_cascade_corrected = {
    1, 1, PPS_PRICE_MARGIN_DEVIATIONS, PPS_PRICE_HORIZON};

static const policy_t policies[] = {
    {"always best", run_fixed, &best_version},
    {"always cheapest", run_fixed, &cheapest_version},
    {"fixed split", run_split, NULL},
    {"best single in hindsight", run_hindsight, NULL},
    {"target by each answer", run_learner, &target_per_answer},
    {"price of quality", run_learner, &price},
    {"price, by delivery", run_learner, &price_corrected},
    {"price and cascade", run_learner, &price_and_cascade},
    {"corrected by delivery", run_learner, &price_and_cascade_corrected},
    {"oracle of means", run_oracle, &true_means},
    {"oracle of ratings", run_oracle, &true_ratings},
};

#define POLICIES (sizeof(policies) / sizeof(policies[0]))

/** Results of one policy, summed over the seeds. */
typedef struct {
    double cost;
    int seeds_met;            /**< seeds at which no target was missed */
    int misses;               /**< targets missed, over all workspaces */
    double largest_shortfall; /**< in rating, below a target */
} total_t;

static void
add_outcome(total_t *total, const world_t *world, const policy_t *policy)
{
    outcome_t out[WORKSPACES] = {0};
    int misses = 0;

    policy->run(out, world, policy->user);
    for (int w = 0; w < WORKSPACES; w++) {
        double shortfall = world->target[w] - out[w].quality / out[w].requests;

        total->cost += out[w].cost / REQUESTS;
        misses += shortfall > 1e-9;
        total->largest_shortfall = fmax(total->largest_shortfall, shortfall);
    }
    total->misses += misses;
    total->seeds_met += misses == 0;
}

static void
measure(const mix_t *mix, int first_seed, int seeds)
{
    total_t totals[POLICIES] = {0};

    for (int seed = first_seed; seed < first_seed + seeds; seed++) {
        world_t world;

        world_make(&world, mix, (uint64_t)seed);
        for (size_t p = 0; p < POLICIES; p++) {
            add_outcome(&totals[p], &world, &policies[p]);
        }
        world_clear(&world);
    }
    for (size_t p = 0; p < POLICIES; p++) {
        printf("%-11s %-25s %8.3f %9.3f %9.3f %6d/%-3d %7d %9.4f\n", mix->name,
               policies[p].name, totals[p].cost / seeds,
               totals[p].cost / totals[POLICIES - 2].cost,
               totals[p].cost / totals[POLICIES - 1].cost, totals[p].seeds_met,
               seeds, totals[p].misses, totals[p].largest_shortfall);
    }
}

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : SEEDS;

    int first_seed = argc > 2 ? atoi(argv[2]) : 1;

    printf("cost at the quality target: seeds %d-%d, %d requests, %d "
           "workspaces\n",
           first_seed, first_seed + seeds - 1, REQUESTS, WORKSPACES);
    printf("%-11s %-25s %8s %9s %9s %10s %7s %9s\n", "mix", "policy", "cost",
           "/means", "/ratings", "seeds met", "missed", "shortfall");
    for (size_t i = 0; i < sizeof(mixes) / sizeof(mixes[0]); i++) {
        measure(&mixes[i], first_seed, seeds);
    }
    return 0;
}
