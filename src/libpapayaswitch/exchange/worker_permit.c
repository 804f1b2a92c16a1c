/** @file worker_permit.c @brief This host's permits of brittle workers. */
#include "worker_permit.h"

#include "clock.h"
#include "permit_size.h"

/** Time for which a computed rank holds. */
#define RANK_PERIOD_US (200 * PPS_US_PER_MS)
/** Permits of one worker that a host uses before it knows the other hosts. */
#define UNSETTLED_PART 1
/** Age up to which a report of what a worker holds keeps requests from it. */
#define FULL_REPORT_US (300 * PPS_US_PER_MS)
static const pps_brittle_upstream_t unheard_upstream;

const pps_brittle_upstream_t *
pps_worker_permit_upstream(const pps_dispatcher_t *dispatcher,
                           const pps_pool_worker_t *worker,
                           const pps_exchange_t *exchange)
{
    const pps_upstream_state_t *state =
        exchange != NULL
            ? exchange->upstream_state
            : pps_dispatcher_find_upstream(dispatcher, worker->info.upstream);

    return state != NULL ? &state->brittle : &unheard_upstream;
}

int
pps_worker_permit_is_needed(const pps_dispatcher_t *dispatcher,
                            const pps_pool_worker_t *worker,
                            const pps_exchange_t *exchange)
{
    return worker->permits.is_brittle ||
           pps_brittle_upstream_covers(
               pps_worker_permit_upstream(dispatcher, worker, exchange),
               worker->permits.denied_us);
}

int
pps_worker_permit_is_brittle(const pps_dispatcher_t *dispatcher,
                             const pps_pool_worker_t *worker,
                             const pps_exchange_t *exchange)
{
    return worker->permits.is_brittle ||
           (pps_worker_permit_upstream(dispatcher, worker, exchange)
                ->is_known &&
            pps_worker_permit_is_needed(dispatcher, worker, exchange));
}

static const pps_host_rank_t *
rank_for(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker)
{
    pps_host_rank_t *rank = &worker->permit_rank;
    int64_t now_us = dispatcher->reactor->now_us;

    if (dispatcher->limit_rank == NULL) {
        *rank = (pps_host_rank_t){1, 1, 0};
    }
    else if (now_us >= worker->permit_rank_until_us) {
        dispatcher->limit_rank(dispatcher->notice_user, worker, &rank->hosts,
                               &rank->before);
        rank->peak = pps_known_hosts_peak(&dispatcher->permit_hosts,
                                          worker->info.failure_domain,
                                          rank->hosts, now_us);
        worker->permit_ignores_size =
            dispatcher->ignores_size != NULL &&
            dispatcher->ignores_size(dispatcher->notice_user);
        worker->permit_rank_until_us = now_us + RANK_PERIOD_US;
    }
    return rank;
}

pps_service_time_t
pps_worker_permit_service_time(const pps_dispatcher_t *dispatcher,
                               const pps_pool_worker_t *worker)
{
    const pps_upstream_state_t *state =
        pps_dispatcher_find_upstream(dispatcher, worker->info.upstream);

    return (pps_service_time_t){
        .slots = worker->slots,
        .answer_us = state != NULL ? (int64_t)state->long_answer_us : 0,
    };
}

/* Returns the permits of all hosts for all requests at the worker. */
static double
total_of(const pps_dispatcher_t *dispatcher, const pps_pool_worker_t *worker)
{
    return pps_worker_permits_total(&worker->permits, worker->slots,
                                    dispatcher->reactor->now_us);
}

double
pps_worker_permit_total_for_new(const pps_dispatcher_t *dispatcher,
                                const pps_pool_worker_t *worker)
{
    const pps_service_time_t time =
        pps_worker_permit_service_time(dispatcher, worker);
    double total = total_of(dispatcher, worker);
    double uncounted = pps_uncounted_calls_bound(&worker->uncounted, &time,
                                                 dispatcher->reactor->now_us);
    double left = worker->slots -
                  uncounted * pps_permit_size_largest(dispatcher, worker);

    return left < total ? left : total;
}

/* Returns this host's part of the permits of all hosts. */
static unsigned int
part_of(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
        double total)
{
    int64_t now_us = dispatcher->reactor->now_us;
    const pps_host_rank_t *rank = rank_for(dispatcher, worker);
    const pps_permit_pool_t pool = {
        total, pps_permit_size_largest(dispatcher, worker)};
    unsigned int part = pps_permit_part(&pool, rank);

    if (dispatcher->limit_rank != NULL && part > UNSETTLED_PART &&
        !pps_known_hosts_is_settled(&dispatcher->permit_hosts, now_us)) {
        return UNSETTLED_PART;
    }
    return part;
}

static void
note_large_wanted(const pps_dispatcher_t *dispatcher,
                  pps_pool_worker_t *worker, unsigned int size)
{
    if (size > 1 &&
        size <= part_of(dispatcher, worker, total_of(dispatcher, worker))) {
        worker->large_wanted_us = dispatcher->reactor->now_us;
    }
}

int
pps_worker_permit_is_free(const pps_dispatcher_t *dispatcher,
                          pps_pool_worker_t *worker, unsigned int size)
{
    unsigned int held = worker->slots_held + size;

    if (size == 1 && pps_permit_size_is_left_to_large(dispatcher, worker)) {
        return 0;
    }
    if (held <= part_of(dispatcher, worker, total_of(dispatcher, worker)) &&
        held - worker->slots_before <=
            part_of(dispatcher, worker,
                    pps_worker_permit_total_for_new(dispatcher, worker))) {
        return 1;
    }
    note_large_wanted(dispatcher, worker, size);
    return 0;
}

static void
check_permits(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
              pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    unsigned int size;

    if (!pps_worker_permit_is_needed(dispatcher, worker, exchange)) {
        return;
    }
    size = exchange != NULL ? pps_permit_size_of(exchange, worker) : 1;
    if (!pps_worker_permit_is_free(dispatcher, worker, size)) {
        out->state = PPS_GATE_OTHER_HOST;
    }
}

static unsigned int
count_permit_holders(const pps_dispatcher_t *dispatcher,
                     pps_pool_worker_t *worker)
{
    const pps_permit_pool_t pool = {
        pps_worker_permit_total_for_new(dispatcher, worker),
        pps_permit_size_largest(dispatcher, worker)};

    return pps_permit_holders(&pool, rank_for(dispatcher, worker));
}

/* Returns whether the worker was just seen to hold as much as it takes. While
 * this host has a free permit, that is more than the permits of all hosts. */
static int
is_seen_full(const pps_dispatcher_t *dispatcher,
             const pps_pool_worker_t *worker)
{
    int64_t now_us = dispatcher->reactor->now_us;

    return worker->reported_us != 0 &&
           now_us - worker->reported_us <= FULL_REPORT_US &&
           (worker->reported_waiting > 0 ||
            pps_pool_worker_busy(worker, now_us, 1) >= worker->slots);
}

static void
check_room(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
           pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    if (pps_worker_permit_is_needed(dispatcher, worker, exchange) &&
        (is_seen_full(dispatcher, worker) ||
         pps_worker_permit_total_for_new(dispatcher, worker) < 1)) {
        out->state = PPS_GATE_CLOSED;
    }
}

const pps_worker_gate_t pps_gate_permits = {
    "permits", PPS_GATE_OF_PERMITS, check_permits, NULL, count_permit_holders};
const pps_worker_gate_t pps_gate_room = {"room", PPS_GATE_OF_WORKER,
                                         check_room, NULL, NULL};
