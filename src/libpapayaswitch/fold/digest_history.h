/**
 * @file digest_history.h
 * @brief Digests of the last states, to check late checkpoints against.
 */
#ifndef PPS_FOLD_DIGEST_HISTORY_H
#define PPS_FOLD_DIGEST_HISTORY_H

#include <stddef.h>
#include <stdint.h>

/** Changes of state that are remembered. */
#define PPS_DIGEST_HISTORY_SIZE 64

/** The state from one offset on, until the next change. */
typedef struct {
    uint64_t next; /**< offset of the first record not folded into it */
    uint64_t digest;
} pps_digest_mark_t;

/** A ring of marks. Zero-initialise it. */
typedef struct {
    pps_digest_mark_t marks[PPS_DIGEST_HISTORY_SIZE];
    size_t count; /**< marks ever added */
} pps_digest_history_t;

/** Adds the state that holds from `next` on. */
void
pps_digest_history_add(pps_digest_history_t *history, uint64_t next,
                       uint64_t digest);

/**
 * The digest of the state at `next`.
 * @return 0, or PPS_ENOTFOUND when that state is no longer remembered
 */
int
pps_digest_history_find(const pps_digest_history_t *history, uint64_t *digest,
                        uint64_t next);

#endif
