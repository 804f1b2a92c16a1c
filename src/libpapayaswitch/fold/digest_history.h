/**
 * @file digest_history.h
 * @brief Stores digests of recent states to compare late checkpoints with.
 */
#ifndef PPS_FOLD_DIGEST_HISTORY_H
#define PPS_FOLD_DIGEST_HISTORY_H

#include <stddef.h>
#include <stdint.h>

/** Number of state changes whose digests are stored. */
#define PPS_DIGEST_HISTORY_SIZE 64

/** Digest of the state from an offset up to the next change. */
typedef struct {
    uint64_t next_offset; /**< first offset not folded into the state */
    uint64_t digest;
} pps_digest_entry_t;

/** A ring buffer of digests. The owner initialises it with zeros. */
typedef struct {
    pps_digest_entry_t entries[PPS_DIGEST_HISTORY_SIZE];
    size_t count; /**< entries added, overwritten ones included */
} pps_digest_history_t;

/** Adds the digest of the state from `next_offset` on. */
void
pps_digest_history_add(pps_digest_history_t *history, uint64_t next_offset,
                       uint64_t digest);

/**
 * Copies the digest of the state at `next_offset` to `digest`.
 * @return 0; PPS_ENOTFOUND: `next_offset` is before the oldest stored change
 */
int
pps_digest_history_find(const pps_digest_history_t *history, uint64_t *digest,
                        uint64_t next_offset);

#endif
