/**
 * @file load_report.h
 * @brief Collects the results of the requests of a load.
 */
#ifndef PPS_CLI_LOAD_REPORT_H
#define PPS_CLI_LOAD_REPORT_H

#include "load_answer.h"
#include "load_samples.h"

#include <pthread.h>

/** Maximum number of versions with their own count; responses of further
 * versions appear in the totals only. */
#define LOAD_VERSIONS_MAX 64

/** Maximum number of failures with a description; all failures are counted. */
#define LOAD_FAILURES_MAX 50

/** Result of a request after its last attempt. */
typedef struct {
    load_verdict_t verdict;
    int retries;
    int64_t sent_wall_us;  /**< wall-clock time of the last attempt */
    int64_t total_us;      /**< from the due time to the end */
    int64_t first_text_us; /**< from the due time to the first text; 0: none */
    const char *entry;     /**< entry host of the last attempt */
} load_outcome_t;

/** Complete responses of one version. */
typedef struct {
    char name[64];
    int64_t count;
    int64_t first_sent_us; /**< wall-clock time */
    int64_t last_sent_us;
} load_version_count_t;

/** Counts and latencies of one kind of request. */
typedef struct {
    int64_t sent;
    int64_t whole; /**< complete responses */
    load_samples_t first_text;
    load_samples_t total;
} load_kind_count_t;

/** Results of a load. load_report_add(), load_report_count_unsent() and
 * load_report_json() take the lock; the others need exclusive access. */
typedef struct {
    pthread_mutex_t lock;
    int64_t verdicts[LOAD_VERDICT_COUNT];
    int64_t sent;
    int64_t retries;
    int64_t not_sent;  /**< requests dropped because the queue was full */
    int64_t verified;  /**< model responses with a version under --verify */
    int64_t ran_twice; /**< requests with more than one run reported */
    int64_t session_version_changes;
    load_kind_count_t kinds[LOAD_KIND_COUNT];
    load_version_count_t versions[LOAD_VERSIONS_MAX];
    size_t version_count;
    char (*session_versions)[64]; /**< last version of each session, or "" */
    json_t *codes;                /**< counts by error code */
    json_t *failures;
} load_report_t;

int
load_report_init(load_report_t *report, int sessions);

void
load_report_clear(load_report_t *report);

/** Adds the outcome of a request and its last response. */
void
load_report_add(load_report_t *report, const load_request_t *request,
                const load_answer_t *answer, const load_outcome_t *outcome);

/** Counts a request that was not sent. */
void
load_report_count_unsent(load_report_t *report);

/** Encodes the report. @return a new reference */
json_t *
load_report_json(load_report_t *report);

/** Returns whether a guarantee was violated: a response was incomplete,
 * missing or wrong, a request ran twice, or the version changed within a
 * session. */
int
load_report_has_violations(const load_report_t *report);

#endif
