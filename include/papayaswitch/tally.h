/**
 * @file tally.h
 * @brief Counters that all hosts sum, whatever the order of their messages.
 *
 * Each (host, incarnation) has counters of its own that only grow. A merge
 * keeps the larger state of each, so that repeated, late and relayed messages
 * change nothing, and a restarted host adds to its past instead of hiding or
 * repeating it. Used from one thread.
 */
#ifndef PAPAYASWITCH_TALLY_H
#define PAPAYASWITCH_TALLY_H

#include <stddef.h>
#include <stdint.h>

/** Longest key, in bytes. */
#define PPS_TALLY_KEY_MAX 160

/** Sums are whole numbers of this part of one. */
#define PPS_TALLY_UNIT 1e-6

/** What is counted under a key. Each field only grows at its owner. */
typedef struct {
    uint64_t answers; /**< judged, whether rated or not */
    uint64_t answer_judge_sum;
    uint64_t ratings;
    uint64_t rating_sum; /**< in PPS_TALLY_UNIT, as all sums */
    uint64_t rating_squares;
    uint64_t expected_sum; /**< what the ratings were expected to be */
    uint64_t judged;       /**< rated answers that were judged as well */
    uint64_t judge_sum;
    uint64_t judge_squares;
    uint64_t judge_cross;    /**< judgement times rating */
    uint64_t judged_ratings; /**< sum of the ratings of judged answers */
    uint64_t judged_squares; /**< sum of their squares */
} pps_tally_counts_t;

/** Counters by key. */
typedef struct pps_tally pps_tally_t;

/** Makes an empty tally that counts for a host's incarnation. */
int
pps_tally_new(pps_tally_t **out, const char *host, uint64_t incarnation);

/** Frees a tally; NULL is allowed. */
void
pps_tally_free(pps_tally_t *tally);

/** Adds to this host's counters. @return 0; PPS_ELIMIT; PPS_ENOMEM */
int
pps_tally_add(pps_tally_t *tally, const char *key,
              const pps_tally_counts_t *delta);

/** The sum over all hosts and incarnations; zero for an unknown key. */
void
pps_tally_total(const pps_tally_t *tally, pps_tally_counts_t *out,
                const char *key);

/** Visits the totals of all keys that start with `prefix`. */
int
pps_tally_foreach(const pps_tally_t *tally, const char *prefix,
                  int (*visit)(const char *key,
                               const pps_tally_counts_t *total, void *user),
                  void *user);

/** Number of the last change; an encoding can start behind it. */
uint64_t
pps_tally_last_change(const pps_tally_t *tally);

/**
 * Encodes what changed after change `since`, own and relayed. The caller
 * frees `*out` with free().
 */
int
pps_tally_encode(const pps_tally_t *tally, void **out, size_t *size,
                 uint64_t since);

/** Merges an encoding. @return 0; PPS_ECORRUPT, nothing merged; PPS_ENOMEM */
int
pps_tally_merge(pps_tally_t *tally, const void *data, size_t size);

#endif
