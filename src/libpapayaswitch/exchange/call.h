/**
 * @file call.h
 * @brief A caller's request and a worker's reply in the router's own terms,
 * and the tables of functions that translate them at the router's two ends.
 */
#ifndef PPS_EXCHANGE_CALL_H
#define PPS_EXCHANGE_CALL_H

#include "transport/http_channel.h"
#include "transport/http_server.h"

#include <stdint.h>

/** What a request asks for. Texts live as long as the request. */
typedef struct {
    const char *id;   /**< of this attempt */
    const char *host; /**< that the route is looked up by, without a port */
    const char *key;  /**< of a workspace, or NULL */
    int64_t time_budget_us; /**< the caller's time budget, or 0 */
    const char *model;      /**< asked for by name, or NULL: any */
    int64_t last_event;     /**< the stream goes on behind it; 0: from start */
    int has_last_event;
    int64_t prompt_tokens;
    int64_t shared_tokens;   /**< of the prompt's parts but the last */
    uint64_t session_digest; /**< of the session or shared subject; 0: none */
} pps_call_t;

/** What goes with a request to a worker. */
typedef struct {
    const char *worker_id;
    const char *workspace; /**< name, or NULL */
    const char *model;     /**< chosen by the router, or NULL */
    int64_t budget_us;     /**< time left, or 0: none */
    int64_t last_event;    /**< go on behind it */
    int has_last_event;
    int priority; /**< 0 is the most urgent; negative: say nothing */
} pps_worker_request_t;

/** What a worker's reply says. */
typedef struct {
    const char *id;   /**< of the attempt that it answers, or NULL */
    int sealed;       /**< it bears the worker's seal */
    int not_run;      /**< the worker has not run the request */
    int other_worker; /**< the address is another worker's by now */
    int has_load;
    unsigned int running;
    unsigned int waiting;
    unsigned int slots;
    int confidence; /**< of the model in its answer, 0 to 100; -1: unsaid */
} pps_worker_reply_t;

/** The end towards callers. */
typedef struct {
    /** @return 0, or the status to refuse with */
    unsigned int (*decode)(pps_call_t *out, const pps_http_request_t *request);
    /** Header lines of a refusal. @param retry_after_us negative: none */
    void (*refusal)(pps_buf_t *out, int64_t retry_after_us);
} pps_caller_ops_t;

/** The end towards workers. */
typedef struct {
    /** Writes the whole request as it is sent to a worker. */
    int (*encode)(pps_buf_t *out, const pps_http_request_t *request,
                  const pps_call_t *call, const pps_worker_request_t *send);
    /** Reads the head of a reply. */
    void (*decode)(pps_worker_reply_t *out, const pps_http_reply_t *reply);
    /** Writes the header lines that the caller gets of a reply. */
    void (*fields)(pps_buf_t *out, const pps_http_reply_t *reply);
} pps_worker_ops_t;

#endif
