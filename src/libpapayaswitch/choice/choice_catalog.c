/** @file choice_catalog.c @brief Gathers the versions of a model. */
#include "papayaswitch/choice.h"
#include "papayaswitch/errors.h"

#include <string.h>

/** Versions of one model. */
typedef struct {
    const char *model;
    const pps_version_t *versions[PPS_CANDIDATES_MAX];
    size_t count;
    int overflow;
} gathering_t;

static int
gather(const pps_version_t *version, void *user)
{
    gathering_t *gathering = user;

    if (strcmp(version->model, gathering->model) != 0) {
        return 0;
    }
    if (gathering->count == PPS_CANDIDATES_MAX) {
        gathering->overflow = 1;
        return 1;
    }
    gathering->versions[gathering->count++] = version;
    return 0;
}

int
pps_choice_select_version(pps_choice_version_t *out,
                          const pps_choice_version_input_t *input)
{
    gathering_t gathering = {.model = input->model};

    memset(out, 0, sizeof(*out));
    pps_catalog_version_foreach(input->catalog, gather, &gathering);
    if (gathering.overflow) {
        return pps_error_set(PPS_ELIMIT, "model %s: over %d versions",
                             input->model, PPS_CANDIDATES_MAX);
    }
    return pps_choice_select_version_among(out, input, gathering.versions,
                                           gathering.count);
}
