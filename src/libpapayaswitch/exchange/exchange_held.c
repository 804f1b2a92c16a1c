/** @file exchange_held.c @brief Holdings of attempts and of their copies. */
#include "exchange_held.h"

#include "crash_line.h"
#include "decision_log.h"
#include "exchange_attempt.h"
#include "exchange_copy.h"
#include "papayaswitch/errors.h"

#define RETRY_REASON "memory"

static void
on_given_up(int64_t now_us, void *user)
{
    pps_exchange_t *exchange = user;

    pps_crash_line_set_request(exchange->call.id);
    pps_exchange_retry(exchange, RETRY_REASON, 1);
}

/* Ends the attempt at once, as its memory is needed, but goes on with the
 * request later: the caller is in the middle of another one. */
static void
give_up_answer(void *owner)
{
    pps_exchange_t *exchange = owner;

    pps_decision_log_given_up(exchange, exchange->worker, &exchange->held);
    pps_exchange_blame_worker(exchange);
    pps_reactor_after(exchange->dispatcher->reactor, &exchange->silence_timer,
                      0, on_given_up, exchange);
}

static void
give_up_copy(void *owner)
{
    pps_exchange_t *exchange = owner;
    pps_exchange_hedge_t *hedge = exchange->hedge;

    pps_decision_log_given_up(exchange, hedge->fields.worker, &hedge->held);
    pps_exchange_copy_drop(exchange, PPS_WORKER_ABANDONED);
}

int
pps_exchange_hold_answer(pps_exchange_t *exchange)
{
    const pps_held_options_t options = {
        .kind = exchange->attempt == PPS_ATTEMPT_STREAMING ? PPS_HELD_EVENT
                                                           : PPS_HELD_ANSWER,
        .source = exchange->worker->digest,
        .give_up = give_up_answer,
        .owner = exchange,
    };
    size_t bytes = exchange->body.capacity + exchange->events.partial.capacity;
    int error = pps_held_resize(&exchange->held, &exchange->dispatcher->held,
                                &options, bytes);

    if (error == PPS_ELIMIT) {
        pps_decision_log_given_up(exchange, exchange->worker, &exchange->held);
    }
    return error;
}

int
pps_exchange_hold_copy(pps_exchange_t *exchange)
{
    pps_exchange_hedge_t *hedge = exchange->hedge;
    const pps_held_options_t options = {
        .kind = PPS_HELD_COPY,
        .source = hedge->fields.worker->digest,
        .give_up = give_up_copy,
        .owner = exchange,
    };
    size_t bytes = hedge->body.capacity + hedge->events.partial.capacity;
    int error = pps_held_resize(&hedge->held, &exchange->dispatcher->held,
                                &options, bytes);

    if (error == PPS_ELIMIT) {
        pps_decision_log_given_up(exchange, hedge->fields.worker,
                                  &hedge->held);
    }
    return error;
}
