/** @file caller_api.c @brief Serves the endpoints for callers. */
#include "chat.h"
#include "papayaswitch/errors.h"
#include "service_call.h"

#include <string.h>

static int
add_model(const pps_version_t *version, void *user)
{
    json_t *models = user;
    size_t index;
    json_t *model;

    json_array_foreach(models, index, model)
    {
        const char *id = json_string_value(json_object_get(model, "id"));

        if (strcmp(id, version->model) == 0) {
            return 0;
        }
    }
    json_array_append_new(models, json_pack("{s:s, s:s, s:s}", "id",
                                            version->model, "object", "model",
                                            "owned_by", "papayaswitch"));
    return 0;
}

typedef struct {
    const pps_workspace_t *workspace;
    json_t *models;
} model_list_t;

static int
add_allowed_model(const pps_version_t *version, void *user)
{
    model_list_t *list = user;

    if (version->state != PPS_VERSION_ACTIVE ||
        !pps_workspace_allows(list->workspace, version->name)) {
        return 0;
    }
    return add_model(version, list->models);
}

static int
handle_models(const struct _u_request *request, struct _u_response *response,
              void *user)
{
    pps_call_t call;
    model_list_t list;

    if (pps_call_begin(&call, user, request, response) < 0) {
        return U_CALLBACK_COMPLETE;
    }
    list.workspace = call.workspace;
    list.models = json_array();
    pps_catalog_version_foreach(call.catalog, add_allowed_model, &list);
    pps_http_reply_json(
        response, 200,
        json_pack("{s:s, s:o}", "object", "list", "data", list.models));
    pps_call_end(&call);
    return U_CALLBACK_COMPLETE;
}

static int
handle_outcome(const struct _u_request *request, struct _u_response *response,
               void *user)
{
    const char *key = u_map_get(request->map_url, "key");
    pps_verdict_t verdict = {0};
    pps_call_t call;
    int error;

    if (pps_call_begin(&call, user, request, response) < 0) {
        return U_CALLBACK_COMPLETE;
    }
    error = key == NULL ? PPS_ENOTFOUND
                        : pps_journal_lookup(&verdict, call.router->journal,
                                             call.workspace->name, key);
    if (error == 0) {
        pps_verdict_reply(&call, response, &verdict);
        pps_verdict_clear(&verdict);
    }
    else if (error == PPS_ENOTFOUND) {
        pps_call_refuse(&call, response, PPS_API_NOT_FOUND, 0,
                        "no outcome is known for this key");
    }
    else {
        pps_call_refuse(&call, response, PPS_API_OUTCOME_UNKNOWN, 0,
                        "the outcome of the key cannot be read now");
    }
    pps_call_end(&call);
    return U_CALLBACK_COMPLETE;
}

static int
handle_ready(const struct _u_request *request, struct _u_response *response,
             void *user)
{
    pps_router_t *router = user;
    int ready =
        !atomic_load(&router->draining) && pps_router_may_start(router);

    pps_http_reply_json(response, ready ? 200 : 503,
                        json_pack("{s:b}", "ready", ready));
    return U_CALLBACK_COMPLETE;
}

int
pps_caller_api_add(pps_router_t *router)
{
    static const struct {
        const char *method;
        const char *path;
        pps_http_handler_t handler;
    } endpoints[] = {
        {"POST", "/v1/chat/completions", pps_chat_handle},
        {"GET", "/v1/models", handle_models},
        {"GET", "/v1/outcomes/:key", handle_outcome},
        {"*", "/v1/services/:upstream/*", pps_service_call_handle},
        {"GET", "/ready", handle_ready},
    };
    int error = PPS_OK;

    for (size_t i = 0;
         i < sizeof(endpoints) / sizeof(endpoints[0]) && error == 0; i++) {
        error = pps_http_listener_add(router->callers, endpoints[i].method,
                                      endpoints[i].path, endpoints[i].handler,
                                      router);
    }
    return error;
}
