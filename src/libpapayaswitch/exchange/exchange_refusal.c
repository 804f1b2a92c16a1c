/** @file exchange_refusal.c @brief Ends requests with errors of the router. */
#include "exchange_refusal.h"

#include "decision_log.h"
#include "exchange_worker.h"

#include <string.h>

#define STATUS_UNAVAILABLE 503
#define STATUS_BAD_GATEWAY 502
/** Bodies of the answers to requests that are known to end workers. */
#define REFUSED_HARMFUL_BODY                                                  \
    "Workers ended each time they began to answer such a request. It was "    \
    "not sent to one.\n"
#define FAILED_HARMFUL_BODY                                                   \
    "Workers ended each time they began to answer such a request. It is not " \
    "sent to another one.\n"

static void
send_refusal(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
             unsigned int status, int64_t retry_after_us, const char *body)
{
    pps_buf_t fields = PPS_BUF_INIT;

    dispatcher->caller->refusal(&fields, retry_after_us);
    pps_http_conn_respond(conn, status, pps_buf_text(&fields), body,
                          strlen(body));
    pps_buf_clear(&fields);
}

void
pps_dispatcher_refuse(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                      unsigned int status, int64_t retry_after_us)
{
    send_refusal(dispatcher, conn, status, retry_after_us, "");
}

static void
end_with_error(pps_exchange_t *exchange, unsigned int status,
               int64_t retry_after_us, const char *reason, const char *body)
{
    pps_http_conn_t *conn = exchange->conn;
    pps_dispatcher_t *dispatcher = exchange->dispatcher;

    pps_decision_log_ended(exchange, exchange->begun ? 0 : status, reason);
    if (exchange->attempt != PPS_ATTEMPT_NONE) {
        pps_exchange_drop_attempt(exchange, PPS_WORKER_ABANDONED);
    }
    if (exchange->begun) {
        pps_http_conn_abort(conn);
        pps_exchange_free(exchange);
        return;
    }
    pps_exchange_free(exchange);
    send_refusal(dispatcher, conn, status, retry_after_us, body);
}

void
pps_exchange_refuse(pps_exchange_t *exchange, unsigned int status,
                    int64_t retry_after_us, const char *reason)
{
    end_with_error(exchange, status, retry_after_us, reason, "");
}

void
pps_exchange_refuse_harmful(pps_exchange_t *exchange, int64_t rest_us)
{
    if (exchange->runs > 0) {
        end_with_error(exchange, STATUS_BAD_GATEWAY, -1, "ends_workers",
                       FAILED_HARMFUL_BODY);
        return;
    }
    end_with_error(exchange, STATUS_UNAVAILABLE, rest_us, "ends_workers",
                   REFUSED_HARMFUL_BODY);
}

void
pps_exchange_give_up(pps_exchange_t *exchange,
                     pps_retry_after_reason_t retry_reason, const char *reason)
{
    pps_retry_after_t retry = {
        .reason = retry_reason,
        .time_left_us = pps_exchange_time_left_us(exchange),
        .answer_us = exchange->upstream_state->answer_us,
        .rank = pps_exchange_rank(exchange),
        .spread = pps_rng_unit(&exchange->dispatcher->rng),
    };

    if (exchange->runs > 0) {
        pps_exchange_refuse(exchange, STATUS_BAD_GATEWAY, -1, reason);
        return;
    }
    pps_exchange_sum_slots(exchange, &retry.busy, &retry.slots);
    if (retry_reason != PPS_RETRY_AFTER_OTHER_HOST) {
        retry.opens_us = pps_exchange_first_opening_us(exchange);
    }
    pps_exchange_refuse(exchange, STATUS_UNAVAILABLE,
                        pps_retry_after_compute(&retry), reason);
}
