/** @file test_reference.c @brief Tests the lagging copy of a tally. */
#include "papayaswitch/errors.h"
#include "papayaswitch/evidence.h"
#include "papayaswitch/reference.h"

#include <criterion/criterion.h>

static void
rate(pps_tally_t *tally, const char *version, int count)
{
    pps_rating_t rating = {"w", "chat", version, 0, 0.5, -1.0};

    for (int i = 0; i < count; i++) {
        cr_assert_eq(pps_evidence_count_rating(tally, &rating), 0);
    }
}

static uint64_t
lagging_ratings(const pps_reference_t *reference, const char *key)
{
    pps_tally_counts_t total;

    pps_tally_total(pps_reference_tally(reference), &total, key);
    return total.ratings;
}

Test(reference, ratings_are_added_late_and_only_in_control)
{
    static const struct {
        int new_ratings; /**< added before the step */
        int in_control;
        uint64_t lagging_ratings;
    } cases[] = {
        {499, 1, 0}, {1, 1, 0},     {499, 1, 0},    {1, 0, 0},
        {0, 1, 500}, {400, 0, 500}, {5000, 0, 500}, {0, 1, 1000},
    };
    pps_reference_t *reference;
    pps_tally_t *live;

    cr_assert_eq(pps_tally_new(&live, "h", 1), 0);
    cr_assert_eq(pps_reference_new(&reference), 0);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        rate(live, "m/1", cases[i].new_ratings);
        cr_assert_eq(
            pps_reference_step(reference, live, "m/1", cases[i].in_control),
            0);
        cr_expect_eq(
            lagging_ratings(reference, "quality\tm/1\tfirst\tchat\tw"),
            cases[i].lagging_ratings, "case %zu", i);
    }
    pps_reference_free(reference);
    pps_tally_free(live);
}

Test(reference, versions_are_updated_independently)
{
    pps_reference_t *reference;
    pps_tally_t *live;

    cr_assert_eq(pps_tally_new(&live, "h", 1), 0);
    cr_assert_eq(pps_reference_new(&reference), 0);
    rate(live, "m/1", 10);
    for (int round = 0; round < 3; round++) {
        rate(live, "m/10", 500);
        cr_assert_eq(pps_reference_step(reference, live, "m/10", 1), 0);
        cr_assert_eq(pps_reference_step(reference, live, "m/1", 1), 0);
    }
    cr_expect_eq(lagging_ratings(reference, "quality\tm/10\tfirst"), 1000);
    cr_expect_eq(lagging_ratings(reference, "quality\tm/1\tfirst"), 0);
    pps_reference_free(reference);
    pps_tally_free(live);
}
