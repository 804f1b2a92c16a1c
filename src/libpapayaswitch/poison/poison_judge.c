/** @file poison_judge.c @brief Judges which keys block which requests. */
#include "poison_key.h"
#include "poison_table_state.h"

/** Number of keys that are tried as one of two causes. */
#define FIRST_CAUSES_MAX 16

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
    const pps_poison_entry_t *other;

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
    const pps_poison_entry_t *first;
    const pps_poison_entry_t *second;
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

int
pps_poison_table_is_explained(const pps_poison_table_t *table,
                              const pps_poison_evidence_t *evidence)
{
    const pps_poison_entry_t *other;

    cds_list_for_each_entry (other, &table->list, node) {
        if (other->evidence.key != evidence->key &&
            (evidence->good_us != 0 || other->evidence.good_us == 0) &&
            (!pps_poison_key_is_request(other->evidence.key) ||
             pps_poison_key_is_request(evidence->key)) &&
            pps_poison_evidence_covers(&other->evidence, evidence)) {
            return 1;
        }
    }
    return 0;
}

static int
may_be_bystander_of(const pps_poison_evidence_t *evidence,
                    const pps_poison_evidence_t *other)
{
    return other->key != evidence->key && other->good_us == 0;
}

static int
shares_crash(const pps_poison_evidence_t *evidence,
             const pps_poison_evidence_t *other)
{
    for (unsigned int i = 0; i < evidence->crash_count; i++) {
        if (pps_poison_evidence_may_have_crash(other, &evidence->crashes[i])) {
            return 1;
        }
    }
    return 0;
}

/* Returns whether a cause and another one, or that one alone, may explain all
 * crashes of a key. */
static int
is_explained_with(const pps_poison_table_t *table,
                  const pps_poison_evidence_t *evidence,
                  const pps_poison_evidence_t *first)
{
    const pps_poison_entry_t *second;

    cds_list_for_each_entry (second, &table->list, node) {
        if (may_be_bystander_of(evidence, &second->evidence) &&
            covers_with(first, &second->evidence, evidence)) {
            return 1;
        }
    }
    return 0;
}

int
pps_poison_table_is_ambiguous(const pps_poison_table_t *table,
                              const pps_poison_evidence_t *evidence)
{
    const pps_poison_entry_t *first;
    pps_poison_evidence_t rest;

    if (pps_poison_evidence_without_ambiguous(&rest, evidence) == 0) {
        return 1;
    }
    cds_list_for_each_entry (first, &table->list, node) {
        if (may_be_bystander_of(&rest, &first->evidence) &&
            shares_crash(&rest, &first->evidence) &&
            is_explained_with(table, &rest, &first->evidence)) {
            return 1;
        }
    }
    return 0;
}

/* Returns whether a crash of a key is explained by a key that the request does
 * not hold. */
static int
is_crash_explained(const pps_poison_table_t *table,
                   const pps_poison_evidence_t *evidence,
                   const pps_poison_crash_t *crash, const uint64_t *keys,
                   size_t count)
{
    const pps_poison_entry_t *other;

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
                        (evidence->ambiguous_us != 0 &&
                         pps_poison_table_is_ambiguous(table, evidence)) ||
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
