/**
 * @file standin_refusal.h
 * @brief Refusals of the stand-ins: a status and a code each.
 */
#ifndef STANDIN_REFUSAL_H
#define STANDIN_REFUSAL_H

#include <ulfius.h>

/** Why a request is not run. */
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

/** The refusal with this code; STANDIN_REFUSAL_NONE for any other text. */
standin_refusal_t
standin_refusal_find(const char *code);

/** Sets the refusal's answer. @return the value for ulfius */
int
standin_refuse(struct _u_response *response, standin_refusal_t refusal);

/** Answers 400 with the detail of the last error. */
int
standin_refuse_malformed(struct _u_response *response);

#endif
