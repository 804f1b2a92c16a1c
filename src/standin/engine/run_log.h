/**
 * @file run_log.h
 * @brief What became of every request that this engine started.
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

/** What is known of one request id. */
typedef struct {
    char *request_id;
    char *version;
    uint64_t starts;
    uint64_t tokens; /**< generated here, over all starts */
    int finished;    /**< whether one start reached its last token */
    run_state_t state;
    UT_hash_handle hh;
} run_entry_t;

/** All requests; kept for as long as the process lives. Not locked. */
typedef struct {
    run_entry_t *entries;
} run_log_t;

void
run_log_clear(run_log_t *log);

/** Counts a start. */
int
run_log_start(run_log_t *log, run_entry_t **out, const char *request_id,
              const char *version);

/** `{"runs":[...],"started_by_version":{...}}` */
json_t *
run_log_json(const run_log_t *log);

/** `{"state","generated_tokens"}` of one request id. */
json_t *
run_log_outcome(const run_log_t *log, const char *request_id);

#endif
