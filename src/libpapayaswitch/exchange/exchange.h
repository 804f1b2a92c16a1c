/**
 * @file exchange.h
 * @brief One request from its arrival to the last byte of its one answer.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_H
#define PPS_EXCHANGE_EXCHANGE_H

#include "dispatcher.h"
#include "event_split.h"
#include "retry_after.h"

/** Workers that one request is sent to at most, refusals counted. */
#define PPS_SENDS_MAX 8

/** Longest wait for a connection to a worker, in microseconds. */
#define PPS_EXCHANGE_CONNECT_TIMEOUT_US 200000

/** Where the current attempt stands. */
typedef enum {
    PPS_ATTEMPT_NONE,
    PPS_ATTEMPT_SENT,      /**< waiting for the head of an answer */
    PPS_ATTEMPT_GATHERING, /**< reading an answer that is handed on whole */
    PPS_ATTEMPT_STREAMING, /**< handing on events */
} pps_attempt_state_t;

/** A request under way. */
typedef struct pps_exchange {
    struct cds_list_head node;
    pps_dispatcher_t *dispatcher;
    pps_http_conn_t *conn;
    const pps_http_request_t *request;
    pps_call_t call;
    pps_deployment_t *deployment;
    const pps_route_t *route;
    const pps_workspace_t *workspace;
    const pps_upstream_t *upstream;
    pps_upstream_state_t *upstream_state;
    int64_t deadline_us; /**< or INT64_MAX */
    pps_timer_t deadline_timer;

    /* Over all attempts. */
    unsigned int sends;
    unsigned int runs; /**< attempts that may have run */
    char tried[PPS_SENDS_MAX][PPS_WORKER_TEXT_BYTES];
    size_t model; /**< index in the route's models */
    int begun;    /**< the caller has the head of the answer */
    int64_t last_event;
    int has_last_event;

    /* The current attempt. */
    pps_attempt_state_t attempt;
    pps_http_channel_t *channel;
    pps_pool_worker_t *worker;
    int on_target; /**< at the version that is being rolled out */
    int64_t sent_us;
    int64_t heard_us; /**< when the worker's last bytes came */
    double work;      /**< of reading the prompt; see read_queue.h */
    double backlog;   /**< work that lay before it at the worker */
    pps_timer_t silence_timer;
    unsigned int status;
    pps_buf_t fields;
    pps_buf_t body;
    pps_event_split_t events;
} pps_exchange_t;

/** Takes a request from the server. */
void
pps_exchange_begin(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                   const pps_http_request_t *request);

/** Requests that came before this host knew what to serve are admitted, once
 * it does. */
void
pps_exchange_admit_waiting(pps_dispatcher_t *dispatcher);

/** The caller has left. */
void
pps_exchange_on_caller_gone(pps_exchange_t *exchange);

/** Sends to a worker, or answers when that cannot be. */
void
pps_exchange_send(pps_exchange_t *exchange);

/** Drops the current attempt and tells the pool how it ended. */
void
pps_exchange_drop_attempt(pps_exchange_t *exchange,
                          pps_worker_outcome_t outcome);

/** Another attempt, when one is allowed; else the end.
 * @param reason short word for the log
 * @param may_have_run whether the last attempt may have run */
void
pps_exchange_retry(pps_exchange_t *exchange, const char *reason,
                   int may_have_run);

/** Answers with a refusal or failure of the router's own and ends. A status
 * that says "not run" must only be given when that is so.
 * @param retry_after_us negative: none */
void
pps_exchange_refuse(pps_exchange_t *exchange, unsigned int status,
                    int64_t retry_after_us, const char *reason);

/** Ends a request that no worker gets now: refused with the time to come back
 * when it has not run, else failed.
 * @param reason short word for the log */
void
pps_exchange_give_up(pps_exchange_t *exchange, pps_retry_after_reason_t why,
                     const char *reason);

/** Frees an exchange whose answer is out. */
void
pps_exchange_free(pps_exchange_t *exchange);

/** Time left until the deadline, at most an hour. */
int64_t
pps_exchange_left_us(const pps_exchange_t *exchange);

/** Urgency of the request, 0 first: its workspace's, else its route's. */
unsigned int
pps_exchange_rank(const pps_exchange_t *exchange);

/** Whether the request may run more than once. */
int
pps_exchange_is_repeatable(const pps_exchange_t *exchange);

#endif
