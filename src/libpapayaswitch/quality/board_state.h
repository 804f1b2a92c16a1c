/**
 * @file board_state.h
 * @brief Inner layout of the quality board; its lock guards all of it.
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
    pps_quality_source_t source; /* first: the choice gets its address */
    pthread_rwlock_t lock;
    pps_tally_t *tally;
    pps_evidence_t evidence;
    pps_reference_t *reference;
    pps_evidence_t expectation; /**< over the reference */
    pps_answer_memory_t answers;
    pps_price_book_t prices;
    uint64_t encoded; /**< last change that was told to the others */
    pps_table_t by_version;
    struct cds_list_head watches;
};

/** Longest name under which the ratings of a version's test are counted. */
#define PPS_HEALTH_SUBJECT_MAX (PPS_NAME_MAX + 21)

/** A version as one note left it: a test never sees what came before. */
static inline void
pps_health_subject(char out[PPS_HEALTH_SUBJECT_MAX + 1], const char *version,
                   uint64_t revision)
{
    snprintf(out, PPS_HEALTH_SUBJECT_MAX + 1, "%s@%" PRIu64, version,
             revision);
}

/** The kind under which an answer is counted. */
static inline const char *
pps_quality_kind(const char *kind)
{
    return kind[0] != '\0' ? kind : "-";
}

/** Frees the health tests. */
void
pps_quality_watches_clear(pps_quality_board_t *board);

#endif
