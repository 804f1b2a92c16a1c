/** @file chat.c @brief Runs completions and sends unstreamed replies. */
#include "chat.h"

#include "bill_link.h"
#include "chat_error.h"
#include "chat_session.h"
#include "clock.h"
#include "counters.h"
#include "event.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define READ_WAIT_MS 100
#define AFFINITY_PREFIX_BYTES 256

static int
may_start(void *user, const pps_version_t *version)
{
    const pps_chat_t *chat = user;

    return pps_call_may_use_version(&chat->call, version->name,
                                    chat->pinned[0] != '\0');
}

static int
enter_pool(void *user, const char *upstream, int64_t *retry_after_us)
{
    pps_chat_t *chat = user;

    return pps_call_enter_pool(&chat->call, upstream, retry_after_us);
}

static int
may_retry(void *user)
{
    const pps_chat_t *chat = user;

    return pps_call_may_retry(&chat->call);
}

static uint64_t
hash_affinity(const pps_chat_t *chat)
{
    const pps_buf_t *prompt = &chat->request.prompt;
    size_t size = prompt->size < AFFINITY_PREFIX_BYTES ? prompt->size
                                                       : AFFINITY_PREFIX_BYTES;

    if (chat->call.session[0] != '\0') {
        return XXH64(chat->call.session, strlen(chat->call.session), 1);
    }
    return XXH64(pps_buf_text(prompt), size, 2);
}

static void
fill_options(pps_chat_t *chat, pps_answer_options_t *options)
{
    pps_router_t *router = chat->call.router;

    options->engine = router->engine;
    options->catalog = chat->call.catalog;
    options->workspace = chat->call.workspace;
    options->workers = chat->workers;
    options->rng = &chat->call.rng;
    options->quality = pps_quality_board_source(router->quality);
    options->price =
        pps_quality_board_price(router->quality, chat->call.workspace->name,
                                pps_rng_unit(&chat->call.rng));
    pps_quality_board_copy_held(router->quality, &chat->held);
    options->held = (pps_name_set_t){chat->held.list, chat->held.count};
    options->failure_domain = router->settings.failure_domain;
    options->request_id = chat->call.request_id;
    options->model = chat->request.model;
    options->kind = chat->call.kind;
    options->pinned = chat->pinned[0] != '\0' ? chat->pinned : NULL;
    options->prompt = pps_buf_text(&chat->request.prompt);
    options->max_tokens = chat->request.max_tokens;
    options->affinity = hash_affinity(chat);
    options->deadline_us = chat->call.deadline_us;
    options->answer_timeout_ms = router->settings.answer_timeout_ms;
    options->silence_timeout_ms = router->settings.silence_timeout_ms;
    options->may_start = may_start;
    options->enter_pool = enter_pool;
    options->may_retry = may_retry;
    options->user = chat;
}

static void
reply_open_error(const pps_chat_t *chat, struct _u_response *response,
                 const pps_answer_refusal_t *refusal)
{
    if (refusal->may_have_run) {
        pps_call_refuse(&chat->call, response, PPS_API_OUTCOME_UNKNOWN, 0,
                        "a worker did not answer; it may run the request");
        return;
    }
    if (refusal->over_share) {
        pps_call_refuse(&chat->call, response, PPS_API_OVERLOADED,
                        refusal->retry_after_us,
                        "the workspace is over its share of the workers");
        return;
    }
    pps_call_refuse(&chat->call, response, pps_chat_error_code(refusal->error),
                    refusal->retry_after_us,
                    pps_chat_error_message(refusal->error));
}

static int
open_answer(pps_chat_t *chat, struct _u_response *response)
{
    pps_answer_options_t options = PPS_ANSWER_OPTIONS_INIT;
    pps_answer_refusal_t refusal = {0};
    pps_answer_usage_t usage;
    int error;

    chat->workers = pps_worker_registry_acquire(chat->call.router->workers);
    fill_options(chat, &options);
    error = pps_answer_open(&chat->answer, &options, &refusal);
    if (error < 0) {
        reply_open_error(chat, response, &refusal);
        return error;
    }
    pps_answer_usage(chat->answer, &usage);
    u_map_put(response->map_header, "X-Model-Version", usage.version);
    return PPS_OK;
}

static int
decode_body(pps_chat_t *chat, const struct _u_request *request,
            struct _u_response *response)
{
    int error = pps_chat_request_decode(&chat->request, request->binary_body,
                                        request->binary_body_length);

    if (error < 0) {
        pps_call_refuse(&chat->call, response, PPS_API_INVALID_REQUEST, 0,
                        pps_error_last());
        return error;
    }
    chat->reply.request_id = chat->call.request_id;
    chat->reply.model = chat->request.model;
    chat->reply.created_s = pps_clock_wall_us() / PPS_US_PER_S;
    return PPS_OK;
}

static void
register_for_rating(const pps_chat_t *chat, const pps_answer_usage_t *usage)
{
    const pps_quality_answer_t answer = {
        .request_id = chat->call.request_id,
        .workspace = chat->call.workspace->name,
        .kind = chat->call.kind,
        .version = pps_catalog_version(chat->call.catalog, usage->version),
        .worker = usage->worker};

    pps_quality_board_add_answer(chat->call.router->quality, &answer);
}

int
pps_chat_bill(pps_chat_t *chat, const pps_answer_usage_t *usage)
{
    pps_event_record(
        "request_done",
        PPS_FIELDS(PPS_STR("request", chat->call.request_id),
                   PPS_STR("workspace", chat->call.workspace->name),
                   PPS_STR("version", usage->version),
                   PPS_INT("tokens", usage->generated_tokens),
                   PPS_INT("attempts", usage->attempts)));
    chat->call.succeeded = 1;
    register_for_rating(chat, usage);
    return pps_bill_link_bill(&chat->call, chat->request.model,
                              usage->upstream, usage, PPS_BILL_COMPLETED);
}

static void
reply_json(pps_chat_t *chat, struct _u_response *response)
{
    pps_answer_usage_t usage;
    int result;

    do {
        result = pps_answer_read(chat->answer, &chat->out, READ_WAIT_MS);
    } while (result > 0);
    pps_answer_usage(chat->answer, &usage);
    chat->ended = 1;
    if (result < 0) {
        pps_call_refuse(&chat->call, response, PPS_API_UPSTREAM_FAILED, 0,
                        pps_error_last());
        return;
    }
    if (pps_chat_bill(chat, &usage) < 0) {
        pps_call_refuse(&chat->call, response, PPS_API_BILL_NOT_DURABLE, 0,
                        "the bill for the answer could not be made durable");
        return;
    }
    pps_counter_add(PPS_COUNTER_REQUESTS_OK, 1);
    pps_http_reply_json(response, 200,
                        pps_chat_reply_completion(
                            &chat->reply, pps_buf_text(&chat->out), &usage));
}

/* A caller that disconnects pays for the tokens generated so far. */
static void
bill_cancelled(pps_chat_t *chat)
{
    pps_answer_usage_t usage;

    pps_answer_usage(chat->answer, &usage);
    if (usage.generated_tokens > 0) {
        pps_bill_link_bill(&chat->call, chat->request.model, usage.upstream,
                           &usage, PPS_BILL_CANCELLED);
    }
}

void
pps_chat_free(pps_chat_t *chat)
{
    if (chat->answer != NULL && !chat->ended) {
        bill_cancelled(chat);
    }
    pps_answer_close(chat->answer);
    pps_worker_view_free(chat->workers);
    pps_chat_request_clear(&chat->request);
    pps_chat_reply_clear(&chat->reply);
    pps_buf_clear(&chat->out);
    pps_call_end(&chat->call);
    free(chat);
}

int
pps_chat_handle(const struct _u_request *request, struct _u_response *response,
                void *user)
{
    pps_chat_t *chat = calloc(1, sizeof(*chat));

    if (chat == NULL) {
        return U_CALLBACK_ERROR;
    }
    if (pps_call_begin(&chat->call, user, request, response) < 0) {
        free(chat);
        return U_CALLBACK_COMPLETE;
    }
    if (decode_body(chat, request, response) < 0 ||
        pps_chat_resolve_session(chat, request, response) < 0 ||
        open_answer(chat, response) < 0) {
        pps_chat_free(chat);
        return U_CALLBACK_COMPLETE;
    }
    if (chat->request.stream) {
        return pps_chat_stream(chat, response);
    }
    reply_json(chat, response);
    pps_chat_free(chat);
    return U_CALLBACK_COMPLETE;
}
