/**
 * @file call.h
 * @brief Decoded form of a caller's request and a worker's reply, and the
 * function tables that convert them from and to HTTP.
 */
#ifndef PPS_EXCHANGE_CALL_H
#define PPS_EXCHANGE_CALL_H

#include "transport/http_channel.h"
#include "transport/http_server.h"

#include <stdint.h>

/** Largest limit that a worker can name, in requests a second. */
#define PPS_LIMIT_MAX_PER_S 1e6

/** Longest pause that a worker can ask for. */
#define PPS_PAUSE_MAX_US (INT64_C(600) * 1000 * 1000)

/** Largest count in a worker's load report, and largest processing time in
 * percent of the usual one. */
#define PPS_LOAD_COUNT_MAX 65535
#define PPS_LOAD_SPEED_MAX 10000
/** Processing time in percent of the usual one, if a worker states none. */
#define PPS_LOAD_SPEED_USUAL 100

/** Longest time for which a worker can state to stay cold. */
#define PPS_COLD_MAX_US (INT64_C(3600) * 1000 * 1000)

/** Number of shared parts of a prompt that are known one by one. */
#define PPS_CALL_PARTS_MAX 32

/** Decoded caller's request. Strings are valid as long as the HTTP request. */
typedef struct {
    const char *id;
    const char *host;          /**< host name to route by, without the port */
    const char *key;           /**< API key of a workspace, or NULL */
    int64_t caller_timeout_us; /**< from receipt of the request; 0: none */
    const char *model;         /**< requested model, or NULL for any */
    int64_t last_event;        /**< id of the last event that the caller has */
    int has_last_event;
    int64_t prompt_tokens;
    int64_t shared_tokens; /**< tokens of all prompt parts but the last */
    /** Keys of these parts; see poison/poison_key.h. */
    uint64_t parts[PPS_CALL_PARTS_MAX];
    size_t part_count;
    uint64_t session_digest; /**< of session or shared parts; 0: unknown */
} pps_call_t;

/** Values that the router adds to a request for a worker. */
typedef struct {
    const char *worker_id;
    const char *workspace; /**< name, or NULL */
    const char *model;     /**< model chosen by the router, or NULL */
    int64_t remaining_us;  /**< time until the deadline, or 0 for no limit */
    int64_t last_event;    /**< id of the event to resume after */
    int has_last_event;
    int priority; /**< 0 is the most urgent; negative: not sent */
} pps_worker_request_t;

/** Decoded head of a worker's reply. */
typedef struct {
    const char *id;  /**< id of the request that it answers, or NULL */
    int sealed;      /**< whether it has the worker's seal and no content
                          encoding */
    int not_run;     /**< the worker has not run the request */
    int is_unframed; /**< it has no length, but ends with the connection */
    int is_json;
    int other_worker; /**< the address now belongs to another worker */
    int has_load;     /**< running, waiting and slots are set */
    unsigned int running;
    unsigned int waiting;
    unsigned int slots;
    unsigned int speed_percent; /**< processing time now, in percent of the
                                     usual one */
    int has_speed;              /**< its load has the fourth figure */
    int invalid_load;           /**< its load is no valid statement */
    int leaving;       /**< the worker is leaving: it wants no new requests */
    int64_t pause_us;  /**< time for which it wants no requests from this host,
                            at most PPS_PAUSE_MAX_US; 0: none */
    int invalid_pause; /**< it stated one that is negative, too long or no
                            number */
    int has_limit;     /**< the worker names a limit */
    double limit_per_s;  /**< requests a second that it takes from all hosts
                              together, at most PPS_LIMIT_MAX_PER_S */
    int invalid_limit;   /**< it named one that is negative, too large or no
                              number */
    int is_brittle;      /**< it ends if it has to reject more than a few
                              requests in a second */
    int invalid_brittle; /**< it stated a number that is none */
    int64_t cold_us;     /**< time for which it stays cold, at most
                              PPS_COLD_MAX_US; negative: not stated */
    int confidence;      /**< stated by the model, 0 to 100; -1: none */
} pps_worker_reply_t;

/** Protocol functions for the caller's side. */
typedef struct {
    /** Decodes a request. @return 0, or the HTTP status to refuse it with */
    unsigned int (*decode)(pps_call_t *out, const pps_http_request_t *request);
    /** Writes the header lines of a refusal. @param retry_after_us negative:
     * no retry time */
    void (*refusal)(pps_buf_t *out, int64_t retry_after_us);
} pps_caller_ops_t;

/** Protocol functions for the workers' side. */
typedef struct {
    /** Writes a complete HTTP request for a worker. @return 0 or an error */
    int (*encode)(pps_buf_t *out, const pps_http_request_t *request,
                  const pps_call_t *call,
                  const pps_worker_request_t *worker_request);
    /** Decodes the head of a reply. */
    void (*decode)(pps_worker_reply_t *out, const pps_http_reply_t *reply);
    /** Writes the header lines of a reply that are forwarded to the caller. */
    void (*fields)(pps_buf_t *out, const pps_http_reply_t *reply);
} pps_worker_ops_t;

#endif
