/**
 * @file health.h
 * @brief Sequential test that detects a drop in a version's quality.
 *
 * Ratings of the whole fleet are compared with the expected ratings by a
 * cumulative sum (CUSUM) of the log-likelihood ratio for each of a few sizes
 * of drop. A version is held if enough evidence remains without any one
 * workspace or worker, or if more than half of either, and at least two, are
 * bad. A worker with nearly all ratings is not left out. A workspace or worker
 * that is bad by itself gets a verdict of its own. Not thread-safe.
 */
#ifndef PAPAYASWITCH_HEALTH_H
#define PAPAYASWITCH_HEALTH_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/tally.h"

#define PPS_HEALTH_OPTIONS_VERSION 1

/** Parameters of the test. */
typedef struct {
    unsigned int version;
    double deviation;              /**< standard deviation of a shortfall */
    double ratings_per_false_hold; /**< mean ratings between false holds */
} pps_health_options_t;

#define PPS_HEALTH_OPTIONS_INIT                                               \
    {                                                                         \
        PPS_HEALTH_OPTIONS_VERSION, 0.2, 2e6                                  \
    }

/** Result of the test. */
typedef enum {
    PPS_HEALTH_OK,
    PPS_HEALTH_HOLD_VERSION,     /**< the version is bad in general */
    PPS_HEALTH_REPORT_WORKSPACE, /**< bad in one workspace: only report it */
    PPS_HEALTH_AVOID_WORKER,     /**< bad at one worker: avoid the worker */
} pps_health_finding_t;

/** A finding with its evidence. */
typedef struct {
    pps_health_finding_t finding;
    char name[PPS_NAME_MAX + 1]; /**< workspace or worker; else empty */
    double log_evidence;         /**< natural log of the likelihood ratio */
    double threshold;            /**< reached by `log_evidence` */
    double drop;    /**< mean shortfall of a rating since the sum was last 0 */
    double ratings; /**< number of ratings in that period */
} pps_health_verdict_t;

/** The test of one version. */
typedef struct pps_health pps_health_t;

/** Creates a test without ratings. @return 0; PPS_ENOMEM */
int
pps_health_new(pps_health_t **out, const pps_health_options_t *options);

/** Frees a test; NULL is allowed. */
void
pps_health_free(pps_health_t *health);

/** Sets the standard deviation of one rating for the following steps. */
void
pps_health_set_deviation(pps_health_t *health, double deviation);

/**
 * Adds ratings to the current step.
 * @param ratings number of ratings
 * @param shortfall sum of expected minus actual ratings
 * @return 0; PPS_ELIMIT: name too long; PPS_ENOMEM
 */
int
pps_health_add(pps_health_t *health, const char *workspace, const char *worker,
               double ratings, double shortfall);

/**
 * Ends the step and returns its verdict. A workspace or worker is reported
 * only by the step that finds it; its earlier and later ratings are ignored
 * from then on. A hold of the version is repeated by each later step.
 */
void
pps_health_step(pps_health_t *health, pps_health_verdict_t *out);

/**
 * Returns whether the evidence of a drop is weak. Expected ratings should be
 * updated only then, or they follow the decline of a version.
 */
int
pps_health_is_in_control(const pps_health_t *health);

/** Counts the rating of an answer in a tally, for pps_health_add_tally().
 * @return 0; PPS_EINVALID; PPS_ELIMIT: names too long; PPS_ENOMEM */
int
pps_health_count_rating(pps_tally_t *tally, const char *version,
                        const char *workspace, const char *worker,
                        double rating, double expected);

/** Adds the ratings of the version that a tally gained since the last call. */
int
pps_health_add_tally(pps_health_t *health, const pps_tally_t *tally,
                     const char *version);

#endif
