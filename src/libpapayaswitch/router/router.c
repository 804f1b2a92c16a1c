/** @file router.c @brief Creates, starts and stops a host. */
#include "papayaswitch/router.h"

#include "bill_link.h"
#include "clock.h"
#include "event.h"
#include "logger.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/log_http.h"
#include "router_state.h"

#include <stdlib.h>
#include <string.h>

/** Longest wait after the drain for connections without a request. */
#define CLOSE_LINGER_US PPS_US_PER_S
#define CLOSE_POLL_US (10 * PPS_US_PER_MS)

static int
open_journal(pps_router_t *router)
{
    pps_journal_options_t options = PPS_JOURNAL_OPTIONS_INIT;
    int error;

    options.host = router->settings.host_id;
    options.incarnation = router->incarnation;
    options.appender.interval_us =
        router->settings.claim_interval_ms * PPS_US_PER_MS;
    error = pps_journal_new(&router->journal, router->log, &options);
    router->work.journal = router->journal;
    return error;
}

static int
open_backends(pps_router_t *router)
{
    int error = pps_log_http_new(&router->log, router->settings.platform_url);

    if (error == 0) {
        error = pps_engine_http_new(&router->engine);
    }
    if (error == 0) {
        error = pps_service_http_new(&router->service);
    }
    if (error == 0) {
        error = pps_worker_registry_new(&router->workers);
    }
    if (error == 0) {
        error = pps_config_feed_init(&router->config);
    }
    if (error == 0) {
        error = open_journal(router);
    }
    if (error == 0) {
        error = pps_bill_link_open(router);
    }
    if (error == 0) {
        error = pps_pool_table_new(&router->pools);
    }
    if (error == 0) {
        error = pps_quality_board_new(
            &router->quality, router->settings.host_id, router->incarnation);
    }
    return error;
}

int
pps_router_new(pps_router_t **out, const pps_settings_t *settings)
{
    pps_router_t *router = calloc(1, sizeof(*router));
    int error;

    if (router == NULL) {
        return pps_error_set(PPS_ENOMEM, "router: out of memory");
    }
    router->settings = *settings;
    router->incarnation = (uint64_t)pps_clock_wall_us();
    pthread_mutex_init(&router->catalog_lock, NULL);
    pthread_mutex_init(&router->status.lock, NULL);
    pps_serving_init(&router->serving);
    error = open_backends(router);
    if (error == 0) {
        error = pps_catalog_new(&router->catalog);
    }
    if (error < 0) {
        pps_router_free(router);
        return error;
    }
    pps_event_setup(settings->host_id, router->incarnation);
    *out = router;
    return PPS_OK;
}

static int
open_listeners(pps_router_t *router)
{
    const pps_settings_t *settings = &router->settings;
    pps_http_limits_t limits = PPS_HTTP_LIMITS_INIT;
    int error;

    limits.connections_max = (unsigned int)settings->connections_max;
    limits.body_bytes_max = (size_t)settings->body_bytes_max;
    error = pps_http_listener_new(&router->callers, settings->address,
                                  (unsigned int)settings->http_port, &limits);
    if (error == 0) {
        error = pps_http_listener_new(&router->operators, settings->address,
                                      (unsigned int)settings->operator_port,
                                      &limits);
    }
    if (error == 0) {
        error = pps_caller_api_add(router);
    }
    if (error == 0) {
        error = pps_operator_api_add(router);
    }
    if (error == 0) {
        error = pps_http_listener_start(router->operators);
    }
    if (error == 0) {
        error = pps_http_listener_start(router->callers);
    }
    return error;
}

int
pps_router_start(pps_router_t *router)
{
    int error = pps_control_start(router);

    return error < 0 ? error : open_listeners(router);
}

void
pps_router_ports(const pps_router_t *router, pps_router_ports_t *out)
{
    out->http = pps_http_listener_port(router->callers);
    out->operator_port = pps_http_listener_port(router->operators);
    out->peer = router->peer_port;
}

void
pps_router_drain(pps_router_t *router)
{
    if (atomic_exchange(&router->draining, 1)) {
        return;
    }
    pps_event_record("draining", PPS_NO_FIELDS);
    pps_logger_write(
        PPS_LOG_INFO, "draining",
        PPS_FIELDS(PPS_INT("in_progress", atomic_load(&router->in_progress))));
}

int
pps_router_is_drained(pps_router_t *router)
{
    return atomic_load(&router->in_progress) == 0 &&
           pps_journal_pending_count(router->journal) == 0 &&
           pps_bills_drain(router->bills) == 0;
}

/* Connected callers still get a refusal, which shows that the request did not
 * run. A caller whose connection closes without an answer cannot know whether
 * it ran. */
static void
close_callers(pps_router_t *router)
{
    int64_t end_us = pps_clock_now_us() + CLOSE_LINGER_US;

    pps_http_listener_quiesce(router->callers);
    while (pps_http_listener_connections(router->callers) > 0 &&
           pps_clock_now_us() < end_us) {
        pps_clock_sleep_us(CLOSE_POLL_US);
    }
    pps_http_listener_free(router->callers);
}

void
pps_router_free(pps_router_t *router)
{
    if (router == NULL) {
        return;
    }
    if (router->callers != NULL) {
        close_callers(router);
    }
    pps_http_listener_free(router->operators);
    pps_control_stop(router);
    if (router->journal != NULL) {
        pps_journal_free(router->journal);
    }
    if (router->bills != NULL) {
        pps_bills_free(router->bills);
    }
    pps_quality_board_free(router->quality);
    pps_pool_table_free(router->pools);
    pps_work_feed_clear(&router->work);
    pps_config_feed_clear(&router->config);
    pps_host_list_clear(&router->hosts);
    pps_worker_registry_free(router->workers);
    if (router->engine != NULL) {
        router->engine->free(router->engine);
    }
    if (router->service != NULL) {
        router->service->free(router->service);
    }
    if (router->log != NULL) {
        router->log->free(router->log);
    }
    pps_catalog_free(router->catalog);
    json_decref(router->status.hosts);
    json_decref(router->status.notes);
    json_decref(router->status.config);
    pthread_mutex_destroy(&router->status.lock);
    pthread_mutex_destroy(&router->catalog_lock);
    free(router);
}

pps_catalog_t *
pps_router_catalog(pps_router_t *router)
{
    pps_catalog_t *catalog;

    pthread_mutex_lock(&router->catalog_lock);
    catalog = pps_catalog_ref(router->catalog);
    pthread_mutex_unlock(&router->catalog_lock);
    return catalog;
}

void
pps_router_set_catalog(pps_router_t *router, const pps_catalog_t *catalog)
{
    pps_catalog_t *previous;

    pthread_mutex_lock(&router->catalog_lock);
    previous = router->catalog;
    router->catalog = pps_catalog_ref(catalog);
    pthread_mutex_unlock(&router->catalog_lock);
    pps_catalog_free(previous);
}

int
pps_router_may_start(pps_router_t *router)
{
    return pps_serving_may_start(&router->serving, pps_clock_now_us());
}
