/**
 * @file bench_policy_latency.c
 * @brief Measures wait and time to first token under load and stale reports.
 *
 * bench_policy_latency [SEEDS]: runs seeds 1 to SEEDS (2).
 */
#include "policy_pool.h"

#define SEEDS 2

/** Decay time of reports in the policy "reports trusted". */
#define SLOW_DECAY_US 1000000

static int
was_tried(const request_t *request, int w)
{
    for (int i = 0; i < request->tried_count; i++) {
        if (request->tried[i] == w) {
            return 1;
        }
    }
    return 0;
}

static int
choose_random(pool_model_t *model, const request_t *request)
{
    int w;

    do {
        w = (int)pps_rng_below(&model->choices,
                               (uint64_t)model->scenario.workers);
    } while (was_tried(request, w));
    return w;
}

static int
choose_round_robin(pool_model_t *model, const request_t *request)
{
    return model->next_in_turn[request->host]++ % model->scenario.workers;
}

static int
choose_least_reported(pool_model_t *model, const request_t *request)
{
    int64_t measured =
        model->tick - 1 - model->scenario.report_age_us / REPORT_INTERVAL_US;
    int best = -1;

    if (measured < 0) {
        return choose_random(model, request);
    }
    for (int w = 0; w < model->scenario.workers; w++) {
        int load = model->workers[w].reports[measured % REPORT_HISTORY];

        if (!was_tried(request, w) &&
            (best < 0 ||
             load < model->workers[best].reports[measured % REPORT_HISTORY])) {
            best = w;
        }
    }
    return best;
}

static int
choose(pool_model_t *model, const request_t *request,
       pps_choice_worker_input_t input)
{
    const pps_worker_view_t *view = model->views[request->host];
    const char *tried[TRIED_MAX];
    pps_choice_worker_t out;

    for (int i = 0; i < request->tried_count; i++) {
        tried[i] = pps_worker_view_at(view, (size_t)request->tried[i])->id;
    }
    input.workers = view;
    input.upstream = "drafting";
    input.failure_domain = domains[request->host % DOMAINS];
    input.tried = (pps_name_set_t){tried, (size_t)request->tried_count};
    input.now_us = model->now_us;
    input.rng = &model->choices;
    if (pps_choice_select_worker(&out, &input) < 0) {
        return -1;
    }
    return (int)(out.worker - pps_worker_view_at(view, 0));
}

static int
choose_two(pool_model_t *model, const request_t *request)
{
    pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;

    input.choices = 2;
    return choose(model, request, input);
}

static int
choose_eight(pool_model_t *model, const request_t *request)
{
    pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;

    return choose(model, request, input);
}

static int
choose_slow_decay(pool_model_t *model, const request_t *request)
{
    pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;

    input.report_decay_us = SLOW_DECAY_US;
    return choose(model, request, input);
}

static int
choose_affine(pool_model_t *model, const request_t *request)
{
    pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;

    input.affinity = (uint64_t)request->prefix;
    return choose(model, request, input);
}

static int
choose_without_slow_check(pool_model_t *model, const request_t *request)
{
    pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;

    input.slow_factor = 1e9;
    return choose(model, request, input);
}

static const policy_t central = {"central queue", NULL};

static const policy_t policies[] = {
    {"central queue", NULL},
    {"random", choose_random},
    {"round robin", choose_round_robin},
    {"least reported", choose_least_reported},
    {"two choices", choose_two},
    {"reports trusted", choose_slow_decay},
    {"eight choices", choose_eight},
    {"eight and affinity", choose_affine},
};

static const policy_t slow_policies[] = {
    {"central queue", NULL},
    {"slow used as any", choose_without_slow_check},
    {"slow put aside", choose_eight},
};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

/** Results of a policy in milliseconds, as means over the seeds. */
typedef struct {
    double wait_p50;
    double wait_p99;
    double first_token_p50;
    double first_token_p99;
    double cache_hit_share;
} figures_t;

static double
quantile(double *values, int count, double share)
{
    qsort(values, (size_t)count, sizeof(values[0]), compare);
    return values[(int)(share * (count - 1))] / 1000.0;
}

static figures_t
measure(const policy_t *policy, scenario_t scenario, int seeds)
{
    static pool_model_t model;
    figures_t out = {0};

    for (int seed = 1; seed <= seeds; seed++) {
        scenario.seed = (uint64_t)seed;
        model_run(&model, &scenario, policy);
        out.wait_p50 +=
            quantile(model.waits, model.measured_count, 0.5) / seeds;
        out.wait_p99 +=
            quantile(model.waits, model.measured_count, 0.99) / seeds;
        out.first_token_p50 +=
            quantile(model.first_tokens, model.measured_count, 0.5) / seeds;
        out.first_token_p99 +=
            quantile(model.first_tokens, model.measured_count, 0.99) / seeds;
        out.cache_hit_share +=
            (double)model.cache_hits / model.measured_count / seeds;
    }
    return out;
}

static void
print_table(const policy_t *list, size_t count, scenario_t scenario, int seeds)
{
    figures_t best = measure(&central, scenario, seeds);

    for (size_t p = 0; p < count; p++) {
        figures_t figures = measure(&list[p], scenario, seeds);

        printf("%3d %5d %5.2f %5.1f %4.0f %-18s %7.0f %7.0f %7.0f %7.0f %6.2f "
               "%6.2f\n",
               scenario.workers, scenario.queue, scenario.load,
               (double)scenario.report_age_us / 1e6, scenario.slow_factor,
               list[p].name, figures.wait_p50, figures.wait_p99,
               figures.first_token_p50, figures.first_token_p99,
               figures.first_token_p99 / best.first_token_p99,
               figures.cache_hit_share);
    }
}

static void
run_scenarios(int workers, int queue, int seeds)
{
    static const double loads[] = {0.5, 0.8, 0.9, 0.95};
    static const int64_t ages[] = {100000, 5000000};

    for (size_t i = 0; i < COUNT(loads); i++) {
        print_table(policies, COUNT(policies),
                    (scenario_t){workers, loads[i], 1000000, 1.0, queue, 0},
                    seeds);
    }
    for (size_t i = 0; i < COUNT(ages); i++) {
        print_table(policies, COUNT(policies),
                    (scenario_t){workers, 0.9, ages[i], 1.0, queue, 0}, seeds);
    }
    print_table(slow_policies, COUNT(slow_policies),
                (scenario_t){workers, 0.7, 1000000, 4.0, queue, 0}, seeds);
}

int
main(int argc, char **argv)
{
    static const int pools[] = {20, 12};
    int seeds = argc > 1 ? atoi(argv[1]) : SEEDS;

    printf("latency: seeds 1-%d, %d hosts, %d slots a worker, times in ms\n",
           seeds, HOSTS, SLOTS);
    printf("%3s %5s %5s %5s %4s %-18s %7s %7s %7s %7s %6s %6s\n", "n", "queue",
           "load", "age/s", "slow", "policy", "wait50", "wait99", "ttft50",
           "ttft99", "ratio", "warm");
    for (size_t p = 0; p < COUNT(pools); p++) {
        for (int queue = 0; queue <= QUEUE_MAX; queue += QUEUE_MAX) {
            run_scenarios(pools[p], queue, seeds);
        }
    }
    return 0;
}
