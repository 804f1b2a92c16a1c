/**
 * @file answer_memory.h
 * @brief Bounded memory of the answers that may be rated later. No lock.
 */
#ifndef PPS_QUALITY_ANSWER_MEMORY_H
#define PPS_QUALITY_ANSWER_MEMORY_H

#include "papayaswitch/quality_board.h"

#include "table.h"

#include <urcu/list.h>

/** What is kept of an answer. */
typedef struct {
    pps_table_item_t item;
    struct cds_list_head node; /**< oldest first */
    char request_id[PPS_REQUEST_ID_MAX + 1];
    char workspace[PPS_NAME_MAX + 1];
    char kind[PPS_NAME_MAX + 1];
    char version[PPS_NAME_MAX + 1];
    uint64_t revision; /**< of the version */
    char worker[PPS_NAME_MAX + 1];
    double expected;
} pps_remembered_t;

/** The memory; zero-initialise, then pps_answer_memory_init(). */
typedef struct {
    pps_table_t by_id;
    struct cds_list_head order;
    size_t count;
} pps_answer_memory_t;

void
pps_answer_memory_init(pps_answer_memory_t *memory);

/** Keeps an answer; one of the same request is replaced. */
int
pps_answer_memory_add(pps_answer_memory_t *memory,
                      const pps_quality_answer_t *answer, double expected);

/** Takes an answer out; the caller frees it. NULL: not kept. */
pps_remembered_t *
pps_answer_memory_take(pps_answer_memory_t *memory, const char *request_id);

/** Frees all. */
void
pps_answer_memory_clear(pps_answer_memory_t *memory);

#endif
