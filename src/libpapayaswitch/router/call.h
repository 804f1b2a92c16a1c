/**
 * @file call.h
 * @brief What every request of a caller has: identity, workspace, deadline.
 */
#ifndef PPS_ROUTER_CALL_H
#define PPS_ROUTER_CALL_H

#include "api/api_error.h"
#include "papayaswitch/work_record.h"
#include "rng.h"
#include "router_state.h"

/** Longest kind of request, in bytes. */
#define PPS_KIND_MAX 32

/** One request. Belongs to the connection's thread. */
typedef struct {
    pps_router_t *router;
    pps_catalog_t *catalog; /**< held as long as the request lasts */
    const pps_workspace_t *workspace;
    char request_id[PPS_REQUEST_ID_MAX + 1];
    char session[PPS_WORK_KEY_MAX + 1]; /**< "" for none */
    char kind[PPS_KIND_MAX + 1];        /**< "" when not told */
    int64_t deadline_us;
    int64_t started_us;
    pps_priority_t priority;
    pps_pool_t *pool; /**< that the request has entered, or NULL */
    int succeeded;    /**< it was answered whole */
    pps_rng_t rng;
} pps_call_t;

/**
 * Takes a request in: right to serve, identity, workspace, headers. When it
 * cannot be taken the error answer is set and nothing was run.
 * @return 0, then pps_call_end() is due; or a negative number
 */
int
pps_call_begin(pps_call_t *out, pps_router_t *router,
               const struct _u_request *request, struct _u_response *response);

/**
 * Whether the workspace may still start this version on this host, by the
 * newest catalog that the host holds. Ask next to the send.
 * @param in_session a session that is pinned to the version goes on
 */
int
pps_call_may_run(const pps_call_t *call, const char *version, int in_session);

/** The same for a call of a plain service. */
int
pps_call_may_call(const pps_call_t *call, const char *upstream);

/**
 * Enters the pool of an upstream, leaving another one that it had entered.
 * @return 0; PPS_EREFUSED, PPS_ETIMEOUT: refused, and when to come back
 */
int
pps_call_enter_pool(pps_call_t *call, const char *upstream,
                    int64_t *retry_after_us);

/** Whether one more attempt is within the pool's budget of retries. */
int
pps_call_may_retry(const pps_call_t *call);

/** Ends the request; a graceful stop waits for it. */
void
pps_call_end(pps_call_t *call);

/** Sets an error answer for the request. */
void
pps_call_refuse(const pps_call_t *call, struct _u_response *response,
                pps_api_error_t code, int64_t retry_after_us,
                const char *message);

/** Whether a text has 1 to `max` letters, digits, or one of `._:-`. */
int
pps_call_is_token(const char *text, size_t max);

#endif
