/**
 * @file exchange.h
 * @brief Serves one request from its arrival to the last byte of its answer,
 * over one or more attempts at workers. Functions that end the request free
 * its exchange.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_H
#define PPS_EXCHANGE_EXCHANGE_H

#include "dispatcher.h"
#include "event_split.h"
#include "relay/relay_call.h"
#include "retry_after.h"

/** Most attempts for one request, including refused ones. */
#define PPS_SENDS_MAX 8

#define PPS_EXCHANGE_CONNECT_TIMEOUT_US 200000

typedef enum {
    PPS_ATTEMPT_NONE,
    PPS_ATTEMPT_SENT,      /**< waiting for the head of the reply */
    PPS_ATTEMPT_BUFFERING, /**< buffering a reply until it is complete */
    PPS_ATTEMPT_STREAMING, /**< forwarding events as they arrive */
} pps_attempt_state_t;

/** Whether the current attempt is counted as evidence on its version. */
typedef enum {
    PPS_EVIDENCE_NONE,
    PPS_EVIDENCE_GOOD,
    PPS_EVIDENCE_BAD,
} pps_evidence_state_t;

/** A second attempt under way; see exchange_hedge.h. */
typedef struct pps_exchange_hedge pps_exchange_hedge_t;

/** An active request. */
typedef struct pps_exchange {
    struct cds_list_head node;
    pps_dispatcher_t *dispatcher;
    pps_http_conn_t *conn;
    const pps_http_request_t *request;
    pps_call_t call;
    pps_deployment_t *deployment;
    const pps_route_t *route; /**< NULL until the request is admitted */
    const pps_workspace_t *workspace;
    const pps_upstream_t *upstream;
    pps_upstream_state_t *upstream_state;
    int64_t deadline_us;        /**< INT64_MAX: none */
    pps_timer_t deadline_timer; /**< also ends the wait for the start */

    struct cds_list_head probe_node; /**< waits for a probe; crash_watch.h */

    /* These fields cover all attempts. */
    unsigned int sends;         /**< attempts, including those not run */
    unsigned int runs;          /**< attempts that may have run */
    unsigned int borrow_tries;  /**< hosts asked to send it with their share */
    unsigned int failed_relays; /**< neighbours that did not pass it on */
    char tried[PPS_SENDS_MAX][PPS_WORKER_TEXT_BYTES]; /**< ids of workers */
    uint64_t request_key;    /**< of method, path, caller and body; see
                                  poison/poison_key.h */
    uint64_t trial_key;      /**< of which it shows whether it is sound; 0:
                                  none */
    uint64_t version_digest; /**< decides whether a roll-out moves it: of the
                                  session, or random */
    size_t model;            /**< index in the route's models */
    int begun;          /**< the head of the answer was sent to the caller */
    int64_t last_event; /**< id of the last event that the caller has */
    int has_last_event;

    pps_exchange_hedge_t *hedge; /**< NULL: it is never hedged */

    /* These fields cover the current attempt. */
    pps_attempt_state_t attempt;
    pps_http_channel_t *channel;  /**< to the worker, or NULL */
    pps_relay_call_t *relay_call; /**< through a neighbour, or NULL */
    pps_neighbour_t *neighbour;   /**< of the relay call, or NULL */
    pps_pool_worker_t *worker;
    int is_borrowed;   /**< sent with the neighbour's share of the worker */
    unsigned int size; /**< slots of the worker that it takes */
    pps_permit_use_t permit_use; /**< by what right it was sent */
    int64_t worker_start_ms;     /**< the worker's start time at the send */
    int on_target;      /**< the worker runs the version being rolled out */
    double worker_load; /**< requests per slot, as last known */
    pps_evidence_state_t counted;
    int has_failed_before; /**< an earlier attempt was counted as bad: what
                                fails at one worker often does at the next */
    pps_rollout_sample_t counted_as; /**< where it is counted */
    int64_t sent_us;
    int64_t answer_us; /**< when its answer began; 0: not yet */
    int went_on;       /**< its answer went on or is whole */
    int is_sent;       /**< it may have reached the worker */
    int is_whole;      /**< its answer has ended */
    int is_unframed;   /**< it ends with the connection */
    int is_json;
    int64_t last_received_us; /**< when bytes last arrived from the worker */
    int is_held_back;         /**< not read from, as the caller is slow */
    int was_held_back;        /**< at any time of the attempt */
    int event_arrived;        /**< a complete event since the last check */
    int has_event;            /**< a complete event has arrived */
    double work;    /**< prompt tokens, weighted as in prefill_queue.h */
    double backlog; /**< work queued ahead of it at the worker */
    pps_timer_t silence_timer;
    const char *connection; /**< how connecting last failed, or "" */
    unsigned int status;
    pps_buf_t fields; /**< header lines of the answer */
    pps_buf_t body;
    pps_event_split_t events;
    pps_held_t held; /**< what `body` and `events` take */
} pps_exchange_t;

/** Starts serving a request that the HTTP server has received. */
void
pps_exchange_begin(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                   const pps_http_request_t *request);

/** Refuses a request that can't be served, whatever its body is. Called with
 * its head, while its body is still to come. */
void
pps_exchange_check_head(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                        const pps_http_request_t *request);

/** Refuses a request whose route and workspace are set, if this host won't
 * send it to any worker. @return whether it did */
int
pps_exchange_refuse_at_head(pps_exchange_t *exchange);

/** Starts serving a request whose route and workspace are set. */
void
pps_exchange_start(pps_exchange_t *exchange);

/** Admits the requests that wait for this host to start, if it now has a
 * deployment and workers. */
void
pps_exchange_admit_waiting(pps_dispatcher_t *dispatcher);

/** Ends and frees an exchange whose caller has disconnected. */
void
pps_exchange_on_caller_gone(pps_exchange_t *exchange);

/** Returns whether another attempt is allowed: by the route, by PPS_SENDS_MAX
 * and by the time until the deadline. */
int
pps_exchange_has_attempts_left(const pps_exchange_t *exchange);

/** Starts an attempt, or ends the request if no worker can take it. Call it
 * again for a request only if pps_exchange_has_attempts_left(). */
void
pps_exchange_send(pps_exchange_t *exchange);

/** Discards the current attempt and reports its outcome to the pool. */
void
pps_exchange_drop_attempt(pps_exchange_t *exchange,
                          pps_worker_outcome_t outcome);

/** Discards the current attempt, which failed after it was sent, and notes
 * that against its worker, unless this host has lost its path to the worker.
 */
void
pps_exchange_blame_worker(pps_exchange_t *exchange);

/** Starts another attempt if one is allowed, else ends the request.
 * @param reason cause, for the log
 * @param may_have_run whether the last attempt may have run */
void
pps_exchange_retry(pps_exchange_t *exchange, const char *reason,
                   int may_have_run);

/** As pps_exchange_retry() after an attempt that did not reach its worker: the
 * next one adds no load, so that it uses up no repeat. */
void
pps_exchange_retry_unsent(pps_exchange_t *exchange, const char *reason);

/** Ends the request with an error of the router itself. Pass a status that
 * means "not run" only if no attempt may have run. If the answer has begun,
 * aborts the connection instead.
 * @param retry_after_us negative: no retry time */
void
pps_exchange_refuse(pps_exchange_t *exchange, unsigned int status,
                    int64_t retry_after_us, const char *reason);

/** Ends a request that is known to end workers, with an error that says so:
 * that it has not run if no attempt may have run.
 * @param rest_us time for which it stays refused */
void
pps_exchange_refuse_harmful(pps_exchange_t *exchange, int64_t rest_us);

/** Ends a request that no worker can take: refuses it with a retry time if it
 * has not run, else fails it.
 * @param reason cause, for the log */
void
pps_exchange_give_up(pps_exchange_t *exchange,
                     pps_retry_after_reason_t retry_reason,
                     const char *reason);

/** Discards what is held of the answer, and frees its memory. */
void
pps_exchange_discard_answer(pps_exchange_t *exchange);

/** Frees an exchange without answering it. */
void
pps_exchange_free(pps_exchange_t *exchange);

/** Returns the time until the deadline, at most one hour; negative after the
 * deadline. */
int64_t
pps_exchange_time_left_us(const pps_exchange_t *exchange);

/** Returns the priority of the workspace, else of the route; 0 is the most
 * urgent. */
unsigned int
pps_exchange_rank(const pps_exchange_t *exchange);

/** Returns whether the request may run more than once. */
int
pps_exchange_is_repeatable(const pps_exchange_t *exchange);

#endif
