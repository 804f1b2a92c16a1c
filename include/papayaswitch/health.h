/**
 * @file health.h
 * @brief Sequential test of whether a version has turned bad.
 *
 * Ratings are compared with what the evidence had led to expect. For each of
 * a few sizes of drop a cumulative sum of the log-likelihood ratio runs over
 * the ratings of the whole fleet. A version is held only when evidence is left
 * without any one workspace and without any one worker; a workspace or a
 * worker that is bad by itself gets a verdict of its own.
 */
#ifndef PAPAYASWITCH_HEALTH_H
#define PAPAYASWITCH_HEALTH_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/tally.h"

#define PPS_HEALTH_OPTIONS_VERSION 1

/** How sure the test has to be. */
typedef struct {
    unsigned int version;
    double deviation;              /**< of one rating from its expectation */
    double ratings_per_false_hold; /**< mean ratings between false holds */
} pps_health_options_t;

#define PPS_HEALTH_OPTIONS_INIT                                               \
    {                                                                         \
        PPS_HEALTH_OPTIONS_VERSION, 0.2, 2e6                                  \
    }

/** What the test found. */
typedef enum {
    PPS_HEALTH_OK,
    PPS_HEALTH_HOLD_VERSION,   /**< bad in general */
    PPS_HEALTH_HOLD_WORKSPACE, /**< bad in one workspace: hold it there */
    PPS_HEALTH_AVOID_WORKER,   /**< bad at one worker: keep off it */
} pps_health_finding_t;

/** A finding with its evidence. */
typedef struct {
    pps_health_finding_t finding;
    char name[PPS_NAME_MAX + 1]; /**< of the workspace or worker */
    double log_evidence;         /**< natural logarithm of the ratio */
    double threshold;            /**< that it passed */
    double drop;                 /**< mean shortfall since the test turned */
    double ratings;              /**< over so many ratings */
} pps_health_verdict_t;

/** The test of one version. */
typedef struct pps_health pps_health_t;

/** Starts a test. */
int
pps_health_new(pps_health_t **out, const pps_health_options_t *options);

/** Frees a test; NULL is allowed. */
void
pps_health_free(pps_health_t *health);

/** Sets the deviation of one rating for the steps to come. */
void
pps_health_set_deviation(pps_health_t *health, double deviation);

/** Adds ratings to the step; `shortfall` is expected less rated, summed. */
int
pps_health_add(pps_health_t *health, const char *workspace, const char *worker,
               double ratings, double shortfall);

/**
 * Ends the step. A workspace or worker is named once, by the step that found
 * it, and its ratings count no longer; a hold of the version remains.
 */
void
pps_health_step(pps_health_t *health, pps_health_verdict_t *out);

/**
 * Whether nothing speaks for a drop at present. Expectations should take in
 * new ratings only then, else they follow a version that turns bad.
 */
int
pps_health_is_in_control(const pps_health_t *health);

/** Counts a rating of an answer in the tally that the hosts share. */
int
pps_health_count_rating(pps_tally_t *tally, const char *version,
                        const char *workspace, const char *worker,
                        double rating, double expected);

/** Adds all that a tally has on the version beyond the last call. */
int
pps_health_add_tally(pps_health_t *health, const pps_tally_t *tally,
                     const char *version);

#endif
