/**
 * @file evidence.h
 * @brief What the ratings say of a version, with its uncertainty.
 *
 * Ratings are sparse, late and noisy. The estimate for a workspace and kind
 * borrows strength: it is shrunk towards that of the kind over all
 * workspaces, that towards the version's own, and that towards the quality
 * which the release note declares. Each level leaves out the data of the
 * level below, so that nothing counts twice.
 */
#ifndef PAPAYASWITCH_EVIDENCE_H
#define PAPAYASWITCH_EVIDENCE_H

#include "papayaswitch/choice.h"
#include "papayaswitch/tally.h"

/** How far levels are believed to differ, as standard deviations. */
typedef struct {
    double declared;  /**< a version from its declared quality */
    double kind;      /**< a kind from its version */
    double workspace; /**< a workspace from its kind */
    double judge;     /**< a judge's bias in a workspace from its kind's */
    double rating;    /**< one rating from its mean, before evidence */
} pps_evidence_prior_t;

#define PPS_EVIDENCE_PRIOR_INIT                                               \
    {                                                                         \
        0.05, 0.08, 0.03, 0.02, 0.2                                           \
    }

/** Estimates over a tally; embeds a quality source for the choice. */
typedef struct {
    pps_quality_source_t source; /**< give its address to the choice */
    const pps_tally_t *tally;
    pps_evidence_prior_t prior;
} pps_evidence_t;

/** What became known of one answer. */
typedef struct {
    const char *workspace;
    const char *kind;
    const char *version;
    int escalated;    /**< the answer came after another was judged too low */
    double rating;    /**< in [0, 1] */
    double judgement; /**< in [0, 1], or negative when it was not judged */
} pps_rating_t;

/** Starts estimates over a tally, which must live as long. */
void
pps_evidence_init(pps_evidence_t *evidence, const pps_tally_t *tally);

/**
 * Counts the judgement of an answer, whether it will be rated or not. Many
 * judgements and few ratings together tell more than the ratings alone.
 * @return 0; PPS_EINVALID; PPS_ELIMIT
 */
int
pps_evidence_count_judgement(pps_tally_t *tally, const pps_rating_t *answer);

/** Counts a rating in a tally. @return 0; PPS_EINVALID; PPS_ELIMIT */
int
pps_evidence_count_rating(pps_tally_t *tally, const pps_rating_t *rating);

/** Standard deviation of one rating of a version, for its health test. */
double
pps_evidence_deviation(const pps_evidence_t *evidence, const char *version);

#endif
