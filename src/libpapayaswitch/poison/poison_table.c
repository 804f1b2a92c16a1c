/** @file poison_table.c @brief Holds the evidence on all keys. */
#include "poison_table_state.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>
#include <xxhash.h>

/** Number of keys with crashes. When it is reached, the key with the fewest
 * and oldest crashes gives way. */
#define KEYS_MAX 512
#define DIGEST_CRASHES_MIN 2
/** Time from the last crash to the first trial, then to the second, and the
 * factor by which this interval grows. */
#define TRIAL_FIRST_US (1 * PPS_US_PER_S)
#define TRIAL_INTERVAL_US (4 * PPS_US_PER_S)
#define TRIAL_INTERVAL_FACTOR 8

int
pps_poison_table_new(pps_poison_table_t **out)
{
    pps_poison_table_t *table = calloc(1, sizeof(*table));

    if (table == NULL) {
        return PPS_ENOMEM;
    }
    CDS_INIT_LIST_HEAD(&table->list);
    *out = table;
    return PPS_OK;
}

static void
remove_entry(pps_poison_table_t *table, pps_poison_entry_t *entry)
{
    pps_table_remove(&table->entries, &entry->item);
    cds_list_del(&entry->node);
    free(entry);
}

void
pps_poison_table_free(pps_poison_table_t *table)
{
    pps_poison_entry_t *entry;
    pps_poison_entry_t *next;

    if (table == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (entry, next, &table->list, node) {
        remove_entry(table, entry);
    }
    free(table);
}

static pps_poison_entry_t *
find_entry(const pps_poison_table_t *table, uint64_t key)
{
    pps_table_item_t *item =
        pps_table_find(&table->entries, &key, sizeof(key));

    return item != NULL ? caa_container_of(item, pps_poison_entry_t, item)
                        : NULL;
}

const pps_poison_evidence_t *
pps_poison_table_lookup(const pps_poison_table_t *table, uint64_t key)
{
    const pps_poison_entry_t *entry = find_entry(table, key);

    return entry != NULL ? &entry->evidence : NULL;
}

size_t
pps_poison_table_count(const pps_poison_table_t *table)
{
    return pps_table_count(&table->entries);
}

int64_t
pps_poison_table_good_us(const pps_poison_table_t *table, uint64_t key)
{
    const pps_poison_good_t *good = &table->goods[key % PPS_POISON_GOOD_SLOTS];

    return good->key == key ? good->begun_us : 0;
}

static void
remember_good(pps_poison_table_t *table, uint64_t key, int64_t begun_us)
{
    pps_poison_good_t *good = &table->goods[key % PPS_POISON_GOOD_SLOTS];

    if (good->key != key || good->begun_us < begun_us) {
        *good = (pps_poison_good_t){key, begun_us};
    }
}

int
pps_poison_table_note_good(pps_poison_table_t *table, uint64_t key,
                           int64_t begun_us)
{
    pps_poison_entry_t *entry = find_entry(table, key);
    int is_contradiction;

    remember_good(table, key, begun_us);
    if (entry == NULL) {
        return 0;
    }
    is_contradiction =
        pps_poison_evidence_add_good(&entry->evidence, begun_us);
    if (entry->evidence.crash_count == 0) {
        remove_entry(table, entry);
    }
    return is_contradiction;
}

static int
is_weaker(const pps_poison_evidence_t *evidence,
          const pps_poison_evidence_t *other)
{
    if (evidence->convicted != other->convicted) {
        return !evidence->convicted;
    }
    if (evidence->crash_count != other->crash_count) {
        return evidence->crash_count < other->crash_count;
    }
    return evidence->crashes[0].at_us < other->crashes[0].at_us;
}

static void
remove_weakest(pps_poison_table_t *table)
{
    pps_poison_entry_t *weakest = NULL;
    pps_poison_entry_t *entry;

    cds_list_for_each_entry (entry, &table->list, node) {
        if (weakest == NULL ||
            is_weaker(&entry->evidence, &weakest->evidence)) {
            weakest = entry;
        }
    }
    if (weakest != NULL) {
        remove_entry(table, weakest);
    }
}

static pps_poison_entry_t *
add_entry(pps_poison_table_t *table, uint64_t key)
{
    pps_poison_entry_t *entry;

    if (pps_poison_table_count(table) >= KEYS_MAX) {
        remove_weakest(table);
    }
    entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return NULL;
    }
    entry->evidence.key = key;
    entry->evidence.good_us = pps_poison_table_good_us(table, key);
    pps_table_add(&table->entries, &entry->item, &entry->evidence.key,
                  sizeof(entry->evidence.key));
    cds_list_add_tail(&entry->node, &table->list);
    return entry;
}

int
pps_poison_table_merge(pps_poison_table_t *table,
                       const pps_poison_evidence_t *evidence, int *convicted)
{
    pps_poison_entry_t *entry = find_entry(table, evidence->key);
    int was_convicted = entry != NULL && entry->evidence.convicted;
    int is_new;

    if (evidence->good_us != 0) {
        remember_good(table, evidence->key, evidence->good_us);
    }
    if (entry == NULL && evidence->crash_count > 0) {
        entry = add_entry(table, evidence->key);
        if (entry == NULL) {
            return PPS_ENOMEM;
        }
    }
    if (entry == NULL) {
        return 0;
    }
    is_new = pps_poison_evidence_merge(&entry->evidence, evidence);
    pps_poison_evidence_convict(&entry->evidence);
    if (convicted != NULL) {
        *convicted = entry->evidence.convicted && !was_convicted;
    }
    if (entry->evidence.crash_count == 0) {
        remove_entry(table, entry);
    }
    return is_new;
}

int
pps_poison_table_take_trial(pps_poison_table_t *table, uint64_t key,
                            int64_t now_us)
{
    pps_poison_entry_t *entry = find_entry(table, key);

    if (entry == NULL || entry->evidence.crash_count == 0 ||
        now_us - entry->evidence.crashes[0].at_us < TRIAL_FIRST_US ||
        now_us < entry->next_trial_us) {
        return 0;
    }
    entry->trial_us = now_us;
    entry->interval_before_us = entry->trial_interval_us;
    entry->trial_interval_us =
        entry->trial_interval_us == 0
            ? TRIAL_INTERVAL_US
            : entry->trial_interval_us * TRIAL_INTERVAL_FACTOR;
    entry->next_trial_us = now_us + entry->trial_interval_us;
    return 1;
}

void
pps_poison_table_end_trial(pps_poison_table_t *table, uint64_t key,
                           int64_t now_us)
{
    pps_poison_entry_t *entry = find_entry(table, key);

    if (entry == NULL || entry->evidence.crashes[0].at_us >= entry->trial_us) {
        return;
    }
    entry->trial_interval_us = entry->interval_before_us;
    entry->next_trial_us = now_us + TRIAL_FIRST_US;
}

void
pps_poison_table_visit(const pps_poison_table_t *table,
                       unsigned int crashes_min, pps_poison_visit_fn visit,
                       void *user)
{
    const pps_poison_entry_t *entry;

    cds_list_for_each_entry (entry, &table->list, node) {
        if (entry->evidence.crash_count >= crashes_min &&
            visit(user, &entry->evidence) != 0) {
            return;
        }
    }
}

static int
add_to_digest(void *user, const pps_poison_evidence_t *evidence)
{
    uint64_t *digest = user;

    for (unsigned int i = 0; i < evidence->crash_count; i++) {
        *digest +=
            XXH64(&evidence->crashes[i].id, sizeof(uint64_t), evidence->key);
    }
    return 0;
}

uint64_t
pps_poison_table_digest(const pps_poison_table_t *table)
{
    uint64_t digest = 0;

    pps_poison_table_visit(table, DIGEST_CRASHES_MIN, add_to_digest, &digest);
    return digest;
}

void
pps_poison_table_sweep(pps_poison_table_t *table, int64_t now_us)
{
    pps_poison_entry_t *entry;
    pps_poison_entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &table->list, node) {
        if (pps_poison_evidence_is_stale(&entry->evidence, now_us)) {
            remove_entry(table, entry);
        }
    }
}
