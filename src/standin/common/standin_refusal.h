/**
 * @file standin_refusal.h
 * @brief Refusals of the stand-ins, with their HTTP status and error code.
 */
#ifndef STANDIN_REFUSAL_H
#define STANDIN_REFUSAL_H

#include <ulfius.h>

/** Reason why a request is not run. */
typedef enum {
    STANDIN_REFUSAL_NONE,
    STANDIN_REFUSAL_DRAINING,
    STANDIN_REFUSAL_FULL,
    STANDIN_REFUSAL_VERSION_NOT_LOADED,
    STANDIN_REFUSAL_BROKEN,
    STANDIN_REFUSAL_STALE_REVISION,
    STANDIN_REFUSAL_STALE_FENCING,
    STANDIN_REFUSAL_RATE_LIMITED,
    STANDIN_REFUSAL_DOWN,
    STANDIN_REFUSAL_MALFORMED,
    STANDIN_REFUSAL_NOT_FOUND,
    STANDIN_REFUSAL_COUNT
} standin_refusal_t;

/** Returns the refusal with this code, or STANDIN_REFUSAL_NONE. */
standin_refusal_t
standin_refusal_find(const char *code);

/** Fills in the response for a refusal. @return U_CALLBACK_COMPLETE */
int
standin_refuse(struct _u_response *response, standin_refusal_t refusal);

/** Fills in a 400 with pps_error_last(). @return U_CALLBACK_COMPLETE */
int
standin_refuse_malformed(struct _u_response *response);

#endif
