/** @file call.c @brief Admits caller requests and ends them. */
#include "call.h"

#include "clock.h"
#include "counters.h"
#include "event.h"
#include "papayaswitch/errors.h"

#include <ctype.h>
#include <errno.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define DEADLINE_DEFAULT_MS 600000L
#define DEADLINE_MAX_MS 3600000L
#define ID_RANDOM_BYTES 16
#define BEARER "Bearer "

int
pps_call_is_token(const char *text, size_t max)
{
    size_t size = strlen(text);

    if (size == 0 || size > max) {
        return 0;
    }
    for (size_t i = 0; i < size; i++) {
        if (!isalnum((unsigned char)text[i]) &&
            strchr("._:-", text[i]) == NULL) {
            return 0;
        }
    }
    return 1;
}

static void
make_request_id(char *out, size_t size)
{
    unsigned char bytes[ID_RANDOM_BYTES];

    randombytes_buf(bytes, sizeof(bytes));
    sodium_bin2hex(out, size, bytes, sizeof(bytes));
}

/* Reads an optional token header. @return 0 or PPS_EINVALID */
static int
read_token(char *out, size_t max, const struct _u_request *request,
           const char *name)
{
    const char *value = pps_http_header(request, name);

    out[0] = '\0';
    if (value == NULL) {
        return PPS_OK;
    }
    if (!pps_call_is_token(value, max)) {
        return pps_error_set(PPS_EINVALID,
                             "%s: must be 1 to %zu letters, digits or ._:-",
                             name, max);
    }
    memcpy(out, value, strlen(value) + 1);
    return PPS_OK;
}

static int
read_deadline(pps_call_t *call, const struct _u_request *request)
{
    const char *value = pps_http_header(request, "X-Deadline-Ms");
    long milliseconds = DEADLINE_DEFAULT_MS;
    char *end;

    if (value != NULL) {
        errno = 0;
        milliseconds = strtol(value, &end, 10);
        if (errno != 0 || *end != '\0' || end == value || milliseconds < 1 ||
            milliseconds > DEADLINE_MAX_MS) {
            return pps_error_set(PPS_EINVALID,
                                 "X-Deadline-Ms: must be an integer from 1 to "
                                 "%ld",
                                 DEADLINE_MAX_MS);
        }
    }
    call->deadline_us = call->started_us + milliseconds * PPS_US_PER_MS;
    return PPS_OK;
}

static int
read_priority(pps_call_t *call, const struct _u_request *request)
{
    static const char *const names[PPS_PRIORITY_COUNT] = {
        [PPS_PRIORITY_INTERACTIVE] = "interactive",
        [PPS_PRIORITY_NORMAL] = "normal",
        [PPS_PRIORITY_BATCH] = "batch"};
    const char *value = pps_http_header(request, "X-Priority");

    call->priority = PPS_PRIORITY_NORMAL;
    if (value == NULL) {
        return PPS_OK;
    }
    for (int i = 0; i < PPS_PRIORITY_COUNT; i++) {
        if (strcmp(value, names[i]) == 0) {
            call->priority = (pps_priority_t)i;
            return PPS_OK;
        }
    }
    return pps_error_set(PPS_EINVALID,
                         "X-Priority: must be interactive, normal or batch");
}

static int
read_headers(pps_call_t *call, const struct _u_request *request)
{
    int error = read_token(call->request_id, PPS_REQUEST_ID_MAX, request,
                           "X-Request-Id");

    if (call->request_id[0] == '\0') {
        make_request_id(call->request_id, sizeof(call->request_id));
    }
    if (error == 0) {
        error =
            read_token(call->session, PPS_WORK_KEY_MAX, request, "X-Session");
    }
    if (error == 0) {
        error = read_token(call->kind, PPS_KIND_MAX, request, "X-Kind");
    }
    if (error == 0) {
        error = read_priority(call, request);
    }
    return error < 0 ? error : read_deadline(call, request);
}

/* Looks the key up by its hash, so that comparisons reveal nothing of it. */
static const pps_workspace_t *
find_workspace(const pps_catalog_t *catalog, const struct _u_request *request)
{
    const char *value = pps_http_header(request, "Authorization");
    unsigned char hash[PPS_KEY_HASH_BYTES];

    if (value == NULL || strncmp(value, BEARER, strlen(BEARER)) != 0) {
        return NULL;
    }
    value += strlen(BEARER);
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)value,
                       strlen(value), NULL, 0);
    return pps_catalog_workspace_by_key(catalog, hash);
}

void
pps_call_refuse(const pps_call_t *call, struct _u_response *response,
                pps_api_error_t code, int64_t retry_after_us,
                const char *message)
{
    pps_event_record(
        "request_refused",
        PPS_FIELDS(PPS_STR("request", call->request_id),
                   PPS_STR("code", pps_api_error_code(code)),
                   PPS_STR("workspace",
                           call->workspace ? call->workspace->name : "-")));
    pps_api_error_reply(response, code, call->request_id, retry_after_us,
                        message);
}

static int
admit(pps_call_t *call, const struct _u_request *request,
      struct _u_response *response)
{
    if (read_headers(call, request) < 0) {
        pps_call_refuse(call, response, PPS_API_INVALID_REQUEST, 0,
                        pps_error_last());
        return PPS_EINVALID;
    }
    if (atomic_load(&call->router->draining) ||
        !pps_router_may_start(call->router)) {
        pps_call_refuse(call, response, PPS_API_NOT_SERVING, 0,
                        "this host starts no work now; ask another one");
        return PPS_ECLOSED;
    }
    if (!pps_bills_can_accept(call->router->bills)) {
        pps_call_refuse(call, response, PPS_API_NOT_SERVING, 0,
                        "this host cannot make bills durable now");
        return PPS_ELIMIT;
    }
    call->workspace = find_workspace(call->catalog, request);
    if (call->workspace == NULL) {
        pps_call_refuse(call, response, PPS_API_UNAUTHORIZED, 0,
                        "the bearer key belongs to no workspace");
        return PPS_EREFUSED;
    }
    return PPS_OK;
}

int
pps_call_begin(pps_call_t *out, pps_router_t *router,
               const struct _u_request *request, struct _u_response *response)
{
    int error;

    memset(out, 0, sizeof(*out));
    atomic_fetch_add(&router->in_progress, 1);
    pps_counter_add(PPS_COUNTER_REQUESTS, 1);
    out->router = router;
    out->started_us = pps_clock_now_us();
    out->catalog = pps_router_catalog(router);
    pps_rng_init(&out->rng, pps_rng_system_seed());
    error = admit(out, request, response);
    if (error < 0) {
        pps_call_end(out);
        return error;
    }
    u_map_put(response->map_header, "X-Request-Id", out->request_id);
    return PPS_OK;
}

static void
leave_pool(pps_call_t *call)
{
    if (call->pool != NULL) {
        pps_pool_leave(call->pool, call->workspace->name,
                       pps_clock_now_us() - call->started_us, call->succeeded);
        call->pool = NULL;
    }
}

int
pps_call_enter_pool(pps_call_t *call, const char *upstream,
                    int64_t *retry_after_us)
{
    pps_pool_t *pool = pps_pool_table_get(call->router->pools, upstream);
    int error;

    if (pool == NULL) {
        return pps_error_set(PPS_ENOMEM,
                             "pools: out of memory or name too long");
    }
    if (pool == call->pool) {
        return PPS_OK;
    }
    leave_pool(call);
    error = pps_pool_enter(pool, call->workspace, call->priority,
                           call->deadline_us, &call->rng, retry_after_us);
    if (error == 0) {
        call->pool = pool;
    }
    return error;
}

int
pps_call_may_retry(const pps_call_t *call)
{
    return call->pool == NULL || pps_pool_take_retry(call->pool);
}

void
pps_call_end(pps_call_t *call)
{
    leave_pool(call);
    pps_catalog_free(call->catalog);
    call->catalog = NULL;
    atomic_fetch_sub(&call->router->in_progress, 1);
}
