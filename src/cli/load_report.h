/**
 * @file load_report.h
 * @brief What became of all requests of a load.
 */
#ifndef PPS_CLI_LOAD_REPORT_H
#define PPS_CLI_LOAD_REPORT_H

#include "load_answer.h"
#include "load_samples.h"

#include <pthread.h>

/** Versions told apart. */
#define LOAD_VERSIONS_MAX 64

/** Failures described in the account. */
#define LOAD_FAILURES_MAX 50

/** What became of one request, after its last attempt. */
typedef struct {
    load_verdict_t verdict;
    int retries;
    int64_t sent_wall_us; /**< when the last attempt was sent */
    int64_t total_us;     /**< from when it was due */
    int64_t first_us;     /**< to the first text; 0: none */
    const char *entry;    /**< of the last attempt */
} load_outcome_t;

/** Requests that one version answered. */
typedef struct {
    char name[64];
    int64_t count;
    int64_t first_sent_us; /**< wall clock */
    int64_t last_sent_us;
} load_version_count_t;

/** Counts of one kind. */
typedef struct {
    int64_t sent;
    int64_t whole;
    load_samples_t first;
    load_samples_t total;
} load_kind_count_t;

/** The account; its functions may be called from any thread. */
typedef struct {
    pthread_mutex_t lock;
    int64_t verdicts[LOAD_VERDICT_COUNT];
    int64_t sent;
    int64_t retries;
    int64_t not_sent;  /**< arrivals that found too many waiting */
    int64_t verified;  /**< texts compared with their version's */
    int64_t ran_twice; /**< acts that the service says it ran again */
    int64_t session_changes;
    load_kind_count_t kinds[LOAD_KIND_COUNT];
    load_version_count_t versions[LOAD_VERSIONS_MAX];
    size_t version_count;
    char (*session_versions)[64]; /**< by session; "" before the first */
    json_t *codes;                /**< error code: count */
    json_t *failures;
} load_report_t;

int
load_report_init(load_report_t *account, int sessions);

void
load_report_clear(load_report_t *account);

/** Enters a request with its last answer. */
void
load_report_add(load_report_t *account, const load_request_t *request,
                const load_answer_t *answer, const load_outcome_t *outcome);

/** Counts an arrival that was not sent. */
void
load_report_not_sent(load_report_t *account);

/** The whole account. */
json_t *
load_report_json(load_report_t *account);

/** Whether an answer was cut or wrong, or an act ran twice. */
int
load_report_broken(const load_report_t *account);

#endif
