/** @file platform_hosts.c @brief HTTP handlers of the lagged hosts list. */
#include "platform.h"

#include "papayaswitch/errors.h"
#include "standin_refusal.h"
#include "standin_request.h"

int
platform_hosts_get(const struct _u_request *request,
                   struct _u_response *response, void *user)
{
    platform_t *platform = user;

    pps_http_reply_json(response, 200, standin_lagged_get(&platform->hosts));
    return U_CALLBACK_COMPLETE;
}

int
platform_hosts_put(const struct _u_request *request,
                   struct _u_response *response, void *user)
{
    platform_t *platform = user;
    json_t *body = standin_request_json(request);

    if (!json_is_array(json_object_get(body, "entries")) ||
        !json_is_array(json_object_get(body, "workers"))) {
        json_decref(body);
        pps_error_set(
            PPS_EINVALID,
            "hosts: the arrays 'entries' and 'workers' are required");
        return standin_refuse_malformed(response);
    }
    standin_lagged_set(&platform->hosts, json_incref(body));
    pps_http_reply_json(response, 200, body);
    return U_CALLBACK_COMPLETE;
}
