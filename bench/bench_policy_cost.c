/**
 * @file bench_policy_cost.c
 * @brief Cost at the quality target against baselines and two oracles.
 *
 * bench_policy_cost [SEEDS [FIRST]]: SEEDS (30) seeds from FIRST (1) on, both
 * users' mixes.
 */
#include "policy_cost_learner.h"

#define SEEDS 30

/** Halvings in the oracles' search for their price. */
#define ORACLE_STEPS 30

/** A policy: fills an outcome for each workspace. */
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

/** For each workspace the cheapest version that met its target. */
static void
run_hindsight(outcome_t *out, const world_t *world, const void *user)
{
    int done[WORKSPACES] = {0};

    for (int v = 0; v < VERSIONS; v++) {
        outcome_t alone[WORKSPACES] = {0};

        run_fixed(alone, world, &v);
        for (int w = 0; w < WORKSPACES; w++) {
            if (!done[w]) {
                out[w] = alone[w];
                done[w] =
                    alone[w].quality >= world->target[w] * alone[w].requests;
            }
        }
    }
}

static double
known_quality(const world_t *world, const request_t *request, int version,
              int ratings)
{
    return ratings ? request->answer[version]
                   : world->mean[request->workspace][request->kind][version];
}

/** Serves a workspace at one price with full knowledge. */
static outcome_t
oracle_at(const world_t *world, int workspace, double price, int ratings)
{
    outcome_t out[WORKSPACES] = {0};

    for (int i = world->first[workspace]; i < world->first[workspace + 1];
         i++) {
        const request_t *request = &world->requests[world->order[i]];
        double best_worth = -INFINITY;
        int best = 0;

        for (int v = 0; v < VERSIONS; v++) {
            double worth = price * known_quality(world, request, v, ratings) -
                           versions[v].cost;

            if (worth > best_worth) {
                best_worth = worth;
                best = v;
            }
        }
        serve(out, request, best);
    }
    return out[workspace];
}

/** The mix of two prices that meets the target exactly. */
static void
run_oracle(outcome_t *out, const world_t *world, const void *user)
{
    int ratings = *(const int *)user;

    for (int w = 0; w < WORKSPACES; w++) {
        double low = 1e-2;
        double high = 1e5;
        outcome_t below;
        outcome_t above;
        double share;

        for (int i = 0; i < ORACLE_STEPS; i++) {
            double middle = sqrt(low * high);
            outcome_t outcome = oracle_at(world, w, middle, ratings);

            if (outcome.quality >= world->target[w] * outcome.requests) {
                high = middle;
            }
            else {
                low = middle;
            }
        }
        below = oracle_at(world, w, low, ratings);
        above = oracle_at(world, w, high, ratings);
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

static const int first = 0;
static const int last = VERSIONS - 1;
static const int by_means = 0;
static const int by_ratings = 1;
static const learner_t each_answer = {0, 0, 1.0, 0.0};
static const learner_t priced = {1, 0, 1.0, 0.0};
/** What the router does: nobody judges an answer inline. */
static const learner_t unjudged = {1, 0, PPS_PRICE_MARGIN_DEVIATIONS,
                                   PPS_PRICE_HORIZON};
static const learner_t cascade_1 = {1, 1, 1.0, 0.0};
static const learner_t corrected = {1, 1, PPS_PRICE_MARGIN_DEVIATIONS,
                                    PPS_PRICE_HORIZON};

static const policy_t policies[] = {
    {"always best", run_fixed, &last},
    {"always cheapest", run_fixed, &first},
    {"fixed split", run_split, NULL},
    {"best single in hindsight", run_hindsight, NULL},
    {"target by each answer", run_learner, &each_answer},
    {"price of quality", run_learner, &priced},
    {"price, by delivery", run_learner, &unjudged},
    {"price and cascade", run_learner, &cascade_1},
    {"corrected by delivery", run_learner, &corrected},
    {"oracle of means", run_oracle, &by_means},
    {"oracle of ratings", run_oracle, &by_ratings},
};

#define POLICIES (sizeof(policies) / sizeof(policies[0]))

/** Sums over the seeds of one policy. */
typedef struct {
    double cost;
    int seeds_met;
    int misses;
    double worst; /**< largest shortfall from a target */
} total_t;

static void
account(total_t *total, const world_t *world, const policy_t *policy)
{
    outcome_t out[WORKSPACES] = {0};
    int misses = 0;

    policy->run(out, world, policy->user);
    for (int w = 0; w < WORKSPACES; w++) {
        double shortfall = world->target[w] - out[w].quality / out[w].requests;

        total->cost += out[w].cost / REQUESTS;
        misses += shortfall > 1e-9;
        total->worst = fmax(total->worst, shortfall);
    }
    total->misses += misses;
    total->seeds_met += misses == 0;
}

static void
measure(const mix_t *mix, int from, int seeds)
{
    total_t totals[POLICIES] = {0};

    for (int seed = from; seed < from + seeds; seed++) {
        world_t world;

        world_make(&world, mix, (uint64_t)seed);
        for (size_t p = 0; p < POLICIES; p++) {
            account(&totals[p], &world, &policies[p]);
        }
        world_clear(&world);
    }
    for (size_t p = 0; p < POLICIES; p++) {
        printf("%-11s %-25s %8.3f %9.3f %9.3f %6d/%-3d %7d %9.4f\n", mix->name,
               policies[p].name, totals[p].cost / seeds,
               totals[p].cost / totals[POLICIES - 2].cost,
               totals[p].cost / totals[POLICIES - 1].cost, totals[p].seeds_met,
               seeds, totals[p].misses, totals[p].worst);
    }
}

int
main(int argc, char **argv)
{
    int seeds = argc > 1 ? atoi(argv[1]) : SEEDS;

    int from = argc > 2 ? atoi(argv[2]) : 1;

    printf("cost at the quality target: seeds %d-%d, %d requests, %d "
           "workspaces\n",
           from, from + seeds - 1, REQUESTS, WORKSPACES);
    printf("%-11s %-25s %8s %9s %9s %10s %7s %9s\n", "mix", "policy", "cost",
           "/means", "/ratings", "seeds met", "missed", "shortfall");
    for (size_t i = 0; i < sizeof(mixes) / sizeof(mixes[0]); i++) {
        measure(&mixes[i], from, seeds);
    }
    return 0;
}
