/** @file engine_generate.c @brief `POST /generate` and `POST /cancel`. */
#include "buf.h"
#include "clock.h"
#include "engine.h"
#include "event_stream.h"
#include "fault_plan.h"
#include "papayaswitch/errors.h"
#include "standin_request.h"
#include "standin_server.h"
#include "standin_text.h"

#include <string.h>

#define MAX_TOKENS_DEFAULT 1024
#define SILENCE_US (120 * PPS_US_PER_S)
#define REQUEST_ID_BYTES_MAX 256

/* The strings of `out` point into `body`. */
static int
parse(generate_request_t *out, json_t *body)
{
    json_error_t json_error;

    *out = (generate_request_t){.max_tokens = MAX_TOKENS_DEFAULT};
    if (body == NULL) {
        return PPS_EINVALID;
    }
    if (json_unpack_ex(
            body, &json_error, 0, "{s:s,s:s,s:s,s?I,s?I,s?I,s?i,s?b}",
            "request_id", &out->request_id, "version", &out->version, "prompt",
            &out->prompt, "max_tokens", &out->max_tokens, "resume_from",
            &out->resume_from, "revision", &out->revision, "priority",
            &out->priority, "stream", &out->stream) != 0) {
        return pps_error_set(PPS_EINVALID, "body: %s", json_error.text);
    }
    if (out->max_tokens < 0 || out->resume_from < 0 ||
        strlen(out->request_id) > REQUEST_ID_BYTES_MAX) {
        return pps_error_set(PPS_EINVALID,
                             "body: max_tokens or resume_from is negative, or "
                             "request_id is too long");
    }
    return PPS_OK;
}

static json_t *
answer_json(const run_t *run, const fault_plan_t *plan)
{
    const char *id = plan->foreign_id ? "foreign-request" : run->request_id;
    uint64_t end = run->total;
    pps_buf_t text = PPS_BUF_INIT;
    json_t *answer;

    if (plan->truncate_without_done) {
        end = run->first + (run->total - run->first) / 2;
    }
    for (uint64_t index = run->first; index < end; index++) {
        char token[STANDIN_TOKEN_BYTES];

        standin_text_token(token, run->key, index);
        pps_buf_puts(&text, token);
    }
    answer = json_pack("{s:s,s:s,s:I,s:I}", "request_id", id, "text",
                       pps_buf_text(&text), "prompt_tokens",
                       (json_int_t)run->prompt_tokens, "generated_tokens",
                       (json_int_t)run->total);
    if (!plan->truncate_without_done) {
        json_object_set_new(answer, "finish", json_string("stop"));
    }
    pps_buf_clear(&text);
    return answer;
}

/* @return the run's state; RUN_CANCELLED if the caller has disconnected */
static run_state_t
wait_until_ended(engine_t *engine, run_t *run,
                 const struct _u_request *request)
{
    uint64_t produced = run->first;
    run_state_t state = RUN_RUNNING;

    while (state == RUN_RUNNING && !standin_request_is_closed(request)) {
        state = event_stream_wait(engine, run, produced + 1, &produced);
    }
    return state == RUN_RUNNING ? RUN_CANCELLED : state;
}

static void
reply_json(engine_t *engine, run_t *run, const fault_plan_t *plan,
           const struct _u_request *request, struct _u_response *response)
{
    standin_server_sleep_us(plan->delay_first_us);
    if (wait_until_ended(engine, run, request) == RUN_CANCELLED ||
        plan->break_after >= 0) {
        standin_request_abort(request);
    }
    else if (plan->silent_after >= 0) {
        standin_server_sleep_us(SILENCE_US);
        standin_request_abort(request);
    }
    else {
        pps_http_reply_json(response, 200, answer_json(run, plan));
    }
    scheduler_release(&engine->scheduler, run);
}

int
engine_generate(const struct _u_request *request, struct _u_response *response,
                void *user)
{
    engine_t *engine = user;
    json_t *body = standin_request_json(request);
    generate_request_t parameters;
    fault_plan_t plan;
    standin_refusal_t refusal;
    run_t *run = NULL;

    if (parse(&parameters, body) < 0) {
        standin_refuse_malformed(response);
        goto done;
    }
    refusal = engine_start_run(engine, &run, &parameters);
    if (refusal != STANDIN_REFUSAL_NONE) {
        standin_refuse(response, refusal);
        goto done;
    }
    fault_plan_read(&plan, &engine->faults);
    if (!parameters.stream) {
        reply_json(engine, run, &plan, request, response);
    }
    else if (event_stream_reply(engine, run, &plan, response) < 0) {
        standin_request_abort(request);
    }
done:
    json_decref(body);
    return U_CALLBACK_COMPLETE;
}

int
engine_cancel(const struct _u_request *request, struct _u_response *response,
              void *user)
{
    engine_t *engine = user;
    json_t *body = standin_request_json(request);
    const char *id = json_string_value(json_object_get(body, "request_id"));
    int cancelled = 0;

    if (id != NULL) {
        pthread_mutex_lock(&engine->scheduler.lock);
        cancelled = scheduler_cancel_id(&engine->scheduler, id);
        pthread_mutex_unlock(&engine->scheduler.lock);
    }
    json_decref(body);
    pps_http_reply_json(response, 200,
                        json_pack("{s:i}", "cancelled", cancelled));
    return U_CALLBACK_COMPLETE;
}
