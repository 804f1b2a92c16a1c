/** @file rating_link.c @brief Exchanges rating counters, reports findings. */
#include "rating_link.h"

#include "clock.h"
#include "counters.h"
#include "event.h"
#include "logger.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

/** Ticks between broadcasts of all counters, for hosts that joined later. */
#define TICKS_PER_FULL_BROADCAST 20

#define PER_MILLE 1000.0

void
pps_rating_link_add(pps_router_t *router, const json_t *ratings)
{
    size_t index;
    json_t *rating;

    json_array_foreach(ratings, index, rating)
    {
        const char *id =
            json_string_value(json_object_get(rating, "request_id"));
        const json_t *score = json_object_get(rating, "score");

        if (id != NULL && json_is_number(score) &&
            pps_quality_board_add_rating(router->quality, id,
                                         json_number_value(score)) == 0) {
            pps_counter_add(PPS_COUNTER_RATINGS, 1);
        }
    }
}

static const char *
finding_name(pps_health_finding_t finding)
{
    static const char *const names[] = {
        [PPS_HEALTH_OK] = "version_hold_ended",
        [PPS_HEALTH_HOLD_VERSION] = "version_held",
        [PPS_HEALTH_REPORT_WORKSPACE] = "workspace_bad",
        [PPS_HEALTH_AVOID_WORKER] = "worker_bad",
    };

    return names[finding];
}

static int
has_other_open_worker(const pps_worker_view_t *view,
                      const pps_worker_t *worker, int64_t now_us)
{
    for (size_t i = 0; i < pps_worker_view_count(view); i++) {
        const pps_worker_t *other = pps_worker_view_at(view, i);

        if (other != worker &&
            strcmp(other->upstream, worker->upstream) == 0 &&
            pps_worker_is_open(other, now_us)) {
            return 1;
        }
    }
    return 0;
}

/* Keeps the last open worker of an upstream, as a poor answer is preferable to
 * no answer. */
static void
avoid_worker(pps_router_t *router, const char *id)
{
    pps_worker_view_t *view = pps_worker_registry_acquire(router->workers);
    const pps_worker_t *worker = pps_worker_view_find(view, id);
    int64_t now_us = pps_clock_now_us();

    if (worker != NULL && has_other_open_worker(view, worker, now_us)) {
        pps_worker_record_refusal(worker, PPS_REFUSAL_UNFIT, NULL, now_us, 0);
    }
    pps_worker_view_free(view);
}

static void
on_finding(const char *version, const pps_health_verdict_t *verdict,
           void *user)
{
    const char *event = finding_name(verdict->finding);
    const pps_field_t fields[] = {
        PPS_STR("version", version),
        PPS_STR("name", verdict->name),
        PPS_INT("ratings", verdict->ratings),
        PPS_INT("drop_per_mille", verdict->drop * PER_MILLE),
        PPS_INT("evidence_per_mille", verdict->log_evidence * PER_MILLE),
        PPS_INT("threshold_per_mille", verdict->threshold * PER_MILLE),
    };

    pps_event_record(event, fields, sizeof(fields) / sizeof(fields[0]));
    pps_logger_write(PPS_LOG_WARN, event, fields,
                     sizeof(fields) / sizeof(fields[0]));
    pps_counter_add(PPS_COUNTER_HEALTH_FINDINGS,
                    verdict->finding != PPS_HEALTH_OK);
    if (verdict->finding == PPS_HEALTH_AVOID_WORKER) {
        avoid_worker(user, verdict->name);
    }
}

static void
broadcast_counters(pps_router_t *router)
{
    void *payload = NULL;
    size_t size = 0;
    int send_all = router->rating_ticks++ % TICKS_PER_FULL_BROADCAST == 0;
    int error =
        send_all
            ? pps_quality_board_encode_all(router->quality, &payload, &size)
            : pps_quality_board_encode(router->quality, &payload, &size);

    if (error == 0 && size > 0) {
        pps_peers_broadcast(router->peers, PPS_RATING_LINK_KIND, payload,
                            size);
    }
    free(payload);
}

void
pps_rating_link_tick(pps_router_t *router)
{
    const pps_catalog_t *catalog =
        pps_config_fold_catalog(router->config.fold);

    broadcast_counters(router);
    pps_quality_board_step(router->quality, catalog, on_finding, router);
    pps_quality_board_update_prices(router->quality, catalog);
}

int
pps_rating_link_receive(pps_router_t *router, uint32_t kind,
                        const void *payload, size_t size)
{
    if (kind != PPS_RATING_LINK_KIND) {
        return PPS_ENOTFOUND;
    }
    if (pps_quality_board_merge(router->quality, payload, size) < 0) {
        pps_counter_add(PPS_COUNTER_TALLIES_CORRUPT, 1);
    }
    return PPS_OK;
}
