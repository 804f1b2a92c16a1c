/** @file operator_api.c @brief Serves the endpoints for operators. */
#include "clock.h"
#include "counters.h"
#include "event.h"
#include "papayaswitch/catalog_json.h"
#include "papayaswitch/errors.h"
#include "router_state.h"
#include "status.h"

#include <stdlib.h>

static int
handle_status(const struct _u_request *request, struct _u_response *response,
              void *user)
{
    pps_http_reply_json(response, 200, pps_status_json(user));
    return U_CALLBACK_COMPLETE;
}

static int
handle_notes(const struct _u_request *request, struct _u_response *response,
             void *user)
{
    pps_http_reply_json(response, 200, pps_status_notes_json(user));
    return U_CALLBACK_COMPLETE;
}

static int
handle_catalog(const struct _u_request *request, struct _u_response *response,
               void *user)
{
    pps_catalog_t *catalog = pps_router_catalog(user);
    json_t *object = NULL;
    int error = pps_catalog_to_json(&object, catalog);

    pps_catalog_free(catalog);
    if (error < 0) {
        return U_CALLBACK_ERROR;
    }
    pps_http_reply_json(response, 200, object);
    return U_CALLBACK_COMPLETE;
}

static int
handle_counters(const struct _u_request *request, struct _u_response *response,
                void *user)
{
    pps_buf_t text = PPS_BUF_INIT;

    pps_counters_expose(&text);
    u_map_put(response->map_header, "Content-Type",
              "text/plain; version=0.0.4");
    ulfius_set_string_body_response(response, 200, pps_buf_text(&text));
    pps_buf_clear(&text);
    return U_CALLBACK_COMPLETE;
}

static int
handle_events(const struct _u_request *request, struct _u_response *response,
              void *user)
{
    const char *since = u_map_get(request->map_url, "since");
    uint64_t next;
    json_t *events =
        pps_event_list(since ? strtoull(since, NULL, 10) : 0, &next);

    pps_http_reply_json(
        response, 200,
        json_pack("{s:o, s:I}", "events", events, "next", (json_int_t)next));
    return U_CALLBACK_COMPLETE;
}

int
pps_operator_api_add(pps_router_t *router)
{
    static const struct {
        const char *path;
        pps_http_handler_t handler;
    } endpoints[] = {
        {"/status", handle_status},    {"/notes", handle_notes},
        {"/catalog", handle_catalog},  {"/counters", handle_counters},
        {"/metrics", handle_counters}, {"/events", handle_events},
    };
    int error = PPS_OK;

    for (size_t i = 0;
         i < sizeof(endpoints) / sizeof(endpoints[0]) && error == 0; i++) {
        error =
            pps_http_listener_add(router->operators, "GET", endpoints[i].path,
                                  endpoints[i].handler, router);
    }
    return error;
}
