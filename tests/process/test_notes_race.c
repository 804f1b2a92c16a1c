/** @file test_notes_race.c @brief Tests notes published at the same time. */
#include "harness_watch.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 3

static cluster_t *cluster;

static void
set_up(void)
{
    const cluster_options_t options = {.routers = ROUTERS};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

TestSuite(notes_race, .init = set_up, .fini = tear_down);

static void
expect_revision_everywhere(json_int_t revision)
{
    for (int i = 0; i < ROUTERS; i++) {
        cr_expect(cluster_wait_revision(cluster, i, revision), "e%d", i);
        cr_expect_eq(cluster_revision(cluster, i), revision, "e%d", i);
    }
}

/** Two notes with the same base, published at the same time. */
typedef struct {
    const char *name;
    const char *bodies[2];
    int accepted_count;
} race_t;

static const race_t races[] = {
    {"same object",
     {"[version drafting/small-1]\ncost = 0.3\n",
      "[version drafting/small-1]\ncost = 0.4\n"},
     1},
    {"different objects",
     {"[version drafting/small-1]\nquality = 0.71\n",
      "[version drafting/large-1]\nquality = 0.96\n"},
     2},
};

static void
expect_winner_named(harness_process_t *rejected, const char *winner_id)
{
    char *text = harness_output(rejected);

    cr_expect_not_null(strstr(text, winner_id), "%s", text);
    free(text);
}

static void
run_race(const race_t *race, int number, int base)
{
    harness_process_t *commands[2];
    char ids[2][32];
    int statuses[2];

    for (int i = 0; i < 2; i++) {
        snprintf(ids[i], sizeof(ids[i]), "race-%d-%c", number, 'a' + i);
        cr_assert_eq(cluster_publish_begin(cluster, &commands[i], ids[i], base,
                                           race->bodies[i], "in_force"),
                     0);
    }
    for (int i = 0; i < 2; i++) {
        statuses[i] = harness_wait(commands[i], CLUSTER_WAIT_MS);
    }
    cr_expect_eq((statuses[0] == 0) + (statuses[1] == 0), race->accepted_count,
                 "%s", race->name);
    for (int i = 0; i < 2; i++) {
        if (statuses[i] != 0) {
            expect_winner_named(commands[i], ids[!i]);
        }
    }
}

Test(notes_race, has_the_same_result_on_every_host)
{
    int base = 1;

    for (int i = 0; i < 2; i++) {
        run_race(&races[i], i, base);
        base += races[i].accepted_count;
        expect_revision_everywhere(base);
    }
}
