/** @file exchange_poison.c @brief Requests under which workers end. */
#include "exchange_poison.h"

#include "clock.h"
#include "crash_watch.h"
#include "decision_log.h"

#include <string.h>

/** Time after its begin from which an answer has gone on. */
#define WENT_ON_US (400 * PPS_US_PER_MS)
/** Time after its begin up to which an answer counts as just begun if nothing
 * of it has arrived since. */
#define JUST_BEGUN_US (1000 * PPS_US_PER_MS)

size_t
pps_exchange_poison_keys(const pps_exchange_t *exchange, uint64_t *out)
{
    const pps_call_t *call = &exchange->call;

    memcpy(out, call->parts, call->part_count * sizeof(*out));
    out[call->part_count] = exchange->request_key;
    return call->part_count + 1;
}

static pps_poison_block_t
find_block(const pps_exchange_t *exchange)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    uint64_t keys[PPS_EXCHANGE_KEYS_MAX];

    return pps_poison_table_find_block(
        dispatcher->poison, keys, pps_exchange_poison_keys(exchange, keys),
        dispatcher->reactor->now_us);
}

/* Returns whether the request may show that the key which blocks it is sound.
 * One host takes such trials for all. A request keeps its trial until it has
 * run. */
static int
take_trial(pps_exchange_t *exchange, const pps_poison_block_t *block)
{
    const pps_dispatcher_t *dispatcher = exchange->dispatcher;
    int is_tester = dispatcher->tests_poison == NULL ||
                    dispatcher->tests_poison(dispatcher->notice_user);

    if (!block->is_doubtful || !is_tester) {
        return 0;
    }
    if (exchange->trial_key == block->key) {
        return exchange->runs == 0;
    }
    if (!pps_poison_table_take_trial(dispatcher->poison, block->key,
                                     dispatcher->reactor->now_us)) {
        return 0;
    }
    exchange->trial_key = block->key;
    pps_decision_log_poison_trial(exchange, block->key);
    return 1;
}

void
pps_exchange_end_trial(const pps_exchange_t *exchange)
{
    if (exchange->trial_key != 0) {
        pps_poison_table_end_trial(exchange->dispatcher->poison,
                                   exchange->trial_key,
                                   exchange->dispatcher->reactor->now_us);
    }
}

int
pps_exchange_is_blocked(const pps_exchange_t *exchange)
{
    return find_block(exchange).key != 0;
}

int
pps_exchange_refuse_poison(pps_exchange_t *exchange)
{
    pps_poison_block_t block = find_block(exchange);
    int64_t rest_us;

    if (block.key == 0) {
        return 0;
    }
    if (take_trial(exchange, &block)) {
        return 0;
    }
    rest_us = pps_poison_evidence_rest_us(
        pps_poison_table_lookup(exchange->dispatcher->poison, block.key),
        exchange->dispatcher->reactor->now_us);
    pps_decision_log_poison_refused(exchange, block.key);
    pps_exchange_refuse_harmful(exchange, rest_us);
    return 1;
}

void
pps_dispatcher_note_good(pps_dispatcher_t *dispatcher, const uint64_t *keys,
                         size_t count, int64_t begun_us)
{
    uint64_t told[PPS_EXCHANGE_KEYS_MAX];
    size_t told_count = 0;

    for (size_t i = 0; i < count; i++) {
        if (pps_poison_table_note_good(dispatcher->poison, keys[i],
                                       begun_us)) {
            told[told_count++] = keys[i];
        }
    }
    if (told_count > 0 && dispatcher->poison_notice != NULL) {
        dispatcher->poison_notice(dispatcher->notice_user, told, told_count);
    }
}

static void
note_good(pps_exchange_t *exchange)
{
    uint64_t keys[PPS_EXCHANGE_KEYS_MAX];
    size_t count = pps_exchange_poison_keys(exchange, keys);

    exchange->went_on = 1;
    pps_dispatcher_note_good(exchange->dispatcher, keys, count,
                             exchange->answer_us);
}

void
pps_exchange_note_progress(pps_exchange_t *exchange)
{
    int64_t now_us = exchange->dispatcher->reactor->now_us;

    if (!exchange->went_on && exchange->answer_us != 0 &&
        now_us - exchange->answer_us >= WENT_ON_US) {
        note_good(exchange);
    }
}

void
pps_exchange_note_whole(pps_exchange_t *exchange)
{
    if (exchange->went_on || exchange->answer_us == 0) {
        return;
    }
    if (exchange->is_unframed) {
        pps_crash_watch_note_end(exchange);
        return;
    }
    note_good(exchange);
}

int
pps_exchange_is_suspected(const pps_exchange_t *exchange)
{
    uint64_t keys[PPS_EXCHANGE_KEYS_MAX];
    size_t count = pps_exchange_poison_keys(exchange, keys);

    for (size_t i = 0; i < count; i++) {
        if (pps_poison_table_lookup(exchange->dispatcher->poison, keys[i]) !=
            NULL) {
            return 1;
        }
    }
    return 0;
}

size_t
pps_exchange_exposed_keys(const pps_exchange_t *exchange, uint64_t *out)
{
    int64_t now_us = exchange->dispatcher->reactor->now_us;

    if (exchange->went_on) {
        return 0;
    }
    if (exchange->answer_us == 0) {
        out[0] = exchange->request_key;
        return 1;
    }
    return now_us - exchange->answer_us < JUST_BEGUN_US
               ? pps_exchange_poison_keys(exchange, out)
               : 0;
}

/* Returns whether a worker may yet end under a request that was sent to it. */
static int
is_exposed(const pps_exchange_t *exchange)
{
    return exchange->route != NULL && !exchange->went_on &&
           exchange->attempt != PPS_ATTEMPT_NONE;
}

/* Takes requests back that were sent before their key was convicted: most
 * workers drop a request that waits when its connection closes. Those with a
 * doubtful key may show that it is sound. */
static void
drop_exposed(pps_dispatcher_t *dispatcher)
{
    pps_exchange_t *exchange;
    pps_exchange_t *next;

    cds_list_for_each_entry_safe (exchange, next, &dispatcher->exchanges,
                                  node) {
        if (is_exposed(exchange) && !find_block(exchange).is_doubtful) {
            pps_exchange_refuse_poison(exchange);
        }
    }
}

int
pps_dispatcher_merge_poison(pps_dispatcher_t *dispatcher,
                            const pps_poison_evidence_t *evidence,
                            const char *source)
{
    int convicted = 0;
    int is_new =
        pps_poison_table_merge(dispatcher->poison, evidence, &convicted);

    if (convicted) {
        pps_decision_log_convicted(
            pps_poison_table_lookup(dispatcher->poison, evidence->key),
            source);
        drop_exposed(dispatcher);
    }
    return is_new > 0;
}
