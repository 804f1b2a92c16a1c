/**
 * @file load_request.h
 * @brief One request that a caller means to have answered.
 */
#ifndef PPS_CLI_LOAD_REQUEST_H
#define PPS_CLI_LOAD_REQUEST_H

#include "buf.h"
#include "load_options.h"
#include "rng.h"

#include <urcu/list.h>

/** A request; its id and key stay the same over all attempts. */
typedef struct {
    struct cds_list_head node;
    const load_options_t *options;
    const load_workspace_t *workspace;
    int kind;    /**< index in load_kinds */
    int session; /**< index of the session, or -1 */
    char id[64];
    char resource[64]; /**< path at the service */
    pps_buf_t body;    /**< empty for a lookup */
    int64_t due_us;    /**< when it was meant to be sent */
    pps_rng_t rng;     /**< draws of its caller */
} load_request_t;

/** Draws request number `index`. */
int
load_request_new(load_request_t **out, const load_options_t *options,
                 uint64_t index, int64_t due_us);

/** Frees a request; NULL is allowed. */
void
load_request_free(load_request_t *request);

/** The request's kind. */
const load_kind_t *
load_request_kind(const load_request_t *request);

#endif
