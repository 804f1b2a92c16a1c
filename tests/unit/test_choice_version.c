/** @file test_choice_version.c @brief Tests the selection of a version. */
#include "papayaswitch/choice.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <string.h>

#define DRAWS 20000

#define ACTIVE PPS_VERSION_ACTIVE
#define RETIRING PPS_VERSION_RETIRING
#define WITHDRAWN PPS_VERSION_WITHDRAWN

static const char *const allow[] = {"m/a", "m/b", "m/c", "m/r", "m/w"};
static const char *const only_w[] = {"m/w"};
static const char *const only_b[] = {"m/b"};

static const pps_version_t versions[] = {
    {"m/a", "m", "u", ACTIVE, 1.0, 0.70, 1.0, 1},
    {"m/b", "m", "u", ACTIVE, 3.0, 0.85, 1.0, 1},
    {"m/c", "m", "u", ACTIVE, 9.0, 0.95, 1.0, 1},
    {"m/r", "m", "u", RETIRING, 0.1, 0.99, 1.0, 1},
    {"m/w", "m", "u", WITHDRAWN, 0.1, 0.99, 1.0, 1},
    {"m/x", "m", "u", ACTIVE, 0.1, 0.99, 1.0, 1},
};

static size_t
list(const pps_version_t **out)
{
    size_t count = sizeof(versions) / sizeof(versions[0]);

    for (size_t i = 0; i < count; i++) {
        out[i] = &versions[i];
    }
    return count;
}

/** Returns the names before the first NULL. */
static pps_name_set_t
names(const char *const *list)
{
    pps_name_set_t set = {list, 0};

    while (list[set.count] != NULL) {
        set.count++;
    }
    return set;
}

Test(choice_version, rules)
{
    static const struct {
        const char *what;
        const char *const *allow;
        size_t allow_count;
        double target;
        const char *pinned;
        const char *held[5];
        const char *tried[5];
        int error;
        const char *chosen;
        int meets;
    } cases[] = {
        {"cheapest", allow, 5, 0.6, NULL, {0}, {0}, 0, "m/a", 1},
        {"target", allow, 5, 0.8, NULL, {0}, {0}, 0, "m/b", 1},
        {"equal to target", allow, 5, 0.85, NULL, {0}, {0}, 0, "m/b", 1},
        {"none meets it", allow, 5, 0.99, NULL, {0}, {0}, 0, "m/c", 0},
        {"held", allow, 5, 0.8, NULL, {"m/b"}, {0}, 0, "m/c", 1},
        {"held, below target", allow, 5, 0.9, NULL, {"m/c"}, {0}, 0, "m/b", 0},
        {"all held",
         allow,
         5,
         0.8,
         NULL,
         {"m/a", "m/b", "m/c"},
         {0},
         PPS_EREFUSED,
         NULL,
         0},
        {"escalated", allow, 5, 0.6, NULL, {0}, {"m/a"}, 0, "m/b", 1},
        {"all tried", only_b, 1, 0, NULL, {0}, {"m/b"}, PPS_ECLOSED, NULL, 0},
        {"withdrawn", only_w, 1, 0, NULL, {0}, {0}, PPS_EEXPIRED, NULL, 0},
        {"none allowed", NULL, 0, 0, NULL, {0}, {0}, PPS_EINVALID, NULL, 0},
        {"pin", allow, 5, 0.99, "m/a", {0}, {0}, 0, "m/a", 0},
        {"pin retiring", allow, 5, 0.1, "m/r", {0}, {0}, 0, "m/r", 1},
        {"pin withdrawn", allow, 5, 0, "m/w", {0}, {0}, PPS_EEXPIRED, NULL, 0},
        {"pin held", allow, 5, 0, "m/a", {"m/a"}, {0}, PPS_EREFUSED, NULL, 0},
        {"pin forbidden", allow, 5, 0, "m/x", {0}, {0}, PPS_EINVALID, NULL, 0},
        {"pin unknown", allow, 5, 0, "m/q", {0}, {0}, PPS_ENOTFOUND, NULL, 0},
    };
    const pps_version_t *all[PPS_CANDIDATES_MAX];
    size_t count = list(all);
    pps_rng_t rng;

    pps_rng_init(&rng, 1);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_choice_version_input_t input = PPS_CHOICE_VERSION_INPUT_INIT;
        pps_workspace_t workspace = {.name = "w",
                                     .quality_target = cases[i].target,
                                     .allow = cases[i].allow,
                                     .allow_count = cases[i].allow_count};
        pps_choice_version_t out;

        input.workspace = &workspace;
        input.model = "m";
        input.pinned = cases[i].pinned;
        input.held = names(cases[i].held);
        input.tried = names(cases[i].tried);
        input.rng = &rng;
        cr_expect_eq(pps_choice_select_version_among(&out, &input, all, count),
                     cases[i].error, "%s", cases[i].what);
        if (cases[i].chosen == NULL) {
            cr_expect_null(out.version, "%s", cases[i].what);
            continue;
        }
        cr_assert_not_null(out.version, "%s", cases[i].what);
        cr_expect_str_eq(out.version->name, cases[i].chosen, "%s",
                         cases[i].what);
        cr_expect_eq(out.meets_target, cases[i].meets, "%s", cases[i].what);
    }
}

/** Estimates a high deviation or a high escalation rate for `m/a`. */
static void
estimate_by_kind(const pps_quality_source_t *self, pps_quality_t *out,
                 const char *workspace, const char *kind,
                 const pps_version_t *version)
{
    *out = (pps_quality_t){.mean = version->quality};
    if (strcmp(version->name, "m/a") == 0 && strcmp(kind, "noisy") == 0) {
        out->deviation = 0.2;
    }
    if (strcmp(version->name, "m/a") == 0 && strcmp(kind, "hard") == 0) {
        out->escalation = 0.8;
    }
}

Test(choice_version, deviation_and_escalation_rate_affect_the_choice)
{
    static const struct {
        const char *kind;
        const char *chosen;
    } cases[] = {{"plain", "m/a"}, {"noisy", "m/b"}, {"hard", "m/b"}};
    static const pps_quality_source_t source = {estimate_by_kind};
    const pps_version_t *all[PPS_CANDIDATES_MAX];
    size_t count = list(all);
    pps_workspace_t workspace = {"w", {0}, 0.6, 1, 0, allow, 5, NULL, 0, 0};
    pps_rng_t rng;

    pps_rng_init(&rng, 1);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_choice_version_input_t input = PPS_CHOICE_VERSION_INPUT_INIT;
        pps_choice_version_t out;

        input.workspace = &workspace;
        input.kind = cases[i].kind;
        input.model = "m";
        input.quality = &source;
        input.rng = &rng;
        cr_assert_eq(pps_choice_select_version_among(&out, &input, all, count),
                     0);
        cr_expect_str_eq(out.version->name, cases[i].chosen, "%s",
                         cases[i].kind);
    }
}

Test(choice_version, exposure_bounds_the_share)
{
    static const struct {
        double exposure[2];
        double cost[2];
        double share[2]; /**< expected share, at most the exposure */
        int refused;
    } cases[] = {
        {{0.05, 1.0}, {1, 2}, {0.05, 0.95}, 0},
        {{0.05, 0.10}, {1, 1}, {0.05, 0.10}, 1},
        {{0.5, 1.0}, {9, 2}, {0.0, 1.0}, 0},
        {{0.8, 0.8}, {1, 1}, {0.8, 0.2}, 0},
    };
    pps_workspace_t workspace = {"w", {0}, 0.6, 1, 0, allow, 5, NULL, 0, 0};
    pps_rng_t rng;

    pps_rng_init(&rng, 7);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_version_t pair[2] = {versions[0], versions[1]};
        const pps_version_t *all[2] = {&pair[0], &pair[1]};
        size_t hits[2] = {0, 0};

        for (int v = 0; v < 2; v++) {
            pair[v].exposure = cases[i].exposure[v];
            pair[v].cost = cases[i].cost[v];
        }
        for (int draw = 0; draw < DRAWS; draw++) {
            pps_choice_version_input_t input = PPS_CHOICE_VERSION_INPUT_INIT;
            pps_choice_version_t out;
            int error;

            input.workspace = &workspace;
            input.model = "m";
            input.rng = &rng;
            error = pps_choice_select_version_among(&out, &input, all, 2);
            cr_assert(error == 0 || (cases[i].refused && error == PPS_ELIMIT));
            if (error == 0) {
                hits[out.version == &pair[1]]++;
            }
        }
        for (int v = 0; v < 2; v++) {
            cr_expect_float_eq((double)hits[v] / DRAWS, cases[i].share[v],
                               0.012, "case %zu version %d", i, v);
        }
    }
}
