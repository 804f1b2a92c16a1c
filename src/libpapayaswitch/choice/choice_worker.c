/** @file choice_worker.c @brief Two choices on locally corrected load. */
#include "papayaswitch/choice.h"
#include "papayaswitch/errors.h"

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
           pps_worker_loaded(worker, input->model_version, input->now_us) !=
               PPS_LOADED_NO;
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

    if (limit <= 0) {
        return;
    }
    for (size_t i = 0; i < pool->count; i++) {
        if (pps_worker_first_token_us(pool->items[i]) <= limit) {
            pool->items[kept++] = pool->items[i];
        }
    }
    pool->count = kept;
}

/** Load in relation to the slots, so that unlike workers compare. */
static double
relative_load(const pps_worker_t *worker)
{
    unsigned int slots = pps_worker_slots(worker);

    return pps_worker_load(worker) / (slots > 0 ? slots : 1);
}

static const pps_worker_t *
less_loaded(const pps_choice_worker_input_t *input, const pps_worker_t *a,
            const pps_worker_t *b)
{
    double load_a = relative_load(a);
    double load_b = relative_load(b);

    if (strcmp(a->failure_domain, input->failure_domain) != 0) {
        load_a += input->domain_excess;
    }
    if (strcmp(b->failure_domain, input->failure_domain) != 0) {
        load_b += input->domain_excess;
    }
    return load_a <= load_b ? a : b;
}

static const pps_worker_t *
two_choices(const pps_choice_worker_input_t *input, const pool_t *pool)
{
    size_t first = pps_rng_below(input->rng, pool->count);
    size_t second;

    if (pool->count == 1) {
        return pool->items[0];
    }
    second = pps_rng_below(input->rng, pool->count - 1);
    second += second >= first;
    return less_loaded(input, pool->items[first], pool->items[second]);
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
pick(const pps_choice_worker_input_t *input, const pool_t *pool)
{
    const pps_worker_t *light = two_choices(input, pool);
    const pps_worker_t *warm;

    if (input->affinity == 0) {
        return light;
    }
    warm = affine(pool, input->affinity);
    if (relative_load(warm) <= relative_load(light) + input->affinity_excess) {
        return warm;
    }
    return light;
}

int
pps_choice_worker(pps_choice_worker_t *out,
                  const pps_choice_worker_input_t *input)
{
    misses_t misses = {.opens_at_us = INT64_MAX};
    pool_t pool = {.count = 0};

    memset(out, 0, sizeof(*out));
    gather(&pool, &misses, input);
    if (pool.count > 0) {
        put_slow_aside(&pool, input->slow_factor);
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
