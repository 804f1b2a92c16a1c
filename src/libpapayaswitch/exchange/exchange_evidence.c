/** @file exchange_evidence.c @brief Counts attempts for roll-outs. */
#include "exchange_evidence.h"

#include <string.h>

static pps_rollout_sample_t
sample_of(const pps_exchange_t *exchange)
{
    return (pps_rollout_sample_t){
        .on_target = exchange->on_target,
        .is_loaded = exchange->worker_load >= PPS_ROLLOUT_LOADED,
        .is_light = exchange->worker_load < PPS_ROLLOUT_LIGHT,
        .kind = exchange->route->class_index % PPS_ROLLOUT_KINDS,
    };
}

static pps_usual_times_t *
usual_times(const pps_exchange_t *exchange)
{
    size_t model = exchange->model < PPS_DISPATCH_MODELS
                       ? exchange->model
                       : PPS_DISPATCH_MODELS - 1;

    return &exchange->upstream_state->usual[sample_of(exchange).kind][model];
}

/* Returns the time in which the worker reads the prompt, after those before.
 */
static double
prompt_us(const pps_exchange_t *exchange)
{
    return (exchange->work + exchange->backlog) /
           exchange->upstream_state->prefill_rate.tokens_per_us;
}

static int64_t
first_byte_limit_us(const pps_exchange_t *exchange)
{
    return pps_usual_time_limit_us(&usual_times(exchange)->first_byte,
                                   prompt_us(exchange));
}

static int64_t
answer_limit_us(const pps_exchange_t *exchange)
{
    return pps_usual_time_limit_us(&usual_times(exchange)->answer,
                                   prompt_us(exchange));
}

static int64_t
elapsed_us(const pps_exchange_t *exchange)
{
    return exchange->dispatcher->reactor->now_us - exchange->sent_us;
}

void
pps_exchange_evidence_begin(pps_exchange_t *exchange)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    pps_upstream_state_t *state = exchange->upstream_state;
    const pps_pool_worker_t *worker = exchange->worker;

    exchange->has_failed_before |= exchange->counted == PPS_EVIDENCE_BAD;
    exchange->counted = PPS_EVIDENCE_NONE;
    exchange->on_target =
        state->rollout.state == PPS_ROLLOUT_ACTIVE &&
        strcmp(worker->info.version, state->rollout.target) == 0;
    exchange->worker_load =
        pps_pool_worker_load(worker, dispatcher->reactor->now_us);
    state->tally.requests++;
    state->tally.exposed += exchange->on_target;
}

void
pps_exchange_evidence_note_load(pps_exchange_t *exchange,
                                const pps_worker_reply_t *reply)
{
    if (reply->has_load && reply->slots > 0) {
        exchange->worker_load =
            ((double)reply->running + reply->waiting) / reply->slots;
    }
}

static void
count_once(pps_exchange_t *exchange, pps_rollout_result_t result)
{
    pps_rollout_sample_t sample = sample_of(exchange);
    pps_rollout_tally_t *tally = &exchange->upstream_state->tally;

    if (exchange->has_failed_before) {
        return;
    }
    if (exchange->counted == PPS_EVIDENCE_NONE) {
        pps_rollout_tally_count(tally, &sample, result);
        exchange->counted_as = sample;
    }
    else if (exchange->counted == PPS_EVIDENCE_GOOD &&
             result != PPS_ROLLOUT_GOOD) {
        pps_rollout_tally_correct(tally, &exchange->counted_as, result);
    }
    else {
        return;
    }
    exchange->counted =
        result == PPS_ROLLOUT_GOOD ? PPS_EVIDENCE_GOOD : PPS_EVIDENCE_BAD;
}

/* Scores the time to the first byte, unless it was scored while waiting. */
static void
score_first_byte(pps_exchange_t *exchange)
{
    const pps_usual_time_t *usual = &usual_times(exchange)->first_byte;
    pps_rollout_sample_t sample = sample_of(exchange);

    if (exchange->counted == PPS_EVIDENCE_NONE &&
        !exchange->has_failed_before && pps_usual_time_is_known(usual)) {
        pps_rollout_tally_score(
            &exchange->upstream_state->tally, &sample,
            pps_usual_time_score(usual, elapsed_us(exchange)));
    }
}

void
pps_exchange_evidence_count_head(pps_exchange_t *exchange)
{
    pps_rollout_sample_t sample = sample_of(exchange);
    pps_usual_time_t *usual = &usual_times(exchange)->first_byte;
    int is_slow = elapsed_us(exchange) > first_byte_limit_us(exchange);

    pps_rollout_tally_time(&exchange->upstream_state->tally, &sample,
                           elapsed_us(exchange) > prompt_us(exchange)
                               ? elapsed_us(exchange) -
                                     (int64_t)prompt_us(exchange)
                               : 0);
    score_first_byte(exchange);
    count_once(exchange, is_slow ? PPS_ROLLOUT_SLOW : PPS_ROLLOUT_GOOD);
    if (!exchange->on_target) {
        pps_usual_time_record(usual, elapsed_us(exchange));
    }
}

void
pps_exchange_evidence_count_end(pps_exchange_t *exchange)
{
    pps_usual_time_t *usual = &usual_times(exchange)->answer;

    if (exchange->was_held_back) {
        return;
    }
    if (elapsed_us(exchange) > answer_limit_us(exchange)) {
        count_once(exchange, PPS_ROLLOUT_SLOW);
    }
    if (!exchange->on_target) {
        pps_usual_time_record(usual, elapsed_us(exchange));
    }
}

void
pps_exchange_evidence_count_failure(pps_exchange_t *exchange)
{
    count_once(exchange, PPS_ROLLOUT_FAILED);
}

static int
is_late(const pps_exchange_t *exchange)
{
    return elapsed_us(exchange) > (exchange->attempt == PPS_ATTEMPT_SENT
                                       ? first_byte_limit_us(exchange)
                                       : answer_limit_us(exchange));
}

void
pps_exchange_evidence_count_waiting(pps_dispatcher_t *dispatcher,
                                    pps_upstream_state_t *state)
{
    pps_exchange_t *exchange;

    cds_list_for_each_entry (exchange, &dispatcher->exchanges, node) {
        if (exchange->upstream_state == state &&
            exchange->attempt != PPS_ATTEMPT_NONE &&
            !exchange->was_held_back && is_late(exchange)) {
            score_first_byte(exchange);
            count_once(exchange, PPS_ROLLOUT_SLOW);
        }
    }
}
