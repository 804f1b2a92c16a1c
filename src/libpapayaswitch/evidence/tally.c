/** @file tally.c @brief Grow-only counters by host and incarnation. */
#include "evidence/tally_state.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

int
pps_tally_new(pps_tally_t **out, const char *host, uint64_t incarnation)
{
    pps_tally_t *tally = calloc(1, sizeof(*tally));

    *out = NULL;
    if (tally == NULL) {
        return pps_error_set(PPS_ENOMEM, "tally: out of memory");
    }
    if (strlen(host) >= PPS_TALLY_HOST_MAX) {
        free(tally);
        return pps_error_set(PPS_ELIMIT, "tally: host name too long");
    }
    memcpy(tally->self.host, host, strlen(host) + 1);
    tally->self.incarnation = incarnation;
    CDS_INIT_LIST_HEAD(&tally->changes);
    *out = tally;
    return PPS_OK;
}

void
/* NOLINTNEXTLINE(readability-function-size): hash macros */
pps_tally_free(pps_tally_t *tally)
{
    pps_tally_entry_t *entry;
    pps_tally_entry_t *next_entry;
    pps_tally_sum_t *sum;
    pps_tally_sum_t *next_sum;

    if (tally == NULL) {
        return;
    }
    entry = tally->entries;
    sum = tally->sums;
    HASH_CLEAR(hh, tally->entries);
    HASH_CLEAR(hh, tally->sums);
    for (; entry != NULL; entry = next_entry) {
        next_entry = entry->hh.next;
        free(entry);
    }
    for (; sum != NULL; sum = next_sum) {
        next_sum = sum->hh.next;
        free(sum);
    }
    free(tally);
}

static pps_tally_sum_t *
/* NOLINTNEXTLINE(readability-function-size): hash macros */
sum_get(pps_tally_t *tally, const char *key)
{
    pps_tally_sum_t *sum;

    HASH_FIND_STR(tally->sums, key, sum);
    if (sum != NULL) {
        return sum;
    }
    sum = calloc(1, sizeof(*sum));
    if (sum == NULL) {
        return NULL;
    }
    memcpy(sum->key, key, strlen(key));
    HASH_ADD_STR(tally->sums, key, sum);
    return sum;
}

static pps_tally_entry_t *
/* NOLINTNEXTLINE(readability-function-size): hash macros */
entry_get(pps_tally_t *tally, const pps_tally_id_t *id)
{
    pps_tally_entry_t *entry;

    HASH_FIND(hh, tally->entries, id, sizeof(*id), entry);
    if (entry != NULL) {
        return entry;
    }
    entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return NULL;
    }
    entry->id = *id;
    CDS_INIT_LIST_HEAD(&entry->by_change);
    HASH_ADD(hh, tally->entries, id, sizeof(entry->id), entry);
    return entry;
}

int
pps_tally_raise(pps_tally_t *tally, const pps_tally_id_t *id,
                const pps_tally_counts_t *counts)
{
    pps_tally_entry_t *entry = entry_get(tally, id);
    pps_tally_sum_t *sum = sum_get(tally, id->key);
    const uint64_t *target = (const uint64_t *)counts;
    uint64_t *current;
    uint64_t *total;
    int raised = 0;

    if (entry == NULL || sum == NULL) {
        return pps_error_set(PPS_ENOMEM, "tally: out of memory");
    }
    current = (uint64_t *)&entry->counts;
    total = (uint64_t *)&sum->counts;
    for (size_t i = 0; i < PPS_TALLY_FIELDS; i++) {
        if (target[i] > current[i]) {
            total[i] += target[i] - current[i];
            current[i] = target[i];
            raised = 1;
        }
    }
    if (raised) {
        entry->change = ++tally->change;
        cds_list_del(&entry->by_change);
        cds_list_add_tail(&entry->by_change, &tally->changes);
    }
    return PPS_OK;
}

int
pps_tally_add(pps_tally_t *tally, const char *key,
              const pps_tally_counts_t *delta)
{
    const uint64_t *increments = (const uint64_t *)delta;
    pps_tally_id_t id = tally->self;
    pps_tally_counts_t counts;
    pps_tally_entry_t *entry;

    if (strlen(key) >= PPS_TALLY_KEY_MAX) {
        return pps_error_set(PPS_ELIMIT, "tally: key too long");
    }
    memcpy(id.key, key, strlen(key));
    entry = entry_get(tally, &id);
    if (entry == NULL) {
        return pps_error_set(PPS_ENOMEM, "tally: out of memory");
    }
    counts = entry->counts;
    for (size_t i = 0; i < PPS_TALLY_FIELDS; i++) {
        ((uint64_t *)&counts)[i] += increments[i];
    }
    return pps_tally_raise(tally, &id, &counts);
}

void
/* NOLINTNEXTLINE(readability-function-size): hash macros */
pps_tally_total(const pps_tally_t *tally, pps_tally_counts_t *out,
                const char *key)
{
    const pps_tally_sum_t *sum;

    HASH_FIND_STR(tally->sums, key, sum);
    if (sum == NULL) {
        memset(out, 0, sizeof(*out));
        return;
    }
    *out = sum->counts;
}

int
pps_tally_foreach(const pps_tally_t *tally, const char *prefix,
                  int (*visit)(const char *key,
                               const pps_tally_counts_t *total, void *user),
                  void *user)
{
    size_t length = strlen(prefix);
    const pps_tally_sum_t *sum;
    int stop;

    for (sum = tally->sums; sum != NULL; sum = sum->hh.next) {
        if (strncmp(sum->key, prefix, length) != 0) {
            continue;
        }
        stop = visit(sum->key, &sum->counts, user);
        if (stop != 0) {
            return stop;
        }
    }
    return 0;
}

uint64_t
pps_tally_last_change(const pps_tally_t *tally)
{
    return tally->change;
}
