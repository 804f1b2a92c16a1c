/** @file exchange_flow.c @brief Marks at which a stream is stopped and read
 * on.
 */
#include "exchange_flow.h"

#include "crash_line.h"
#include "decision_log.h"
#include "exchange_link.h"
#include "exchange_reply.h"
#include "memory/window.h"

/** Part of the bytes that are held of answers that those which wait for
 * callers may take beside them. */
#define WAITING_BYTES_DIVISOR 2
/** A stream is read on when this part of what stopped it waits. */
#define LOW_MARK_DIVISOR 2

void
pps_exchange_check_flow(pps_exchange_t *exchange)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    size_t queued = pps_http_conn_queued_bytes(exchange->conn);
    size_t high_mark =
        pps_window_bytes(dispatcher->held.max / WAITING_BYTES_DIVISOR,
                         dispatcher->exchange_count);

    if (exchange->is_held_back || queued <= high_mark) {
        return;
    }
    if (!exchange->was_held_back) {
        pps_decision_log_caller_slow(exchange, queued);
    }
    exchange->is_held_back = 1;
    exchange->was_held_back = 1;
    pps_timers_cancel(&exchange->silence_timer);
    pps_exchange_pause_link(exchange);
    pps_http_conn_await_drained(exchange->conn, high_mark / LOW_MARK_DIVISOR);
}

void
pps_exchange_on_caller_drained(pps_exchange_t *exchange)
{
    if (!exchange->is_held_back) {
        return;
    }
    pps_crash_line_set_request(exchange->call.id);
    exchange->is_held_back = 0;
    pps_exchange_restart_silence_timer(exchange);
    pps_exchange_resume_link(exchange);
}
