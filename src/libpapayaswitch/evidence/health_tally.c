/** @file health_tally.c @brief Tally counters of the health test's ratings. */
#include "evidence/health_state.h"
#include "papayaswitch/errors.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/** State of a walk over a version's keys. */
typedef struct {
    pps_health_t *health;
    size_t prefix_size;
    int error;
} walk_t;

int
pps_health_count_rating(pps_tally_t *tally, const char *version,
                        const char *workspace, const char *worker,
                        double rating, double expected)
{
    pps_tally_counts_t delta = {.ratings = 1};
    char key[PPS_TALLY_KEY_MAX];
    int size;

    if (!(rating >= 0 && rating <= 1) || !(expected >= 0 && expected <= 1)) {
        return pps_error_set(
            PPS_EINVALID, "health: rating or expected rating outside [0, 1]");
    }
    size = snprintf(key, sizeof(key), "health\t%s\t%s\t%s", version, workspace,
                    worker);
    if (size < 0 || (size_t)size >= sizeof(key)) {
        return pps_error_set(PPS_ELIMIT, "health: key too long");
    }
    delta.rating_sum = (uint64_t)llround(rating / PPS_TALLY_UNIT);
    delta.expected_sum = (uint64_t)llround(expected / PPS_TALLY_UNIT);
    return pps_tally_add(tally, key, &delta);
}

static pps_health_added_t *
/* NOLINTNEXTLINE(readability-function-size): hash macros */
added_get(pps_health_t *health, const char *key)
{
    pps_health_added_t *added;

    HASH_FIND_STR(health->added, key, added);
    if (added != NULL) {
        return added;
    }
    added = calloc(1, sizeof(*added));
    if (added == NULL) {
        return NULL;
    }
    memcpy(added->key, key, strlen(key) + 1);
    HASH_ADD_STR(health->added, key, added);
    return added;
}

static int
add_key(const char *key, const pps_tally_counts_t *total, void *user)
{
    double shortfall =
        ((double)total->expected_sum - (double)total->rating_sum) *
        PPS_TALLY_UNIT;
    walk_t *walk = user;
    pps_health_added_t *added = added_get(walk->health, key);
    char workspace[PPS_TALLY_KEY_MAX];
    char *worker;

    if (added == NULL) {
        walk->error = pps_error_set(PPS_ENOMEM, "health: out of memory");
        return 1;
    }
    memcpy(workspace, key + walk->prefix_size,
           strlen(key + walk->prefix_size) + 1);
    worker = strchr(workspace, '\t');
    if (worker == NULL) {
        return 0;
    }
    *worker++ = '\0';
    walk->error = pps_health_add(walk->health, workspace, worker,
                                 (double)total->ratings - added->sum.ratings,
                                 shortfall - added->sum.shortfall);
    added->sum = (pps_health_sum_t){(double)total->ratings, shortfall};
    return walk->error < 0;
}

int
pps_health_add_tally(pps_health_t *health, const pps_tally_t *tally,
                     const char *version)
{
    walk_t walk = {.health = health};
    char prefix[PPS_TALLY_KEY_MAX];
    int size = snprintf(prefix, sizeof(prefix), "health\t%s\t", version);

    if (size < 0 || (size_t)size >= sizeof(prefix)) {
        return pps_error_set(PPS_ELIMIT, "health: key too long");
    }
    walk.prefix_size = (size_t)size;
    pps_tally_foreach(tally, prefix, add_key, &walk);
    return walk.error;
}
