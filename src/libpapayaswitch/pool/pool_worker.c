/** @file pool_worker.c @brief Load and state of one worker. */
#include "clock.h"
#include "pool.h"

#include <string.h>

/** Load reports older than this are ignored. */
#define REPORT_AGE_MAX_US (3 * PPS_US_PER_S)
/** Multiple of a worker's slots for which permits are shared by size. */
#define TAKEN_WINDOW 4

double
pps_pool_worker_busy(const pps_pool_worker_t *worker, int64_t now_us,
                     unsigned int hosts)
{
    double busy;

    if (worker->reported_us == 0 ||
        now_us - worker->reported_us > REPORT_AGE_MAX_US) {
        return (double)worker->in_flight * hosts;
    }
    busy = worker->reported_busy + (double)worker->in_flight -
           (double)worker->in_flight_at_report;
    return busy > worker->in_flight ? busy : worker->in_flight;
}

double
pps_pool_worker_load(const pps_pool_worker_t *worker, int64_t now_us)
{
    return pps_pool_worker_busy(worker, now_us, 1) / worker->slots;
}

void
pps_pool_set_path_lost(pps_pool_worker_t *worker, int is_lost)
{
    worker->is_path_lost = is_lost;
    if (is_lost) {
        worker->failure_share = 0;
        worker->avoided_until_us = 0;
        pps_cold_start_forget_refused(&worker->cold);
    }
}

void
pps_pool_pause(pps_pool_worker_t *worker, int64_t now_us, int64_t until_us)
{
    worker->paused_at_us = now_us;
    if (until_us > worker->paused_until_us) {
        worker->paused_until_us = until_us;
    }
}

void
pps_pool_begin_call(pps_pool_worker_t *worker)
{
    worker->in_flight++;
}

void
pps_pool_begin_permits(pps_pool_worker_t *worker, int64_t now_us)
{
    pps_uncounted_calls_begin(&worker->uncounted, now_us);
    worker->slots_before = worker->slots_held;
}

void
pps_pool_take_slots(pps_pool_worker_t *worker, unsigned int slots)
{
    worker->slots_held += slots;
    worker->large_wanted_us = slots > 1 ? 0 : worker->large_wanted_us;
    pps_size_balance_add(&worker->taken, slots,
                         (double)worker->slots * TAKEN_WINDOW);
}

void
pps_pool_return_slots(pps_pool_worker_t *worker, unsigned int slots)
{
    worker->slots_held -= slots;
    worker->slots_before -=
        slots < worker->slots_before ? slots : worker->slots_before;
}

void
pps_pool_note_held(pps_pool_worker_t *worker, double held, int64_t at_us)
{
    if (at_us > worker->reported_us) {
        worker->reported_busy = held;
        worker->reported_waiting = 0;
        worker->in_flight_at_report = worker->in_flight;
        worker->reported_us = at_us;
    }
}

void
pps_pool_record_load(pps_pool_worker_t *worker, unsigned int running,
                     unsigned int waiting, unsigned int slots, int64_t now_us)
{
    worker->reported_busy = (double)running + waiting;
    worker->reported_waiting = waiting;
    worker->in_flight_at_report = worker->in_flight;
    worker->reported_us = now_us;
    if (slots > 0) {
        worker->slots = slots;
    }
}

int
pps_worker_has_model(const pps_worker_info_t *info, const char *model)
{
    for (size_t i = 0; i < info->model_count; i++) {
        if (strcmp(info->models[i], model) == 0) {
            return 1;
        }
    }
    return info->model_count == 0;
}
