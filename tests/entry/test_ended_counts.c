/** @file test_ended_counts.c @brief Tests that counts of a roll-out stay when
 * the processes that counted have ended. */
#include "rollout/rollout_reports.h"

#include <criterion/criterion.h>
#include <stdio.h>

#define ACTS_MAX 4

/** Counts that arrive: told by the process itself, or handed over after its
 * end. */
typedef struct {
    enum { NONE, TOLD, HANDED } how;
    const char *host;
    uint64_t incarnation;
    uint32_t requests;
} act_t;

typedef struct {
    const char *name;
    act_t acts[ACTS_MAX];
    uint32_t requests; /**< in the sum */
    size_t processes;
} ended_case_t;

static const ended_case_t cases[] = {
    {"one process", {{TOLD, "a", 1, 500}, {TOLD, "a", 1, 600}}, 600, 1},
    {"a host starts again", {{TOLD, "a", 1, 500}, {TOLD, "a", 2, 20}}, 520, 2},
    {"a late report of the process before",
     {{TOLD, "a", 1, 500}, {TOLD, "a", 2, 20}, {TOLD, "a", 1, 480}},
     520,
     2},
    {"another host had heard more",
     {{TOLD, "a", 1, 500}, {TOLD, "a", 2, 20}, {HANDED, "a", 1, 510}},
     530,
     2},
    {"another host had heard less",
     {{TOLD, "a", 1, 500}, {HANDED, "a", 1, 400}},
     500,
     1},
    {"a host starts after others have ended",
     {{HANDED, "a", 1, 500}, {HANDED, "b", 1, 300}, {TOLD, "c", 1, 10}},
     810,
     3},
    {"counts that are handed over twice",
     {{HANDED, "a", 1, 500}, {HANDED, "a", 1, 500}},
     500,
     1},
};

static void
run_act(struct cds_list_head *reports, const act_t *act)
{
    pps_gossip_process_t process = {.incarnation = act->incarnation};
    pps_gossip_rollout_t told = {.tally.requests = act->requests};
    pps_gossip_ended_count_t handed = {.tally.requests = act->requests};

    if (act->how == NONE) {
        return;
    }
    snprintf(process.host, sizeof(process.host), "%s", act->host);
    handed.process = process;
    if (act->how == TOLD) {
        pps_rollout_reports_note(reports, &process, &told, 1);
    }
    else {
        pps_rollout_reports_note_ended(reports, &handed, 1);
    }
}

/* Guards against sums that go down at each restart of a host, so that a clean
 * version never gets its last move and a bad one more than its exposure. */
Test(ended_counts, counts_go_down)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        CDS_LIST_HEAD(reports);
        pps_rollout_tally_t sum = {0};

        for (size_t act = 0; act < ACTS_MAX; act++) {
            run_act(&reports, &cases[i].acts[act]);
        }
        pps_rollout_reports_sum(&sum, &reports);
        cr_expect_eq(sum.requests, cases[i].requests, "%s: %u", cases[i].name,
                     sum.requests);
        cr_expect_eq(pps_rollout_reports_count(&reports), cases[i].processes,
                     "%s", cases[i].name);
        pps_rollout_reports_clear(&reports);
    }
}
