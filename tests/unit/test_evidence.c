/** @file test_evidence.c @brief Tests quality estimates from ratings. */
#include "papayaswitch/errors.h"
#include "papayaswitch/evidence.h"

#include <criterion/criterion.h>

static const pps_version_t version = {"m/1", "m",  "u", PPS_VERSION_ACTIVE,
                                      1.0,   0.80, 1.0, 1};

/** Adds ratings 0.1 above or below a mean, with equal judgements. */
static void
rate(pps_tally_t *tally, const char *workspace, const char *kind, double mean,
     int count)
{
    for (int i = 0; i < count; i++) {
        double value = mean + (i % 2 ? 0.1 : -0.1);
        pps_rating_t rating = {workspace, kind, "m/1", 0, value, value};

        cr_assert_eq(pps_evidence_count_rating(tally, &rating), 0);
    }
}

static pps_quality_t
estimate(const pps_tally_t *tally, const char *workspace, const char *kind)
{
    pps_evidence_t evidence;
    pps_quality_t out;

    pps_evidence_init(&evidence, tally);
    evidence.source.estimate(&evidence.source, &out, workspace, kind,
                             &version);
    return out;
}

Test(evidence, estimates_follow_the_data)
{
    static const struct {
        const char *what;
        const char *workspace;
        const char *kind;
        double mean;
        int count;
        double low; /**< bounds of the estimate for workspace `w`, `chat` */
        double high;
    } cases[] = {
        {"no evidence: declared", "w", "chat", 0.3, 0, 0.80, 0.80},
        {"few ratings change the estimate little", "w", "chat", 0.5, 2, 0.65,
         0.80},
        {"many ratings outweigh the declared quality", "w", "chat", 0.5, 2000,
         0.49, 0.52},
        {"ratings of another workspace weigh much", "v", "chat", 0.5, 2000,
         0.48, 0.62},
        {"ratings of another kind weigh less", "w", "review", 0.5, 2000, 0.62,
         0.78},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        pps_quality_t quality;
        pps_tally_t *tally;

        cr_assert_eq(pps_tally_new(&tally, "h", 1), 0);
        rate(tally, cases[i].workspace, cases[i].kind, cases[i].mean,
             cases[i].count);
        quality = estimate(tally, "w", "chat");
        cr_expect(quality.mean >= cases[i].low - 1e-9 &&
                      quality.mean <= cases[i].high + 1e-9,
                  "%s: %f", cases[i].what, quality.mean);
        pps_tally_free(tally);
    }
}

Test(evidence, uncertainty_shrinks_with_ratings)
{
    double before = 1.0;

    for (int count = 0; count <= 1000; count = count * 10 + 1) {
        pps_tally_t *tally;
        double deviation;

        cr_assert_eq(pps_tally_new(&tally, "h", 1), 0);
        rate(tally, "w", "chat", 0.8, count);
        deviation = estimate(tally, "w", "chat").deviation;
        cr_expect_lt(deviation, before, "%d ratings", count);
        before = deviation;
        pps_tally_free(tally);
    }
    cr_expect_lt(before, 0.02);
}

Test(evidence, judgements_move_the_estimate_of_a_workspace_without_ratings)
{
    pps_rating_t answer = {"w", "chat", "m/1", 0, 0.0, 0.6};
    double before;
    pps_tally_t *tally;

    cr_assert_eq(pps_tally_new(&tally, "h", 1), 0);
    rate(tally, "v", "chat", 0.8, 500);
    before = estimate(tally, "w", "chat").mean;
    for (int i = 0; i < 500; i++) {
        cr_assert_eq(pps_evidence_count_judgement(tally, &answer), 0);
    }
    cr_expect_lt(estimate(tally, "w", "chat").mean, before - 0.05);
    pps_tally_free(tally);
}

Test(evidence, values_outside_the_scale_are_refused)
{
    static const double values[] = {-0.1, 1.1, 0.0 / 0.0};
    pps_tally_t *tally;

    cr_assert_eq(pps_tally_new(&tally, "h", 1), 0);
    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
        pps_rating_t rating = {"w", "chat", "m/1", 0, values[i], -1.0};

        cr_expect_eq(pps_evidence_count_rating(tally, &rating), PPS_EINVALID);
        rating.judgement = values[i];
        cr_expect_eq(pps_evidence_count_judgement(tally, &rating),
                     PPS_EINVALID);
    }
    cr_expect_eq(pps_tally_last_change(tally), 0);
    pps_tally_free(tally);
}
