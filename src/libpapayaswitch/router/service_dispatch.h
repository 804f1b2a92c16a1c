/**
 * @file service_dispatch.h
 * @brief A call of a plain service, and its way to a worker.
 */
#ifndef PPS_ROUTER_SERVICE_DISPATCH_H
#define PPS_ROUTER_SERVICE_DISPATCH_H

#include "call.h"
#include "papayaswitch/choice.h"

/** Most workers that one call is tried at. */
#define PPS_SERVICE_ATTEMPTS_MAX 4

/** Room for `WORKSPACE:KEY`. */
#define UPSTREAM_KEY_BYTES (PPS_NAME_MAX + 1 + PPS_WORK_KEY_MAX + 1)

/** One call of a plain service. */
typedef struct {
    pps_call_t call;
    const pps_upstream_t *upstream;
    pps_worker_view_t *workers;
    pps_service_request_t request;
    const char *key; /* the caller's */
    char upstream_key[UPSTREAM_KEY_BYTES];
    const char *tried[PPS_SERVICE_ATTEMPTS_MAX];
    size_t tried_count;
    pps_choice_worker_t choice;
    pps_service_answer_t answer;
} pps_service_call_t;

/**
 * Tries workers in turn. A call that must run at most once goes on only
 * while the last worker surely has not run it.
 * @return 0; PPS_EUNAVAILABLE: surely not run; else it may have run
 */
int
pps_service_dispatch(pps_service_call_t *service);

#endif
