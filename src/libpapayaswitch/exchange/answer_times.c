/** @file answer_times.c @brief How long answers take. */
#include "answer_times.h"

#include "histograms.h"
#include "host_stop.h"

#define FIRST_BYTE_SMOOTHING_WEIGHT 0.05
#define ANSWER_SMOOTHING_WEIGHT 0.05
/** Weight of an answer that took longer than the smoothed long ones. */
#define LONGER_ANSWER_WEIGHT 0.5

void
pps_answer_times_note_first_byte(const pps_exchange_t *exchange)
{
    int64_t elapsed_us =
        exchange->dispatcher->reactor->now_us - exchange->sent_us;
    double *smoothed_us = &exchange->upstream_state->first_byte_us;

    if (!exchange->on_target) {
        pps_prefill_rate_update(&exchange->upstream_state->prefill_rate,
                                exchange->work + exchange->backlog,
                                elapsed_us);
    }
    pps_histogram_observe(PPS_HISTOGRAM_ENTRY_WORKER, elapsed_us);
    *smoothed_us +=
        ((double)elapsed_us - *smoothed_us) * FIRST_BYTE_SMOOTHING_WEIGHT;
    pps_lateness_record(&exchange->upstream_state->lateness, elapsed_us,
                        exchange->route->target_us);
}

static int64_t
since_request_us(const pps_exchange_t *exchange)
{
    return exchange->dispatcher->reactor->now_us -
           exchange->request->received_us;
}

void
pps_answer_times_observe_first_byte(const pps_exchange_t *exchange)
{
    pps_histogram_observe(PPS_HISTOGRAM_ENTRY_FIRST_BYTE,
                          since_request_us(exchange));
}

static void
observe_latency(const pps_exchange_t *exchange)
{
    int64_t elapsed_us = since_request_us(exchange);

    if (!exchange->begun) {
        pps_histogram_observe(PPS_HISTOGRAM_ENTRY_FIRST_BYTE, elapsed_us);
    }
    pps_histogram_observe(PPS_HISTOGRAM_ENTRY_ANSWER, elapsed_us);
}

void
pps_answer_times_note_long(pps_upstream_state_t *state, int64_t elapsed_us)
{
    double *long_us = &state->long_answer_us;
    double change_us;

    if (*long_us == 0) {
        *long_us = (double)elapsed_us;
    }
    change_us = (double)elapsed_us - *long_us;
    *long_us += change_us * (change_us > 0 ? LONGER_ANSWER_WEIGHT
                                           : ANSWER_SMOOTHING_WEIGHT);
}

static void
record_answer_time(const pps_exchange_t *exchange)
{
    pps_upstream_state_t *state = exchange->upstream_state;
    int64_t elapsed_us =
        exchange->dispatcher->reactor->now_us - exchange->sent_us;

    state->answer_us +=
        ((double)elapsed_us - state->answer_us) * ANSWER_SMOOTHING_WEIGHT;
    pps_answer_times_note_long(state, elapsed_us);
}

void
pps_answer_times_note_end(const pps_exchange_t *exchange)
{
    observe_latency(exchange);
    pps_host_stop_note_answer(exchange, since_request_us(exchange));
    record_answer_time(exchange);
}
