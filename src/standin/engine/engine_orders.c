/** @file engine_orders.c @brief Runs orders unless their fencing is stale. */
#include "clock.h"
#include "engine.h"
#include "papayaswitch/errors.h"
#include "standin_request.h"
#include "standin_server.h"

#include <string.h>

typedef struct {
    const char *action;
    const char *version;
    int64_t fencing;
    int64_t revision;
} order_t;

typedef int (*order_action_t)(engine_t *engine, const order_t *order);

static int
do_load(engine_t *engine, const order_t *order)
{
    return version_set_add(&engine->versions, order->version);
}

static int
do_unload(engine_t *engine, const order_t *order)
{
    version_set_remove(&engine->versions, order->version);
    return PPS_OK;
}

static int
do_drain(engine_t *engine, const order_t *order)
{
    engine->draining = 1;
    return PPS_OK;
}

static int
do_undrain(engine_t *engine, const order_t *order)
{
    engine->draining = 0;
    return PPS_OK;
}

static const struct {
    const char *name;
    order_action_t run;
    int needs_version;
} actions[] = {
    {"load", do_load, 1},
    {"unload", do_unload, 1},
    {"drain", do_drain, 0},
    {"undrain", do_undrain, 0},
};

#define ACTION_COUNT (sizeof(actions) / sizeof(actions[0]))

static int
parse(order_t *out, json_t *body)
{
    json_error_t json_error;

    *out = (order_t){0};
    if (body == NULL) {
        return PPS_EINVALID;
    }
    if (json_unpack_ex(body, &json_error, 0, "{s:s,s?s,s?I,s?I}", "action",
                       &out->action, "version", &out->version, "fencing",
                       &out->fencing, "revision", &out->revision) != 0) {
        return pps_error_set(PPS_EINVALID, "body: %s", json_error.text);
    }
    return PPS_OK;
}

static int
run_action(engine_t *engine, const order_t *order)
{
    for (size_t i = 0; i < ACTION_COUNT; i++) {
        if (strcmp(actions[i].name, order->action) == 0 &&
            (!actions[i].needs_version || order->version != NULL)) {
            return actions[i].run(engine, order);
        }
    }
    return pps_error_set(
        PPS_EINVALID, "order '%s': unknown action, or the version is missing",
        order->action);
}

static int
is_stale(const engine_t *engine, const order_t *order)
{
    return engine->options.checks_fencing && order->fencing < engine->fencing;
}

static int
apply(engine_t *engine, const order_t *order)
{
    int error;

    pthread_mutex_lock(&engine->scheduler.lock);
    if (is_stale(engine, order)) {
        error = pps_error_set(PPS_EREFUSED, "fencing number is stale");
        goto done;
    }
    error = run_action(engine, order);
    if (error < 0) {
        goto done;
    }
    if (order->fencing > engine->fencing) {
        engine->fencing = order->fencing;
    }
    if (order->revision > engine->revision) {
        engine->revision = order->revision;
    }
    engine_publish_load(engine);
done:
    pthread_mutex_unlock(&engine->scheduler.lock);
    return error;
}

int
engine_orders_post(const struct _u_request *request,
                   struct _u_response *response, void *user)
{
    engine_t *engine = user;
    json_t *body = standin_request_json(request);
    order_t order;
    int error = parse(&order, body);

    if (error == 0 && strcmp(order.action, "load") == 0) {
        standin_server_sleep_us(engine->options.version_load_ms *
                                PPS_US_PER_MS);
    }
    if (error == 0) {
        error = apply(engine, &order);
    }
    if (error == PPS_EREFUSED) {
        standin_refuse(response, STANDIN_REFUSAL_STALE_FENCING);
    }
    else if (error < 0) {
        standin_refuse_malformed(response);
    }
    else {
        pps_http_reply_json(response, 200,
                            json_pack("{s:s}", "action", order.action));
    }
    json_decref(body);
    return U_CALLBACK_COMPLETE;
}
