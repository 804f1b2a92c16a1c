/** @file service_status.c @brief Reports load, runs, outcomes; runs orders. */
#include "service.h"

#include "papayaswitch/errors.h"
#include "standin_request.h"

#include <stdlib.h>
#include <string.h>

#define OUTCOME_PREFIX "/outcome/"

int
service_load_get(const struct _u_request *request,
                 struct _u_response *response, void *user)
{
    service_t *service = user;

    pps_http_reply_json(response, 200, standin_lagged_get(&service->load));
    return U_CALLBACK_COMPLETE;
}

int
service_runs_get(const struct _u_request *request,
                 struct _u_response *response, void *user)
{
    service_t *service = user;

    pps_http_reply_json(
        response, 200,
        json_pack("{s:o}", "runs", call_store_list(&service->calls)));
    return U_CALLBACK_COMPLETE;
}

int
service_outcome_get(const struct _u_request *request,
                    struct _u_response *response, void *user)
{
    service_t *service = user;
    char *key = standin_request_path_suffix(request, OUTCOME_PREFIX);
    uint64_t run_count = call_store_run_count(&service->calls, key);

    pps_http_reply_json(response, 200,
                        json_pack("{s:s,s:s,s:I}", "key", key, "state",
                                  run_count > 0 ? "done" : "unknown", "runs",
                                  (json_int_t)run_count));
    free(key);
    return U_CALLBACK_COMPLETE;
}

int
service_orders_post(const struct _u_request *request,
                    struct _u_response *response, void *user)
{
    service_t *service = user;
    json_t *body = standin_request_json(request);
    const char *action = json_string_value(json_object_get(body, "action"));
    int drain = action != NULL && strcmp(action, "drain") == 0;
    int undrain = action != NULL && strcmp(action, "undrain") == 0;

    json_decref(body);
    if (!drain && !undrain) {
        pps_error_set(PPS_EINVALID, "action is neither drain nor undrain");
        return standin_refuse_malformed(response);
    }
    service_set_draining(service, drain);
    pps_http_reply_json(response, 200, json_pack("{s:b}", "draining", drain));
    return U_CALLBACK_COMPLETE;
}

int
service_faults_get(const struct _u_request *request,
                   struct _u_response *response, void *user)
{
    service_t *service = user;

    return standin_faults_handle_get(&service->faults, response);
}

int
service_faults_put(const struct _u_request *request,
                   struct _u_response *response, void *user)
{
    service_t *service = user;

    return standin_faults_handle_put(&service->faults, request, response);
}
