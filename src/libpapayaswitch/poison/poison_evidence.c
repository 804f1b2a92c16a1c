/** @file poison_evidence.c @brief Merges and judges evidence on one key. */
#include "poison_evidence.h"

#include "clock.h"

#include <string.h>

/** Independent crashes that suffice, and those that suffice against a key with
 * which an answer went on before. */
#define CRASHES_MIN 3
#define CRASHES_MIN_KNOWN_GOOD 5
/** Crashes that are further apart than this are independent of each other. A
 * rack that loses power ends many workers at once. */
#define SAME_CAUSE_US (30 * PPS_US_PER_MS)
/** Shortest time from a crash of a worker to its next answer. */
#define RESTART_MIN_US (50 * PPS_US_PER_MS)
/** Largest difference of the times of one crash at two hosts. */
#define TIME_DIFFERENCE_US (200 * PPS_US_PER_MS)
/** Only crashes that are this much older than the last one count. */
#define COUNTED_US (600 * PPS_US_PER_S)
/** Time after the last crash for which a convicted key is suspect, and for one
 * with which an answer went on before: many sound requests may hold it. */
#define SUSPECT_US (1800 * PPS_US_PER_S)
#define SUSPECT_KNOWN_GOOD_US (60 * PPS_US_PER_S)
/** Time after the last crash for which a conviction is remembered. */
#define REMEMBERED_US (86400 * PPS_US_PER_S)

/* Returns whether two notes are of the same crash. Hosts that know the worker
 * by different starts give it different ids. An answer that began when the
 * worker had crashed was broken off by its next crash. */
static int
is_same(const pps_poison_crash_t *first, const pps_poison_crash_t *second)
{
    const pps_poison_crash_t *earlier =
        first->at_us <= second->at_us ? first : second;
    const pps_poison_crash_t *later = earlier == first ? second : first;

    return first->id == second->id ||
           (first->worker != 0 && first->worker == second->worker &&
            later->begun_us - earlier->at_us < RESTART_MIN_US);
}

/* Returns its index, or `crash_count`. */
static unsigned int
find_crash(const pps_poison_evidence_t *evidence,
           const pps_poison_crash_t *crash)
{
    unsigned int at = 0;

    while (at < evidence->crash_count &&
           !is_same(&evidence->crashes[at], crash)) {
        at++;
    }
    return at;
}

int
pps_poison_evidence_may_have_crash(const pps_poison_evidence_t *evidence,
                                   const pps_poison_crash_t *crash)
{
    unsigned int count = evidence->crash_count;

    return find_crash(evidence, crash) < count ||
           (count == PPS_POISON_CRASHES_MAX &&
            crash->at_us - evidence->crashes[count - 1].at_us <
                TIME_DIFFERENCE_US);
}

/* Of the ids that hosts give to one crash all keep the same one. */
static int
keep_one_id(pps_poison_crash_t *known, const pps_poison_crash_t *crash)
{
    if (crash->id <= known->id) {
        return 0;
    }
    known->id = crash->id;
    return 1;
}

/* Inserts a crash by its time. @return 0: all that are kept are newer */
static int
insert_crash(pps_poison_evidence_t *evidence, const pps_poison_crash_t *crash)
{
    unsigned int at = 0;

    while (at < evidence->crash_count &&
           evidence->crashes[at].at_us >= crash->at_us) {
        at++;
    }
    if (at == PPS_POISON_CRASHES_MAX) {
        return 0;
    }
    if (evidence->crash_count < PPS_POISON_CRASHES_MAX) {
        evidence->crash_count++;
    }
    memmove(&evidence->crashes[at + 1], &evidence->crashes[at],
            (evidence->crash_count - at - 1) * sizeof(*crash));
    evidence->crashes[at] = *crash;
    return 1;
}

int
pps_poison_evidence_add_crash(pps_poison_evidence_t *evidence,
                              const pps_poison_crash_t *crash)
{
    unsigned int at;

    if (evidence->good_us != 0 && crash->begun_us < evidence->good_us) {
        return 0;
    }
    at = find_crash(evidence, crash);
    if (at < evidence->crash_count) {
        return keep_one_id(&evidence->crashes[at], crash);
    }
    return insert_crash(evidence, crash);
}

int
pps_poison_evidence_add_good(pps_poison_evidence_t *evidence, int64_t begun_us)
{
    unsigned int kept = 0;
    unsigned int before = evidence->crash_count;

    if (begun_us == 0 ||
        (evidence->good_us != 0 && begun_us <= evidence->good_us)) {
        return 0;
    }
    evidence->good_us = begun_us;
    for (unsigned int i = 0; i < before; i++) {
        if (evidence->crashes[i].begun_us >= begun_us) {
            evidence->crashes[kept++] = evidence->crashes[i];
        }
    }
    evidence->crash_count = kept;
    if (kept < before) {
        evidence->convicted = 0;
    }
    return kept < before;
}

unsigned int
pps_poison_evidence_without_ambiguous(pps_poison_evidence_t *out,
                                      const pps_poison_evidence_t *evidence)
{
    unsigned int count = 0;

    *out = *evidence;
    while (count < evidence->crash_count &&
           (evidence->ambiguous_us == 0 ||
            evidence->crashes[count].at_us >
                evidence->ambiguous_us + TIME_DIFFERENCE_US)) {
        count++;
    }
    out->crash_count = count;
    return count;
}

/* Takes over that crashes are ambiguous, unless more of them are known. */
static void
merge_ambiguity(pps_poison_evidence_t *evidence,
                const pps_poison_evidence_t *other)
{
    pps_poison_evidence_t merged = *evidence;
    unsigned int clear;

    if (other->ambiguous_us == 0 ||
        (evidence->ambiguous_us != 0 &&
         evidence->ambiguous_us >= other->ambiguous_us)) {
        return;
    }
    merged.ambiguous_us = other->ambiguous_us;
    clear = pps_poison_evidence_without_ambiguous(&merged, &merged);
    for (unsigned int i = clear; i < evidence->crash_count; i++) {
        if (!pps_poison_evidence_may_have_crash(other,
                                                &evidence->crashes[i])) {
            return;
        }
    }
    evidence->ambiguous_us = other->ambiguous_us;
}

int
pps_poison_evidence_merge(pps_poison_evidence_t *evidence,
                          const pps_poison_evidence_t *other)
{
    int is_new = pps_poison_evidence_add_good(evidence, other->good_us);
    unsigned int added = 0;

    for (unsigned int i = 0; i < other->crash_count; i++) {
        added +=
            pps_poison_evidence_add_crash(evidence, &other->crashes[i]) != 0;
    }
    if (other->convicted && !evidence->convicted &&
        pps_poison_evidence_covers(evidence, other) &&
        other->crash_count > 0) {
        evidence->convicted = 1;
        is_new = 1;
    }
    merge_ambiguity(evidence, other);
    return is_new || added > 0;
}

/* Counts crashes of which none had the same cause from outside: each answer
 * began after the crash before, or it broke off long after that. */
static unsigned int
count_independent(const pps_poison_evidence_t *evidence)
{
    int64_t newest_us = evidence->crashes[0].at_us;
    int64_t last_us = INT64_MIN / 2;
    unsigned int count = 0;

    for (unsigned int i = evidence->crash_count; i-- > 0;) {
        const pps_poison_crash_t *crash = &evidence->crashes[i];

        if (newest_us - crash->at_us <= COUNTED_US &&
            (crash->begun_us >= last_us ||
             crash->at_us - last_us > SAME_CAUSE_US)) {
            count++;
            last_us = crash->at_us;
        }
    }
    return count;
}

int
pps_poison_evidence_suffices(const pps_poison_evidence_t *evidence)
{
    unsigned int wanted =
        evidence->good_us != 0 ? CRASHES_MIN_KNOWN_GOOD : CRASHES_MIN;

    return evidence->crash_count >= wanted &&
           count_independent(evidence) >= wanted;
}

int
pps_poison_evidence_convict(pps_poison_evidence_t *evidence)
{
    if (evidence->convicted || !pps_poison_evidence_suffices(evidence)) {
        return 0;
    }
    evidence->convicted = 1;
    return 1;
}

int64_t
pps_poison_evidence_rest_us(const pps_poison_evidence_t *evidence,
                            int64_t now_us)
{
    if (!evidence->convicted || evidence->crash_count == 0) {
        return 0;
    }
    return evidence->crashes[0].at_us - now_us +
           (evidence->good_us != 0 ? SUSPECT_KNOWN_GOOD_US : SUSPECT_US);
}

int
pps_poison_evidence_is_suspect(const pps_poison_evidence_t *evidence,
                               int64_t now_us)
{
    return pps_poison_evidence_rest_us(evidence, now_us) > 0;
}

int
pps_poison_evidence_is_stale(const pps_poison_evidence_t *evidence,
                             int64_t now_us)
{
    return evidence->crash_count == 0 ||
           now_us - evidence->crashes[0].at_us >
               (evidence->convicted ? REMEMBERED_US : COUNTED_US);
}

int
pps_poison_evidence_covers(const pps_poison_evidence_t *evidence,
                           const pps_poison_evidence_t *covered)
{
    for (unsigned int i = 0; i < covered->crash_count; i++) {
        if (!pps_poison_evidence_may_have_crash(evidence,
                                                &covered->crashes[i])) {
            return 0;
        }
    }
    return 1;
}
