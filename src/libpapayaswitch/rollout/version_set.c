/** @file version_set.c @brief Keeps digests of versions in a ring. */
#include "version_set.h"

#include <string.h>
#include <xxhash.h>

static uint64_t
digest(const char *version)
{
    return XXH64(version, strlen(version), 0);
}

static int
find(const pps_version_set_t *set, const char *version)
{
    uint64_t wanted = digest(version);

    for (int i = 0; i < PPS_VERSION_SET_MAX; i++) {
        if (set->digests[i] == wanted) {
            return i;
        }
    }
    return -1;
}

int
pps_version_set_contains(const pps_version_set_t *set, const char *version)
{
    return find(set, version) >= 0;
}

void
pps_version_set_add(pps_version_set_t *set, const char *version)
{
    if (!pps_version_set_contains(set, version)) {
        set->digests[set->next++ % PPS_VERSION_SET_MAX] = digest(version);
    }
}

void
pps_version_set_remove(pps_version_set_t *set, const char *version)
{
    int index = find(set, version);

    if (index >= 0) {
        set->digests[index] = 0;
    }
}
