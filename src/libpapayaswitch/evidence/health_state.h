/** @file health_state.h @brief Internal state of a health test. */
#ifndef PPS_HEALTH_STATE_H
#define PPS_HEALTH_STATE_H

#include "papayaswitch/health.h"

#include <urcu/list.h>
#include <uthash.h>

/** Number of drop sizes that are tested for. */
#define PPS_HEALTH_DROPS 4

/** Number of ratings and their summed shortfall. */
typedef struct {
    double ratings;
    double shortfall;
} pps_health_sum_t;

/** Cumulative sums by drop size, with the ratings since each was last 0. */
typedef struct {
    double sum[PPS_HEALTH_DROPS];
    pps_health_sum_t since[PPS_HEALTH_DROPS];
} pps_health_cusum_t;

/** A cluster: the ratings of one workspace or of one worker. */
typedef struct {
    char name[PPS_NAME_MAX + 1];
    pps_health_finding_t finding; /**< to report if bad; also the type */
    int excluded;                 /**< 1: found bad, ratings ignored */
    pps_health_sum_t step;        /**< ratings of the current step */
    pps_health_cusum_t own;
    /** Sums over the ratings of the other clusters of the type. */
    pps_health_cusum_t leave_one_out;
    /** Number of those ratings since the sum over all ratings was last 0. */
    double leave_one_out_ratings[PPS_HEALTH_DROPS];
    struct cds_list_head node;
} pps_health_cluster_t;

/** Ratings under a tally key that were already added to the test. */
typedef struct {
    char key[PPS_TALLY_KEY_MAX];
    pps_health_sum_t sum;
    UT_hash_handle hh;
} pps_health_added_t;

struct pps_health {
    pps_health_options_t options;
    struct cds_list_head clusters;
    size_t cluster_count;
    pps_health_sum_t step;
    pps_health_cusum_t all; /**< over the ratings not excluded */
    pps_health_verdict_t verdict;
    pps_health_added_t *added;
};

#endif
