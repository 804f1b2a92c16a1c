/**
 * @file harness_act.h
 * @brief Calls that must run at most once, also several at the same time.
 */
#ifndef PPS_TESTS_HARNESS_ACT_H
#define PPS_TESTS_HARNESS_ACT_H

#include "harness_cluster.h"

#include <pthread.h>

/** Longest error code, its end included. */
#define ACT_CODE_MAX 40

/** What came of a call. */
typedef struct {
    int status; /**< 0: no answer came */
    char code[ACT_CODE_MAX];
    char run[ACT_CODE_MAX];
    json_int_t ran;  /**< `run` of the service's answer; -1: none */
    int retry_after; /**< whether a Retry-After came */
    int replayed;    /**< whether X-Idempotent-Replay came */
} act_result_t;

/** A release or a question for its outcome. */
typedef struct {
    cluster_t *cluster;
    int router;
    const char *key;
    const char *body;   /**< NULL: `{}` */
    const char *bearer; /**< NULL: office-key */
    int ask;            /**< GET /v1/outcomes/KEY */
    act_result_t result;
    pthread_t thread;
} act_t;

/** Makes the call and waits for its end. */
void
act_call(act_t *act);

/** Makes the call on a thread of its own. */
void
act_start(act_t *act);

/** Waits for act_start(). */
void
act_join(act_t *act);

/** Calls until the answer is final: neither `in_progress` nor refused. */
void
act_settle(act_t *act);

/** Makes an act of `office` and calls. */
void
act_call_key(act_t *act, cluster_t *cluster, int router, const char *key);

/** Makes an act of `office` and calls until the answer is final. */
void
act_settle_key(act_t *act, cluster_t *cluster, int router, const char *key);

/** Calls until the answer is not `not_serving`. */
void
act_call_served(act_t *act);

/** Whether the answer has this error code. */
int
act_is_code(const act_t *act, const char *code);

/** Whether it is told what may be told while an earlier request's end is not
 * known. */
int
act_is_open(const act_t *act);

/** Whether it is told that it was not run, and when to come back. */
int
act_is_not_run(const act_t *act);

/** Waits until a router has sent a call with the key to a service. */
int
act_wait_sent(cluster_t *cluster, int router, const char *key);

/** Changes the faults of all services. */
void
act_fault_services(cluster_t *cluster, const char *faults);

/** Ends the faults of the platform and of all services. */
void
act_heal(cluster_t *cluster);

#endif
