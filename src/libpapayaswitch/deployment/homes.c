/** @file homes.c @brief Lists of allowed regions. */
#include "homes.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

int
pps_homes_add(pps_homes_t *homes, const char *region)
{
    if (homes->count == PPS_HOMES_MAX) {
        return PPS_ELIMIT;
    }
    homes->regions[homes->count] = strdup(region);
    if (homes->regions[homes->count] == NULL) {
        return PPS_ENOMEM;
    }
    homes->count++;
    return PPS_OK;
}

void
pps_homes_clear(pps_homes_t *homes)
{
    for (size_t i = 0; i < homes->count; i++) {
        free(homes->regions[i]);
    }
    homes->count = 0;
}

int
pps_homes_allow(const pps_homes_t *homes, const char *region)
{
    if (homes == NULL || homes->count == 0) {
        return 1;
    }
    for (size_t i = 0; region[0] != '\0' && i < homes->count; i++) {
        if (strcmp(homes->regions[i], region) == 0) {
            return 1;
        }
    }
    return 0;
}

int
pps_homes_are_disjoint(const pps_homes_t *first, const pps_homes_t *second)
{
    if (first == NULL || second == NULL || first->count == 0 ||
        second->count == 0) {
        return 0;
    }
    for (size_t i = 0; i < first->count; i++) {
        if (pps_homes_allow(second, first->regions[i])) {
            return 0;
        }
    }
    return 1;
}
