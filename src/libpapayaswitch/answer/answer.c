/** @file answer.c @brief The life of one answer over several workers. */
#include "papayaswitch/answer.h"

#include "clock.h"
#include "counters.h"
#include "event.h"
#include "papayaswitch/errors.h"
#include "upstream/assembler.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TRIED_MAX 16
#define RETRY_AFTER_DEFAULT_US PPS_US_PER_S

struct pps_answer {
    pps_answer_options_t options;
    pps_assembler_t assembler;
    const pps_version_t *version;
    const pps_worker_t *worker;
    pps_engine_stream_t *stream;
    const char *tried_workers[TRIED_MAX];
    size_t tried_worker_count;
    const char *tried_versions[TRIED_MAX];
    size_t tried_version_count;
    pps_refusal_t last_refusal;
    int64_t retry_after_us;
    int64_t heard_us; /* when the stream last gave a sign of life */
    int attempts;
    int streaming; /* a worker has taken the request once */
    int whole;
};

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
    error = pps_choice_version(&choice, &input);
    if (error == 0) {
        answer->version = choice.version;
    }
    return error;
}

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
    error = pps_choice_worker(&choice, &input);
    if (error == 0) {
        answer->worker = choice.worker;
    }
    else if (error == PPS_EUNAVAILABLE) {
        answer->retry_after_us = choice.retry_after_us;
    }
    return error;
}

static void
remember_worker(pps_answer_t *answer)
{
    if (answer->tried_worker_count < TRIED_MAX) {
        answer->tried_workers[answer->tried_worker_count++] =
            answer->worker->id;
    }
}

static void
give_up_worker(pps_answer_t *answer, pps_refusal_t reason,
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
    pps_worker_refused(answer->worker, reason, answer->version->name,
                       pps_clock_now_us(), retry_after_us);
    remember_worker(answer);
    answer->last_refusal = reason;
}

static pps_refusal_t
refusal_of_error(int error)
{
    return error == PPS_ETIMEOUT ? PPS_REFUSAL_SILENT : PPS_REFUSAL_BROKEN;
}

static int
time_for_answer_ms(const pps_answer_t *answer)
{
    int64_t left_ms =
        (answer->options.deadline_us - pps_clock_now_us()) / PPS_US_PER_MS;

    return left_ms < answer->options.answer_timeout_ms
               ? (int)left_ms
               : answer->options.answer_timeout_ms;
}

/* @return 0, PPS_EREFUSED when another worker may be tried, or final */
static int
send_to_worker(pps_answer_t *answer)
{
    const pps_answer_options_t *options = &answer->options;
    pps_refusal_answer_t refusal = {PPS_REFUSAL_NONE, -1};
    pps_generate_t request = {.request_id = options->request_id,
                              .version = answer->version->name,
                              .prompt = options->prompt,
                              .max_tokens = options->max_tokens,
                              .priority = options->priority,
                              .resume_from = answer->assembler.next,
                              .revision =
                                  pps_catalog_revision(options->catalog)};
    int timeout_ms = time_for_answer_ms(answer);
    int64_t sent_us = pps_clock_now_us();
    int error;

    if (timeout_ms <= 0) {
        return pps_error_set(PPS_ETIMEOUT, "the deadline has passed");
    }
    if (!answer->streaming &&
        !options->may_start(options->user, answer->version)) {
        return pps_error_set(PPS_ECLOSED, "this host may not start work now");
    }
    answer->attempts++;
    pps_worker_started(answer->worker);
    error = options->engine->open(
        options->engine, &answer->stream, answer->worker->address,
        answer->worker->port, &request, timeout_ms, &refusal);
    if (error == 0) {
        pps_worker_first_token(answer->worker, pps_clock_now_us() - sent_us);
        answer->heard_us = pps_clock_now_us();
        return PPS_OK;
    }
    pps_worker_finished(answer->worker);
    give_up_worker(
        answer,
        error == PPS_EREFUSED ? refusal.reason : refusal_of_error(error),
        refusal.retry_after_s > 0 ? refusal.retry_after_s * PPS_US_PER_S : 0);
    return PPS_EREFUSED;
}

static int
may_try_again(const pps_answer_t *answer)
{
    const pps_answer_options_t *options = &answer->options;

    return answer->attempts < options->attempts_max &&
           options->may_retry(options->user);
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

/* Tries the workers of the version in turn. PPS_ECLOSED: none is left. */
static int
start_on_version(pps_answer_t *answer)
{
    for (;;) {
        int error = choose_worker(answer);

        if (error < 0) {
            return error == PPS_ECLOSED ? PPS_EUNAVAILABLE : error;
        }
        if (answer->attempts > 0 && !may_try_again(answer)) {
            return pps_error_set(PPS_ELIMIT, "no attempt is left");
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

static int
start(pps_answer_t *answer)
{
    for (;;) {
        int error = choose_version(answer);

        if (error < 0) {
            return error == PPS_ECLOSED && answer->tried_version_count > 0
                       ? PPS_EUNAVAILABLE
                       : error;
        }
        error = start_on_version(answer);
        if (error != PPS_EUNAVAILABLE && error != PPS_ENOTFOUND) {
            return error == PPS_ELIMIT ? PPS_EUNAVAILABLE : error;
        }
        if (answer->options.pinned != NULL ||
            answer->tried_version_count >= TRIED_MAX) {
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
    error = start(answer);
    if (error < 0) {
        refusal->error = error;
        refusal->last = answer->last_refusal;
        refusal->retry_after_us = answer->retry_after_us > 0
                                      ? answer->retry_after_us
                                      : RETRY_AFTER_DEFAULT_US;
        free(answer);
        return error;
    }
    answer->streaming = 1;
    *out = answer;
    return PPS_OK;
}

static void
end_stream(pps_answer_t *answer)
{
    if (answer->stream != NULL) {
        answer->options.engine->close(answer->stream);
        answer->stream = NULL;
        pps_worker_finished(answer->worker);
    }
}

/* Goes on behind the last token, on this version, at any worker of it. */
static int
resume(pps_answer_t *answer, int cause)
{
    int error;

    end_stream(answer);
    give_up_worker(answer, refusal_of_error(cause), 0);
    pps_assembler_restart(&answer->assembler);
    if (!may_try_again(answer)) {
        return pps_error_set(PPS_EUNKNOWN,
                             "the stream broke; no attempt left");
    }
    pps_counter_add(PPS_COUNTER_ANSWERS_RESUMED, 1);
    error = start_on_version(answer);
    if (error < 0) {
        return pps_error_set(PPS_EUNKNOWN, "the stream broke and could not be "
                                           "continued");
    }
    return 1;
}

static int
emit(const char *text, void *user)
{
    return pps_buf_puts(user, text);
}

static int
finish(pps_answer_t *answer)
{
    if (!pps_assembler_is_whole(&answer->assembler)) {
        return pps_error_set(PPS_ECORRUPT, "the engine ended a part as whole");
    }
    answer->whole = 1;
    pps_worker_served(answer->worker, answer->version->name);
    end_stream(answer);
    return 0;
}

static int
is_silent(const pps_answer_t *answer)
{
    return pps_clock_now_us() - answer->heard_us >
           answer->options.silence_timeout_ms * PPS_US_PER_MS;
}

int
pps_answer_read(pps_answer_t *answer, pps_buf_t *text, int wait_ms)
{
    pps_engine_event_t event;
    int got;

    if (answer->whole) {
        return 0;
    }
    if (pps_clock_now_us() > answer->options.deadline_us) {
        return pps_error_set(PPS_ETIMEOUT, "the deadline has passed");
    }
    got = answer->options.engine->next(answer->stream, &event, wait_ms);
    if (got > 0) {
        answer->heard_us = pps_clock_now_us();
        got = pps_assembler_take(&answer->assembler, &event, emit, text);
        if (got == 0) {
            return 1;
        }
    }
    else if (got == 0) {
        got = finish(answer);
        if (got == 0) {
            return 0;
        }
    }
    else if (got == PPS_ETIMEOUT && !is_silent(answer)) {
        return 1;
    }
    return got == PPS_ENOMEM ? got : resume(answer, got);
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
    if (!answer->whole && answer->stream != NULL) {
        answer->options.engine->cancel(
            answer->options.engine, answer->worker->address,
            answer->worker->port, answer->options.request_id);
        pps_counter_add(PPS_COUNTER_ANSWERS_CANCELLED, 1);
    }
    end_stream(answer);
    pps_assembler_clear(&answer->assembler);
    free(answer);
}
