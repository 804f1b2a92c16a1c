/** @file health.c @brief CUSUM tests of all ratings and by cluster. */
#include "evidence/health_state.h"
#include "papayaswitch/errors.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/**
 * Log evidence that must remain when any one cluster is left out. A cluster
 * that is bad by itself is excluded after few ratings, in which the others are
 * unlikely to reach this limit by chance.
 */
#define LEAVE_ONE_OUT_THRESHOLD 10.0

/** Log evidence below which a version shows no sign of a drop. */
#define IN_CONTROL_LIMIT 2.0

/** Log evidence by which a worker must exceed a workspace to be reported. */
#define WORKSPACE_MARGIN 2.0

/** Drops tested for, in units of rating. */
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
    pps_health_added_t *added;
    pps_health_added_t *next_added;

    if (health == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (cluster, next_cluster, &health->clusters,
                                  node) {
        free(cluster);
    }
    added = health->added;
    HASH_CLEAR(hh, health->added);
    for (; added != NULL; added = next_added) {
        next_added = added->hh.next;
        free(added);
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
    /* All earlier ratings came from other clusters. */
    cluster->leave_one_out = health->all;
    for (int i = 0; i < PPS_HEALTH_DROPS; i++) {
        cluster->leave_one_out_ratings[i] = health->all.since[i].ratings;
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
    by_workspace = cluster_get(health, workspace, PPS_HEALTH_REPORT_WORKSPACE);
    by_worker = cluster_get(health, worker, PPS_HEALTH_AVOID_WORKER);
    if (by_workspace == NULL || by_worker == NULL) {
        return pps_error_set(PPS_ENOMEM, "health: out of memory");
    }
    if (by_workspace->excluded || by_worker->excluded) {
        return PPS_OK;
    }
    sum_add(&by_workspace->step, ratings, shortfall);
    sum_add(&by_worker->step, ratings, shortfall);
    sum_add(&health->step, ratings, shortfall);
    return PPS_OK;
}

/** Returns the log-likelihood ratio of a drop against none, for normally
 * distributed ratings. */
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

/** Returns the threshold that bounds the false alarms of `tests` parallel
 * tests (Bonferroni correction). */
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

/** Returns whether the other clusters have too few ratings to be expected to
 * reach LEAVE_ONE_OUT_THRESHOLD even if the version is bad in general. */
static int
leave_one_out_is_too_small(const pps_health_t *health,
                           const pps_health_cluster_t *cluster)
{
    int peak = cusum_peak(&health->all);
    pps_health_sum_t expected = {cluster->leave_one_out_ratings[peak],
                                 cluster->leave_one_out_ratings[peak] *
                                     drops[peak]};

    return log_ratio(&health->options, expected, drops[peak]) <
           LEAVE_ONE_OUT_THRESHOLD;
}

/** Returns the sums with the least evidence without any one cluster. Skips a
 * worker with nearly all ratings: the others could not reach the limit. */
static const pps_health_cusum_t *
weakest_leave_one_out(const pps_health_t *health)
{
    const pps_health_cusum_t *weakest = &health->all;
    const pps_health_cluster_t *cluster;

    cds_list_for_each_entry (cluster, &health->clusters, node) {
        if (cluster->finding == PPS_HEALTH_AVOID_WORKER &&
            leave_one_out_is_too_small(health, cluster)) {
            continue;
        }
        if (cluster->leave_one_out.sum[cusum_peak(&cluster->leave_one_out)] <
            weakest->sum[cusum_peak(weakest)]) {
            weakest = &cluster->leave_one_out;
        }
    }
    return weakest;
}

/** Limits each sum to that of `bound`. */
static void
cusum_limit(pps_health_cusum_t *cusum, const pps_health_cusum_t *bound)
{
    for (int i = 0; i < PPS_HEALTH_DROPS; i++) {
        if (bound->sum[i] < cusum->sum[i]) {
            cusum->sum[i] = bound->sum[i];
            cusum->since[i] = bound->since[i];
        }
    }
}

/** Excludes a cluster's past and future ratings. Resets the sums of the other
 * type and limits leave-one-out sums to those over the remaining ratings,
 * because the share of the excluded ratings in them is unknown. */
static void
exclude_cluster(pps_health_t *health, pps_health_cluster_t *bad)
{
    pps_health_cluster_t *cluster;

    bad->excluded = 1;
    health->all = bad->leave_one_out;
    cds_list_for_each_entry (cluster, &health->clusters, node) {
        cusum_limit(&cluster->leave_one_out, &health->all);
        if (cluster->finding != bad->finding) {
            cluster->own = (pps_health_cusum_t){0};
        }
    }
}

/** Returns whether at least two clusters and more than half of a type are
 * excluded, in which case the version itself is at fault. */
static int
majority_is_excluded(const pps_health_t *health, pps_health_finding_t type)
{
    const pps_health_cluster_t *cluster;
    size_t count = 0;
    size_t excluded = 0;

    cds_list_for_each_entry (cluster, &health->clusters, node) {
        count += cluster->finding == type;
        excluded += cluster->finding == type && cluster->excluded;
    }
    return excluded >= 2 && 2 * excluded > count;
}

static double
ranking_evidence(const pps_health_cluster_t *cluster)
{
    double evidence = cluster->own.sum[cusum_peak(&cluster->own)];

    /* Prefers the workspace on similar evidence, because a worker loses its
     * requests while a workspace is only reported. */
    return cluster->finding == PPS_HEALTH_REPORT_WORKSPACE
               ? evidence + WORKSPACE_MARGIN
               : evidence;
}

static pps_health_cluster_t *
worst_cluster(const pps_health_t *health, double limit)
{
    pps_health_cluster_t *worst = NULL;
    pps_health_cluster_t *cluster;

    cds_list_for_each_entry (cluster, &health->clusters, node) {
        if (!cluster->excluded &&
            cluster->own.sum[cusum_peak(&cluster->own)] >= limit &&
            (worst == NULL ||
             ranking_evidence(cluster) > ranking_evidence(worst))) {
            worst = cluster;
        }
    }
    return worst;
}

static void
update_cluster_verdict(pps_health_t *health)
{
    double limit = threshold(&health->options, (double)health->cluster_count);
    pps_health_cluster_t *worst = worst_cluster(health, limit);

    if (worst == NULL) {
        return;
    }
    verdict_set(&health->verdict, worst->finding, worst->name, &worst->own,
                limit);
    exclude_cluster(health, worst);
    if (majority_is_excluded(health, worst->finding)) {
        health->verdict.finding = PPS_HEALTH_HOLD_VERSION;
        health->verdict.name[0] = '\0';
    }
}

static void
update_verdict(pps_health_t *health)
{
    const pps_health_cusum_t *weakest = weakest_leave_one_out(health);
    double limit = threshold(&health->options, 1.0);

    if (health->verdict.finding == PPS_HEALTH_HOLD_VERSION) {
        return;
    }
    memset(&health->verdict, 0, sizeof(health->verdict));
    if (health->all.sum[cusum_peak(&health->all)] >= limit &&
        weakest->sum[cusum_peak(weakest)] >= LEAVE_ONE_OUT_THRESHOLD) {
        verdict_set(&health->verdict, PPS_HEALTH_HOLD_VERSION, "",
                    &health->all, limit);
        return;
    }
    update_cluster_verdict(health);
}

static void
count_leave_one_out_ratings(pps_health_cluster_t *cluster,
                            const pps_health_cusum_t *all, double ratings)
{
    for (int i = 0; i < PPS_HEALTH_DROPS; i++) {
        cluster->leave_one_out_ratings[i] =
            all->sum[i] > 0 ? cluster->leave_one_out_ratings[i] + ratings
                            : 0.0;
    }
}

void
pps_health_step(pps_health_t *health, pps_health_verdict_t *out)
{
    pps_health_cluster_t *cluster;

    cusum_step(&health->all, &health->options, health->step);
    cds_list_for_each_entry (cluster, &health->clusters, node) {
        pps_health_sum_t leave_one_out = {
            health->step.ratings - cluster->step.ratings,
            health->step.shortfall - cluster->step.shortfall};

        cusum_step(&cluster->own, &health->options, cluster->step);
        cusum_step(&cluster->leave_one_out, &health->options, leave_one_out);
        count_leave_one_out_ratings(cluster, &health->all,
                                    leave_one_out.ratings);
        cluster->step = (pps_health_sum_t){0.0, 0.0};
    }
    health->step = (pps_health_sum_t){0.0, 0.0};
    update_verdict(health);
    *out = health->verdict;
}

int
pps_health_is_in_control(const pps_health_t *health)
{
    return health->all.sum[cusum_peak(&health->all)] < IN_CONTROL_LIMIT;
}
