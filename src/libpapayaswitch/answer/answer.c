/** @file answer.c @brief Opens and resumes the streams of an answer. */
#include "answer_state.h"

#include "clock.h"
#include "counters.h"
#include "event.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>

#define RETRY_AFTER_DEFAULT_US PPS_US_PER_S
/** Minimum time between two rounds over the workers of a version. */
#define ROUND_PAUSE_MIN_US (100 * PPS_US_PER_MS)

static int
choose_version(pps_answer_t *answer)
{
    const pps_answer_options_t *options = &answer->options;
    pps_choice_version_input_t input = PPS_CHOICE_VERSION_INPUT_INIT;
    pps_choice_version_t choice;
    int error;

    input.catalog = options->catalog;
    input.workspace = options->workspace;
    input.model = options->model;
    input.kind = options->kind;
    input.pinned = options->pinned;
    input.held = options->held;
    input.tried.names = answer->tried_versions;
    input.tried.count = answer->tried_version_count;
    input.quality = options->quality;
    input.price = options->price;
    input.rng = options->rng;
    error = pps_choice_select_version(&choice, &input);
    if (error == 0) {
        answer->version = choice.version;
    }
    return error;
}

static int
start_request(pps_answer_t *answer)
{
    for (;;) {
        int error = choose_version(answer);

        if (error < 0) {
            return error == PPS_ECLOSED && answer->tried_version_count > 0
                       ? PPS_EUNAVAILABLE
                       : error;
        }
        error = answer->options.enter_pool(answer->options.user,
                                           answer->version->upstream,
                                           &answer->retry_after_us);
        if (error < 0) {
            answer->over_share = error == PPS_EREFUSED;
            return error;
        }
        error = pps_answer_start_on_version(answer);
        if (error != PPS_EUNAVAILABLE && error != PPS_ENOTFOUND) {
            return error == PPS_ELIMIT ? PPS_EUNAVAILABLE : error;
        }
        if (answer->options.pinned != NULL ||
            answer->tried_version_count >= PPS_ANSWER_TRIED_MAX) {
            return PPS_EUNAVAILABLE;
        }
        answer->tried_versions[answer->tried_version_count++] =
            answer->version->name;
        answer->tried_worker_count = 0;
    }
}

int
pps_answer_open(pps_answer_t **out, const pps_answer_options_t *options,
                pps_answer_refusal_t *refusal)
{
    pps_answer_t *answer = calloc(1, sizeof(*answer));
    int error;

    if (answer == NULL) {
        return pps_error_set(PPS_ENOMEM, "answer: out of memory");
    }
    answer->options = *options;
    pps_assembler_init(&answer->assembler, options->request_id);
    error = start_request(answer);
    if (error < 0) {
        refusal->error = error;
        refusal->over_share = answer->over_share;
        refusal->may_have_run = answer->may_have_run;
        refusal->last_refusal = answer->last_refusal;
        refusal->retry_after_us = answer->retry_after_us > 0
                                      ? answer->retry_after_us
                                      : RETRY_AFTER_DEFAULT_US;
        free(answer);
        return error;
    }
    answer->accepted = 1;
    answer->last_token_us = pps_clock_now_us();
    *out = answer;
    return PPS_OK;
}

static void
end_stream(pps_answer_t *answer)
{
    if (answer->stream != NULL) {
        answer->options.engine->close(answer->stream);
        answer->stream = NULL;
        pps_worker_end_request(answer->worker);
    }
}

/* Ends a failed stream; the next read resumes after the last token. */
static int
handle_stream_error(pps_answer_t *answer, int cause)
{
    int has_token = answer->assembler.next > answer->stream_start;

    end_stream(answer);
    pps_answer_exclude_worker(answer, pps_answer_refusal_of_error(cause), 0);
    pps_assembler_restart(&answer->assembler);
    answer->empty_streams = has_token ? 0 : answer->empty_streams + 1;
    if (answer->empty_streams >= answer->options.attempts_max) {
        return pps_error_set(PPS_EUNKNOWN,
                             "the stream failed: too many in a row without a "
                             "new token");
    }
    answer->resume_at_us = pps_clock_now_us();
    pps_counter_add(PPS_COUNTER_ANSWERS_RESUMED, 1);
    return 1;
}

/* Schedules the next round, in which each worker may be tried again, for when
 * the first back-off ends, but not before ROUND_PAUSE_MIN_US. */
static int
start_next_round(pps_answer_t *answer)
{
    int64_t now_us = pps_clock_now_us();
    int64_t pause_us = answer->retry_after_us > ROUND_PAUSE_MIN_US
                           ? answer->retry_after_us
                           : ROUND_PAUSE_MIN_US;

    if (now_us + pause_us - answer->last_token_us >
        answer->options.answer_timeout_ms * PPS_US_PER_MS) {
        return pps_error_set(PPS_EUNKNOWN,
                             "the stream failed and could not be resumed");
    }
    answer->tried_worker_count = 0;
    answer->resume_at_us = now_us + pause_us;
    return 1;
}

/* Waits for `resume_at_us`, then continues after the last token with any
 * worker of the same version. */
static int
resume(pps_answer_t *answer, int wait_ms)
{
    int64_t pause_us = answer->resume_at_us - pps_clock_now_us();
    int error;

    if (pause_us > 0) {
        int64_t wait_us = wait_ms * PPS_US_PER_MS;

        pps_clock_sleep_us(pause_us < wait_us ? pause_us : wait_us);
        return 1;
    }
    answer->retry_after_us = 0;
    error = pps_answer_start_on_version(answer);
    if (error == 0) {
        return 1;
    }
    if (error == PPS_EUNAVAILABLE || error == PPS_ELIMIT) {
        return start_next_round(answer);
    }
    return pps_error_set(PPS_EUNKNOWN,
                         "the stream failed and could not be resumed");
}

static int
emit(const char *text, void *user)
{
    return pps_buf_puts(user, text);
}

static int
complete(pps_answer_t *answer)
{
    if (!pps_assembler_is_complete(&answer->assembler)) {
        return pps_error_set(PPS_ECORRUPT,
                             "the stream ended without its finish event "
                             "or without all tokens");
    }
    answer->complete = 1;
    pps_worker_record_success(answer->worker, answer->version->name);
    end_stream(answer);
    return 0;
}

static int
is_silent(const pps_answer_t *answer)
{
    return pps_clock_now_us() - answer->last_event_us >
           pps_answer_silence_timeout_ms(answer) * PPS_US_PER_MS;
}

static int
handle_event(pps_answer_t *answer, const pps_engine_event_t *event,
             pps_buf_t *text)
{
    uint64_t before = answer->assembler.next;
    int error = pps_assembler_add(&answer->assembler, event, emit, text);

    answer->last_event_us = pps_clock_now_us();
    if (answer->assembler.next > before) {
        answer->last_token_us = answer->last_event_us;
        answer->empty_streams = 0;
    }
    return error;
}

int
pps_answer_read(pps_answer_t *answer, pps_buf_t *text, int wait_ms)
{
    pps_engine_event_t event;
    int result;

    if (answer->complete) {
        return 0;
    }
    if (pps_clock_now_us() > answer->options.deadline_us) {
        return pps_error_set(PPS_ETIMEOUT, "the deadline has passed");
    }
    if (answer->stream == NULL) {
        return resume(answer, wait_ms);
    }
    result = answer->options.engine->next(answer->stream, &event, wait_ms);
    if (result > 0) {
        result = handle_event(answer, &event, text);
        if (result == 0) {
            return 1;
        }
    }
    else if (result == 0) {
        result = complete(answer);
        if (result == 0) {
            return 0;
        }
    }
    else if (result == PPS_ETIMEOUT && !is_silent(answer)) {
        return 1;
    }
    return result == PPS_ENOMEM ? result : handle_stream_error(answer, result);
}

void
pps_answer_usage(const pps_answer_t *answer, pps_answer_usage_t *out)
{
    out->version = answer->version->name;
    out->upstream = answer->version->upstream;
    out->worker = answer->worker->id;
    out->cost = answer->version->cost;
    out->prompt_tokens = answer->assembler.prompt_tokens;
    out->generated_tokens = answer->assembler.next;
    out->finish_reason = answer->assembler.finish_reason;
    out->attempts = answer->attempts;
}

void
pps_answer_close(pps_answer_t *answer)
{
    if (answer == NULL) {
        return;
    }
    if (!answer->complete && answer->stream != NULL) {
        answer->options.engine->cancel(
            answer->options.engine, answer->worker->address,
            answer->worker->port, answer->options.request_id);
        pps_counter_add(PPS_COUNTER_ANSWERS_CANCELLED, 1);
    }
    end_stream(answer);
    pps_assembler_clear(&answer->assembler);
    free(answer);
}
