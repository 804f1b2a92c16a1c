/**
 * @file board_state.h
 * @brief Internal state of the quality board, guarded by its lock.
 */
#ifndef PPS_QUALITY_BOARD_STATE_H
#define PPS_QUALITY_BOARD_STATE_H

#include "answer_memory.h"
#include "papayaswitch/evidence.h"
#include "papayaswitch/quality_board.h"
#include "papayaswitch/reference.h"
#include "price_book.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>

struct pps_quality_board {
    pps_quality_source_t source; /* first: estimate() casts its address */
    pthread_rwlock_t lock;
    pps_tally_t *tally;
    pps_evidence_t evidence;
    pps_reference_t *reference;
    pps_evidence_t expectation; /**< lagging estimates, over `reference` */
    pps_answer_memory_t answers;
    pps_price_book_t prices;
    uint64_t last_encoded_change; /**< last change sent to other hosts */
    pps_table_t by_version;
    struct cds_list_head tests;
};

/** Maximum length of the name under which a health test is counted. */
#define PPS_HEALTH_SUBJECT_MAX (PPS_NAME_MAX + 21)

/** Writes a name that includes the version's revision, so that a test never
 * includes ratings from before a note changed the version. */
static inline void
pps_health_format_subject(char out[PPS_HEALTH_SUBJECT_MAX + 1],
                          const char *version, uint64_t revision)
{
    snprintf(out, PPS_HEALTH_SUBJECT_MAX + 1, "%s@%" PRIu64, version,
             revision);
}

/** Returns the kind under which an answer is counted; "-" for none. */
static inline const char *
pps_quality_kind(const char *kind)
{
    return kind[0] != '\0' ? kind : "-";
}

/** Frees the health tests of a board. */
void
pps_quality_board_clear_tests(pps_quality_board_t *board);

#endif
