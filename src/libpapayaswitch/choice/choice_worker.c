/** @file choice_worker.c @brief Selects the least loaded of random workers. */
#include "papayaswitch/choice.h"
#include "papayaswitch/errors.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/** Maximum number of eligible workers; further ones are ignored. */
#define WORKERS_MAX 512

/** Minimum number of workers with a time to first token for the median. */
#define SLOW_SAMPLES_MIN 3

/** Workers eligible for the request. */
typedef struct {
    const pps_worker_t *items[WORKERS_MAX];
    size_t count;
    double mean_peer_load; /**< load from other hosts per slot */
} pool_t;

/** Counts of the workers of the upstream, and of those excluded. */
typedef struct {
    size_t in_upstream;
    size_t tried;
    int64_t opens_at_us; /**< earliest end of a back-off */
} exclusions_t;

static int
may_serve(const pps_choice_worker_input_t *input, const pps_worker_t *worker,
          exclusions_t *exclusions)
{
    int64_t opens_at_us;

    if (strcmp(worker->upstream, input->upstream) != 0) {
        return 0;
    }
    exclusions->in_upstream++;
    if (pps_name_set_has(&input->tried, worker->id)) {
        exclusions->tried++;
        return 0;
    }
    opens_at_us = pps_worker_opens_at_us(worker);
    if (opens_at_us > input->now_us) {
        exclusions->opens_at_us = opens_at_us < exclusions->opens_at_us
                                      ? opens_at_us
                                      : exclusions->opens_at_us;
        return 0;
    }
    return input->model_version == NULL ||
           pps_worker_version_loaded(worker, input->model_version,
                                     input->now_us) != PPS_LOADED_NO;
}

static void
collect(pool_t *pool, exclusions_t *exclusions,
        const pps_choice_worker_input_t *input)
{
    size_t count = pps_worker_view_count(input->workers);

    for (size_t i = 0; i < count && pool->count < WORKERS_MAX; i++) {
        const pps_worker_t *worker = pps_worker_view_at(input->workers, i);

        if (may_serve(input, worker, exclusions)) {
            pool->items[pool->count++] = worker;
        }
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;

    return (x > y) - (x < y);
}

static double
median_first_token_us(const pool_t *pool)
{
    double samples_us[WORKERS_MAX];
    size_t count = 0;

    for (size_t i = 0; i < pool->count; i++) {
        double sample_us = pps_worker_first_token_us(pool->items[i]);

        if (sample_us > 0) {
            samples_us[count++] = sample_us;
        }
    }
    if (count < SLOW_SAMPLES_MIN) {
        return 0.0;
    }
    qsort(samples_us, count, sizeof(samples_us[0]), compare_doubles);
    return samples_us[count / 2];
}

static void
exclude_slow(pool_t *pool, double factor)
{
    double limit_us = median_first_token_us(pool) * factor;
    size_t kept = 0;

    if (!(limit_us > 0)) {
        return;
    }
    for (size_t i = 0; i < pool->count; i++) {
        if (pps_worker_first_token_us(pool->items[i]) <= limit_us) {
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

/** Computes the load from other hosts per slot of the pool. */
static double
mean_peer_load(const pool_t *pool)
{
    double peer_load = 0.0;
    double total = 0.0;

    for (size_t i = 0; i < pool->count; i++) {
        peer_load += pps_worker_peer_load(pool->items[i]);
        total += slots(pool->items[i]);
    }
    return total > 0 ? peer_load / total : 0.0;
}

/**
 * Computes the load per slot, which is comparable between workers of
 * different size. The load from this host is exact. The load from other hosts
 * is that of the last report and converges to the pool's mean with the age of
 * the report.
 */
static double
relative_load(const pps_choice_worker_input_t *input, const pool_t *pool,
              const pps_worker_t *worker)
{
    int64_t reported_at_us = pps_worker_reported_at_us(worker);
    double peer_load = pps_worker_peer_load(worker) / slots(worker);
    double freshness = 0.0;

    if (reported_at_us != INT64_MIN && input->report_decay_us > 0) {
        freshness = exp(-(double)(input->now_us - reported_at_us) /
                        (double)input->report_decay_us);
    }
    return (double)pps_worker_in_flight(worker) / slots(worker) +
           pool->mean_peer_load +
           freshness * (peer_load - pool->mean_peer_load);
}

static double
load_with_penalty(const pps_choice_worker_input_t *input, const pool_t *pool,
                  const pps_worker_t *worker)
{
    double load = relative_load(input, pool, worker);

    if (strcmp(worker->failure_domain, input->failure_domain) != 0) {
        load += input->domain_penalty;
    }
    return load;
}

/** Selects the least loaded of `choices` workers drawn without replacement. */
static const pps_worker_t *
select_least_loaded(const pps_choice_worker_input_t *input, pool_t *pool)
{
    const pps_worker_t *best = NULL;
    double best_load = 0.0;

    for (size_t i = 0; i < input->choices && i < pool->count; i++) {
        size_t other = i + pps_rng_below(input->rng, pool->count - i);
        const pps_worker_t *candidate = pool->items[other];
        double load = load_with_penalty(input, pool, candidate);

        pool->items[other] = pool->items[i];
        pool->items[i] = candidate;
        if (best == NULL || load < best_load) {
            best = candidate;
            best_load = load;
        }
    }
    return best;
}

/** Selects by rendezvous hashing, so hosts agree without communication. */
static const pps_worker_t *
select_affine(const pool_t *pool, uint64_t affinity)
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
select_worker(const pps_choice_worker_input_t *input, pool_t *pool)
{
    const pps_worker_t *least_loaded = select_least_loaded(input, pool);
    const pps_worker_t *affine;

    if (input->affinity == 0) {
        return least_loaded;
    }
    affine = select_affine(pool, input->affinity);
    if (relative_load(input, pool, affine) <=
        relative_load(input, pool, least_loaded) + input->affinity_tolerance) {
        return affine;
    }
    return least_loaded;
}

int
pps_choice_select_worker(pps_choice_worker_t *out,
                         const pps_choice_worker_input_t *input)
{
    exclusions_t exclusions = {.opens_at_us = INT64_MAX};
    pool_t pool = {.count = 0};

    memset(out, 0, sizeof(*out));
    collect(&pool, &exclusions, input);
    if (pool.count > 0) {
        exclude_slow(&pool, input->slow_factor);
        pool.mean_peer_load = mean_peer_load(&pool);
        out->worker = select_worker(input, &pool);
        return PPS_OK;
    }
    if (exclusions.in_upstream == 0) {
        return pps_error_set(PPS_ENOTFOUND, "upstream %s has no worker",
                             input->upstream);
    }
    if (exclusions.tried == exclusions.in_upstream) {
        return pps_error_set(PPS_ECLOSED,
                             "upstream %s: all workers were tried",
                             input->upstream);
    }
    if (exclusions.opens_at_us != INT64_MAX) {
        out->retry_after_us = exclusions.opens_at_us - input->now_us;
    }
    return pps_error_set(PPS_EUNAVAILABLE,
                         "upstream %s: no worker accepts requests",
                         input->upstream);
}
