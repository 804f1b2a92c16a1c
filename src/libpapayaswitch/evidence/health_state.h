/** @file health_state.h @brief Inner layout of a health test. */
#ifndef PPS_HEALTH_STATE_H
#define PPS_HEALTH_STATE_H

#include "papayaswitch/health.h"

#include <urcu/list.h>
#include <uthash.h>

/** Sizes of drop that the test looks for. */
#define PPS_HEALTH_DROPS 4

/** Ratings and their shortfall. */
typedef struct {
    double ratings;
    double shortfall;
} pps_health_sum_t;

/** A cumulative sum with what it has run over since it was last zero. */
typedef struct {
    double sum[PPS_HEALTH_DROPS];
    pps_health_sum_t since[PPS_HEALTH_DROPS];
} pps_health_cusum_t;

/** A workspace or a worker. */
typedef struct {
    char name[PPS_NAME_MAX + 1];
    pps_health_finding_t finding; /**< when it is bad by itself */
    int apart;                    /**< it was found to be so */
    pps_health_sum_t step;
    pps_health_cusum_t own;
    pps_health_cusum_t rest; /**< all the others of its sort */
    /** Ratings of those others since the sum over all was last zero. */
    double rest_ratings[PPS_HEALTH_DROPS];
    struct cds_list_head node;
} pps_health_cluster_t;

/** What was seen of a key in a tally. */
typedef struct {
    char key[PPS_TALLY_KEY_MAX];
    pps_health_sum_t sum;
    UT_hash_handle hh;
} pps_health_seen_t;

struct pps_health {
    pps_health_options_t options;
    struct cds_list_head clusters;
    size_t cluster_count;
    pps_health_sum_t step;
    pps_health_cusum_t all;
    pps_health_verdict_t verdict;
    pps_health_seen_t *seen;
};

#endif
