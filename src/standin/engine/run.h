/**
 * @file run.h
 * @brief One generation under way.
 */
#ifndef STANDIN_RUN_H
#define STANDIN_RUN_H

#include "run_log.h"

#include <stdint.h>
#include <urcu/list.h>

/** What a caller asks for. */
typedef struct {
    const char *request_id;
    const char *version;
    const char *prompt;
    int64_t max_tokens;
    int64_t resume_from; /**< index of the first token to generate */
    int64_t revision;
    int priority; /**< the highest goes first */
    int stream;
} generate_request_t;

/** A generation; guarded by the scheduler's lock. */
typedef struct {
    struct cds_list_head node;
    char *request_id;
    run_entry_t *entry;
    uint64_t key; /**< of standin_text_token() */
    uint64_t first;
    uint64_t produced; /**< index of the next token */
    uint64_t total;
    uint64_t prompt_tokens;
    int64_t prefill_us; /**< left before the first token */
    int priority;
    run_state_t state;
    int references;
} run_t;

/** Makes a run with one reference. */
int
run_new(run_t **out, const generate_request_t *request);

/** Gives a reference back. */
void
run_unref(run_t *run);

/** Advances by one token step. @return whether the run is done */
int
run_step(run_t *run, int64_t step_us);

#endif
