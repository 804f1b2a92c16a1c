/** @file status.c @brief Publishes and builds the status of a host. */
#include "status.h"

#include "clock.h"
#include "router_state.h"

#include <stdlib.h>

#define REPORTS_MAX 1024

static json_t *
report_json(const pps_host_report_t *report, int64_t now_us)
{
    return json_pack("{s:s, s:I, s:I, s:I, s:b, s:b, s:I}", "id", report->id,
                     "incarnation", (json_int_t)report->status.incarnation,
                     "revision", (json_int_t)report->status.revision,
                     "next_offset", (json_int_t)report->status.next_offset,
                     "suspected", report->suspected, "leaving",
                     report->status.leaving, "heard_ms_ago",
                     report->pong_received_us == PPS_TIME_NONE
                         ? (json_int_t)-1
                         : (json_int_t)((now_us - report->pong_received_us) /
                                        PPS_US_PER_MS));
}

static json_t *
hosts_json(pps_router_t *router)
{
    static pps_host_report_t reports[REPORTS_MAX];
    size_t count = pps_peers_copy_reports(router->peers, reports, REPORTS_MAX);
    int64_t now = pps_clock_now_us();
    json_t *list = json_array();

    for (size_t i = 0; i < count; i++) {
        json_array_append_new(list, report_json(&reports[i], now));
    }
    return list;
}

static int
add_note(const pps_note_verdict_t *verdict, void *user)
{
    json_array_append_new(user,
                          json_pack("{s:s, s:b, s:I, s:I, s:s}", "id",
                                    verdict->id, "accepted", verdict->accepted,
                                    "offset", (json_int_t)verdict->offset,
                                    "revision", (json_int_t)verdict->revision,
                                    "reason", verdict->reason));
    return 0;
}

static json_t *
config_json(pps_router_t *router)
{
    const pps_config_fold_t *fold = router->config.fold;

    return json_pack("{s:I, s:I, s:b, s:I}", "next_offset",
                     (json_int_t)pps_config_fold_next(fold), "skipped",
                     (json_int_t)pps_config_fold_skipped(fold), "searching",
                     router->config.searching, "hosts_listed",
                     (json_int_t)router->hosts.count);
}

static void
replace(json_t **place, json_t *value)
{
    json_decref(*place);
    *place = value;
}

void
pps_status_publish(pps_router_t *router, int notes_changed)
{
    json_t *hosts = hosts_json(router);
    json_t *config = config_json(router);
    json_t *notes = NULL;

    if (notes_changed) {
        notes = json_array();
        pps_config_fold_verdict_foreach(router->config.fold, add_note, notes);
    }
    pthread_mutex_lock(&router->status.lock);
    replace(&router->status.hosts, hosts);
    replace(&router->status.config, config);
    if (notes != NULL) {
        replace(&router->status.notes, notes);
    }
    pthread_mutex_unlock(&router->status.lock);
}

static json_t *
copy_published(pps_router_t *router, json_t *const *place)
{
    json_t *copy;

    pthread_mutex_lock(&router->status.lock);
    copy = *place ? json_deep_copy(*place) : json_array();
    pthread_mutex_unlock(&router->status.lock);
    return copy;
}

static json_t *
workers_json(pps_router_t *router)
{
    pps_worker_view_t *view = pps_worker_registry_acquire(router->workers);
    int64_t now = pps_clock_now_us();
    json_t *list = json_array();

    for (size_t i = 0; i < pps_worker_view_count(view); i++) {
        const pps_worker_t *worker = pps_worker_view_at(view, i);

        json_array_append_new(
            list, json_pack("{s:s, s:s, s:b, s:b, s:I, s:f}", "id", worker->id,
                            "upstream", worker->upstream, "leaving",
                            worker->state == PPS_WORKER_LEAVING, "open",
                            pps_worker_is_open(worker, now), "in_flight",
                            (json_int_t)pps_worker_in_flight(worker), "load",
                            pps_worker_load(worker)));
    }
    pps_worker_view_free(view);
    return list;
}

static json_t *
bills_json(pps_router_t *router)
{
    pps_bills_stats_t stats;

    pps_bills_stats(router->bills, &stats);
    return json_pack("{s:I, s:I, s:I, s:I, s:I, s:I, s:s}", "own",
                     (json_int_t)stats.own, "exposed",
                     (json_int_t)stats.exposed, "held", (json_int_t)stats.held,
                     "recovering", (json_int_t)stats.recovering, "appended",
                     (json_int_t)stats.appended, "recovered",
                     (json_int_t)stats.recovered, "partner", stats.partner);
}

json_t *
pps_status_json(pps_router_t *router)
{
    int64_t now = pps_clock_now_us();
    /* Read before the catalog, so that permission to start work is never shown
     * with an older revision. */
    int serving = pps_serving_may_start(&router->serving, now);
    pps_catalog_t *catalog = pps_router_catalog(router);
    json_t *status = json_pack(
        "{s:s, s:s, s:s, s:I, s:I, s:b, s:s, s:b, s:i, s:I}", "version",
        PPS_VERSION, "host", router->settings.host_id, "failure_domain",
        router->settings.failure_domain, "incarnation",
        (json_int_t)router->incarnation, "revision",
        (json_int_t)pps_catalog_revision(catalog), "serving", serving,
        "serving_reason", pps_serving_reason(&router->serving, now),
        "draining", atomic_load(&router->draining), "in_progress",
        atomic_load(&router->in_progress), "outcomes_pending",
        (json_int_t)pps_journal_pending_count(router->journal));

    pps_catalog_free(catalog);
    json_object_set_new(status, "config",
                        copy_published(router, &router->status.config));
    json_object_set_new(status, "hosts",
                        copy_published(router, &router->status.hosts));
    json_object_set_new(status, "bills", bills_json(router));
    json_object_set_new(status, "workers", workers_json(router));
    return status;
}

json_t *
pps_status_notes_json(pps_router_t *router)
{
    return json_pack("{s:o}", "notes",
                     copy_published(router, &router->status.notes));
}
