/** @file service_call.c @brief Runs calls of plain services. */
#include "service_call.h"

#include "bill_link.h"
#include "clock.h"
#include "counters.h"
#include "event.h"
#include "papayaswitch/errors.h"
#include "service_dispatch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_PREFIX "/v1/services/"

static int
is_listed(const char *const *names, size_t count, const char *name)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(names[i], name) == 0) {
            return 1;
        }
    }
    return 0;
}

static int
find_upstream(pps_service_call_t *service, const struct _u_request *request,
              struct _u_response *response)
{
    const pps_workspace_t *workspace = service->call.workspace;
    const char *name = u_map_get(request->map_url, "upstream");
    const pps_upstream_t *upstream =
        name ? pps_catalog_upstream(service->call.catalog, name) : NULL;

    if (upstream == NULL || upstream->kind != PPS_UPSTREAM_SERVICE) {
        pps_call_refuse(&service->call, response, PPS_API_NOT_FOUND, 0,
                        "there is no such service");
        return PPS_ENOTFOUND;
    }
    if (!is_listed(workspace->services, workspace->service_count, name)) {
        pps_call_refuse(&service->call, response, PPS_API_NOT_ALLOWED, 0,
                        "the workspace may not use this service");
        return PPS_EINVALID;
    }
    service->upstream = upstream;
    return PPS_OK;
}

/* Returns the unmodified path and query after `/v1/services/NAME/`. */
static const char *
service_path(const struct _u_request *request)
{
    const char *path = strstr(request->http_url, PATH_PREFIX);

    path = path ? strchr(path + strlen(PATH_PREFIX), '/') : NULL;
    return path ? path + 1 : "";
}

static int
is_repeatable(const pps_service_call_t *service)
{
    const pps_upstream_t *upstream = service->upstream;
    const char *method = service->request.method;

    if (strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0) {
        return 1;
    }
    for (size_t i = 0; i < upstream->idempotent_count; i++) {
        const char *prefix = upstream->idempotent[i];

        prefix += prefix[0] == '/';
        if (strncmp(service->request.path, prefix, strlen(prefix)) == 0) {
            return 1;
        }
    }
    return 0;
}

static void
reply_answer(pps_service_call_t *service, struct _u_response *response)
{
    const pps_service_answer_t *answer = &service->answer;

    service->call.succeeded = 1;
    if (pps_bill_link_bill(&service->call, "", service->upstream->name, NULL,
                           PPS_BILL_COMPLETED) < 0) {
        pps_call_refuse(
            &service->call, response, PPS_API_BILL_NOT_DURABLE, 0,
            "the call has run, but its bill could not be made durable");
        return;
    }

    pps_counter_add(PPS_COUNTER_REQUESTS_OK, 1);
    if (answer->content_type[0] != '\0') {
        u_map_put(response->map_header, "Content-Type", answer->content_type);
    }
    ulfius_set_binary_body_response(response, (unsigned int)answer->status,
                                    answer->body ? answer->body : "",
                                    answer->body_size);
    pps_event_record(
        "request_done",
        PPS_FIELDS(PPS_STR("request", service->call.request_id),
                   PPS_STR("workspace", service->call.workspace->name),
                   PPS_INT("status", answer->status)));
}

static void
reply_failure(const pps_service_call_t *service, struct _u_response *response,
              int error)
{
    if (error == PPS_EUNAVAILABLE) {
        pps_call_refuse(&service->call, response, PPS_API_NO_CAPACITY,
                        service->choice.retry_after_us,
                        "no worker can take the call now");
        return;
    }
    pps_call_refuse(&service->call, response, PPS_API_UPSTREAM_FAILED, 0,
                    "the service returned no complete answer");
}

static void
run_repeatable(pps_service_call_t *service, struct _u_response *response)
{
    int error = pps_service_dispatch(service);

    if (error == 0) {
        reply_answer(service, response);
    }
    else {
        reply_failure(service, response, error);
    }
}

static void
record_outcome(pps_service_call_t *service, uint64_t fencing,
               pps_outcome_state_t state)
{
    pps_outcome_t outcome = {.claim_offset = fencing, .state = state};
    const pps_service_answer_t *answer = &service->answer;

    memcpy(outcome.workspace, service->call.workspace->name,
           strlen(service->call.workspace->name) + 1);
    memcpy(outcome.key, service->key, strlen(service->key) + 1);
    if (state == PPS_OUTCOME_COMPLETED) {
        outcome.status = answer->status;
        snprintf(outcome.content_type, sizeof(outcome.content_type), "%s",
                 answer->content_type);
        outcome.body = answer->body;
        outcome.body_size = answer->body_size;
    }
    pps_journal_record_outcome(service->call.router->journal, &outcome);
    pps_event_record("outcome",
                     PPS_FIELDS(PPS_STR("request", service->call.request_id),
                                PPS_STR("key", service->key),
                                PPS_INT("fencing", fencing),
                                PPS_INT("state", state)));
}

/* Asks the worker on a new connection whether a call without an answer ran. */
static void
resolve_lost_answer(pps_service_call_t *service, struct _u_response *response)
{
    pps_router_t *router = service->call.router;
    const pps_worker_t *worker = service->choice.worker;
    pps_service_run_t run = PPS_SERVICE_RUN_UNKNOWN;

    record_outcome(service, service->request.fencing, PPS_OUTCOME_UNKNOWN);
    if (router->service->outcome(router->service, &run, worker->address,
                                 worker->port, service->request.key) == 0 &&
        run == PPS_SERVICE_RUN_DONE) {
        pps_call_refuse(
            &service->call, response, PPS_API_UPSTREAM_FAILED, 0,
            "the service has run the call, but its answer was lost");
        return;
    }
    pps_call_refuse(&service->call, response, PPS_API_OUTCOME_UNKNOWN, 0,
                    "it may have run and is never run again; ask with GET "
                    "/v1/outcomes/KEY");
}

static void
run_claimed(pps_service_call_t *service, struct _u_response *response)
{
    int error = pps_service_dispatch(service);

    if (error == 0) {
        record_outcome(service, service->request.fencing,
                       PPS_OUTCOME_COMPLETED);
        reply_answer(service, response);
    }
    else if (error == PPS_EUNAVAILABLE) {
        record_outcome(service, service->request.fencing, PPS_OUTCOME_NOT_RUN);
        reply_failure(service, response, error);
    }
    else {
        resolve_lost_answer(service, response);
    }
}

void
pps_verdict_reply(const pps_call_t *call, struct _u_response *response,
                  const pps_verdict_t *verdict)
{
    switch (verdict->kind) {
    case PPS_VERDICT_DONE:
        if (verdict->body == NULL && verdict->body_size > 0) {
            pps_call_refuse(
                call, response, PPS_API_UPSTREAM_FAILED, 0,
                "the call has run, but its answer was too large to store");
            return;
        }
        u_map_put(response->map_header, "X-Idempotent-Replay", "true");
        u_map_put(response->map_header, "Content-Type", verdict->content_type);
        ulfius_set_binary_body_response(
            response, (unsigned int)verdict->status,
            verdict->body ? verdict->body : "", verdict->body_size);
        return;
    case PPS_VERDICT_MISMATCH:
        pps_call_refuse(call, response, PPS_API_KEY_MISMATCH, 0,
                        "the key was used with another request");
        return;
    case PPS_VERDICT_UNKNOWN:
        pps_call_refuse(call, response, PPS_API_OUTCOME_UNKNOWN, 0,
                        "it may have run and is never run again");
        return;
    default:
        pps_call_refuse(call, response, PPS_API_IN_PROGRESS, 0,
                        "a request with this key is under way");
    }
}

/* Includes method, service and path, so that a change of any is a mismatch. */
static void
compute_request_digest(const pps_service_call_t *service,
                       uint8_t out[PPS_BODY_DIGEST_SIZE])
{
    pps_buf_t input = PPS_BUF_INIT;

    pps_buf_printf(&input, "%s %s/%s\n", service->request.method,
                   service->upstream->name, service->request.path);
    pps_buf_append(&input, service->request.body, service->request.body_size);
    pps_body_digest(out, pps_buf_text(&input), input.size);
    pps_buf_clear(&input);
}

/* Prefixes the workspace, so that equal keys of two workspaces do not collide.
 */
static void
set_key(pps_service_call_t *service, const char *key)
{
    snprintf(service->upstream_key, sizeof(service->upstream_key), "%s:%s",
             service->call.workspace->name, key);
    service->key = key;
    service->request.key = service->upstream_key;
    service->request.once = 1;
}

static void
run_once(pps_service_call_t *service, const struct _u_request *request,
         struct _u_response *response)
{
    const char *key = pps_http_header(request, "Idempotency-Key");
    uint8_t digest[PPS_BODY_DIGEST_SIZE];
    pps_verdict_t verdict = {0};
    int error;

    if (key == NULL || !pps_call_is_token(key, PPS_WORK_KEY_MAX)) {
        pps_call_refuse(&service->call, response, PPS_API_INVALID_REQUEST, 0,
                        "Idempotency-Key: must be 1 to 255 letters, digits or "
                        "._:- for a call that must not be repeated");
        return;
    }
    set_key(service, key);
    compute_request_digest(service, digest);
    error = pps_journal_claim(
        &verdict, service->call.router->journal, service->call.workspace->name,
        key, digest, service->call.request_id, service->call.deadline_us);
    if (error < 0) {
        pps_call_refuse(&service->call, response, PPS_API_LOG_UNAVAILABLE, 0,
                        "the key cannot be claimed in the log now");
        return;
    }
    if (verdict.kind == PPS_VERDICT_GRANTED) {
        service->request.fencing = verdict.fencing;
        run_claimed(service, response);
    }
    else {
        pps_verdict_reply(&service->call, response, &verdict);
    }
    pps_verdict_clear(&verdict);
}

static void
fill_request(pps_service_call_t *service, const struct _u_request *request)
{
    service->request.method = request->http_verb;
    service->request.path = service_path(request);
    service->request.request_id = service->call.request_id;
    service->request.content_type = pps_http_header(request, "Content-Type");
    service->request.body = request->binary_body;
    service->request.body_size = request->binary_body_length;
}

/* Runs before the claim, so that a refused call leaves no claim in the log. */
static int
enter_pool(pps_service_call_t *service, const struct _u_request *request,
           struct _u_response *response)
{
    int64_t retry_after_us = 0;
    int error;

    if (pps_http_header(request, "X-Priority") == NULL) {
        service->call.priority = PPS_PRIORITY_INTERACTIVE;
    }
    error = pps_call_enter_pool(&service->call, service->upstream->name,
                                &retry_after_us);
    if (error < 0) {
        pps_call_refuse(
            &service->call, response,
            error == PPS_ETIMEOUT ? PPS_API_DEADLINE : PPS_API_OVERLOADED,
            retry_after_us, "the workspace is over its share of the workers");
    }
    return error;
}

int
pps_service_call_handle(const struct _u_request *request,
                        struct _u_response *response, void *user)
{
    pps_service_call_t service = {0};

    if (pps_call_begin(&service.call, user, request, response) < 0) {
        return U_CALLBACK_COMPLETE;
    }
    service.workers =
        pps_worker_registry_acquire(service.call.router->workers);
    if (find_upstream(&service, request, response) == 0 &&
        enter_pool(&service, request, response) == 0) {
        fill_request(&service, request);
        if (is_repeatable(&service)) {
            run_repeatable(&service, response);
        }
        else {
            run_once(&service, request, response);
        }
    }
    pps_service_answer_clear(&service.answer);
    pps_worker_view_free(service.workers);
    pps_call_end(&service.call);
    return U_CALLBACK_COMPLETE;
}
