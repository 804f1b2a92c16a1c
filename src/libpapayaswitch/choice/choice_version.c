/** @file choice_version.c @brief Selects the cheapest adequate version. */
#include "papayaswitch/choice.h"
#include "papayaswitch/errors.h"

#include <string.h>

/** Rounding tolerance for a target that equals a declared quality. */
#define TARGET_TOLERANCE 1e-9

/** Eligible versions, and counts of the allowed and of the excluded ones. */
typedef struct {
    pps_candidate_t items[PPS_CANDIDATES_MAX];
    size_t count;
    size_t allowed;
    size_t expired;
    size_t held;
    size_t tried;
    size_t limited;
} candidates_t;

int
pps_name_set_has(const pps_name_set_t *set, const char *name)
{
    for (size_t i = 0; i < set->count; i++) {
        if (strcmp(set->names[i], name) == 0) {
            return 1;
        }
    }
    return 0;
}

static int
is_allowed(const pps_workspace_t *workspace, const char *version)
{
    pps_name_set_t allow = {workspace->allow, workspace->allow_count};

    return pps_name_set_has(&allow, version);
}

static int
is_expired(const pps_choice_version_input_t *input,
           const pps_version_t *version)
{
    if (version->state == PPS_VERSION_RETIRING) {
        return input->pinned == NULL;
    }
    return version->state == PPS_VERSION_WITHDRAWN;
}

static void
estimate(const pps_choice_version_input_t *input, pps_candidate_t *candidate)
{
    pps_quality_t *quality = &candidate->quality;

    if (input->quality != NULL) {
        input->quality->estimate(input->quality, quality,
                                 input->workspace->name, input->kind,
                                 candidate->version);
    }
    else {
        memset(quality, 0, sizeof(*quality));
        quality->mean = candidate->version->quality;
        quality->escalated_mean = quality->mean;
    }
    if (input->escalated) {
        quality->mean = quality->escalated_mean;
    }
}

static int
meets_target(const pps_choice_version_input_t *input,
             const pps_candidate_t *candidate)
{
    const pps_quality_t *quality = &candidate->quality;

    return quality->mean - input->margin_deviations * quality->deviation +
               TARGET_TOLERANCE >=
           input->workspace->quality_target;
}

static void
add_if_eligible(candidates_t *candidates,
                const pps_choice_version_input_t *input,
                const pps_version_t *version)
{
    pps_candidate_t *next = &candidates->items[candidates->count];

    if (!is_allowed(input->workspace, version->name)) {
        return;
    }
    candidates->allowed++;
    if (is_expired(input, version)) {
        candidates->expired++;
    }
    else if (pps_name_set_has(&input->tried, version->name)) {
        candidates->tried++;
    }
    else if (pps_name_set_has(&input->held, version->name)) {
        candidates->held++;
    }
    else if (candidates->count < PPS_CANDIDATES_MAX) {
        next->version = version;
        estimate(input, next);
        candidates->count++;
    }
}

/**
 * Removes the versions outside their exposure. Each version with an exposure
 * below 1 has an interval of [0, 1) of that width, and one draw selects among
 * these, so a version remains for at most that fraction of the requests.
 */
static void
apply_exposure(candidates_t *candidates, pps_rng_t *rng)
{
    double draw = pps_rng_unit(rng);
    double interval_start = 0.0;
    size_t kept = 0;

    for (size_t i = 0; i < candidates->count; i++) {
        double exposure = candidates->items[i].version->exposure;
        int inside =
            draw >= interval_start && draw < interval_start + exposure;

        if (exposure >= 1.0 || inside) {
            candidates->items[kept++] = candidates->items[i];
        }
        else {
            candidates->limited++;
        }
        if (exposure < 1.0) {
            interval_start += exposure;
        }
    }
    candidates->count = kept;
}

static int
report_no_candidate(const candidates_t *candidates, const char *model)
{
    if (candidates->allowed == 0) {
        return pps_error_set(
            PPS_EINVALID, "model %s: the workspace may use no version", model);
    }
    if (candidates->limited > 0) {
        return pps_error_set(
            PPS_ELIMIT, "model %s: versions outside their exposure", model);
    }
    if (candidates->held > 0) {
        return pps_error_set(
            PPS_EREFUSED, "model %s: versions failed the health test", model);
    }
    if (candidates->tried > 0) {
        return pps_error_set(PPS_ECLOSED, "model %s: versions already tried",
                             model);
    }
    return pps_error_set(PPS_EEXPIRED,
                         "model %s: versions withdrawn or retiring", model);
}

/**
 * Computes the expected cost when answers judged too low are escalated to the
 * next more expensive version that meets the target.
 */
static double
expected_cost(const candidates_t *candidates,
              const pps_choice_version_input_t *input,
              const pps_candidate_t *candidate)
{
    double next = 0.0;

    for (size_t i = 0; i < candidates->count; i++) {
        const pps_candidate_t *other = &candidates->items[i];

        if (meets_target(input, other) &&
            other->version->cost > candidate->version->cost &&
            (next == 0.0 || other->version->cost < next)) {
            next = other->version->cost;
        }
    }
    return candidate->version->cost + candidate->quality.escalation * next;
}

static int
is_better(const candidates_t *candidates,
          const pps_choice_version_input_t *input, const pps_candidate_t *a,
          const pps_candidate_t *b)
{
    int a_meets = meets_target(input, a);

    if (a_meets != meets_target(input, b)) {
        return a_meets;
    }
    if (!a_meets) {
        return a->quality.mean > b->quality.mean;
    }
    return expected_cost(candidates, input, a) <
           expected_cost(candidates, input, b);
}

static void
select_cheapest(pps_choice_version_t *out, const candidates_t *candidates,
                const pps_choice_version_input_t *input)
{
    const pps_candidate_t *best = &candidates->items[0];

    for (size_t i = 1; i < candidates->count; i++) {
        if (is_better(candidates, input, &candidates->items[i], best)) {
            best = &candidates->items[i];
        }
    }
    out->version = best->version;
    out->quality = best->quality;
    out->meets_target = meets_target(input, best);
}

static void
select_by_price(pps_choice_version_t *out, candidates_t *candidates,
                const pps_choice_version_input_t *input)
{
    const pps_candidate_t *first;
    pps_option_t option;

    pps_option_select_best(&option, candidates->items, candidates->count,
                           input->price);
    first = &candidates->items[option.first];
    out->version = first->version;
    out->quality = first->quality;
    out->meets_target = meets_target(input, first);
    /* A request escalates once; a pinned session keeps its version. */
    if (option.second != PPS_OPTION_NONE && !input->escalated &&
        input->pinned == NULL) {
        out->escalate_to = candidates->items[option.second].version;
        out->escalate_below = option.escalate_below;
    }
}

int
pps_choice_select_version_among(pps_choice_version_t *out,
                                const pps_choice_version_input_t *input,
                                const pps_version_t *const *versions,
                                size_t count)
{
    candidates_t candidates = {.count = 0};
    size_t matching = 0;

    memset(out, 0, sizeof(*out));
    for (size_t i = 0; i < count; i++) {
        if (input->pinned == NULL ||
            strcmp(versions[i]->name, input->pinned) == 0) {
            matching++;
            add_if_eligible(&candidates, input, versions[i]);
        }
    }
    if (matching == 0) {
        return pps_error_set(
            PPS_ENOTFOUND, "model %s: no such model or version", input->model);
    }
    /* A pinned session keeps its version, whatever the exposure. */
    if (input->pinned == NULL) {
        apply_exposure(&candidates, input->rng);
    }
    if (candidates.count == 0) {
        return report_no_candidate(&candidates, input->model);
    }
    if (input->price > 0) {
        select_by_price(out, &candidates, input);
    }
    else {
        select_cheapest(out, &candidates, input);
    }
    return PPS_OK;
}
