/** @file path_watch.c @brief Asks neighbours for workers, tries lost paths. */
#include "path_watch.h"

#include "clock.h"
#include "decision_log.h"
#include "papayaswitch/errors.h"
#include "relay/relay_call.h"

#include <stdlib.h>

/** Time between two questions for the same worker. */
#define ASK_PERIOD_US (300 * PPS_US_PER_MS)
#define ASK_TIMEOUT_US (400 * PPS_US_PER_MS)
/** Period in which lost paths are tried, how many at once, and the time to
 * answer. */
#define TRY_PERIOD_US (250 * PPS_US_PER_MS)
#define TRIES_MAX 4
#define TRY_TIMEOUT_US (200 * PPS_US_PER_MS)

/* A question or a try under way for a worker, which may be gone meanwhile. */
typedef struct {
    pps_dispatcher_t *dispatcher;
    uint64_t worker;
    int64_t started_us;
} attempt_t;

static void
on_try_timer(int64_t now_us, void *user);

int
pps_path_watch_is_cut(const pps_dispatcher_t *dispatcher)
{
    return pps_path_state_is_cut(&dispatcher->paths);
}

int
pps_path_watch_takes_relays(const pps_dispatcher_t *dispatcher)
{
    return !pps_path_state_is_doubtful(&dispatcher->paths);
}

int
pps_path_watch_is_lost(const pps_dispatcher_t *dispatcher,
                       const pps_pool_worker_t *worker)
{
    return worker->is_path_lost || pps_path_watch_is_cut(dispatcher);
}

/* Returns whether the last workers did not answer. This ends by itself unless
 * tries show that it goes on. */
static int
is_unanswered(const pps_dispatcher_t *dispatcher)
{
    return pps_reachability_is_lost(&dispatcher->reach,
                                    dispatcher->reactor->now_us);
}

/* Returns whether any worker that answers would end what this host doubts. */
static int
tries_all(const pps_dispatcher_t *dispatcher)
{
    return is_unanswered(dispatcher) ||
           !pps_path_watch_takes_relays(dispatcher);
}

int
pps_path_watch_is_out_of_reach(pps_dispatcher_t *dispatcher,
                               const pps_neighbour_filter_t *filter)
{
    int64_t now_us = dispatcher->reactor->now_us;

    if (!pps_path_watch_is_cut(dispatcher) && !is_unanswered(dispatcher)) {
        return 0;
    }
    return !pps_neighbours_has_any(&dispatcher->neighbours, filter, now_us);
}

/* The state of the paths before a note. */
typedef struct {
    int is_cut;
    int takes_relays;
} before_t;

static before_t
state_before(const pps_dispatcher_t *dispatcher)
{
    return (before_t){pps_path_watch_is_cut(dispatcher),
                      pps_path_watch_takes_relays(dispatcher)};
}

static void
report_change(pps_dispatcher_t *dispatcher, const before_t *before,
              const pps_worker_info_t *worker)
{
    int is_cut = pps_path_watch_is_cut(dispatcher);

    if (is_cut != before->is_cut) {
        pps_decision_log_path(dispatcher, worker, is_cut);
    }
    if (pps_path_watch_takes_relays(dispatcher) != before->takes_relays &&
        dispatcher->path_changed != NULL) {
        dispatcher->path_changed(dispatcher->notice_user);
    }
}

static attempt_t *
attempt_new(pps_dispatcher_t *dispatcher, uint64_t worker)
{
    attempt_t *attempt = calloc(1, sizeof(*attempt));

    if (attempt != NULL) {
        attempt->dispatcher = dispatcher;
        attempt->worker = worker;
        attempt->started_us = dispatcher->reactor->now_us;
    }
    return attempt;
}

static void
start_trying(pps_dispatcher_t *dispatcher)
{
    if (!dispatcher->tries_paths) {
        dispatcher->tries_paths = 1;
        pps_reactor_every(dispatcher->reactor, &dispatcher->path_timer,
                          TRY_PERIOD_US, on_try_timer, dispatcher);
    }
}

int
pps_path_watch_ask(pps_dispatcher_t *dispatcher, uint64_t worker_digest,
                   pps_probe_fn done, void *user)
{
    const pps_neighbour_t *neighbour =
        pps_neighbours_choose(&dispatcher->neighbours, NULL, &dispatcher->rng,
                              dispatcher->reactor->now_us);
    pps_relay_route_t route;

    if (neighbour == NULL) {
        return PPS_ENOTFOUND;
    }
    route = (pps_relay_route_t){
        neighbour->address, dispatcher->options.local_address, worker_digest};
    return pps_relay_probe_start(dispatcher->reactor, &route, ASK_TIMEOUT_US,
                                 done, user);
}

void
pps_path_watch_note_reached(pps_dispatcher_t *dispatcher,
                            pps_pool_worker_t *worker, int64_t tried_us)
{
    const before_t before = state_before(dispatcher);

    if (!pps_path_state_note_reached(&dispatcher->paths, tried_us)) {
        return;
    }
    pps_reachability_record_reply(&dispatcher->reach);
    if (worker->is_path_lost) {
        pps_pool_set_path_lost(worker, 0);
        pps_decision_log_worker_path(&worker->info, 0);
    }
    report_change(dispatcher, &before, &worker->info);
}

static void
on_tried(void *user, pps_probe_result_t result)
{
    attempt_t *attempt = user;
    pps_dispatcher_t *dispatcher = attempt->dispatcher;
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, attempt->worker);

    if (worker != NULL && result == PPS_PROBE_ACCEPTED) {
        pps_path_watch_note_reached(dispatcher, worker, attempt->started_us);
    }
    if (result == PPS_PROBE_UNANSWERED && is_unanswered(dispatcher)) {
        pps_reachability_record_failure(&dispatcher->reach, attempt->worker,
                                        dispatcher->reactor->now_us);
    }
    free(attempt);
}

static void
try_path(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker)
{
    attempt_t *attempt = attempt_new(dispatcher, worker->digest);

    worker->path_probed_us = dispatcher->reactor->now_us;
    if (attempt != NULL &&
        pps_connect_probe_start(dispatcher->reactor, worker->info.address,
                                dispatcher->options.local_address,
                                TRY_TIMEOUT_US, on_tried, attempt) != 0) {
        free(attempt);
    }
}

/* A worker that a neighbour reaches lives, so that this host's path to it is
 * lost. */
static void
on_asked(void *user, pps_probe_result_t result)
{
    attempt_t *attempt = user;
    pps_dispatcher_t *dispatcher = attempt->dispatcher;
    const before_t before = state_before(dispatcher);
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, attempt->worker);

    if (worker != NULL && result == PPS_PROBE_ACCEPTED &&
        worker->path_probed_us <= attempt->started_us) {
        pps_pool_set_path_lost(worker, 1);
        pps_path_state_note_confirmed(&dispatcher->paths);
        pps_decision_log_worker_path(&worker->info, 1);
        report_change(dispatcher, &before, &worker->info);
        try_path(dispatcher, worker);
        start_trying(dispatcher);
    }
    free(attempt);
}

static void
ask(pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker)
{
    attempt_t *attempt;

    if (dispatcher->reactor->now_us - worker->path_asked_us < ASK_PERIOD_US) {
        return;
    }
    worker->path_asked_us = dispatcher->reactor->now_us;
    attempt = attempt_new(dispatcher, worker->digest);
    if (attempt != NULL && pps_path_watch_ask(dispatcher, worker->digest,
                                              on_asked, attempt) != 0) {
        free(attempt);
    }
}

void
pps_path_watch_note_unreached(pps_dispatcher_t *dispatcher,
                              pps_pool_worker_t *worker, int64_t tried_us)
{
    const before_t before = state_before(dispatcher);

    pps_path_state_note_unreached(&dispatcher->paths, worker->digest,
                                  tried_us);
    report_change(dispatcher, &before, &worker->info);
    if (!worker->is_path_lost) {
        ask(dispatcher, worker);
    }
    if (tries_all(dispatcher)) {
        start_trying(dispatcher);
    }
}

/* Returns the worker with the oldest try, of those whose path counts as lost;
 * NULL if none is left. */
static pps_pool_worker_t *
next_to_try(const pps_dispatcher_t *dispatcher)
{
    int64_t now_us = dispatcher->reactor->now_us;
    int is_all = tries_all(dispatcher);
    pps_pool_worker_t *found = NULL;
    pps_pool_worker_t *worker;

    cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                             node) {
        if (worker->listed &&
            (is_all || pps_path_watch_is_lost(dispatcher, worker)) &&
            !pps_pool_worker_is_leaving(worker) &&
            worker->path_probed_us != now_us &&
            (found == NULL ||
             worker->path_probed_us < found->path_probed_us)) {
            found = worker;
        }
    }
    return found;
}

static void
on_try_timer(int64_t now_us, void *user)
{
    pps_dispatcher_t *dispatcher = user;
    unsigned int tried;

    for (tried = 0; tried < TRIES_MAX; tried++) {
        pps_pool_worker_t *worker = next_to_try(dispatcher);

        if (worker == NULL) {
            break;
        }
        try_path(dispatcher, worker);
    }
    if (tried == 0) {
        dispatcher->tries_paths = 0;
        pps_timers_cancel(&dispatcher->path_timer);
    }
}
