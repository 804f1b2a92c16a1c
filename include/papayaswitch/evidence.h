/**
 * @file evidence.h
 * @brief Estimates of a version's quality from ratings, with uncertainty.
 *
 * Ratings are sparse, late and noisy, so the estimate for a workspace and kind
 * is hierarchical: it shrinks towards the estimate of the kind over all
 * workspaces, which shrinks towards the version's, which shrinks towards the
 * quality declared in the release note. Each level excludes the data of the
 * more specific level below it, so that no rating counts twice.
 */
#ifndef PAPAYASWITCH_EVIDENCE_H
#define PAPAYASWITCH_EVIDENCE_H

#include "papayaswitch/choice.h"
#include "papayaswitch/tally.h"

/** Prior standard deviations of the hierarchical model. */
typedef struct {
    double declared;  /**< of a version from its declared quality */
    double kind;      /**< of a kind from its version */
    double workspace; /**< of a workspace from its kind */
    double judge;     /**< of a judge's bias in a workspace from its kind's */
    double rating;    /**< of one rating from its mean, without ratings */
} pps_evidence_prior_t;

#define PPS_EVIDENCE_PRIOR_INIT                                               \
    {                                                                         \
        0.05, 0.08, 0.03, 0.02, 0.2                                           \
    }

/** Quality estimates over a tally, usable as a quality source. */
typedef struct {
    pps_quality_source_t source; /**< for pps_choice_select_version() */
    const pps_tally_t *tally;
    pps_evidence_prior_t prior;
} pps_evidence_t;

/** The rating and judgement of one answer. */
typedef struct {
    const char *workspace;
    const char *kind;
    const char *version;
    int escalated;    /**< 1: an earlier answer was judged too low */
    double rating;    /**< in [0, 1] */
    double judgement; /**< in [0, 1]; negative: not judged */
} pps_rating_t;

/** Initializes estimates over a tally, which must outlive them. */
void
pps_evidence_init(pps_evidence_t *evidence, const pps_tally_t *tally);

/**
 * Counts the judgement of an answer, also of one that is never rated. Many
 * judgements with few ratings estimate better than the ratings alone.
 * @return 0; PPS_EINVALID; PPS_ELIMIT: names too long; PPS_ENOMEM
 */
int
pps_evidence_count_judgement(pps_tally_t *tally, const pps_rating_t *answer);

/** Counts a rating and any judgement. @return as for a judgement alone */
int
pps_evidence_count_rating(pps_tally_t *tally, const pps_rating_t *rating);

/** Returns the standard deviation of one rating of a version, over all kinds
 * and workspaces, without escalated answers. Used by the health test. */
double
pps_evidence_deviation(const pps_evidence_t *evidence, const char *version);

#endif
