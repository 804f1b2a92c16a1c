/** @file relay_desk.c @brief Takes calls to workers for other hosts. */
#include "relay_desk.h"

#include "answer_times.h"
#include "brittle_notes.h"
#include "cold_gate.h"
#include "decision_log.h"
#include "exchange_notes.h"
#include "left_call.h"
#include "path_watch.h"
#include "worker_gate.h"
#include "worker_permit.h"

#include <stdio.h>
#include <stdlib.h>

/** What a call holds that takes this host's share. */
typedef struct {
    pps_pool_worker_t *worker;
    unsigned int slots;
    int64_t begun_us;
} hold_t;

/* Returns whether this host would send a request of its own to the worker; its
 * share counts only if the other host asks for it. */
static int
sends_to(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
         unsigned int slots)
{
    pps_gate_answer_t answer;

    if (worker == NULL || worker->is_path_lost) {
        return 0;
    }
    pps_worker_gates_check(&answer, dispatcher, worker, NULL,
                           PPS_GATE_OF_WORKER |
                               (slots > 0 ? PPS_GATE_OF_SHARE : 0));
    if (answer.state > PPS_GATE_AVOIDED) {
        return 0;
    }
    return slots == 0 ||
           !pps_worker_permit_is_needed(dispatcher, worker, NULL) ||
           pps_worker_permit_is_free(dispatcher, worker, slots);
}

/* Takes this host's share for a call. Returns NULL if there is no memory. */
static hold_t *
take_share(const pps_dispatcher_t *dispatcher, pps_pool_worker_t *worker,
           unsigned int slots)
{
    hold_t *hold = malloc(sizeof(*hold));

    if (hold == NULL) {
        return NULL;
    }
    *hold = (hold_t){worker, slots, dispatcher->reactor->now_us};
    pps_pool_begin_call(worker);
    pps_pool_take_slots(worker, slots);
    pps_worker_gates_take(dispatcher, worker);
    return hold;
}

static pps_relay_status_t
find(void *user, char *out, void **hold, const char *peer, uint64_t digest,
     unsigned int slots)
{
    const pps_relay_desk_t *desk = user;
    pps_dispatcher_t *dispatcher = desk->dispatcher;
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, digest);

    *hold = NULL;
    if (!desk->knows(desk->user, peer)) {
        return PPS_RELAY_FORBIDDEN;
    }
    if (!pps_path_watch_takes_relays(dispatcher)) {
        return PPS_RELAY_BUSY;
    }
    if (!sends_to(dispatcher, worker, slots)) {
        return PPS_RELAY_UNKNOWN;
    }
    if (slots > 0) {
        *hold = take_share(dispatcher, worker, slots);
        if (*hold == NULL) {
            return PPS_RELAY_BUSY;
        }
    }
    snprintf(out, PPS_RELAY_ADDRESS_BYTES, "%s", worker->info.address);
    return PPS_RELAY_CONNECTED;
}

static void
note_answer_time(pps_dispatcher_t *dispatcher, const hold_t *held)
{
    pps_upstream_state_t *state =
        pps_dispatcher_upstream(dispatcher, held->worker->info.upstream);

    if (state != NULL) {
        pps_answer_times_note_long(state, dispatcher->reactor->now_us -
                                              held->begun_us);
    }
}

static void
on_end(void *user, void *hold, int is_served)
{
    const pps_relay_desk_t *desk = user;
    pps_dispatcher_t *dispatcher = desk->dispatcher;
    hold_t *held = hold;

    if (is_served) {
        note_answer_time(dispatcher, held);
    }
    pps_pool_return_slots(held->worker, held->slots);
    pps_pool_end_call(dispatcher->pool, held->worker, PPS_WORKER_ABANDONED,
                      dispatcher->reactor->now_us);
    free(held);
}

static void
on_left(void *user, void *hold, int64_t begun_us)
{
    const pps_relay_desk_t *desk = user;
    hold_t *held = hold;

    if (!pps_worker_permit_is_needed(desk->dispatcher, held->worker, NULL)) {
        on_end(user, hold, 0);
        return;
    }
    pps_left_call_keep(desk->dispatcher, held->worker, held->slots, begun_us);
    free(held);
}

/* The worker speaks to this host, whoever the request is of. */
static void
on_reply(void *user, uint64_t digest, int64_t tried_us,
         const pps_http_reply_t *reply)
{
    const pps_relay_desk_t *desk = user;
    pps_dispatcher_t *dispatcher = desk->dispatcher;
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, digest);
    pps_worker_reply_t decoded;

    if (worker == NULL || worker->info.started_us > tried_us) {
        return;
    }
    dispatcher->worker->decode(&decoded, reply);
    pps_decision_log_relay_taken(decoded.id, &worker->info, reply->status);
    if (decoded.leaving) {
        pps_dispatcher_note_leaving(dispatcher, worker, worker->info.start_ms);
    }
    pps_dispatcher_note_pause(dispatcher, worker, &decoded);
    if (!decoded.other_worker) {
        pps_cold_gate_note_reply(dispatcher, worker, &decoded, tried_us);
        pps_brittle_note_relayed(dispatcher, worker, &decoded, tried_us);
    }
    if (decoded.has_load && !decoded.other_worker) {
        pps_pool_record_load(worker, decoded.running, decoded.waiting,
                             decoded.slots, dispatcher->reactor->now_us);
    }
}

static void
on_tried(void *user, uint64_t digest, int64_t tried_us, int is_reached)
{
    const pps_relay_desk_t *desk = user;
    pps_dispatcher_t *dispatcher = desk->dispatcher;
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, digest);

    if (worker == NULL) {
        return;
    }
    if (is_reached) {
        pps_path_watch_note_reached(dispatcher, worker, tried_us);
    }
    else {
        pps_path_watch_note_unreached(dispatcher, worker, tried_us);
    }
}

const pps_relay_ops_t pps_relay_desk_ops = {find, on_end, on_left, on_reply,
                                            on_tried};
