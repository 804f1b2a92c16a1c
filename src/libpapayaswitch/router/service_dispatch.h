/**
 * @file service_dispatch.h
 * @brief State of a plain service call, and its dispatch to workers.
 */
#ifndef PPS_ROUTER_SERVICE_DISPATCH_H
#define PPS_ROUTER_SERVICE_DISPATCH_H

#include "call.h"
#include "papayaswitch/choice.h"

/** Most workers to try for one call. */
#define PPS_SERVICE_ATTEMPTS_MAX 4

/** Size of `WORKSPACE:KEY` with its null byte. */
#define UPSTREAM_KEY_BYTES (PPS_NAME_MAX + 1 + PPS_WORK_KEY_MAX + 1)

/** A call of a plain service. */
typedef struct {
    pps_call_t call;
    const pps_upstream_t *upstream;
    pps_worker_view_t *workers;
    pps_service_request_t request;
    const char *key; /**< idempotency key of the caller */
    char upstream_key[UPSTREAM_KEY_BYTES];
    const char *tried[PPS_SERVICE_ATTEMPTS_MAX];
    size_t tried_count;
    pps_choice_worker_t choice;
    pps_service_answer_t answer;
} pps_service_call_t;

/**
 * Tries workers in turn. A call that must run at most once is retried only if
 * the last worker is known not to have run it.
 * @return 0; PPS_EUNAVAILABLE if no worker ran it; else it may have run
 */
int
pps_service_dispatch(pps_service_call_t *service);

#endif
