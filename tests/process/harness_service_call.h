/**
 * @file harness_service_call.h
 * @brief Calls that must run at most once, also several at the same time.
 */
#ifndef PPS_TESTS_HARNESS_SERVICE_CALL_H
#define PPS_TESTS_HARNESS_SERVICE_CALL_H

#include "harness_cluster.h"

#include <pthread.h>

/** Longest error code, its end included. */
#define SERVICE_CALL_CODE_MAX 40

/** What came of a call. */
typedef struct {
    int status; /**< 0: no answer came */
    char code[SERVICE_CALL_CODE_MAX];
    char run[SERVICE_CALL_CODE_MAX];
    json_int_t ran;  /**< `run` of the service's answer; -1: none */
    int retry_after; /**< whether a Retry-After came */
    int replayed;    /**< whether X-Idempotent-Replay came */
} service_call_result_t;

/** A release or a question for its outcome. */
typedef struct {
    cluster_t *cluster;
    int router;
    const char *key;
    const char *body;   /**< NULL: `{}` */
    const char *bearer; /**< NULL: office-key */
    int ask;            /**< GET /v1/outcomes/KEY */
    service_call_result_t result;
    pthread_t thread;
} service_call_t;

/** Makes the call and waits for its end. */
void
service_call_perform(service_call_t *act);

/** Makes the call on a thread of its own. */
void
service_call_start(service_call_t *act);

/** Waits for service_call_start(). */
void
service_call_join(service_call_t *act);

/** Calls until the answer is final: neither `in_progress` nor refused. */
void
service_call_complete(service_call_t *act);

/** Makes an act of `office` and calls. */
void
service_call_perform_key(service_call_t *act, cluster_t *cluster, int router,
                         const char *key);

/** Makes an act of `office` and calls until the answer is final. */
void
service_call_complete_key(service_call_t *act, cluster_t *cluster, int router,
                          const char *key);

/** Calls until the answer is not `not_serving`. */
void
service_call_wait_serving(service_call_t *act);

/** Whether the answer has this error code. */
int
service_call_has_code(const service_call_t *act, const char *code);

/** Whether it is told what may be told while an earlier request's end is not
 * known. */
int
service_call_is_undecided(const service_call_t *act);

/** Whether it is told that it was not run, and when to come back. */
int
service_call_is_not_run(const service_call_t *act);

/** Waits until a router has sent a call with the key to a service. */
int
service_call_wait_sent(cluster_t *cluster, int router, const char *key);

/** Changes the faults of all services. */
void
cluster_set_service_faults(cluster_t *cluster, const char *faults);

/** Ends the faults of the platform and of all services. */
void
cluster_reset_faults(cluster_t *cluster);

#endif
