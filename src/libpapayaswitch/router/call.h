/**
 * @file call.h
 * @brief State and checks common to all caller requests.
 */
#ifndef PPS_ROUTER_CALL_H
#define PPS_ROUTER_CALL_H

#include "api/api_error.h"
#include "papayaswitch/work_record.h"
#include "rng.h"
#include "router_state.h"

/** Longest request kind (X-Kind), in bytes. */
#define PPS_KIND_MAX 32

/** One request. Used only on its connection's thread. */
typedef struct {
    pps_router_t *router;
    pps_catalog_t *catalog; /**< reference held until the request ends */
    const pps_workspace_t *workspace;
    char request_id[PPS_REQUEST_ID_MAX + 1];
    char session[PPS_WORK_KEY_MAX + 1]; /**< "" if none */
    char kind[PPS_KIND_MAX + 1];        /**< "" if not given */
    int64_t deadline_us;
    int64_t started_us;
    pps_priority_t priority;
    pps_pool_t *pool; /**< pool entered, or NULL */
    int succeeded;    /**< nonzero after a complete answer */
    pps_rng_t rng;
} pps_call_t;

/**
 * Admits a request: checks its headers, whether this host may start work and
 * accepts bills, and the workspace of its key. Sets the error answer if the
 * request is refused; nothing was run then.
 * @return 0, then call pps_call_end(); or a negative code
 */
int
pps_call_begin(pps_call_t *out, pps_router_t *router,
               const struct _u_request *request, struct _u_response *response);

/**
 * Checks that this host may start work and that its newest catalog allows the
 * workspace to use a version. Call it immediately before the send.
 * @param in_session nonzero if pinned: a retiring version is then allowed
 */
int
pps_call_may_use_version(const pps_call_t *call, const char *version,
                         int in_session);

/** Checks the same for a call of a plain service. */
int
pps_call_may_use_service(const pps_call_t *call, const char *upstream);

/**
 * Enters the pool of an upstream and leaves the pool entered before, if any.
 * @return 0; PPS_EREFUSED, PPS_ETIMEOUT: refused, see `retry_after_us`;
 *         PPS_ENOMEM
 */
int
pps_call_enter_pool(pps_call_t *call, const char *upstream,
                    int64_t *retry_after_us);

/** Takes one retry from the pool's budget. @return 0 if none is left */
int
pps_call_may_retry(const pps_call_t *call);

/** Ends the request. A graceful stop waits for all requests to end. */
void
pps_call_end(pps_call_t *call);

/** Records a refusal and sets the error answer. */
void
pps_call_refuse(const pps_call_t *call, struct _u_response *response,
                pps_api_error_t code, int64_t retry_after_us,
                const char *message);

/** Checks that a text has 1 to `max` characters: letters, digits, `._:-`. */
int
pps_call_is_token(const char *text, size_t max);

#endif
