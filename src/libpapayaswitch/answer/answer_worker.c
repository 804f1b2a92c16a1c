/** @file answer_worker.c @brief Sends an answer's request to one worker. */
#include "answer_state.h"

#include "clock.h"
#include "counters.h"
#include "event.h"
#include "papayaswitch/errors.h"

#define SILENCE_DOUBLINGS_MAX 8

static int
choose_worker(pps_answer_t *answer)
{
    const pps_answer_options_t *options = &answer->options;
    pps_choice_worker_input_t input = PPS_CHOICE_WORKER_INPUT_INIT;
    pps_choice_worker_t choice;
    int error;

    input.workers = options->workers;
    input.upstream = answer->version->upstream;
    input.model_version = answer->version->name;
    input.failure_domain = options->failure_domain;
    input.affinity = options->affinity;
    input.tried.names = answer->tried_workers;
    input.tried.count = answer->tried_worker_count;
    input.now_us = pps_clock_now_us();
    input.rng = options->rng;
    error = pps_choice_select_worker(&choice, &input);
    if (error == 0) {
        answer->worker = choice.worker;
    }
    else if (error == PPS_EUNAVAILABLE) {
        answer->retry_after_us = choice.retry_after_us;
    }
    return error;
}

static void
add_tried_worker(pps_answer_t *answer)
{
    if (answer->tried_worker_count < PPS_ANSWER_TRIED_MAX) {
        answer->tried_workers[answer->tried_worker_count++] =
            answer->worker->id;
    }
}

void
pps_answer_exclude_worker(pps_answer_t *answer, pps_refusal_t reason,
                          int64_t retry_after_us)
{
    const pps_field_t fields[] = {
        PPS_STR("request", answer->options.request_id),
        PPS_STR("worker", answer->worker->id),
        PPS_STR("reason", pps_refusal_name(reason)),
    };

    pps_event_record("worker_refused", fields,
                     sizeof(fields) / sizeof(fields[0]));
    pps_counter_add(PPS_COUNTER_WORKER_REFUSALS, 1);
    pps_worker_record_refusal(answer->worker, reason, answer->version->name,
                              pps_clock_now_us(), retry_after_us);
    add_tried_worker(answer);
    answer->last_refusal = reason;
}

pps_refusal_t
pps_answer_refusal_of_error(int error)
{
    return error == PPS_ETIMEOUT ? PPS_REFUSAL_SILENT : PPS_REFUSAL_BROKEN;
}

int
pps_answer_silence_timeout_ms(const pps_answer_t *answer)
{
    int64_t silence_ms = (int64_t)answer->options.silence_timeout_ms
                         << (answer->empty_streams < SILENCE_DOUBLINGS_MAX
                                 ? answer->empty_streams
                                 : SILENCE_DOUBLINGS_MAX);
    int limit_ms = answer->options.answer_timeout_ms;

    /* A silence timeout set above the answer timeout still applies. */
    if (limit_ms < answer->options.silence_timeout_ms) {
        limit_ms = answer->options.silence_timeout_ms;
    }
    return silence_ms < limit_ms ? (int)silence_ms : limit_ms;
}

static int
attempt_timeout_ms(const pps_answer_t *answer)
{
    int64_t left_ms =
        (answer->options.deadline_us - pps_clock_now_us()) / PPS_US_PER_MS;
    int timeout_ms = answer->accepted ? pps_answer_silence_timeout_ms(answer)
                                      : answer->options.answer_timeout_ms;

    return left_ms < timeout_ms ? (int)left_ms : timeout_ms;
}

/* Cancels a request that a worker did not answer and may still run. */
static void
cancel_unanswered(pps_answer_t *answer)
{
    const pps_answer_options_t *options = &answer->options;

    answer->may_have_run = 1;
    options->engine->cancel(options->engine, answer->worker->address,
                            answer->worker->port, options->request_id);
    pps_counter_add(PPS_COUNTER_ANSWERS_CANCELLED, 1);
}

/* @return 0; PPS_EREFUSED if another worker may be tried; a final error */
static int
send_to_worker(pps_answer_t *answer)
{
    const pps_answer_options_t *options = &answer->options;
    pps_refusal_answer_t refusal = {PPS_REFUSAL_NONE, -1};
    pps_generate_request_t request = {
        .request_id = options->request_id,
        .version = answer->version->name,
        .prompt = options->prompt,
        .max_tokens = options->max_tokens,
        .priority = options->priority,
        .resume_from = answer->assembler.next,
        .revision = pps_catalog_revision(options->catalog)};
    int timeout_ms = attempt_timeout_ms(answer);
    int64_t sent_us = pps_clock_now_us();
    int error;

    if (timeout_ms <= 0) {
        return pps_error_set(PPS_ETIMEOUT, "the deadline has passed");
    }
    if (!answer->accepted &&
        !options->may_start(options->user, answer->version)) {
        return pps_error_set(PPS_ECLOSED, "this host may not start work now");
    }
    answer->attempts++;
    pps_worker_begin_request(answer->worker);
    error = options->engine->open(
        options->engine, &answer->stream, answer->worker->address,
        answer->worker->port, &request, timeout_ms, &refusal);
    if (error == 0) {
        pps_worker_record_first_token(answer->worker,
                                      pps_clock_now_us() - sent_us);
        answer->last_event_us = pps_clock_now_us();
        answer->stream_start = answer->assembler.next;
        return PPS_OK;
    }
    pps_worker_end_request(answer->worker);
    if (error == PPS_ETIMEOUT || error == PPS_EUNKNOWN) {
        cancel_unanswered(answer);
    }
    pps_answer_exclude_worker(
        answer,
        error == PPS_EREFUSED ? refusal.reason
                              : pps_answer_refusal_of_error(error),
        refusal.retry_after_s > 0 ? refusal.retry_after_s * PPS_US_PER_S : 0);
    return PPS_EREFUSED;
}

static int
may_attempt_again(const pps_answer_t *answer)
{
    const pps_answer_options_t *options = &answer->options;

    /* A started answer is always resumed: aborting would truncate it, and its
     * remaining tokens are less work than a new request of the caller. */
    return answer->accepted || (answer->attempts < options->attempts_max &&
                                options->may_retry(options->user));
}

static void
record_start(const pps_answer_t *answer)
{
    const pps_field_t fields[] = {
        PPS_STR("request", answer->options.request_id),
        PPS_STR("workspace", answer->options.workspace->name),
        PPS_STR("version", answer->version->name),
        PPS_STR("worker", answer->worker->id),
        PPS_INT("from_token", answer->assembler.next),
        PPS_INT("revision", pps_catalog_revision(answer->options.catalog)),
    };

    pps_event_record("request_started", fields,
                     sizeof(fields) / sizeof(fields[0]));
}

int
pps_answer_start_on_version(pps_answer_t *answer)
{
    for (;;) {
        int error = choose_worker(answer);

        if (error < 0) {
            return error == PPS_ECLOSED ? PPS_EUNAVAILABLE : error;
        }
        if (answer->attempts > 0 && !may_attempt_again(answer)) {
            return pps_error_set(
                PPS_ELIMIT,
                "the request may not be sent to another worker: attempts "
                "or retry budget exhausted");
        }
        error = send_to_worker(answer);
        if (error != PPS_EREFUSED) {
            if (error == 0) {
                record_start(answer);
            }
            return error;
        }
    }
}
