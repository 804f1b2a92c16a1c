/**
 * @file run_log.h
 * @brief State and counts of every request that the engine started.
 */
#ifndef STANDIN_RUN_LOG_H
#define STANDIN_RUN_LOG_H

#include "hash_table.h"

#include <jansson.h>
#include <stdint.h>

/** State of a generation. */
typedef enum {
    RUN_RUNNING, /**< queued or generating */
    RUN_DONE,
    RUN_CANCELLED,
} run_state_t;

/** State of a request id over all its starts. */
typedef struct {
    char *request_id;
    char *version;
    uint64_t start_count;
    uint64_t token_count; /**< tokens generated in all starts */
    int finished;         /**< whether a start generated its last token */
    run_state_t state;
    UT_hash_handle hh;
} run_entry_t;

/** All requests since the start of the process. Not thread-safe. */
typedef struct {
    run_entry_t *entries;
} run_log_t;

void
run_log_clear(run_log_t *log);

/** Counts a start and sets `out` to the entry, owned by the log. */
int
run_log_count_start(run_log_t *log, run_entry_t **out, const char *request_id,
                    const char *version);

/** Returns `{"runs":[...],"started_by_version":{...}}`. */
json_t *
run_log_json(const run_log_t *log);

/** Returns `{"state","generated_tokens"}` of a request id. */
json_t *
run_log_outcome(const run_log_t *log, const char *request_id);

#endif
