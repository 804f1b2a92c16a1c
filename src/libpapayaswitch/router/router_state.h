/**
 * @file router_state.h
 * @brief State of a host, grouped by the threads that may use it.
 */
#ifndef PPS_ROUTER_ROUTER_STATE_H
#define PPS_ROUTER_ROUTER_STATE_H

#include "admission/pool_table.h"
#include "config_feed.h"
#include "control/mailbox.h"
#include "http_listener.h"
#include "papayaswitch/answer.h"
#include "papayaswitch/bills.h"
#include "papayaswitch/journal.h"
#include "papayaswitch/log_backend.h"
#include "papayaswitch/peers.h"
#include "papayaswitch/quality_board.h"
#include "papayaswitch/router.h"
#include "papayaswitch/service.h"
#include "papayaswitch/serving.h"
#include "papayaswitch/worker_view.h"
#include "platform_feed.h"
#include "status.h"
#include "timer.h"
#include "work_feed.h"

#include <pthread.h>
#include <stdatomic.h>
#include <uv.h>

struct pps_router {
    pps_settings_t settings;
    uint64_t incarnation;

    /* Control thread only. */
    uv_loop_t loop;
    uv_timer_t tick;
    pps_timers_t timers;
    pps_timer_t serving_timer;
    pps_timer_t journal_timer;
    pps_timer_t checkpoint_timer;
    pps_timer_t status_timer;
    pps_timer_t bills_timer;
    pps_timer_t rating_timer;
    pps_timer_t pool_timer;
    unsigned int rating_ticks;
    pps_peers_t *peers;
    pps_host_list_t hosts;
    uint64_t workers_digest; /**< hash of the last list of workers */
    pps_config_feed_t config;
    pps_work_feed_t work;
    int64_t started_us;
    int synced;
    int could_serve; /**< whether work could start at the last evaluation */
    int64_t snapshot_requested_us;
    int64_t checkpoint_due_us; /**< time it became due, or PPS_TIME_NONE */

    /* Set before the threads start; usable from any thread. */
    pthread_t control;
    int control_running;
    pps_mailbox_t mailbox;
    pps_log_backend_t *log;
    pps_journal_t *journal;
    pps_bills_t *bills;
    pps_quality_board_t *quality;
    pps_pool_table_t *pools;
    pps_engine_backend_t *engine;
    pps_service_backend_t *service;
    pps_worker_registry_t *workers;
    pps_platform_feed_t *platform;
    pps_http_listener_t *callers;
    pps_http_listener_t *operators;
    unsigned int peer_port;

    /* Shared: locked, atomic or internally synchronized. */
    pps_serving_t serving;
    pthread_mutex_t catalog_lock;
    pps_catalog_t *catalog;
    pps_status_t status;
    atomic_int draining;
    atomic_int in_progress;
};

/** Returns a new reference to the current catalog. Any thread. */
pps_catalog_t *
pps_router_catalog(pps_router_t *router);

/** Replaces the current catalog. Control thread. */
void
pps_router_set_catalog(pps_router_t *router, const pps_catalog_t *catalog);

/** Checks whether new work may start on this host now. Any thread. */
int
pps_router_may_start(pps_router_t *router);

/** Starts and stops the control thread (control.c). */
int
pps_control_start(pps_router_t *router);
void
pps_control_stop(pps_router_t *router);

/** Evaluates whether work may start; updates the peers. Control thread. */
void
pps_control_evaluate(pps_router_t *router);

/** Starts the readers of the log and the platform (control_feeds.c). */
int
pps_control_open_feeds(pps_router_t *router);

/**
 * Publishes the fold's catalog and status; logs the verdicts on notes from an
 * offset. Control thread.
 */
void
pps_control_config_changed(pps_router_t *router, uint64_t from);

/** Adds the endpoints of callers and operators. */
int
pps_caller_api_add(pps_router_t *router);
int
pps_operator_api_add(pps_router_t *router);

#endif
