/** @file test_quality_board.c @brief Tests holds and prices on one host. */
#include "papayaswitch/errors.h"
#include "papayaswitch/quality_board.h"
#include "rng.h"

#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SEEDS 10
#define RATINGS_BEFORE_DROP 300
#define RATINGS_MAX 2000
#define RATINGS_PER_STEP 10
#define DECLARED 0.70
#define SPREAD 0.15
#define GROUPS 8

/** A board and a catalog that is changed by release notes. */
typedef struct {
    pps_quality_board_t *board;
    pps_catalog_t *catalog;
    pps_rng_t rng;
    int notes;
    int rated;
    int held;  /**< reported holds */
    int ended; /**< reported ends of a hold */
} fixture_t;

static void
publish(fixture_t *fixture, const char *body)
{
    pps_findings_t *findings;
    pps_note_t *note;
    pps_catalog_t *after;
    char text[1024];

    cr_assert_eq(pps_findings_new(&findings), 0);
    snprintf(text, sizeof(text), "[note]\nid = n%d\nbase = %d\n%s",
             fixture->notes + 1, fixture->notes, body);
    cr_assert_eq(pps_note_parse(&note, text, strlen(text), "n.ini", findings),
                 0);
    cr_assert_eq(
        pps_catalog_apply(&after, fixture->catalog, note, "n.ini", findings),
        0);
    pps_catalog_free(fixture->catalog);
    fixture->catalog = after;
    fixture->notes++;
    pps_note_free(note);
    pps_findings_free(findings);
}

static void
start(fixture_t *fixture, uint64_t seed)
{
    memset(fixture, 0, sizeof(*fixture));
    pps_rng_init(&fixture->rng, seed);
    cr_assert_eq(pps_quality_board_new(&fixture->board, "h", 1), 0);
    cr_assert_eq(pps_catalog_new(&fixture->catalog), 0);
    publish(fixture, "[upstream u]\nkind = engine\n"
                     "[version m/1]\nupstream = u\ncost = 1\n"
                     "quality = 0.70\n");
}

static void
stop(fixture_t *fixture)
{
    pps_quality_board_free(fixture->board);
    pps_catalog_free(fixture->catalog);
}

static void
on_found(const char *version, const pps_health_verdict_t *verdict, void *user)
{
    fixture_t *fixture = user;

    fixture->held += verdict->finding == PPS_HEALTH_HOLD_VERSION;
    fixture->ended += verdict->finding == PPS_HEALTH_OK;
}

/** Draws an approximately normal rating, as a sum of uniform draws. */
static double
draw_rating(pps_rng_t *rng, double mean)
{
    double sum = 0.0;

    for (int i = 0; i < 12; i++) {
        sum += pps_rng_unit(rng);
    }
    return fmin(fmax(mean + SPREAD * (sum - 6.0), 0.0), 1.0);
}

static void
rate(fixture_t *fixture, int workspace, double mean)
{
    char id[24];
    char workspace_name[24];
    char worker_name[24];
    pps_quality_answer_t answer = {.request_id = id,
                                   .workspace = workspace_name,
                                   .kind = "",
                                   .worker = worker_name};

    snprintf(id, sizeof(id), "q%d", fixture->rated++);
    snprintf(workspace_name, sizeof(workspace_name), "w%d", workspace);
    snprintf(worker_name, sizeof(worker_name), "d%d",
             (int)pps_rng_below(&fixture->rng, GROUPS));
    answer.version = pps_catalog_version(fixture->catalog, "m/1");
    cr_assert_eq(pps_quality_board_add_answer(fixture->board, &answer), 0);
    cr_assert_eq(pps_quality_board_add_rating(
                     fixture->board, id, draw_rating(&fixture->rng, mean)),
                 0);
}

static void
step(fixture_t *fixture)
{
    pps_quality_board_step(fixture->board, fixture->catalog, on_found,
                           fixture);
}

static int
is_held(const fixture_t *fixture)
{
    pps_quality_held_t held;

    pps_quality_board_copy_held(fixture->board, &held);
    return held.count > 0;
}

/** Adds ratings until the version is held.
 * @return the number of ratings, at most `max` */
static int
rate_until_held(fixture_t *fixture, int max, double mean)
{
    int from = fixture->rated;

    while (fixture->rated - from < max && !is_held(fixture)) {
        for (int i = 0; i < RATINGS_PER_STEP; i++) {
            rate(fixture, (int)pps_rng_below(&fixture->rng, GROUPS), mean);
        }
        step(fixture);
    }
    return fixture->rated - from;
}

/* Estimates that include the newest ratings would follow a small drop, and the
 * test would not find it. */
Test(quality_board, a_small_drop_after_a_short_history_is_held)
{
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        fixture_t fixture;

        start(&fixture, seed);
        cr_expect_eq(rate_until_held(&fixture, RATINGS_BEFORE_DROP, DECLARED),
                     RATINGS_BEFORE_DROP);
        cr_expect_lt(rate_until_held(&fixture, RATINGS_MAX, DECLARED - 0.05),
                     RATINGS_MAX, "seed %d", (int)seed);
        stop(&fixture);
    }
}

Test(quality_board, a_note_that_changes_a_version_restarts_its_test)
{
    fixture_t fixture;

    start(&fixture, 1);
    rate_until_held(&fixture, RATINGS_MAX, 0.2);
    cr_assert(is_held(&fixture));
    publish(&fixture, "[upstream other]\nkind = engine\n");
    step(&fixture);
    cr_expect(is_held(&fixture), "a note that does not change the version");
    publish(&fixture, "[version m/1]\ncost = 2\n");
    step(&fixture);
    cr_expect(!is_held(&fixture));
    cr_expect_eq(fixture.ended, 1);
    step(&fixture);
    cr_expect(!is_held(&fixture), "old ratings are ignored");
    cr_expect_lt(rate_until_held(&fixture, RATINGS_MAX, 0.2), RATINGS_MAX);
    cr_expect_eq(fixture.held, 2);
    stop(&fixture);
}

/* A host that joins later receives the old ratings all at once. */
Test(quality_board, a_new_host_does_not_hold_for_ratings_of_an_older_note)
{
    fixture_t old;
    fixture_t joined;
    void *data;
    size_t size;

    start(&old, 1);
    rate_until_held(&old, RATINGS_MAX, 0.2);
    publish(&old, "[version m/1]\ncost = 2\n");
    start(&joined, 2);
    publish(&joined, "[version m/1]\ncost = 2\n");
    cr_assert_eq(pps_quality_board_encode_all(old.board, &data, &size), 0);
    cr_assert_eq(pps_quality_board_merge(joined.board, data, size), 0);
    step(&joined);
    cr_expect(!is_held(&joined));
    free(data);
    stop(&old);
    stop(&joined);
}

static int
add_answer(fixture_t *fixture, const char *version)
{
    char id[24];
    const pps_quality_answer_t answer = {
        .request_id = id,
        .workspace = "office",
        .kind = "plan",
        .version = pps_catalog_version(fixture->catalog, version),
        .worker = "d0"};

    snprintf(id, sizeof(id), "q%d", fixture->rated++);
    return pps_quality_board_add_answer(fixture->board, &answer);
}

/** Returns the version chosen for a request after `rated` ratings of m/1. */
static const char *
chosen_after(fixture_t *fixture, int rated, double mean, double draw)
{
    pps_choice_version_input_t input = PPS_CHOICE_VERSION_INPUT_INIT;
    pps_choice_version_t choice;

    for (int i = 0; i < rated; i++) {
        rate(fixture, (int)pps_rng_below(&fixture->rng, GROUPS), mean);
    }
    cr_assert_eq(add_answer(fixture, "m/2"), 0);
    pps_quality_board_update_prices(fixture->board, fixture->catalog);
    input.catalog = fixture->catalog;
    input.workspace = pps_catalog_workspace(fixture->catalog, "office");
    input.model = "m";
    input.kind = "plan";
    input.rng = &fixture->rng;
    input.quality = pps_quality_board_source(fixture->board);
    input.price = pps_quality_board_price(fixture->board, "office", draw);
    cr_expect_gt(input.price, 0.0);
    cr_assert_eq(pps_choice_select_version(&choice, &input), 0);
    return choice.version->name;
}

Test(quality_board, the_price_of_a_workspace_follows_the_evidence)
{
    static const struct {
        int rated;
        double mean;
        const char *target;
        double draw;
        const char *chosen;
    } cases[] = {
        {0, 0.0, "0.50", 0.5, "m/1"},
        {0, 0.0, "0.85", 0.5, "m/2"},
        {500, 0.9, "0.85", 0.5, "m/2"},
        {500, 0.9, "0.75", 0.5, "m/1"},
        /* The target lies between both qualities; each version has a share. */
        {500, 0.4, "0.65", 0.01, "m/2"},
        {500, 0.4, "0.65", 0.99, "m/1"},
        {500, 0.4, "0.99", 0.99, "m/2"},
    };

    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        fixture_t fixture;
        char note[512];

        start(&fixture, i + 1);
        snprintf(note, sizeof(note),
                 "[version m/2]\nupstream = u\ncost = 9\nquality = 0.95\n"
                 "[workspace office]\nkey_hash = %064d\n"
                 "quality_target = %s\nallow = m/1, m/2\n",
                 1, cases[i].target);
        publish(&fixture, note);
        cr_expect_eq(pps_quality_board_price(fixture.board, "office", 0.5), 0);
        cr_expect_str_eq(chosen_after(&fixture, cases[i].rated, cases[i].mean,
                                      cases[i].draw),
                         cases[i].chosen, "case %zu", i);
        stop(&fixture);
    }
}

/* Callers choose the names of kinds, so the number of kinds must not affect
 * prices. */
Test(quality_board, prices_are_found_with_many_kinds)
{
    pps_quality_answer_t answer = {
        .request_id = "q", .workspace = "w0", .worker = "d0"};
    fixture_t fixture;
    char kind[24];

    start(&fixture, 1);
    publish(&fixture, "[workspace w0]\nquality_target = 0.5\nallow = m/1\n"
                      "key_hash = "
                      "00000000000000000000000000000000"
                      "00000000000000000000000000000001\n");
    answer.version = pps_catalog_version(fixture.catalog, "m/1");
    answer.kind = kind;
    for (int i = 0; i < 30000; i++) {
        snprintf(kind, sizeof(kind), "k%d", i);
        cr_assert_eq(pps_quality_board_add_answer(fixture.board, &answer), 0);
    }
    pps_quality_board_update_prices(fixture.board, fixture.catalog);
    cr_expect_gt(pps_quality_board_price(fixture.board, "w0", 0.5), 0.0);
    stop(&fixture);
}
