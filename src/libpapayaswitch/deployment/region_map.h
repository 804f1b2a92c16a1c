/**
 * @file region_map.h
 * @brief The region of each failure domain.
 */
#ifndef PPS_DEPLOYMENT_REGION_MAP_H
#define PPS_DEPLOYMENT_REGION_MAP_H

#include <stddef.h>

#define PPS_REGION_TEXT_BYTES 64
/** Maximum number of failure domains. */
#define PPS_REGION_MAP_MAX 64

/** A failure domain and its region. */
typedef struct {
    char failure_domain[PPS_REGION_TEXT_BYTES];
    char region[PPS_REGION_TEXT_BYTES];
} pps_region_entry_t;

/** All failure domains with a known region. Empty: homes are not applied. */
typedef struct {
    pps_region_entry_t entries[PPS_REGION_MAP_MAX];
    size_t count;
} pps_region_map_t;

/** Reads "DOMAIN:REGION,..."; blanks around entries are ignored, an empty text
 * gives an empty map.
 * @return 0; PPS_EINVALID: an entry lacks a part, is too long or repeats a
 *         failure domain; PPS_ELIMIT */
int
pps_region_map_parse(pps_region_map_t *out, const char *text);

/** Returns the region of a failure domain, "" if unknown. */
const char *
pps_region_map_find(const pps_region_map_t *map, const char *failure_domain);

#endif
