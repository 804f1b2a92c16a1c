/** @file node_play_compare.c @brief Compares what the hosts of a play believe
 * with what the store says. */
#include "node_play.h"

#include "clock.h"
#include "counters.h"
#include "names.h"
#include "records.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

/** Time in which hosts that are in touch must agree. */
#define AGREE_US (2 * PPS_US_PER_S)
/** Time without faults after which the platform counts hosts as in touch. */
#define STABLE_US (3 * PPS_US_PER_S)

/* Describes what is believed of a worker. */
static void
describe(char *out, size_t size, const pps_worker_info_t *info)
{
    if (info == NULL) {
        snprintf(out, size, "none");
        return;
    }
    snprintf(out, size, "%s start %lld leaving %d", info->address,
             (long long)info->start_ms, info->leaving);
}

static void
describe_stored(char *out, size_t size, unsigned int worker)
{
    char key[NODE_PLAY_TEXT_BYTES];
    pps_worker_info_t info;
    size_t value_size;
    const char *value;

    snprintf(key, sizeof(key), "worker-%02u", worker);
    value = node_play_store_get(&value_size, PPS_TOPIC_WORKERS, key);
    if (value == NULL) {
        describe(out, size, NULL);
        return;
    }
    cr_assert_eq(pps_record_parse_worker(&info, key, value, value_size), 0);
    describe(out, size, &info);
}

static void
describe_believed(char *out, size_t size, const node_play_host_t *host,
                  unsigned int worker)
{
    char key[NODE_PLAY_TEXT_BYTES];
    const pps_pool_worker_t *known;

    snprintf(key, sizeof(key), "worker-%02u", worker);
    known = pps_pool_lookup(host->node->dispatcher.pool, key);
    describe(out, size, known != NULL ? &known->info : NULL);
}

/* A host that has just seen the store come back from a backup waits for what
 * the backup lacks before it follows it. */
static int
is_settling(const pps_node_t *node)
{
    return node->settled_at_us[NODE_TOPIC_WORKERS] != 0 ||
           pps_mirror_epoch(node->mirrors[NODE_TOPIC_WORKERS]) <
               node->store_epoch;
}

/* Notes what the store says of a worker, and since when. */
static void
observe_worker(unsigned int index)
{
    node_play_worker_t *worker = &node_play->workers[index];
    char stored[NODE_PLAY_DESCRIPTION_BYTES];

    describe_stored(stored, sizeof(stored), index);
    if (strcmp(stored, worker->stored) != 0) {
        memcpy(worker->stored, stored, sizeof(stored));
        worker->stored_us = node_play->now_us;
    }
}

static void
compare_worker(unsigned int index, unsigned int number)
{
    node_play_host_t *host = &node_play->hosts[index];
    const node_play_worker_t *worker = &node_play->workers[number];
    char believed[NODE_PLAY_DESCRIPTION_BYTES];
    int64_t *since_us = &host->wrong_since_us[number];

    describe_believed(believed, sizeof(believed), host, number);
    if (strcmp(worker->stored, believed) == 0 || is_settling(host->node)) {
        *since_us = 0;
    }
    else if (*since_us < worker->stored_us) {
        *since_us = node_play->now_us;
    }
    else if (node_play->now_us - *since_us > AGREE_US) {
        snprintf(node_play->finding.text, sizeof(node_play->finding.text),
                 "%lld ms: host %u, worker %u: store has %s, host has %s",
                 (long long)node_play_elapsed_ms(), index, number,
                 worker->stored, believed);
    }
}

static void
compare_operator(unsigned int index)
{
    const pps_node_t *node = node_play->hosts[index].node;
    const node_play_orders_t *orders = &node_play->orders;
    int is_evacuated =
        pps_evacuated_domains_find(&node->dispatcher.evacuated, "z0") != NULL;
    int64_t revision = node->dispatcher.deployment != NULL
                           ? node->dispatcher.deployment->revision
                           : 0;

    if (is_evacuated != orders->evacuates || revision != orders->revision) {
        snprintf(node_play->finding.text, sizeof(node_play->finding.text),
                 "%lld ms: host %u: evacuated %d of %d, revision %lld of %lld",
                 (long long)node_play_elapsed_ms(), index, is_evacuated,
                 orders->evacuates, (long long)revision,
                 (long long)orders->revision);
    }
}

/* Notes a finding if a host has noticed that it had missed a record, even if
 * it has it now. */
static void
check_missed(void)
{
    uint64_t missed = pps_counter_sum(PPS_COUNTER_ENTRY_RECORDS_MISSED);

    if (missed != node_play->missed_before) {
        snprintf(node_play->finding.text, sizeof(node_play->finding.text),
                 "%lld ms: host %u had missed a record",
                 (long long)node_play_elapsed_ms(), node_play->running);
    }
}

void
node_play_compare(void)
{
    int is_end = node_play->is_still;

    for (unsigned int i = 0; i < node_play->options.workers; i++) {
        observe_worker(i);
    }
    check_missed();
    if (node_play->calm_us == 0 || node_play->finding.text[0] != '\0' ||
        node_play->now_us < node_play->calm_us + STABLE_US) {
        return;
    }
    for (unsigned int i = 0; i < node_play->options.hosts; i++) {
        if (node_play->hosts[i].node == NULL) {
            continue;
        }
        for (unsigned int j = 0; j < node_play->options.workers; j++) {
            compare_worker(i, j);
        }
        if (is_end) {
            compare_operator(i);
        }
    }
}
