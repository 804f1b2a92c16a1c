/** @file dispatcher.c @brief Request routing state of one host. */
#include "dispatcher.h"

#include "clock.h"
#include "cold_gate.h"
#include "decision_log.h"
#include "exchange.h"
#include "exchange_flow.h"
#include "papayaswitch/errors.h"

#include <stdio.h>
#include <string.h>

/** HTTP limits for callers until a deployment sets others. */
#define HEADER_BYTES_MAX 16384
#define BODY_BYTES_MAX (4U << 20)
#define HEADER_TIMEOUT_US (3 * PPS_US_PER_S)
#define IDLE_TIMEOUT_US (15 * PPS_US_PER_S)

/** Hosts that are no longer heard keep their permits for three to four of
 * these: they may be cut off from the others, and not from the workers. */
#define PERMIT_HOSTS_PERIOD_US (5 * PPS_US_PER_S)

int
pps_dispatcher_init(pps_dispatcher_t *dispatcher, pps_reactor_t *reactor,
                    const pps_dispatch_options_t *options,
                    const pps_caller_ops_t *caller,
                    const pps_worker_ops_t *worker)
{
    memset(dispatcher, 0, sizeof(*dispatcher));
    dispatcher->reactor = reactor;
    pps_byte_account_init(&dispatcher->held, 0);
    pps_body_gate_init(&dispatcher->bodies, 0);
    pps_dispatcher_set_options(dispatcher, options);
    dispatcher->caller = caller;
    dispatcher->worker = worker;
    dispatcher->hosts = 1;
    dispatcher->known_hosts.started_us = reactor->now_us;
    dispatcher->permit_hosts = (pps_known_hosts_t){
        .started_us = reactor->now_us, .period_us = PERMIT_HOSTS_PERIOD_US};
    dispatcher->limits = (pps_http_limits_t){
        HEADER_BYTES_MAX, BODY_BYTES_MAX, HEADER_TIMEOUT_US, IDLE_TIMEOUT_US};
    CDS_INIT_LIST_HEAD(&dispatcher->exchanges);
    CDS_INIT_LIST_HEAD(&dispatcher->upstreams);
    CDS_INIT_LIST_HEAD(&dispatcher->breaks);
    CDS_INIT_LIST_HEAD(&dispatcher->left_calls);
    pps_evacuated_domains_init(&dispatcher->evacuated);
    dispatcher->worker_back = pps_cold_gate_expect;
    pps_rng_init(&dispatcher->rng, pps_rng_system_seed());
    if (pps_poison_table_new(&dispatcher->poison) != 0) {
        return PPS_ENOMEM;
    }
    return pps_pool_new(&dispatcher->pool);
}

void
pps_dispatcher_set_options(pps_dispatcher_t *dispatcher,
                           const pps_dispatch_options_t *options)
{
    dispatcher->options = *options;
    dispatcher->held.max = options->held_bytes_max > 0
                               ? options->held_bytes_max
                               : PPS_HELD_BYTES_DEFAULT;
    dispatcher->bodies.account.max = options->body_bytes_max > 0
                                         ? options->body_bytes_max
                                         : PPS_BODY_BYTES_DEFAULT;
}

int
pps_dispatcher_deploy(pps_dispatcher_t *dispatcher,
                      pps_deployment_t *deployment)
{
    if (dispatcher->deployment != NULL &&
        deployment->revision <= dispatcher->deployment->revision) {
        pps_deployment_unref(deployment);
        return 0;
    }
    pps_deployment_unref(dispatcher->deployment);
    dispatcher->deployment = deployment;
    dispatcher->limits = deployment->limits;
    pps_exchange_admit_waiting(dispatcher);
    return 1;
}

pps_upstream_state_t *
pps_dispatcher_find_upstream(const pps_dispatcher_t *dispatcher,
                             const char *name)
{
    pps_upstream_state_t *state;

    cds_list_for_each_entry (state, &dispatcher->upstreams, node) {
        if (strcmp(state->name, name) == 0) {
            return state;
        }
    }
    return NULL;
}

pps_upstream_state_t *
pps_dispatcher_upstream(pps_dispatcher_t *dispatcher, const char *name)
{
    pps_upstream_state_t *state =
        pps_dispatcher_find_upstream(dispatcher, name);

    if (state != NULL) {
        return state;
    }
    state = calloc(1, sizeof(*state));
    if (state == NULL) {
        return NULL;
    }
    cds_list_add_tail(&state->node, &dispatcher->upstreams);
    CDS_INIT_LIST_HEAD(&state->reports);
    snprintf(state->name, sizeof(state->name), "%s", name);
    pps_prefill_rate_init(&state->prefill_rate);
    pps_hedge_load_init(&state->hedge_load);
    pps_hedge_limit_init(&state->hedge_limit);
    pps_repeat_limit_init(&state->repeats,
                          dispatcher->options.repeat_window_us);
    return state;
}

pps_repeat_bounds_t
pps_dispatcher_repeat_bounds(const pps_dispatcher_t *dispatcher)
{
    const pps_dispatch_options_t *options = &dispatcher->options;

    return (pps_repeat_bounds_t){
        .ratio = options->repeat_ratio,
        .allowance = (double)options->repeat_allowance / dispatcher->hosts,
    };
}

void
pps_dispatcher_on_prefill_notice(pps_dispatcher_t *dispatcher,
                                 const pps_prefill_notice_t *notice)
{
    int64_t now_us = dispatcher->reactor->now_us;
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, notice->worker);
    pps_upstream_state_t *state =
        worker != NULL
            ? pps_dispatcher_upstream(dispatcher, worker->info.upstream)
            : NULL;

    if (notice->prefix != 0) {
        pps_prefix_affinity_record(&dispatcher->prefixes, notice->prefix,
                                   notice->worker, now_us);
    }
    if (state != NULL) {
        pps_prefill_queue_add(&worker->prefill, &state->prefill_rate,
                              notice->work, now_us);
    }
}

void
pps_dispatcher_on_leaving(pps_dispatcher_t *dispatcher, uint64_t worker_digest,
                          int64_t start_ms)
{
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, worker_digest);

    if (worker != NULL && pps_pool_set_leaving(worker, start_ms)) {
        pps_decision_log_leaving(worker, "host");
    }
}

static void
on_request(void *user, pps_http_conn_t *conn,
           const pps_http_request_t *request)
{
    pps_exchange_begin(user, conn, request);
}

static void
on_head(void *user, pps_http_conn_t *conn, const pps_http_request_t *request)
{
    pps_exchange_check_head(user, conn, request);
}

static void
on_released(void *user, void *holding)
{
    pps_body_gate_release(user, holding);
}

static void
on_caller_gone(void *user, void *exchange)
{
    pps_exchange_on_caller_gone(exchange);
}

static void
on_caller_drained(void *user, void *exchange)
{
    pps_exchange_on_caller_drained(exchange);
}

const pps_http_server_ops_t pps_dispatcher_server_ops = {
    on_request, on_caller_gone, on_caller_drained, on_head, on_released};
