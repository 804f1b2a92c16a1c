/**
 * @file quality_board.h
 * @brief Quality estimates, held versions and prices of quality on one host.
 *
 * The host that served an answer counts its rating. Hosts merge their tallies,
 * so that each rating counts once in the fleet and all hosts converge on the
 * same held versions. Thread-safe.
 */
#ifndef PAPAYASWITCH_QUALITY_BOARD_H
#define PAPAYASWITCH_QUALITY_BOARD_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/choice.h"
#include "papayaswitch/health.h"
#include "papayaswitch/work_record.h"

/** Maximum number of answers kept for a later rating. */
#define PPS_QUALITY_ANSWERS_MAX 50000

/** Maximum number of versions reported as held. */
#define PPS_QUALITY_HELD_MAX 32

/** An answer that may be rated later. */
typedef struct {
    const char *request_id;
    const char *workspace;
    const char *kind;
    const pps_version_t *version;
    const char *worker;
} pps_quality_answer_t;

/** Names of held versions. */
typedef struct {
    char names[PPS_QUALITY_HELD_MAX][PPS_NAME_MAX + 1];
    const char *list[PPS_QUALITY_HELD_MAX]; /**< into `names`: don't copy */
    size_t count;
} pps_quality_held_t;

/** Ratings, health tests and prices of one host. */
typedef struct pps_quality_board pps_quality_board_t;

/** Creates a board that counts for an incarnation of a host.
 * @return 0; PPS_ELIMIT: host name too long; PPS_ENOMEM */
int
pps_quality_board_new(pps_quality_board_t **out, const char *host,
                      uint64_t incarnation);

/** Frees a board; NULL is allowed. */
void
pps_quality_board_free(pps_quality_board_t *board);

/**
 * Counts an answer of this host for prices and keeps it with the rating that
 * the lagging estimates expect. Evicts the oldest at PPS_QUALITY_ANSWERS_MAX.
 * @return 0; PPS_ENOMEM
 */
int
pps_quality_board_add_answer(pps_quality_board_t *board,
                             const pps_quality_answer_t *answer);

/**
 * Counts a rating if this host served the answer, which it then drops.
 * @return 0; PPS_ENOTFOUND: another host's, already rated, or too old;
 *         PPS_EINVALID: outside [0, 1]; PPS_ELIMIT; PPS_ENOMEM
 */
int
pps_quality_board_add_rating(pps_quality_board_t *board,
                             const char *request_id, double rating);

/** Encodes the counters changed since the last call; `*size` 0: none. The
 * caller frees `*out` with free(). */
int
pps_quality_board_encode(pps_quality_board_t *board, void **out, size_t *size);

/** Encodes all counters likewise, for hosts that joined later. */
int
pps_quality_board_encode_all(pps_quality_board_t *board, void **out,
                             size_t *size);

/** Merges another host's counters. @return as pps_tally_merge() */
int
pps_quality_board_merge(pps_quality_board_t *board, const void *data,
                        size_t size);

/**
 * Runs a step of the health test of each version. If a note changed a version,
 * its hold ends and its test restarts.
 * @param found called for each finding, with the version's name; PPS_HEALTH_OK
 *        reports the end of a hold. Runs under the lock: don't call the board.
 */
void
pps_quality_board_step(pps_quality_board_t *board,
                       const pps_catalog_t *catalog,
                       void (*found)(const char *version,
                                     const pps_health_verdict_t *verdict,
                                     void *user),
                       void *user);

/** Copies the names of the versions held now, at most PPS_QUALITY_HELD_MAX. */
void
pps_quality_board_copy_held(pps_quality_board_t *board,
                            pps_quality_held_t *out);

/**
 * Updates the oldest prices of workspaces, from the kinds of requests that
 * this host answered. Called on the control thread.
 */
void
pps_quality_board_update_prices(pps_quality_board_t *board,
                                const pps_catalog_t *catalog);

/**
 * Returns the price of quality for one request of a workspace.
 * @param draw uniform in [0, 1)
 * @return 0 until there is a price: each answer has to meet the target
 */
double
pps_quality_board_price(pps_quality_board_t *board, const char *workspace,
                        double draw);

/** Returns the quality estimates for the choice, owned by the board. */
const pps_quality_source_t *
pps_quality_board_source(const pps_quality_board_t *board);

#endif
