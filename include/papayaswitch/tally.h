/**
 * @file tally.h
 * @brief Grow-only counters replicated between hosts (a state-based CRDT).
 *
 * Each (host, incarnation) has its own counters, which only grow. A merge
 * keeps the larger value of each, so that repeated, late, reordered and
 * relayed messages count nothing twice. A restarted host neither hides nor
 * repeats its earlier counts. Not thread-safe.
 */
#ifndef PAPAYASWITCH_TALLY_H
#define PAPAYASWITCH_TALLY_H

#include <stddef.h>
#include <stdint.h>

/** Size of a key with its terminating NUL, in bytes. */
#define PPS_TALLY_KEY_MAX 160

/** Value of one unit of the integer sums. */
#define PPS_TALLY_UNIT 1e-6

/** Counters of one key. Sums are in PPS_TALLY_UNIT. */
typedef struct {
    uint64_t answers;          /**< judged answers, rated or not */
    uint64_t answer_judge_sum; /**< sum of their judgements */
    uint64_t ratings;
    uint64_t rating_sum; /**< sum of the ratings */
    uint64_t rating_squares;
    uint64_t expected_sum; /**< sum of the expected ratings */
    uint64_t judged;       /**< answers both rated and judged */
    uint64_t judge_sum;
    uint64_t judge_squares;
    uint64_t judge_cross;    /**< sum of judgement times rating */
    uint64_t judged_ratings; /**< sum of the ratings of judged answers */
    uint64_t judged_squares; /**< sum of the squares of those ratings */
} pps_tally_counts_t;

/** Counters by key, host and incarnation. */
typedef struct pps_tally pps_tally_t;

/** Creates an empty tally that counts for an incarnation of a host.
 * @return 0; PPS_ELIMIT: host name too long; PPS_ENOMEM */
int
pps_tally_new(pps_tally_t **out, const char *host, uint64_t incarnation);

/** Frees a tally; NULL is allowed. */
void
pps_tally_free(pps_tally_t *tally);

/** Adds to this host's counters of a key. @return 0; PPS_ELIMIT; PPS_ENOMEM */
int
pps_tally_add(pps_tally_t *tally, const char *key,
              const pps_tally_counts_t *delta);

/** Sums a key over all hosts and incarnations; 0 for an unknown key. */
void
pps_tally_total(const pps_tally_t *tally, pps_tally_counts_t *out,
                const char *key);

/** Visits the totals of all keys that start with `prefix`. Stops at the first
 * nonzero result of `visit` and returns it; else returns 0. */
int
pps_tally_foreach(const pps_tally_t *tally, const char *prefix,
                  int (*visit)(const char *key,
                               const pps_tally_counts_t *total, void *user),
                  void *user);

/** Returns the number of the last change, to encode only later ones. */
uint64_t
pps_tally_last_change(const pps_tally_t *tally);

/**
 * Encodes the counters changed after change `since` (0: all), including those
 * received from other hosts. The caller frees `*out` with free(). Returns 0.
 */
int
pps_tally_encode(const pps_tally_t *tally, void **out, size_t *size,
                 uint64_t since);

/** Merges entries. @return 0; PPS_ECORRUPT: none merged; PPS_ENOMEM: some */
int
pps_tally_merge(pps_tally_t *tally, const void *data, size_t size);

#endif
