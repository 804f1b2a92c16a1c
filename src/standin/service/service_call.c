/** @file service_call.c @brief HTTP handlers of `/call/`. */
#include "service.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "standin_request.h"
#include "standin_server.h"

#include <stdlib.h>

#define CALL_PREFIX "/call/"
#define SILENCE_US (30 * PPS_US_PER_S)
#define NO_KEY "unkeyed"

typedef int (*call_handler_t)(service_t *service,
                              const struct _u_request *request,
                              struct _u_response *response);

static const char *
request_key(const struct _u_request *request)
{
    const char *key = pps_http_header(request, "X-Request-Key");

    if (key == NULL) {
        key = pps_http_header(request, "Idempotency-Key");
    }
    return key == NULL ? NO_KEY : key;
}

static void
echo_request_id(const struct _u_request *request, struct _u_response *response)
{
    const char *id = pps_http_header(request, "X-Request-Id");

    if (id != NULL) {
        u_map_put(response->map_header, "X-Request-Id", id);
    }
}

static void
sleep_call_time(service_t *service)
{
    int64_t delay_us =
        standin_faults_int(&service->faults, "delay_ms") * PPS_US_PER_MS;

    standin_server_sleep_us(service->options.call_us + delay_us);
}

static int
run_in_slot(service_t *service, const struct _u_request *request,
            struct _u_response *response, call_handler_t handler)
{
    standin_refusal_t refusal = standin_faults_next_refusal(&service->faults);

    if (refusal != STANDIN_REFUSAL_NONE) {
        return standin_refuse(response, refusal);
    }
    if (standin_faults_is_on(&service->faults, "silent")) {
        standin_server_sleep_us(SILENCE_US);
        standin_request_abort(request);
        return U_CALLBACK_COMPLETE;
    }
    refusal = service_acquire_slot(service);
    if (refusal != STANDIN_REFUSAL_NONE) {
        return standin_refuse(response, refusal);
    }
    handler(service, request, response);
    service_release_slot(service);
    return U_CALLBACK_COMPLETE;
}

static int
add_run(service_t *service, const struct _u_request *request, const char *key,
        uint64_t *run)
{
    const char *text = pps_http_header(request, "X-Fencing");
    uint64_t fencing = text == NULL ? 0 : strtoull(text, NULL, 10);

    return call_store_add_run(
        &service->calls, key,
        service->options.checks_fencing ? &fencing : NULL, run);
}

static int
run_write(service_t *service, const struct _u_request *request,
          struct _u_response *response)
{
    const char *key = request_key(request);
    uint64_t run = 0;
    char *path;
    int error;

    sleep_call_time(service);
    error = add_run(service, request, key, &run);
    if (error < 0) {
        return standin_refuse(response, error == PPS_EREFUSED
                                            ? STANDIN_REFUSAL_STALE_FENCING
                                            : STANDIN_REFUSAL_BROKEN);
    }
    if (standin_faults_use_one(&service->faults, "lose_answer")) {
        standin_request_abort(request);
        return U_CALLBACK_COMPLETE;
    }
    path = standin_request_path_suffix(request, CALL_PREFIX);
    echo_request_id(request, response);
    pps_http_reply_json(response, 200,
                        json_pack("{s:s,s:I,s:s,s:s}", "key", key, "run",
                                  (json_int_t)run, "path", path, "worker",
                                  service->options.id));
    free(path);
    return U_CALLBACK_COMPLETE;
}

static int
run_lookup(service_t *service, const struct _u_request *request,
           struct _u_response *response)
{
    char *path = standin_request_path_suffix(request, CALL_PREFIX);

    sleep_call_time(service);
    echo_request_id(request, response);
    pps_http_reply_json(
        response, 200,
        json_pack("{s:s,s:s}", "path", path, "worker", service->options.id));
    free(path);
    return U_CALLBACK_COMPLETE;
}

int
service_call_write(const struct _u_request *request,
                   struct _u_response *response, void *user)
{
    return run_in_slot(user, request, response, run_write);
}

int
service_call_lookup(const struct _u_request *request,
                    struct _u_response *response, void *user)
{
    return run_in_slot(user, request, response, run_lookup);
}
