/** @file reference.c @brief Delayed copy of a tally. */
#include "papayaswitch/reference.h"

#include "evidence/tally_state.h"
#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct pps_reference {
    pps_tally_t *lagging;
    pps_tally_t *staged; /**< counts for the next update */
};

int
pps_reference_new(pps_reference_t **out)
{
    pps_reference_t *reference = calloc(1, sizeof(*reference));
    int error;

    *out = NULL;
    if (reference == NULL) {
        return pps_error_set(PPS_ENOMEM, "reference: out of memory");
    }
    error = pps_tally_new(&reference->lagging, "reference", 0);
    if (error == PPS_OK) {
        error = pps_tally_new(&reference->staged, "reference", 0);
    }
    if (error < 0) {
        pps_reference_free(reference);
        return error;
    }
    *out = reference;
    return PPS_OK;
}

void
pps_reference_free(pps_reference_t *reference)
{
    if (reference == NULL) {
        return;
    }
    pps_tally_free(reference->lagging);
    pps_tally_free(reference->staged);
    free(reference);
}

/** Copies a total by raising the copy, since totals only grow. */
static int
copy_total(const char *key, const pps_tally_counts_t *total, void *user)
{
    pps_tally_t *to = user;
    pps_tally_id_t id = to->self;

    memcpy(id.key, key, strlen(key));
    return pps_tally_raise(to, &id, total);
}

static uint64_t
rating_count(const pps_tally_t *tally, const char *version)
{
    char key[PPS_TALLY_KEY_MAX];
    pps_tally_counts_t total;

    snprintf(key, sizeof(key), "quality\t%s\tfirst", version);
    pps_tally_total(tally, &total, key);
    return total.ratings;
}

int
pps_reference_step(pps_reference_t *reference, const pps_tally_t *live,
                   const char *version, int in_control)
{
    uint64_t staged = rating_count(reference->staged, version);
    char prefix[PPS_TALLY_KEY_MAX];
    int error;

    if (!in_control ||
        rating_count(live, version) < staged + PPS_REFERENCE_LAG) {
        return PPS_OK;
    }
    snprintf(prefix, sizeof(prefix), "quality\t%s\t", version);
    error = pps_tally_foreach(reference->staged, prefix, copy_total,
                              reference->lagging);
    if (error < 0) {
        return error;
    }
    return pps_tally_foreach(live, prefix, copy_total, reference->staged);
}

const pps_tally_t *
pps_reference_tally(const pps_reference_t *reference)
{
    return reference->lagging;
}
