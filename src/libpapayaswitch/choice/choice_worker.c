/** @file choice_worker.c @brief Few choices on locally corrected load. */
#include "papayaswitch/choice.h"
#include "papayaswitch/errors.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Workers that a choice looks at. */
#define WORKERS_MAX 512

/** Samples of time to first token needed before one is called slow. */
#define SLOW_SAMPLES_MIN 3

/** Workers that may serve. */
typedef struct {
    const pps_worker_t *items[WORKERS_MAX];
    size_t count;
    double others_mean;
} pool_t;

/** What became of the workers that may not. */
typedef struct {
    size_t seen;
    size_t tried;
    int64_t opens_at_us;
} misses_t;

static int
may_serve(const pps_choice_worker_input_t *input, const pps_worker_t *worker,
          misses_t *misses)
{
    int64_t opens_at_us;

    if (strcmp(worker->upstream, input->upstream) != 0) {
        return 0;
    }
    misses->seen++;
    if (pps_name_set_has(&input->tried, worker->id)) {
        misses->tried++;
        return 0;
    }
    opens_at_us = pps_worker_opens_at_us(worker);
    if (opens_at_us > input->now_us) {
        misses->opens_at_us = opens_at_us < misses->opens_at_us
                                  ? opens_at_us
                                  : misses->opens_at_us;
        return 0;
    }
    return input->model_version == NULL ||
           pps_worker_version_loaded(worker, input->model_version,
                                     input->now_us) != PPS_LOADED_NO;
}

static void
gather(pool_t *pool, misses_t *misses, const pps_choice_worker_input_t *input)
{
    size_t count = pps_worker_view_count(input->workers);

    for (size_t i = 0; i < count && pool->count < WORKERS_MAX; i++) {
        const pps_worker_t *worker = pps_worker_view_at(input->workers, i);

        if (may_serve(input, worker, misses)) {
            pool->items[pool->count++] = worker;
        }
    }
}

static int
compare(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static double
median_first_token(const pool_t *pool)
{
    double samples[WORKERS_MAX];
    size_t count = 0;

    for (size_t i = 0; i < pool->count; i++) {
        double sample = pps_worker_first_token_us(pool->items[i]);

        if (sample > 0) {
            samples[count++] = sample;
        }
    }
    if (count < SLOW_SAMPLES_MIN) {
        return 0.0;
    }
    qsort(samples, count, sizeof(samples[0]), compare);
    return samples[count / 2];
}

static void
put_slow_aside(pool_t *pool, double factor)
{
    double limit = median_first_token(pool) * factor;
    size_t kept = 0;

    if (!(limit > 0)) {
        return;
    }
    for (size_t i = 0; i < pool->count; i++) {
        if (pps_worker_first_token_us(pool->items[i]) <= limit) {
            pool->items[kept++] = pool->items[i];
        }
    }
    pool->count = kept;
}

static double
slots(const pps_worker_t *worker)
{
    unsigned int known = pps_worker_slots(worker);

    return known > 0 ? known : 1.0;
}

/** Load that other hosts put on the pool, for one slot. */
static double
others_mean(const pool_t *pool)
{
    double others = 0.0;
    double total = 0.0;

    for (size_t i = 0; i < pool->count; i++) {
        others += pps_worker_peer_load(pool->items[i]);
        total += slots(pool->items[i]);
    }
    return total > 0 ? others / total : 0.0;
}

/**
 * Load in relation to the slots, so that unlike workers compare. What this
 * host sent is known; what others sent is known as of the last report, and
 * is drawn towards the pool's mean as the report grows old.
 */
static double
relative_load(const pps_choice_worker_input_t *input, const pool_t *pool,
              const pps_worker_t *worker)
{
    int64_t reported_at_us = pps_worker_reported_at_us(worker);
    double others = pps_worker_peer_load(worker) / slots(worker);
    double trust = 0.0;

    if (reported_at_us != INT64_MIN && input->report_decay_us > 0) {
        trust = exp(-(double)(input->now_us - reported_at_us) /
                    (double)input->report_decay_us);
    }
    return (double)pps_worker_in_flight(worker) / slots(worker) +
           pool->others_mean + trust * (others - pool->others_mean);
}

static double
handicapped_load(const pps_choice_worker_input_t *input, const pool_t *pool,
                 const pps_worker_t *worker)
{
    double load = relative_load(input, pool, worker);

    if (strcmp(worker->failure_domain, input->failure_domain) != 0) {
        load += input->domain_penalty;
    }
    return load;
}

/** The least loaded of a few random ones, drawn without repetition. */
static const pps_worker_t *
least_of_few(const pps_choice_worker_input_t *input, pool_t *pool)
{
    const pps_worker_t *best = NULL;
    double best_load = 0.0;

    for (size_t i = 0; i < input->choices && i < pool->count; i++) {
        size_t other = i + pps_rng_below(input->rng, pool->count - i);
        const pps_worker_t *drawn = pool->items[other];
        double load = handicapped_load(input, pool, drawn);

        pool->items[other] = pool->items[i];
        pool->items[i] = drawn;
        if (best == NULL || load < best_load) {
            best = drawn;
            best_load = load;
        }
    }
    return best;
}

/** The rendezvous winner: hosts agree on it without a word. */
static const pps_worker_t *
affine(const pool_t *pool, uint64_t affinity)
{
    const pps_worker_t *best = NULL;
    uint64_t best_rank = 0;

    for (size_t i = 0; i < pool->count; i++) {
        const char *id = pool->items[i]->id;
        uint64_t rank = XXH64(id, strlen(id), affinity);

        if (best == NULL || rank > best_rank) {
            best = pool->items[i];
            best_rank = rank;
        }
    }
    return best;
}

static const pps_worker_t *
pick(const pps_choice_worker_input_t *input, pool_t *pool)
{
    const pps_worker_t *light = least_of_few(input, pool);
    const pps_worker_t *warm;

    if (input->affinity == 0) {
        return light;
    }
    warm = affine(pool, input->affinity);
    if (relative_load(input, pool, warm) <=
        relative_load(input, pool, light) + input->affinity_tolerance) {
        return warm;
    }
    return light;
}

int
pps_choice_select_worker(pps_choice_worker_t *out,
                         const pps_choice_worker_input_t *input)
{
    misses_t misses = {.opens_at_us = INT64_MAX};
    pool_t pool = {.count = 0};

    memset(out, 0, sizeof(*out));
    gather(&pool, &misses, input);
    if (pool.count > 0) {
        put_slow_aside(&pool, input->slow_factor);
        pool.others_mean = others_mean(&pool);
        out->worker = pick(input, &pool);
        return PPS_OK;
    }
    if (misses.seen == 0) {
        return pps_error_set(PPS_ENOTFOUND, "upstream %s has no worker",
                             input->upstream);
    }
    if (misses.tried == misses.seen) {
        return pps_error_set(PPS_ECLOSED, "upstream %s: all workers tried",
                             input->upstream);
    }
    if (misses.opens_at_us != INT64_MAX) {
        out->retry_after_us = misses.opens_at_us - input->now_us;
    }
    return pps_error_set(PPS_EUNAVAILABLE, "upstream %s: no worker is open",
                         input->upstream);
}
