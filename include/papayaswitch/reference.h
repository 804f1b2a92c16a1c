/**
 * @file reference.h
 * @brief Lagging copy of a tally, from which the health test's expected
 *        ratings are estimated.
 *
 * Estimates that include the newest ratings follow a declining version, so
 * that a small drop is never detected. The reference adds ratings with a delay
 * and only while the health test shows no sign of a drop. Not thread-safe.
 */
#ifndef PAPAYASWITCH_REFERENCE_H
#define PAPAYASWITCH_REFERENCE_H

#include "papayaswitch/tally.h"

/** Minimum lag of a version's reference, in ratings of its first answers. */
#define PPS_REFERENCE_LAG 500

/** A tally that lags another one. */
typedef struct pps_reference pps_reference_t;

/** Creates an empty reference: estimates equal the declared qualities. */
int
pps_reference_new(pps_reference_t **out);

/** Frees a reference; NULL is allowed. */
void
pps_reference_free(pps_reference_t *reference);

/**
 * Updates a version's reference once `live` has PPS_REFERENCE_LAG new ratings.
 * @param in_control see pps_health_is_in_control(); 0: nothing is updated
 * @return 0; PPS_ENOMEM
 */
int
pps_reference_step(pps_reference_t *reference, const pps_tally_t *live,
                   const char *version, int in_control);

/** Returns the lagging tally, owned by the reference. */
const pps_tally_t *
pps_reference_tally(const pps_reference_t *reference);

#endif
