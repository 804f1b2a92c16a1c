/** @file refusal.c @brief Names of the ways in which a worker says no. */
#include "papayaswitch/refusal.h"

#include <string.h>

static const char *const names[] = {
    "none",   "draining",       "full",  "version_not_loaded",
    "broken", "stale_revision", "silent"};

#define NAME_COUNT (sizeof(names) / sizeof(names[0]))

const char *
pps_refusal_name(pps_refusal_t refusal)
{
    return (size_t)refusal < NAME_COUNT ? names[refusal] : "broken";
}

pps_refusal_t
pps_refusal_parse(const char *name)
{
    for (size_t i = 0; name != NULL && i < NAME_COUNT; i++) {
        if (strcmp(names[i], name) == 0) {
            return (pps_refusal_t)i;
        }
    }
    return PPS_REFUSAL_BROKEN;
}
