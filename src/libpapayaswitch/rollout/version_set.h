/**
 * @file version_set.h
 * @brief A few versions of an upstream, by their digests. When it is full, the
 * oldest entry is replaced. Does no I/O.
 */
#ifndef PPS_ROLLOUT_VERSION_SET_H
#define PPS_ROLLOUT_VERSION_SET_H

#include <stdint.h>

#define PPS_VERSION_SET_MAX 8

/** A set of versions. Zero-initialize it. */
typedef struct {
    uint64_t digests[PPS_VERSION_SET_MAX]; /**< as a ring; 0: none */
    unsigned int next;
} pps_version_set_t;

/** Adds a version, unless it is in the set. */
void
pps_version_set_add(pps_version_set_t *set, const char *version);

/** Removes a version, if it is in the set. */
void
pps_version_set_remove(pps_version_set_t *set, const char *version);

/** Returns whether a version is in the set. */
int
pps_version_set_contains(const pps_version_set_t *set, const char *version);

#endif
