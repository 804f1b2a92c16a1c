/**
 * @file answer_memory.h
 * @brief Bounded store of answers that may be rated later. Not thread-safe.
 */
#ifndef PPS_QUALITY_ANSWER_MEMORY_H
#define PPS_QUALITY_ANSWER_MEMORY_H

#include "papayaswitch/quality_board.h"

#include "table.h"

#include <urcu/list.h>

/** Fields of an answer that are kept until its rating. */
typedef struct {
    pps_table_item_t item;
    struct cds_list_head node;
    char request_id[PPS_REQUEST_ID_MAX + 1];
    char workspace[PPS_NAME_MAX + 1];
    char kind[PPS_NAME_MAX + 1];
    char version[PPS_NAME_MAX + 1];
    uint64_t revision; /**< of the version */
    char worker[PPS_NAME_MAX + 1];
    double expected; /**< expected rating */
} pps_kept_answer_t;

/** Answers by request id; initialize with pps_answer_memory_init(). */
typedef struct {
    pps_table_t by_id;
    struct cds_list_head order; /**< oldest first */
    size_t count;
} pps_answer_memory_t;

void
pps_answer_memory_init(pps_answer_memory_t *memory);

/** Keeps an answer with its expected rating. Replaces one of the same request
 * and, at PPS_QUALITY_ANSWERS_MAX, the oldest. @return 0; PPS_ENOMEM */
int
pps_answer_memory_add(pps_answer_memory_t *memory,
                      const pps_quality_answer_t *answer, double expected);

/** Removes and returns an answer, which the caller frees; NULL: none. */
pps_kept_answer_t *
pps_answer_memory_take(pps_answer_memory_t *memory, const char *request_id);

/** Frees all answers. */
void
pps_answer_memory_clear(pps_answer_memory_t *memory);

#endif
