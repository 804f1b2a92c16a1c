/** @file test_ended_counts.c @brief Tests that counts of a roll-out stay when
 * the processes that counted have ended. */
#include "clock.h"
#include "gossip/gossip_codec.h"
#include "gossip/gossip_state.h"
#include "rollout/controller.h"
#include "rollout/ended_counts.h"
#include "rollout/rollout_reports.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

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

#define S PPS_US_PER_S
#define ASKED 200

/** A peer that tells another digest of ended processes. */
typedef struct {
    const char *name;
    int64_t told_us;  /**< since it first told of the roll-out; -1: never */
    int64_t ended_us; /**< since the process ended */
    int is_same;      /**< it tells the digest of this host */
    unsigned int lacks;
    int sent_min; /**< of ASKED times */
    int sent_max;
} sync_case_t;

static const sync_case_t sync_cases[] = {
    {"it has just started", 1 * S, 60 * S, 0, 0, ASKED, ASKED},
    {"it has not told before", -1, 60 * S, 0, 0, ASKED, ASKED},
    {"it lacks a process that has just ended", 60 * S, 1 * S, 0, 0, ASKED,
     ASKED},
    {"it lacks what ended long ago", 60 * S, 60 * S, 0, 0, 10, ASKED / 2},
    {"it knows the same", 1 * S, 1 * S, 1, 0, 0, 0},
    {"an older build", 1 * S, 1 * S, 0, PPS_GOSSIP_LACKS_ENDED_COUNTS, 0, 0},
};

static int sent;

static void
ignore_state(void *user, pps_gossip_state_t *out)
{
}

static void
count_datagram(void *user, const char *address, const pps_buf_t *encoded)
{
    sent += pps_gossip_read_kind(encoded->data, encoded->size) ==
            PPS_GOSSIP_ENDED_COUNT_REPORT;
}

static const pps_gossip_ops_t gossip_ops = {.fill_state = ignore_state};

/* Notes a process that has ended, and when the peer first told. */
static void
add_reports(pps_upstream_state_t *state, pps_gossip_t *gossip,
            const sync_case_t *item, int64_t now_us)
{
    const pps_gossip_ended_count_t ended = {.process = {"127.0.0.3", 1},
                                            .tally.requests = 5};
    const pps_gossip_process_t peer = {"127.0.0.2", 7};
    const pps_gossip_rollout_t told = {0};

    pps_rollout_reports_note_ended(&state->reports, &ended,
                                   now_us - item->ended_us);
    pps_rollout_reports_review(&state->reports, gossip,
                               now_us - item->ended_us);
    if (item->told_us >= 0) {
        pps_rollout_reports_note(&state->reports, &peer, &told,
                                 now_us - item->told_us);
    }
}

/* Guards against a host that starts and is not told what ended processes have
 * counted, and against all counts in each datagram. */
Test(ended_counts, a_peer_is_not_told_what_it_lacks)
{
    static const pps_dispatch_options_t options = {.repeat_window_us = 10 * S};

    for (size_t i = 0; i < sizeof(sync_cases) / sizeof(*sync_cases); i++) {
        const sync_case_t *item = &sync_cases[i];
        pps_gossip_peer_t peer = {.state = {.address = "127.0.0.2",
                                            .incarnation = 7,
                                            .lacks = item->lacks}};
        pps_gossip_rollout_t told = {.has_ended_digest = 1};
        pps_reactor_t reactor;
        pps_dispatcher_t dispatcher;
        pps_gossip_t *gossip;
        pps_upstream_state_t *state;

        cr_assert_eq(pps_reactor_init(&reactor), 0);
        reactor.now_us = 100 * S;
        cr_assert_eq(
            pps_dispatcher_init(&dispatcher, &reactor, &options, NULL, NULL),
            0);
        cr_assert_eq(pps_gossip_new(&gossip, &reactor, "h", "127.0.0.1", "z",
                                    0, &gossip_ops, NULL),
                     0);
        gossip->transmit = count_datagram;
        told.rollout = (pps_rollout_t){.upstream = "s",
                                       .target = "v2",
                                       .state = PPS_ROLLOUT_ACTIVE,
                                       .duration_us = 24 * S};
        pps_rollout_controller_apply_order(&dispatcher, &told.rollout);
        state = pps_dispatcher_upstream(&dispatcher, "s");
        add_reports(state, gossip, item, reactor.now_us);
        if (item->is_same) {
            told.ended_digest = pps_rollout_reports_digest(&state->reports);
        }
        sent = 0;
        for (int asked = 0; asked < ASKED; asked++) {
            pps_ended_counts_sync(&dispatcher, gossip, &peer, &told, 1);
        }
        cr_expect(sent >= item->sent_min && sent <= item->sent_max,
                  "%s: sent %d of %d times", item->name, sent, ASKED);
    }
}
