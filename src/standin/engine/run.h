/**
 * @file run.h
 * @brief Generation of an answer by the stand-in engine.
 */
#ifndef STANDIN_RUN_H
#define STANDIN_RUN_H

#include "run_log.h"

#include <stdint.h>
#include <urcu/list.h>

/** Parameters of a generation. */
typedef struct {
    const char *request_id;
    const char *version;
    const char *prompt;
    int64_t max_tokens;
    int64_t resume_from; /**< index of the first token to generate */
    int64_t revision;
    int priority; /**< runs with higher values start first */
    int stream;
} generate_request_t;

/** Generation, guarded by the scheduler's lock. */
typedef struct {
    struct cds_list_head node;
    char *request_id;
    run_entry_t *entry;
    uint64_t key;      /**< argument of standin_text_token() */
    uint64_t first;    /**< index of the first token to generate */
    uint64_t produced; /**< index of the next token to generate */
    uint64_t total;    /**< number of tokens of the answer, from index 0 on */
    uint64_t prompt_tokens;
    int64_t prefill_us; /**< remaining time before the first token */
    int priority;
    run_state_t state;
    int reference_count;
} run_t;

/** Creates a run with one reference, owned by the caller. */
int
run_new(run_t **out, const generate_request_t *request);

/** Releases a reference and frees the run with the last one. */
void
run_unref(run_t *run);

/** Shortens the prefill or adds a token. @return whether the run is done */
int
run_step(run_t *run, int64_t step_us);

#endif
