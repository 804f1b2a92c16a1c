/** @file health.c @brief Cumulative sums with and without each cluster. */
#include "evidence/health_state.h"
#include "papayaswitch/errors.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/**
 * Log evidence that has to stand without any one cluster. A cluster that is
 * bad by itself is set apart after few ratings; the rest would have to pass
 * this by chance within that time.
 */
#define REST_THRESHOLD 10.0

/** Log evidence under which a test is calm. */
#define CALM 2.0

/** Log evidence within which a workspace and a worker count as equally bad. */
#define TIE 2.0

/** Drops looked for, in rating. */
static const double drops[PPS_HEALTH_DROPS] = {0.05, 0.10, 0.20, 0.30};

int
pps_health_new(pps_health_t **out, const pps_health_options_t *options)
{
    pps_health_t *health = calloc(1, sizeof(*health));

    *out = health;
    if (health == NULL) {
        return pps_error_set(PPS_ENOMEM, "health: out of memory");
    }
    health->options = *options;
    CDS_INIT_LIST_HEAD(&health->clusters);
    return PPS_OK;
}

void
pps_health_free(pps_health_t *health)
{
    pps_health_cluster_t *cluster;
    pps_health_cluster_t *next_cluster;
    pps_health_seen_t *seen;
    pps_health_seen_t *next_seen;

    if (health == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (cluster, next_cluster, &health->clusters,
                                  node) {
        free(cluster);
    }
    seen = health->seen;
    HASH_CLEAR(hh, health->seen);
    for (; seen != NULL; seen = next_seen) {
        next_seen = seen->hh.next;
        free(seen);
    }
    free(health);
}

void
pps_health_set_deviation(pps_health_t *health, double deviation)
{
    health->options.deviation = deviation;
}

static pps_health_cluster_t *
cluster_get(pps_health_t *health, const char *name,
            pps_health_finding_t finding)
{
    pps_health_cluster_t *cluster;

    cds_list_for_each_entry (cluster, &health->clusters, node) {
        if (cluster->finding == finding && strcmp(cluster->name, name) == 0) {
            return cluster;
        }
    }
    cluster = calloc(1, sizeof(*cluster));
    if (cluster == NULL) {
        return NULL;
    }
    strncpy(cluster->name, name, PPS_NAME_MAX);
    cluster->finding = finding;
    /* Until now all ratings came from others. */
    cluster->rest = health->all;
    for (int i = 0; i < PPS_HEALTH_DROPS; i++) {
        cluster->rest_ratings[i] = health->all.since[i].ratings;
    }
    cds_list_add_tail(&cluster->node, &health->clusters);
    health->cluster_count++;
    return cluster;
}

static void
sum_add(pps_health_sum_t *sum, double ratings, double shortfall)
{
    sum->ratings += ratings;
    sum->shortfall += shortfall;
}

int
pps_health_add(pps_health_t *health, const char *workspace, const char *worker,
               double ratings, double shortfall)
{
    pps_health_cluster_t *by_workspace;
    pps_health_cluster_t *by_worker;

    if (strlen(workspace) > PPS_NAME_MAX || strlen(worker) > PPS_NAME_MAX) {
        return pps_error_set(PPS_ELIMIT, "health: name too long");
    }
    by_workspace = cluster_get(health, workspace, PPS_HEALTH_HOLD_WORKSPACE);
    by_worker = cluster_get(health, worker, PPS_HEALTH_AVOID_WORKER);
    if (by_workspace == NULL || by_worker == NULL) {
        return pps_error_set(PPS_ENOMEM, "health: out of memory");
    }
    if (by_workspace->apart || by_worker->apart) {
        return PPS_OK;
    }
    sum_add(&by_workspace->step, ratings, shortfall);
    sum_add(&by_worker->step, ratings, shortfall);
    sum_add(&health->step, ratings, shortfall);
    return PPS_OK;
}

/** Log-likelihood ratio of a drop against none, for normal ratings. */
static double
log_ratio(const pps_health_options_t *options, pps_health_sum_t step,
          double drop)
{
    return drop * (step.shortfall - step.ratings * drop / 2.0) /
           (options->deviation * options->deviation);
}

static void
cusum_step(pps_health_cusum_t *cusum, const pps_health_options_t *options,
           pps_health_sum_t step)
{
    for (int i = 0; i < PPS_HEALTH_DROPS; i++) {
        cusum->sum[i] += log_ratio(options, step, drops[i]);
        sum_add(&cusum->since[i], step.ratings, step.shortfall);
        if (cusum->sum[i] <= 0) {
            cusum->sum[i] = 0.0;
            cusum->since[i] = (pps_health_sum_t){0.0, 0.0};
        }
    }
}

static int
cusum_peak(const pps_health_cusum_t *cusum)
{
    int peak = 0;

    for (int i = 1; i < PPS_HEALTH_DROPS; i++) {
        if (cusum->sum[i] > cusum->sum[peak]) {
            peak = i;
        }
    }
    return peak;
}

/** Each of `tests` cumulative sums adds its own chance of a false alarm. */
static double
threshold(const pps_health_options_t *options, double tests)
{
    return log(options->ratings_per_false_hold) +
           log(PPS_HEALTH_DROPS * tests);
}

static void
verdict_set(pps_health_verdict_t *verdict, pps_health_finding_t finding,
            const char *name, const pps_health_cusum_t *cusum, double limit)
{
    int peak = cusum_peak(cusum);
    pps_health_sum_t since = cusum->since[peak];

    verdict->finding = finding;
    strncpy(verdict->name, name, PPS_NAME_MAX);
    verdict->log_evidence = cusum->sum[peak];
    verdict->threshold = limit;
    verdict->ratings = since.ratings;
    verdict->drop = since.ratings > 0 ? since.shortfall / since.ratings : 0.0;
}

/** Whether the others had so few ratings that they could not have passed
 * REST_THRESHOLD if the version were bad in general. */
static int
rest_is_too_small(const pps_health_t *health,
                  const pps_health_cluster_t *cluster)
{
    int peak = cusum_peak(&health->all);
    pps_health_sum_t expected = {cluster->rest_ratings[peak],
                                 cluster->rest_ratings[peak] * drops[peak]};

    return log_ratio(&health->options, expected, drops[peak]) < REST_THRESHOLD;
}

/** The least evidence that is left without any one cluster. A worker with
 * nearly all ratings is no reason to doubt them. */
static const pps_health_cusum_t *
weakest_rest(const pps_health_t *health)
{
    const pps_health_cusum_t *weakest = &health->all;
    const pps_health_cluster_t *cluster;

    cds_list_for_each_entry (cluster, &health->clusters, node) {
        if (cluster->finding == PPS_HEALTH_AVOID_WORKER &&
            rest_is_too_small(health, cluster)) {
            continue;
        }
        if (cluster->rest.sum[cusum_peak(&cluster->rest)] <
            weakest->sum[cusum_peak(weakest)]) {
            weakest = &cluster->rest;
        }
    }
    return weakest;
}

/** Lowers each sum to that of another. */
static void
cusum_lower(pps_health_cusum_t *cusum, const pps_health_cusum_t *other)
{
    for (int i = 0; i < PPS_HEALTH_DROPS; i++) {
        if (other->sum[i] < cusum->sum[i]) {
            cusum->sum[i] = other->sum[i];
            cusum->since[i] = other->since[i];
        }
    }
}

/** Its ratings count no longer, neither those to come nor those before. What
 * clusters of the other sort had of them can't be told apart any more. */
static void
set_apart(pps_health_t *health, pps_health_cluster_t *bad)
{
    pps_health_cluster_t *cluster;

    bad->apart = 1;
    health->all = bad->rest;
    cds_list_for_each_entry (cluster, &health->clusters, node) {
        cusum_lower(&cluster->rest, &health->all);
        if (cluster->finding != bad->finding) {
            cluster->own = (pps_health_cusum_t){0};
        }
    }
}

/** Whether at least two clusters, and more than half of the sort, were set
 * apart: then the fault is none of theirs. */
static int
most_are_apart(const pps_health_t *health, pps_health_finding_t sort)
{
    const pps_health_cluster_t *cluster;
    size_t count = 0;
    size_t apart = 0;

    cds_list_for_each_entry (cluster, &health->clusters, node) {
        count += cluster->finding == sort;
        apart += cluster->finding == sort && cluster->apart;
    }
    return apart >= 2 && 2 * apart > count;
}

static double
own_evidence(const pps_health_cluster_t *cluster)
{
    double evidence = cluster->own.sum[cusum_peak(&cluster->own)];

    /* A worker is kept off, a workspace only named: on equal evidence the
     * workspace is. */
    return cluster->finding == PPS_HEALTH_HOLD_WORKSPACE ? evidence + TIE
                                                         : evidence;
}

static pps_health_cluster_t *
worst_cluster(const pps_health_t *health, double limit)
{
    pps_health_cluster_t *worst = NULL;
    pps_health_cluster_t *cluster;

    cds_list_for_each_entry (cluster, &health->clusters, node) {
        if (!cluster->apart &&
            cluster->own.sum[cusum_peak(&cluster->own)] >= limit &&
            (worst == NULL || own_evidence(cluster) > own_evidence(worst))) {
            worst = cluster;
        }
    }
    return worst;
}

static void
judge_clusters(pps_health_t *health)
{
    double limit = threshold(&health->options, (double)health->cluster_count);
    pps_health_cluster_t *worst = worst_cluster(health, limit);

    if (worst == NULL) {
        return;
    }
    verdict_set(&health->verdict, worst->finding, worst->name, &worst->own,
                limit);
    set_apart(health, worst);
    if (most_are_apart(health, worst->finding)) {
        health->verdict.finding = PPS_HEALTH_HOLD_VERSION;
        health->verdict.name[0] = '\0';
    }
}

static void
judge(pps_health_t *health)
{
    const pps_health_cusum_t *rest = weakest_rest(health);
    double limit = threshold(&health->options, 1.0);

    if (health->verdict.finding == PPS_HEALTH_HOLD_VERSION) {
        return;
    }
    memset(&health->verdict, 0, sizeof(health->verdict));
    if (health->all.sum[cusum_peak(&health->all)] >= limit &&
        rest->sum[cusum_peak(rest)] >= REST_THRESHOLD) {
        verdict_set(&health->verdict, PPS_HEALTH_HOLD_VERSION, "",
                    &health->all, limit);
        return;
    }
    judge_clusters(health);
}

static void
count_rest(pps_health_cluster_t *cluster, const pps_health_cusum_t *all,
           double ratings)
{
    for (int i = 0; i < PPS_HEALTH_DROPS; i++) {
        cluster->rest_ratings[i] =
            all->sum[i] > 0 ? cluster->rest_ratings[i] + ratings : 0.0;
    }
}

void
pps_health_step(pps_health_t *health, pps_health_verdict_t *out)
{
    pps_health_cluster_t *cluster;

    cusum_step(&health->all, &health->options, health->step);
    cds_list_for_each_entry (cluster, &health->clusters, node) {
        pps_health_sum_t others = {
            health->step.ratings - cluster->step.ratings,
            health->step.shortfall - cluster->step.shortfall};

        cusum_step(&cluster->own, &health->options, cluster->step);
        cusum_step(&cluster->rest, &health->options, others);
        count_rest(cluster, &health->all, others.ratings);
        cluster->step = (pps_health_sum_t){0.0, 0.0};
    }
    health->step = (pps_health_sum_t){0.0, 0.0};
    judge(health);
    *out = health->verdict;
}

int
pps_health_is_in_control(const pps_health_t *health)
{
    return health->all.sum[cusum_peak(&health->all)] < CALM;
}
