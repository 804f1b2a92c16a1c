/**
 * @file copy_cache.h
 * @brief Keeps the compressed copy of a topic that is sent to other hosts.
 *
 * Many hosts ask for the same copy within a second. Encoding and compressing a
 * configuration of 400 KB for each of them would take longer than sending it
 * on hosts with 0.12 of a core. A host that has got a copy passes on the bytes
 * that it received.
 */
#ifndef PPS_MIRROR_COPY_CACHE_H
#define PPS_MIRROR_COPY_CACHE_H

#include "buf.h"
#include "mirror.h"

/** A compressed copy. Initialize with PPS_COPY_CACHE_INIT; free `packed`. */
typedef struct {
    pps_buf_t packed;
    int64_t epoch;        /**< of the mirror that the copy was made of */
    int64_t relevant_end; /**< of that mirror */
} pps_copy_cache_t;

#define PPS_COPY_CACHE_INIT                                                   \
    {                                                                         \
        PPS_BUF_INIT, 0, -1                                                   \
    }

/** Returns a mirror's compressed copy, made anew if the mirror's epoch or
 * relevant end has changed; NULL: nothing to send, or no memory. */
const pps_buf_t *
pps_copy_cache_get(pps_copy_cache_t *cache, const pps_mirror_t *mirror);

/** Keeps a compressed copy that the mirror has just imported whole. */
void
pps_copy_cache_put(pps_copy_cache_t *cache, const pps_mirror_t *mirror,
                   const char *packed, size_t size);

#endif
