/**
 * @file assembler.h
 * @brief Puts an answer's tokens in order and knows when it is whole.
 *
 * Pure: events in, tokens out. Events of another request are refused, those
 * that come twice are dropped, those that come early are kept for a while.
 */
#ifndef PPS_UPSTREAM_ASSEMBLER_H
#define PPS_UPSTREAM_ASSEMBLER_H

#include "papayaswitch/engine.h"

#include <urcu/list.h>

/** How many tokens may wait for one that is late. */
#define PPS_ASSEMBLER_WAITING_MAX 64

/** An answer being put together. */
typedef struct {
    const char *request_id; /**< borrowed */
    uint64_t next;          /**< index of the next token to hand on */
    struct cds_list_head waiting;
    int waiting_count;
    int finished;
    uint64_t prompt_tokens;
    uint64_t generated_tokens;
    char finish_reason[16];
} pps_assembler_t;

/** Starts an answer for the request. */
void
pps_assembler_init(pps_assembler_t *assembler, const char *request_id);

/**
 * Takes one event.
 * @param emit called for each token that is now in order
 * @return 0; PPS_ECORRUPT for another request's event, a finish that does not
 *         fit the tokens, or a gap that is too long; PPS_ENOMEM
 */
int
pps_assembler_add(pps_assembler_t *assembler, const pps_engine_event_t *event,
                  int (*emit)(const char *text, void *user), void *user);

/** Whether the finish and every token before it have come. */
int
pps_assembler_is_complete(const pps_assembler_t *assembler);

/** Forgets what waits and a finish: the next stream starts at `next`. */
void
pps_assembler_restart(pps_assembler_t *assembler);

/** Frees what waits. */
void
pps_assembler_clear(pps_assembler_t *assembler);

#endif
