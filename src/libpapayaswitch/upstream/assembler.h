/**
 * @file assembler.h
 * @brief Orders the tokens of an answer and detects whether it is complete.
 *
 * It has no I/O and no clock of its own. Events of another request are
 * rejected, duplicate tokens are dropped and early tokens are buffered.
 */
#ifndef PPS_UPSTREAM_ASSEMBLER_H
#define PPS_UPSTREAM_ASSEMBLER_H

#include "papayaswitch/engine.h"

#include <urcu/list.h>

/** Maximum number of tokens that are buffered until a late one arrives. */
#define PPS_ASSEMBLER_BUFFERED_MAX 64

/** An answer that is being assembled. */
typedef struct {
    const char *request_id;        /**< borrowed */
    uint64_t next;                 /**< index of the next token to emit */
    struct cds_list_head buffered; /**< early tokens, by index */
    int buffered_count;
    int finished;
    uint64_t prompt_tokens;
    uint64_t generated_tokens;
    char finish_reason[16];
} pps_assembler_t;

/** Initializes an answer to the request. */
void
pps_assembler_init(pps_assembler_t *assembler, const char *request_id);

/**
 * Adds one event.
 * @param emit called for each token that is now in order
 * @return 0; PPS_ECORRUPT for an event of another request, a finish event that
 *         reports fewer tokens than were emitted, or too many buffered tokens;
 *         PPS_ENOMEM; an error of `emit`
 */
int
pps_assembler_add(pps_assembler_t *assembler, const pps_engine_event_t *event,
                  int (*emit)(const char *text, void *user), void *user);

/** Returns whether the finish event and all tokens were added. */
int
pps_assembler_is_complete(const pps_assembler_t *assembler);

/** Drops buffered tokens and the finish event; the next stream starts at
 * `next`. */
void
pps_assembler_restart(pps_assembler_t *assembler);

/** Frees the buffered tokens. */
void
pps_assembler_clear(pps_assembler_t *assembler);

#endif
