/** @file choice_catalog.c @brief Selects among the versions in the catalog. */
#include "papayaswitch/choice.h"
#include "papayaswitch/errors.h"

#include <string.h>

/** Versions of one model, collected from the catalog. */
typedef struct {
    const char *model;
    const pps_version_t *versions[PPS_CANDIDATES_MAX];
    size_t count;
    int overflow;
} collection_t;

static int
collect(const pps_version_t *version, void *user)
{
    collection_t *collection = user;

    if (strcmp(version->model, collection->model) != 0) {
        return 0;
    }
    if (collection->count == PPS_CANDIDATES_MAX) {
        collection->overflow = 1;
        return 1;
    }
    collection->versions[collection->count++] = version;
    return 0;
}

int
pps_choice_select_version(pps_choice_version_t *out,
                          const pps_choice_version_input_t *input)
{
    collection_t collection = {.model = input->model};

    memset(out, 0, sizeof(*out));
    pps_catalog_version_foreach(input->catalog, collect, &collection);
    if (collection.overflow) {
        return pps_error_set(PPS_ELIMIT, "model %s has more than %d versions",
                             input->model, PPS_CANDIDATES_MAX);
    }
    return pps_choice_select_version_among(out, input, collection.versions,
                                           collection.count);
}
