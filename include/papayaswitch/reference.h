/**
 * @file reference.h
 * @brief Evidence as it was some hundred ratings ago, for the health test.
 *
 * A health test compares ratings with what the evidence had led to expect.
 * Evidence that takes in the newest ratings follows a version that turns bad,
 * and a small drop is never seen. The reference takes in ratings late, and
 * only while nothing speaks for a drop. Used from one thread.
 */
#ifndef PAPAYASWITCH_REFERENCE_H
#define PAPAYASWITCH_REFERENCE_H

#include "papayaswitch/tally.h"

/** Ratings of a version by which its reference lags at least. */
#define PPS_REFERENCE_LAG 500

/** A tally that lags behind another. */
typedef struct pps_reference pps_reference_t;

/** Starts empty: expectations are those that the notes declare. */
int
pps_reference_new(pps_reference_t **out);

/** Frees it; NULL is allowed. */
void
pps_reference_free(pps_reference_t *reference);

/**
 * Moves a version's reference on, if it is time and the test is calm.
 * @param calm see pps_health_is_in_control()
 */
int
pps_reference_step(pps_reference_t *reference, const pps_tally_t *live,
                   const char *version, int calm);

/** The lagging tally; estimates over it are what to expect of a rating. */
const pps_tally_t *
pps_reference_tally(const pps_reference_t *reference);

#endif
