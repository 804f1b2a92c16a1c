/** @file crash_watch.c @brief Probes workers whose answers broke off. */
#include "crash_watch.h"

#include "clock.h"
#include "cold_gate.h"
#include "crash_line.h"
#include "decision_log.h"
#include "exchange_poison.h"
#include "path_watch.h"
#include "transport/connect_probe.h"

#include <stdlib.h>
#include <xxhash.h>

/** Time to answer a probe. A longer silence says nothing of the worker. */
#define PROBE_TIMEOUT_US (50 * PPS_US_PER_MS)
/** Time after which a worker is probed whose silent attempt was dropped. */
#define SILENT_PROBE_US (150 * PPS_US_PER_MS)
/** Shortest time from a worker's end to its next answer. */
#define RESTART_MIN_US (50 * PPS_US_PER_MS)
/** Number of keys that are noted for one end of a worker. */
#define SUSPECTS_MAX 128

/* How an attempt ended. */
typedef enum {
    ATTEMPT_BROKEN, /* its connection was lost */
    ATTEMPT_SILENT, /* dropped; the worker may have ended before it */
    ATTEMPT_CLOSED, /* in order; the answer is whole if the worker goes on */
} attempt_end_t;

/* A key of a request whose answer was at its beginning. */
typedef struct {
    uint64_t key;
    int64_t begun_us;
    attempt_end_t end;
} suspect_t;

/* The answers of one worker that broke off while it is probed. */
typedef struct pps_worker_break {
    struct cds_list_head node;
    pps_dispatcher_t *dispatcher;
    pps_worker_info_t worker;
    uint64_t worker_digest;
    pps_timer_t timer;
    int64_t probe_due_us; /* 0: not scheduled */
    int64_t at_us;
    unsigned int answers;
    struct cds_list_head waiting; /* exchanges, by probe_node */
    size_t suspect_count;
    suspect_t suspects[SUSPECTS_MAX];
} worker_break_t;

static worker_break_t *
find_break(const pps_dispatcher_t *dispatcher, uint64_t worker_digest,
           int64_t start_ms)
{
    worker_break_t *found;

    cds_list_for_each_entry (found, &dispatcher->breaks, node) {
        if (found->worker_digest == worker_digest &&
            found->worker.start_ms == start_ms) {
            return found;
        }
    }
    return NULL;
}

/* Returns when the last of the broken answers began, or its request was sent;
 * INT64_MIN if all were silent. */
static int64_t
last_begun_us(const worker_break_t *found)
{
    int64_t last_us = INT64_MIN;

    for (size_t i = 0; i < found->suspect_count; i++) {
        const suspect_t *suspect = &found->suspects[i];

        if (suspect->end != ATTEMPT_SILENT && suspect->begun_us > last_us) {
            last_us = suspect->begun_us;
        }
    }
    return last_us;
}

/* Numbers the ends of a worker by the start that this host has on record: the
 * worker may have started again before its new record has come.
 * @return the number of this end, from 0 */
static unsigned int
number_end(const worker_break_t *found)
{
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(found->dispatcher->pool, found->worker_digest);
    pps_worker_ends_t *ends;

    if (worker == NULL) {
        return 0;
    }
    ends = &worker->ends;
    if (ends->last_us == 0 || ends->start_ms != found->worker.start_ms) {
        *ends = (pps_worker_ends_t){found->worker.start_ms, found->at_us, 0};
    }
    else if (last_begun_us(found) > ends->last_us + RESTART_MIN_US) {
        ends->last_us = found->at_us;
        ends->number++;
    }
    return ends->number;
}

/* Returns a number for the worker's end. Hosts that know the same start of the
 * worker agree on it. */
static uint64_t
crash_id(const worker_break_t *found)
{
    uint64_t id = XXH64(&found->worker.start_ms,
                        sizeof(found->worker.start_ms), found->worker_digest);
    unsigned int number = number_end(found);

    return number == 0 ? id : XXH64(&number, sizeof(number), id);
}

static void
report_crash(const worker_break_t *found)
{
    pps_dispatcher_t *dispatcher = found->dispatcher;
    uint64_t keys[SUSPECTS_MAX];
    uint64_t id = crash_id(found);

    for (size_t i = 0; i < found->suspect_count; i++) {
        const suspect_t *suspect = &found->suspects[i];
        const pps_poison_evidence_t evidence = {
            .key = suspect->key,
            .crashes = {{id, suspect->begun_us, found->at_us,
                         suspect->end == ATTEMPT_SILENT
                             ? 0
                             : found->worker_digest}},
            .crash_count = 1,
        };

        pps_dispatcher_merge_poison(dispatcher, &evidence, "answer");
        keys[i] = evidence.key;
    }
    if (found->suspect_count > 0 && dispatcher->poison_notice != NULL) {
        dispatcher->poison_notice(dispatcher->notice_user, keys,
                                  found->suspect_count);
    }
}

static void
clear_whole(const worker_break_t *found)
{
    for (size_t i = 0; i < found->suspect_count; i++) {
        if (found->suspects[i].end == ATTEMPT_CLOSED) {
            pps_dispatcher_note_good(found->dispatcher,
                                     &found->suspects[i].key, 1,
                                     found->suspects[i].begun_us);
        }
    }
}

static void
resume_waiting(worker_break_t *found)
{
    while (!cds_list_empty(&found->waiting)) {
        pps_exchange_t *exchange =
            cds_list_first_entry(&found->waiting, pps_exchange_t, probe_node);

        cds_list_del_init(&exchange->probe_node);
        pps_crash_line_set_request(exchange->call.id);
        pps_exchange_retry(exchange, "connection_lost", 1);
    }
}

/* The worker may be back before its new record has come. */
static void
note_ended(const worker_break_t *found)
{
    pps_pool_worker_t *worker =
        pps_pool_lookup_digest(found->dispatcher->pool, found->worker_digest);

    if (worker != NULL && worker->info.start_ms == found->worker.start_ms) {
        pps_cold_gate_note_refused(found->dispatcher, worker);
    }
}

static void
end_break(worker_break_t *found, pps_probe_result_t result)
{
    pps_decision_log_worker_probed(&found->worker, result, found->answers);
    cds_list_del(&found->node);
    if (result == PPS_PROBE_REFUSED) {
        report_crash(found);
        note_ended(found);
    }
    if (result == PPS_PROBE_ACCEPTED) {
        clear_whole(found);
    }
    resume_waiting(found);
    free(found);
}

/* A worker that another host reaches has not ended; then the break says
 * nothing of the requests. */
static void
on_asked(void *user, pps_probe_result_t result)
{
    end_break(user, result == PPS_PROBE_ACCEPTED ? PPS_PROBE_UNANSWERED
                                                 : PPS_PROBE_REFUSED);
}

/* A worker that refuses connections has ended, or this host has lost its path
 * to it, which only another host can tell. */
static void
on_probed(void *user, pps_probe_result_t result)
{
    worker_break_t *found = user;

    if (result == PPS_PROBE_REFUSED &&
        pps_path_watch_ask(found->dispatcher, found->worker_digest, on_asked,
                           found) == 0) {
        return;
    }
    end_break(found, result);
}

static void
on_asked_for_lost(void *user, pps_probe_result_t result)
{
    end_break(user, result);
}

/* Lets another host probe a worker that this one does not reach. */
static int
ask_for_lost(worker_break_t *begun)
{
    pps_dispatcher_t *dispatcher = begun->dispatcher;
    const pps_pool_worker_t *worker =
        pps_pool_lookup_digest(dispatcher->pool, begun->worker_digest);

    return worker != NULL && pps_path_watch_is_lost(dispatcher, worker) &&
           pps_path_watch_ask(dispatcher, begun->worker_digest,
                              on_asked_for_lost, begun) == 0;
}

static void
start_probe(worker_break_t *begun)
{
    begun->at_us = begun->dispatcher->reactor->now_us;
    if (ask_for_lost(begun)) {
        return;
    }
    if (pps_connect_probe_start(begun->dispatcher->reactor,
                                begun->worker.address,
                                begun->dispatcher->options.local_address,
                                PROBE_TIMEOUT_US, on_probed, begun) != 0) {
        end_break(begun, PPS_PROBE_UNANSWERED);
    }
}

static void
on_probe_due(int64_t now_us, void *user)
{
    start_probe(user);
}

static worker_break_t *
begin_break(pps_exchange_t *exchange)
{
    pps_dispatcher_t *dispatcher = exchange->dispatcher;
    worker_break_t *begun = calloc(1, sizeof(*begun));

    if (begun == NULL) {
        return NULL;
    }
    begun->dispatcher = dispatcher;
    begun->worker = exchange->worker->info;
    begun->worker.start_ms = exchange->worker_start_ms;
    begun->worker_digest = exchange->worker->digest;
    CDS_INIT_LIST_HEAD(&begun->waiting);
    cds_list_add_tail(&begun->node, &dispatcher->breaks);
    return begun;
}

static int
is_noted(const worker_break_t *found, uint64_t key)
{
    for (size_t i = 0; i < found->suspect_count; i++) {
        if (found->suspects[i].key == key) {
            return 1;
        }
    }
    return 0;
}

static void
note_suspects(worker_break_t *found, const pps_exchange_t *exchange,
              attempt_end_t end)
{
    uint64_t keys[PPS_EXCHANGE_KEYS_MAX];
    size_t count = pps_exchange_exposed_keys(exchange, keys);
    int64_t begun_us =
        exchange->answer_us != 0 ? exchange->answer_us : exchange->sent_us;

    for (size_t i = 0; i < count && found->suspect_count < SUSPECTS_MAX; i++) {
        if (!is_noted(found, keys[i])) {
            found->suspects[found->suspect_count++] =
                (suspect_t){keys[i], begun_us, end};
        }
    }
}

/* Finds the break of the attempt's worker, or begins one, and notes the
 * attempt.
 */
static worker_break_t *
note_attempt(pps_exchange_t *exchange, attempt_end_t end)
{
    worker_break_t *found =
        find_break(exchange->dispatcher, exchange->worker->digest,
                   exchange->worker_start_ms);

    if (found == NULL) {
        found = begin_break(exchange);
    }
    if (found == NULL) {
        pps_decision_log_worker_probed(&exchange->worker->info,
                                       PPS_PROBE_UNANSWERED, 0);
        return NULL;
    }
    found->answers++;
    note_suspects(found, exchange, end);
    return found;
}

/* Schedules the probe unless it is under way or due sooner. */
static void
schedule_probe(worker_break_t *found, int64_t delay_us)
{
    int64_t due_us = found->dispatcher->reactor->now_us + delay_us;

    if (found->probe_due_us == 0 || due_us < found->probe_due_us) {
        found->probe_due_us = due_us;
        pps_reactor_after(found->dispatcher->reactor, &found->timer, delay_us,
                          on_probe_due, found);
    }
}

int
pps_crash_watch_note_break(pps_exchange_t *exchange)
{
    worker_break_t *found = note_attempt(exchange, ATTEMPT_BROKEN);

    pps_decision_log_broken(exchange);
    if (found == NULL) {
        return 0;
    }
    schedule_probe(found, 0);
    if (exchange->went_on || !pps_exchange_is_suspected(exchange)) {
        return 0;
    }
    cds_list_add_tail(&exchange->probe_node, &found->waiting);
    return 1;
}

void
pps_crash_watch_note_silence(pps_exchange_t *exchange)
{
    worker_break_t *found = note_attempt(exchange, ATTEMPT_SILENT);

    if (found != NULL) {
        schedule_probe(found, SILENT_PROBE_US);
    }
}

void
pps_crash_watch_note_end(pps_exchange_t *exchange)
{
    worker_break_t *found = note_attempt(exchange, ATTEMPT_CLOSED);

    if (found != NULL) {
        schedule_probe(found, 0);
    }
}
