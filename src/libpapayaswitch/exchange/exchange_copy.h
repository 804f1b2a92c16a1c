/**
 * @file exchange_copy.h
 * @brief The connection of a copy to its worker, until the copy wins or is
 * dropped. Used by exchange_hedge.c.
 */
#ifndef PPS_EXCHANGE_EXCHANGE_COPY_H
#define PPS_EXCHANGE_EXCHANGE_COPY_H

#include "exchange.h"

/** Fields of an attempt that the copy has its own of; see pps_exchange_t. */
typedef struct {
    pps_http_channel_t *channel;
    pps_relay_call_t *relay_call;
    pps_neighbour_t *neighbour;
    pps_pool_worker_t *worker;
    int is_borrowed;
    unsigned int size;
    pps_permit_use_t permit_use;
    int64_t worker_start_ms;
    int on_target;
    double worker_load;
    pps_evidence_state_t counted;
    int64_t sent_us;
    int64_t answer_us;
    int went_on;
    int64_t last_received_us;
    double work;
    double backlog;
} pps_copy_fields_t;

/** State of a request that may be copied, from its first attempt on. */
struct pps_exchange_hedge {
    pps_timer_t timer;         /**< to the end of the usual wait */
    pps_hedge_waiter_t waiter; /**< also has the begin of the wait */
    int is_watching;           /**< the first attempt has not answered */
    int is_slow;               /**< it has waited longer than usual */
    int is_sent;               /**< the copy is under way */
    pps_copy_fields_t fields;  /**< of the copy */
    pps_http_reply_t *reply;   /**< head of its answer, or NULL */
    pps_buf_t body;            /**< of its answer, as received */
    pps_event_split_t events;  /**< finds the end of its first event */
    pps_held_t held;           /**< what `body` and `events` take */
    int has_event;
    int *is_over; /**< set when the attempt that the copy has become is
                       dropped; NULL: no need */
};

/** Callbacks of the copy's connection; `user` is the exchange. Those of a copy
 * that has become the current attempt are passed on to the usual ones. */
extern const pps_channel_ops_t pps_exchange_copy_ops;

/** Exchanges the fields of the current attempt and the copy. */
void
pps_exchange_copy_swap(pps_exchange_t *exchange);

/** Drops the current attempt and lets the copy under way take its place, with
 * what has arrived of its answer. May free the exchange.
 * @param is_whole the copy's answer is whole */
void
pps_exchange_copy_promote(pps_exchange_t *exchange, int is_whole);

/** Closes the copy's connection, if it is under way. */
void
pps_exchange_copy_drop(pps_exchange_t *exchange, pps_worker_outcome_t outcome);

#endif
