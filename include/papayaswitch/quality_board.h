/**
 * @file quality_board.h
 * @brief Ratings on one host: estimates for the choice, and held versions.
 *
 * The host that gave an answer counts its rating; hosts merge their tallies,
 * so that each rating counts once in the whole fleet and all hosts come to
 * the same holds. Safe from any thread.
 */
#ifndef PAPAYASWITCH_QUALITY_BOARD_H
#define PAPAYASWITCH_QUALITY_BOARD_H

#include "papayaswitch/catalog.h"
#include "papayaswitch/choice.h"
#include "papayaswitch/health.h"
#include "papayaswitch/work_record.h"

/** Answers remembered until their rating comes. */
#define PPS_QUALITY_ANSWERS_MAX 50000

/** Versions that can be held at a time. */
#define PPS_QUALITY_HELD_MAX 32

/** An answer that may be rated later. */
typedef struct {
    const char *request_id;
    const char *workspace;
    const char *kind;
    const pps_version_t *version;
    const char *worker;
} pps_quality_answer_t;

/** Versions held, as of one moment. */
typedef struct {
    char names[PPS_QUALITY_HELD_MAX][PPS_NAME_MAX + 1];
    const char *list[PPS_QUALITY_HELD_MAX];
    size_t count;
} pps_quality_held_t;

/** The board. */
typedef struct pps_quality_board pps_quality_board_t;

/** Makes a board that counts for a host's incarnation. */
int
pps_quality_board_new(pps_quality_board_t **out, const char *host,
                      uint64_t incarnation);

/** Frees it; NULL is allowed. */
void
pps_quality_board_free(pps_quality_board_t *board);

/**
 * Remembers an answer of this host and the rating that lagging evidence leads
 * to expect of it; the oldest is forgotten.
 */
int
pps_quality_board_add_answer(pps_quality_board_t *board,
                             const pps_quality_answer_t *answer);

/**
 * Counts a rating if this host gave the answer.
 * @return 0; PPS_ENOTFOUND: another host's, rated already, or too old
 */
int
pps_quality_board_add_rating(pps_quality_board_t *board,
                             const char *request_id, double rating);

/** Encodes what changed since the last call; `*size` 0: nothing. */
int
pps_quality_board_encode(pps_quality_board_t *board, void **out, size_t *size);

/** Encodes all, for a host that has just come. */
int
pps_quality_board_encode_all(pps_quality_board_t *board, void **out,
                             size_t *size);

/** Merges another host's counters. @return 0; PPS_ECORRUPT; PPS_ENOMEM */
int
pps_quality_board_merge(pps_quality_board_t *board, const void *data,
                        size_t size);

/**
 * Takes a step of the health test of every version. A version that a note
 * has changed starts its test anew, and its hold ends.
 * @param found called for each finding, with the version's name; a hold that
 *        ended is told as PPS_HEALTH_OK
 */
void
pps_quality_board_step(pps_quality_board_t *board,
                       const pps_catalog_t *catalog,
                       void (*found)(const char *version,
                                     const pps_health_verdict_t *verdict,
                                     void *user),
                       void *user);

/** Copies the versions held now. */
void
pps_quality_board_copy_held(pps_quality_board_t *board,
                            pps_quality_held_t *out);

/**
 * Finds anew the prices of the workspaces that wait longest for it, from the
 * kinds of requests that this host answered. Control thread.
 */
void
pps_quality_board_update_prices(pps_quality_board_t *board,
                                const pps_catalog_t *catalog);

/**
 * The price of quality that one request of a workspace pays.
 * @param draw uniform in [0, 1)
 * @return 0 until a price was found: each answer has to meet the target
 */
double
pps_quality_board_price(pps_quality_board_t *board, const char *workspace,
                        double draw);

/** Estimates for the choice; owned by the board. */
const pps_quality_source_t *
pps_quality_board_source(const pps_quality_board_t *board);

#endif
