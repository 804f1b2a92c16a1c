/**
 * @file harness_service_call.h
 * @brief Service calls with an idempotency key, one or several at a time.
 */
#ifndef PPS_TESTS_HARNESS_SERVICE_CALL_H
#define PPS_TESTS_HARNESS_SERVICE_CALL_H

#include "harness_cluster.h"

#include <pthread.h>

/** Longest error code, in bytes, including the terminating NUL. */
#define SERVICE_CALL_CODE_MAX 40

/** The answer to a call. */
typedef struct {
    int status; /**< HTTP status; 0 when no answer was received */
    char code[SERVICE_CALL_CODE_MAX]; /**< `error.code`, or empty */
    char run[SERVICE_CALL_CODE_MAX];  /**< `error.run`, or empty */
    json_int_t run_number; /**< `run` of the service's answer, or -1 */
    int has_retry_after;   /**< the answer has a Retry-After header */
    int has_replay_header; /**< the answer has X-Idempotent-Replay */
} service_call_result_t;

/** A release, or a query for its outcome. */
typedef struct {
    cluster_t *cluster;
    int router;
    const char *key;
    const char *body;     /**< NULL: `{}` */
    const char *bearer;   /**< NULL: office-key */
    int is_outcome_query; /**< sends GET /v1/outcomes/KEY */
    service_call_result_t result;
    pthread_t thread;
} service_call_t;

/** Sends the call and waits for its answer. */
void
service_call_perform(service_call_t *call);

/** Sends the call from a thread of its own. */
void
service_call_start(service_call_t *call);

/** Waits for the thread of service_call_start(). */
void
service_call_join(service_call_t *call);

/**
 * Repeats the call until its answer is final: neither `in_progress` nor a
 * refusal with Retry-After. Stops after CLUSTER_WAIT_MS.
 */
void
service_call_complete(service_call_t *call);

/** Sets up a release of `office` and sends it. */
void
service_call_perform_key(service_call_t *call, cluster_t *cluster, int router,
                         const char *key);

/** Sets up a release of `office` and repeats it until its answer is final. */
void
service_call_complete_key(service_call_t *call, cluster_t *cluster, int router,
                          const char *key);

/** Repeats the call until its error code is not `not_serving`. */
void
service_call_wait_serving(service_call_t *call);

/** Whether the answer has this error code. */
int
service_call_has_code(const service_call_t *call, const char *code);

/** Whether the answer is `in_progress` or `outcome_unknown`, the only ones
 * allowed while the outcome of an earlier request is not known. */
int
service_call_is_undecided(const service_call_t *call);

/** Whether the answer is `run: no` with a Retry-After. */
int
service_call_is_not_run(const service_call_t *call);

/** Waits until a router has sent a call with the key to a service. */
int
service_call_wait_sent(cluster_t *cluster, int router, const char *key);

/** Changes the faults of all services. */
void
cluster_set_service_faults(cluster_t *cluster, const char *faults);

/** Removes the faults of the platform and of all services. */
void
cluster_reset_faults(cluster_t *cluster);

#endif
