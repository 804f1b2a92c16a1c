/** @file poison_table.c @brief Evidence on all keys, and what it blocks. */
#include "poison_table.h"

#include "clock.h"
#include "papayaswitch/errors.h"
#include "poison_key.h"
#include "table.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>
#include <urcu/list.h>
#include <xxhash.h>

/** Number of keys with crashes. When it is reached, the key with the fewest
 * and oldest crashes gives way. */
#define KEYS_MAX 512
/** Number of keys of which it is known that an answer went on; a power of 2.
 */
#define GOOD_SLOTS 4096
#define DIGEST_CRASHES_MIN 2
/** Number of keys that are tried as one of two causes. */
#define FIRST_CAUSES_MAX 16
/** Time from the last crash to the first trial, then to the second, and the
 * factor by which this interval grows. */
#define TRIAL_FIRST_US (1 * PPS_US_PER_S)
#define TRIAL_INTERVAL_US (4 * PPS_US_PER_S)
#define TRIAL_INTERVAL_FACTOR 8

typedef struct {
    pps_table_item_t item;
    struct cds_list_head node;
    pps_poison_evidence_t evidence;
    int64_t next_trial_us; /* 0: no trial yet */
    int64_t trial_interval_us;
} entry_t;

typedef struct {
    uint64_t key;
    int64_t begun_us;
} good_t;

struct pps_poison_table {
    pps_table_t entries; /* by key */
    struct cds_list_head list;
    good_t goods[GOOD_SLOTS]; /* by the key's lowest bits; may be overwritten
                               */
};

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
remove_entry(pps_poison_table_t *table, entry_t *entry)
{
    pps_table_remove(&table->entries, &entry->item);
    cds_list_del(&entry->node);
    free(entry);
}

void
pps_poison_table_free(pps_poison_table_t *table)
{
    entry_t *entry;
    entry_t *next;

    if (table == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (entry, next, &table->list, node) {
        remove_entry(table, entry);
    }
    free(table);
}

static entry_t *
find_entry(const pps_poison_table_t *table, uint64_t key)
{
    pps_table_item_t *item =
        pps_table_find(&table->entries, &key, sizeof(key));

    return item != NULL ? caa_container_of(item, entry_t, item) : NULL;
}

const pps_poison_evidence_t *
pps_poison_table_lookup(const pps_poison_table_t *table, uint64_t key)
{
    const entry_t *entry = find_entry(table, key);

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
    const good_t *good = &table->goods[key % GOOD_SLOTS];

    return good->key == key ? good->begun_us : 0;
}

static void
remember_good(pps_poison_table_t *table, uint64_t key, int64_t begun_us)
{
    good_t *good = &table->goods[key % GOOD_SLOTS];

    if (good->key != key || good->begun_us < begun_us) {
        *good = (good_t){key, begun_us};
    }
}

int
pps_poison_table_note_good(pps_poison_table_t *table, uint64_t key,
                           int64_t begun_us)
{
    entry_t *entry = find_entry(table, key);
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
    entry_t *weakest = NULL;
    entry_t *entry;

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

static entry_t *
add_entry(pps_poison_table_t *table, uint64_t key)
{
    entry_t *entry;

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
    entry_t *entry = find_entry(table, evidence->key);
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

static int
holds(const uint64_t *keys, size_t count, uint64_t key)
{
    for (size_t i = 0; i < count; i++) {
        if (keys[i] == key) {
            return 1;
        }
    }
    return 0;
}

/* Returns whether another key, which the request does not hold, may be the
 * cause of all crashes of a key. A key with which an answer went on does not
 * excuse one of which none is known. */
static int
has_other_cause(const pps_poison_table_t *table,
                const pps_poison_evidence_t *evidence, const uint64_t *keys,
                size_t count)
{
    const entry_t *other;

    cds_list_for_each_entry (other, &table->list, node) {
        if (!holds(keys, count, other->evidence.key) &&
            (evidence->good_us != 0 || other->evidence.good_us == 0) &&
            pps_poison_evidence_covers(&other->evidence, evidence)) {
            return 1;
        }
    }
    return 0;
}

static int
is_in_one(const pps_poison_evidence_t *evidence,
          const pps_poison_evidence_t *other, const pps_poison_crash_t *crash)
{
    return pps_poison_evidence_may_have_crash(evidence, crash) ||
           pps_poison_evidence_may_have_crash(other, crash);
}

static int
covers_with(const pps_poison_evidence_t *first,
            const pps_poison_evidence_t *second,
            const pps_poison_evidence_t *covered)
{
    for (unsigned int i = 0; i < covered->crash_count; i++) {
        if (!is_in_one(first, second, &covered->crashes[i])) {
            return 0;
        }
    }
    return 1;
}

/* Returns whether a key may be one of two causes of what a request is blocked
 * for. Without a conviction, whole requests are none: each bad request has
 * such a key besides what they have in common. */
static int
may_be_one_of_two(const pps_poison_evidence_t *evidence, const uint64_t *keys,
                  size_t count)
{
    return evidence->good_us == 0 &&
           (evidence->convicted ||
            !pps_poison_key_is_request(evidence->key)) &&
           !holds(keys, count, evidence->key);
}

/* Returns whether two keys may be the causes, of which none is known to be
 * good. @param is_convicted one of them has to be convicted */
static int
has_two_causes(const pps_poison_table_t *table,
               const pps_poison_evidence_t *evidence, const uint64_t *keys,
               size_t count, int is_convicted)
{
    const entry_t *first;
    const entry_t *second;
    unsigned int tried = 0;

    cds_list_for_each_entry (first, &table->list, node) {
        if ((is_convicted && !first->evidence.convicted) ||
            !may_be_one_of_two(&first->evidence, keys, count)) {
            continue;
        }
        if (++tried > FIRST_CAUSES_MAX) {
            return 0;
        }
        cds_list_for_each_entry (second, &table->list, node) {
            if (may_be_one_of_two(&second->evidence, keys, count) &&
                covers_with(&first->evidence, &second->evidence, evidence)) {
                return 1;
            }
        }
    }
    return 0;
}

/* Returns whether a convicted key, with which no answer went on, may explain
 * crashes of another one. Each bad request has a key of its own, which says
 * nothing against a part that they share. */
static int
may_explain(const pps_poison_evidence_t *other,
            const pps_poison_evidence_t *evidence)
{
    return other->convicted && other->good_us == 0 &&
           (evidence->good_us != 0 || !pps_poison_key_is_request(other->key) ||
            pps_poison_key_is_request(evidence->key));
}

/* Returns whether a crash of a key is explained by a key that the request does
 * not hold. */
static int
is_crash_explained(const pps_poison_table_t *table,
                   const pps_poison_evidence_t *evidence,
                   const pps_poison_crash_t *crash, const uint64_t *keys,
                   size_t count)
{
    const entry_t *other;

    cds_list_for_each_entry (other, &table->list, node) {
        if (may_explain(&other->evidence, evidence) &&
            !holds(keys, count, other->evidence.key) &&
            pps_poison_evidence_may_have_crash(&other->evidence, crash)) {
            return 1;
        }
    }
    return 0;
}

/* Returns whether the crashes of a key do not suffice without those that other
 * convicted keys explain. */
static int
is_mostly_explained(const pps_poison_table_t *table,
                    const pps_poison_evidence_t *evidence,
                    const uint64_t *keys, size_t count)
{
    pps_poison_evidence_t rest = *evidence;

    rest.crash_count = 0;
    for (unsigned int i = 0; i < evidence->crash_count; i++) {
        if (!is_crash_explained(table, evidence, &evidence->crashes[i], keys,
                                count)) {
            rest.crashes[rest.crash_count++] = evidence->crashes[i];
        }
    }
    return rest.crash_count < evidence->crash_count &&
           !pps_poison_evidence_suffices(&rest);
}

static pps_poison_block_t
judge_key(const pps_poison_table_t *table, uint64_t key, const uint64_t *keys,
          size_t count, int64_t now_us)
{
    const pps_poison_evidence_t *evidence =
        pps_poison_table_lookup(table, key);
    pps_poison_block_t block = {0, 0};
    int is_explained;

    if (evidence == NULL ||
        !pps_poison_evidence_is_suspect(evidence, now_us) ||
        has_other_cause(table, evidence, keys, count) ||
        has_two_causes(table, evidence, keys, count, 1)) {
        return block;
    }
    is_explained = is_mostly_explained(table, evidence, keys, count);
    if (is_explained && evidence->good_us != 0) {
        return block;
    }
    block.key = key;
    block.is_doubtful = is_explained || evidence->good_us != 0 ||
                        (!pps_poison_key_is_request(key) &&
                         has_two_causes(table, evidence, keys, count, 0));
    return block;
}

pps_poison_block_t
pps_poison_table_find_block(const pps_poison_table_t *table,
                            const uint64_t *keys, size_t count, int64_t now_us)
{
    pps_poison_block_t found = {0, 0};

    if (pps_poison_table_count(table) == 0) {
        return found;
    }
    for (size_t i = 0; i < count; i++) {
        pps_poison_block_t block =
            judge_key(table, keys[i], keys, count, now_us);

        if (block.key != 0 && !block.is_doubtful) {
            return block;
        }
        if (block.key != 0) {
            found = block;
        }
    }
    return found;
}

int
pps_poison_table_take_trial(pps_poison_table_t *table, uint64_t key,
                            int64_t now_us)
{
    entry_t *entry = find_entry(table, key);

    if (entry == NULL || entry->evidence.crash_count == 0 ||
        now_us - entry->evidence.crashes[0].at_us < TRIAL_FIRST_US ||
        now_us < entry->next_trial_us) {
        return 0;
    }
    entry->trial_interval_us =
        entry->trial_interval_us == 0
            ? TRIAL_INTERVAL_US
            : entry->trial_interval_us * TRIAL_INTERVAL_FACTOR;
    entry->next_trial_us = now_us + entry->trial_interval_us;
    return 1;
}

void
pps_poison_table_visit(const pps_poison_table_t *table,
                       unsigned int crashes_min, pps_poison_visit_fn visit,
                       void *user)
{
    const entry_t *entry;

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
    entry_t *entry;
    entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &table->list, node) {
        if (pps_poison_evidence_is_stale(&entry->evidence, now_us)) {
            remove_entry(table, entry);
        }
    }
}
