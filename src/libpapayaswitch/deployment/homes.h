/**
 * @file homes.h
 * @brief The regions in which the requests of a route or workspace may be
 * handled (its homes).
 */
#ifndef PPS_DEPLOYMENT_HOMES_H
#define PPS_DEPLOYMENT_HOMES_H

#include <stddef.h>

/** Maximum number of regions of a route or workspace. */
#define PPS_HOMES_MAX 32

/** A list of regions. Empty: no restriction. */
typedef struct {
    char *regions[PPS_HOMES_MAX];
    size_t count;
} pps_homes_t;

/** Adds a region. @return 0, PPS_ELIMIT or PPS_ENOMEM */
int
pps_homes_add(pps_homes_t *homes, const char *region);

/** Frees the regions. */
void
pps_homes_clear(pps_homes_t *homes);

/** Returns whether a region is allowed.
 * @param homes NULL: no restriction @param region "": unknown, allowed only
 *        without a restriction */
int
pps_homes_allow(const pps_homes_t *homes, const char *region);

/** Returns whether no region is allowed by both. */
int
pps_homes_are_disjoint(const pps_homes_t *first, const pps_homes_t *second);

#endif
