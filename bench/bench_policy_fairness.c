/**
 * @file bench_policy_fairness.c
 * @brief Measures fair shares, goodput and recovery under overload.
 *
 * bench_policy_fairness [SEED]: runs one seed (1).
 */
#include "policy_overload.h"

static int
unlimited_enter(overload_t *model, const request_t *request,
                int64_t *retry_after_us)
{
    return 0;
}

static void
unlimited_leave(overload_t *model, const request_t *request)
{
}

/** Admits requests up to a fixed number of slots per workspace and host. */
static int
quota_enter(overload_t *model, const request_t *request,
            int64_t *retry_after_us)
{
    int *used = &model->used[request->host][request->workspace];

    if (*used >= SLOTS / HOSTS / WORKSPACES) {
        return -1;
    }
    (*used)++;
    return 0;
}

static void
quota_leave(overload_t *model, const request_t *request)
{
    model->used[request->host][request->workspace]--;
}

static const char *const workspace_names[WORKSPACES] = {
    "w0", "w1", "w2", "w3", "w4", "w5", "w6", "w7", "w8", "w9"};

static int
fair_enter(overload_t *model, const request_t *request,
           int64_t *retry_after_us)
{
    const kind_t *kind = &kinds[request->kind];
    pps_admission_request_t admission = {workspace_names[request->workspace],
                                         1.0,
                                         (pps_priority_t)request->kind,
                                         (int64_t)kind->service_us,
                                         request->arrived_us +
                                             kind->deadline_us,
                                         model->now_us,
                                         &model->rng};

    return pps_admission_enter(model->admissions[request->host],
                               retry_after_us, &admission);
}

static void
fair_leave(overload_t *model, const request_t *request)
{
    pps_admission_leave(model->admissions[request->host],
                        workspace_names[request->workspace]);
}

static const policy_t policies[] = {
    {"no limit", unlimited_enter, unlimited_leave},
    {"fixed quota", quota_enter, quota_leave},
    {"fair shares", fair_enter, fair_leave},
};

static const scenario_t scenarios[] = {
    {"unloaded", 0.45, 0.05, 0, 0, 1.0},
    {"full", 0.90, 0.10, 0, 0, 1.0},
    {"one asks for all, total 2", 0.60, 1.40, 0, 0, 1.0},
    {"one asks for all, total 5", 0.60, 4.40, 0, 0, 1.0},
    {"half of the pool lost", 0.72, 0.08, 15000000, 45000000, 0.5},
    {"outage of 5 s", 0.72, 0.08, 20000000, 25000000, 0.0},
    {"outage of 15 s, load 0.9", 0.85, 0.05, 15000000, 30000000, 0.0},
};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

/** Returns Jain's index over throughput divided by max-min fair share. */
static double
jain(const overload_t *model)
{
    double measured_us = TAIL_START_US - MEASURE_START_US;
    double weights[WORKSPACES];
    double demands[WORKSPACES];
    double shares[WORKSPACES];
    double sum = 0.0;
    double squares = 0.0;

    for (int w = 0; w < WORKSPACES; w++) {
        weights[w] = 1.0;
        demands[w] = model->tallies[w].offered_us / measured_us;
    }
    pps_fair_shares(shares, demands, weights, WORKSPACES, SLOTS);
    for (int w = 0; w < WORKSPACES; w++) {
        double ratio =
            model->tallies[w].completed_us / measured_us / shares[w];

        sum += ratio;
        squares += ratio * ratio;
    }
    return squares > 0 ? sum * sum / (WORKSPACES * squares) : 0.0;
}

static void
print_row(const scenario_t *scenario, const policy_t *policy,
          overload_t *model)
{
    double completed_us = 0.0;
    int offered = 0;
    int completed = 0;
    double p99 = 0.0;

    for (int w = 0; w < WORKSPACES; w++) {
        completed_us += model->tallies[w].completed_us;
        if (w != 0) {
            offered += model->tallies[w].offered;
            completed += model->tallies[w].completed;
        }
    }
    qsort(model->lookup_latencies_us, (size_t)model->lookup_count,
          sizeof(double), compare);
    if (model->lookup_count > 0) {
        p99 =
            model
                ->lookup_latencies_us[(int)(0.99 * (model->lookup_count - 1))];
    }
    printf("%-26s %-12s %9.0f %9.3f %7.3f %8.3f %8.3f\n", scenario->name,
           policy->name, p99 / 1000.0, (double)completed / offered,
           jain(model),
           completed_us / (TAIL_START_US - MEASURE_START_US) / SLOTS,
           model->tail_completed_us / (RUN_US - TAIL_START_US) / SLOTS);
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? (uint64_t)atoi(argv[1]) : 1;
    static overload_t model;

    printf("fairness and overload: seed %d, %d slots, %d hosts, %d "
           "workspaces; times in ms\n",
           (int)seed, SLOTS, HOSTS, WORKSPACES);
    printf("%-26s %-12s %9s %9s %7s %8s %8s\n", "scenario", "policy",
           "lookup99", "in time", "jain", "goodput", "at end");
    for (size_t s = 0; s < COUNT(scenarios); s++) {
        for (size_t p = 0; p < COUNT(policies); p++) {
            overload_run(&model, &scenarios[s], &policies[p], seed);
            print_row(&scenarios[s], &policies[p], &model);
        }
    }
    return 0;
}
