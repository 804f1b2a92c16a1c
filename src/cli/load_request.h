/**
 * @file load_request.h
 * @brief One request of a load.
 */
#ifndef PPS_CLI_LOAD_REQUEST_H
#define PPS_CLI_LOAD_REQUEST_H

#include "buf.h"
#include "load_options.h"
#include "rng.h"

#include <urcu/list.h>

/** A request. All attempts have the same id, which is also the idempotency key
 * of a release. */
typedef struct {
    struct cds_list_head node;
    const load_options_t *options;
    const load_workspace_t *workspace;
    int kind;    /**< index in load_kinds */
    int session; /**< index of the session, or -1 */
    char id[64];
    char resource[64]; /**< path in the service */
    pps_buf_t body;    /**< empty for a lookup */
    int64_t due_us;    /**< monotonic time at which it is due */
    pps_rng_t rng;     /**< random numbers of its fields and retries */
} load_request_t;

/** Draws request number `index`. @return 0 or PPS_ENOMEM */
int
load_request_new(load_request_t **out, const load_options_t *options,
                 uint64_t index, int64_t due_us);

/** Frees a request; NULL is allowed. */
void
load_request_free(load_request_t *request);

/** Returns the kind of the request. */
const load_kind_t *
load_request_kind(const load_request_t *request);

#endif
