/** @file refusal.c @brief Converts refusals to and from their names. */
#include "papayaswitch/refusal.h"

#include "papayaswitch/errors.h"

#include <string.h>

typedef struct {
    const char *name;
    pps_refusal_t refusal;
} name_t;

/* A refusal with several names is written with the first. */
static const name_t names[] = {
    {"none", PPS_REFUSAL_NONE},
    {"draining", PPS_REFUSAL_DRAINING},
    {"full", PPS_REFUSAL_FULL},
    {"version_not_loaded", PPS_REFUSAL_NOT_LOADED},
    {"broken", PPS_REFUSAL_BROKEN},
    {"stale_revision", PPS_REFUSAL_STALE},
    {"stale_fencing", PPS_REFUSAL_STALE},
    {"silent", PPS_REFUSAL_SILENT},
    {"unfit", PPS_REFUSAL_UNFIT},
};

#define NAME_COUNT (sizeof(names) / sizeof(names[0]))

const char *
pps_refusal_name(pps_refusal_t refusal)
{
    for (size_t i = 0; i < NAME_COUNT; i++) {
        if (names[i].refusal == refusal) {
            return names[i].name;
        }
    }
    return "broken";
}

int
pps_refusal_lookup(pps_refusal_t *out, const char *name)
{
    for (size_t i = 0; name != NULL && i < NAME_COUNT; i++) {
        if (strcmp(names[i].name, name) == 0) {
            *out = names[i].refusal;
            return PPS_OK;
        }
    }
    return pps_error_set(PPS_ENOTFOUND, "unknown refusal name");
}
