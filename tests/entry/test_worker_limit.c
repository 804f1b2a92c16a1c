/** @file test_worker_limit.c @brief Plays many hosts that share the limit of
 * one worker, on a simulated clock. */
#include "clock.h"
#include "pool/worker_limit.h"
#include "rng.h"

#include <criterion/criterion.h>
#include <string.h>

#define HOSTS_MAX 300
#define DOMAINS 4
#define FULL_MESH_HOSTS 13
#define SENDS_MAX 65536
#define REPORTS_MAX 4096
#define SEEDS 3
#define S PPS_US_PER_S
#define MS PPS_US_PER_MS
#define STEP_US (10 * MS)
#define NAMED_US (2 * S)
#define END_US (40 * S)
#define ANSWER_US (50 * MS)
#define REPORT_US (20 * MS)
#define REPORT_PERIOD_US (1 * S)
#define LIVENESS_US (3500 * MS)
#define WINDOW_US (4 * S)
#define STABILITY_US (3 * S)
/** A host's requests count from this time after it was told itself. */
#define TOLD_US (500 * MS)

typedef struct {
    const char *name;
    unsigned int hosts;
    double per_s;
    double demand;         /* requests a second of each host */
    int64_t restart_every; /* some host, 0: never */
    int is_cut;            /* a third of the hosts, from the others */
} share_case_t;

typedef struct {
    pps_worker_limit_t limit;
    int64_t told_us;       /* by an answer to itself; 0: never */
    int64_t excused_until; /* it was restarted or cut */
    int64_t up_since;
    int64_t reported_us;
    int64_t answer_us; /* when its next answer comes; 0: none under way */
    double due;        /* requests that wait for it */
} play_host_t;

typedef struct {
    int64_t at_us;
    unsigned int from;
} play_report_t;

static struct {
    pps_rng_t rng;
    play_host_t hosts[HOSTS_MAX];
    int64_t sends[SENDS_MAX]; /* times of those that count */
    size_t send_count;
    unsigned int all_sends;
    play_report_t reports[REPORTS_MAX];
    size_t report_count;
    double worst; /* counted requests in a window, per request allowed */
} play;

static int
is_cut_off(const share_case_t *item, unsigned int host, int64_t now_us)
{
    return item->is_cut && host % 3 == 0 && now_us >= 8 * S && now_us < 14 * S;
}

static int
sees(const share_case_t *item, unsigned int host, unsigned int other,
     int64_t now_us)
{
    int64_t heard_us =
        is_cut_off(item, host, now_us) != is_cut_off(item, other, now_us)
            ? 8 * S
            : now_us;

    return now_us - heard_us < LIVENESS_US &&
           now_us - play.hosts[other].up_since >= 0;
}

static pps_limit_share_t
share_of(const share_case_t *item, unsigned int host, int64_t now_us)
{
    unsigned int candidates = 0;
    unsigned int before = 0;
    int is_mesh = item->hosts <= FULL_MESH_HOSTS;
    pps_limit_share_t share;

    for (unsigned int i = 0; i < item->hosts; i++) {
        if ((is_mesh || i % DOMAINS == 0) &&
            (i == host || sees(item, host, i, now_us))) {
            candidates++;
            before += i < host;
        }
    }
    share.senders =
        pps_worker_limit_count_senders(&play.hosts[host].limit, candidates);
    share.is_sender =
        (is_mesh || host % DOMAINS == 0) && before < share.senders;
    return share;
}

static void
count_send(const share_case_t *item, const play_host_t *host, int64_t now_us)
{
    unsigned int recent = 0;
    double allowed = item->per_s * 1.5 * WINDOW_US / S + 5;

    play.all_sends++;
    if (host->told_us == 0 || now_us - host->told_us < TOLD_US ||
        now_us < host->excused_until) {
        return;
    }
    cr_assert_lt(play.send_count, SENDS_MAX);
    play.sends[play.send_count++] = now_us;
    for (size_t i = play.send_count;
         i > 0 && play.sends[i - 1] > now_us - WINDOW_US; i--) {
        recent++;
    }
    if (now_us >= NAMED_US + STABILITY_US && recent / allowed > play.worst) {
        play.worst = recent / allowed;
    }
}

static void
receive_answer(const share_case_t *item, unsigned int index, int64_t now_us)
{
    play_host_t *host = &play.hosts[index];
    int is_changed;

    host->answer_us = 0;
    if (now_us < NAMED_US) {
        return;
    }
    is_changed = pps_worker_limit_name(&host->limit, item->per_s, now_us);
    host->told_us = host->told_us == 0 ? now_us : host->told_us;
    if (is_changed || now_us - host->reported_us >= REPORT_PERIOD_US) {
        host->reported_us = now_us;
        cr_assert_lt(play.report_count, REPORTS_MAX);
        play.reports[play.report_count++] =
            (play_report_t){now_us + REPORT_US, index};
    }
}

static void
step_host(const share_case_t *item, unsigned int index, int64_t now_us)
{
    play_host_t *host = &play.hosts[index];
    pps_limit_share_t share;

    host->due += item->demand * STEP_US / S;
    if (host->due > 20) {
        host->due = 20;
    }
    if (host->answer_us != 0 && now_us >= host->answer_us) {
        receive_answer(item, index, now_us);
    }
    share = share_of(item, index, now_us);
    while (host->due >= 1 &&
           pps_worker_limit_wait_us(&host->limit, &share, now_us) == 0) {
        host->due -= 1;
        pps_worker_limit_take(&host->limit);
        count_send(item, host, now_us);
        host->answer_us =
            host->answer_us ? host->answer_us : now_us + ANSWER_US;
    }
}

static void
deliver_reports(const share_case_t *item, int64_t now_us)
{
    size_t kept = 0;

    for (size_t i = 0; i < play.report_count; i++) {
        const play_report_t report = play.reports[i];

        if (report.at_us > now_us) {
            play.reports[kept++] = report;
            continue;
        }
        for (unsigned int host = 0; host < item->hosts; host++) {
            if (is_cut_off(item, host, now_us) ==
                    is_cut_off(item, report.from, now_us) &&
                pps_rng_unit(&play.rng) > 0.1) {
                pps_worker_limit_name(&play.hosts[host].limit, item->per_s,
                                      now_us);
            }
        }
    }
    play.report_count = kept;
}

static void
disturb(const share_case_t *item, int64_t now_us)
{
    unsigned int index = (unsigned int)pps_rng_below(&play.rng, item->hosts);

    for (unsigned int i = 0; i < item->hosts; i++) {
        if (is_cut_off(item, i, now_us)) {
            play.hosts[i].excused_until = now_us + STABILITY_US;
        }
    }
    if (item->restart_every > 0 && now_us % item->restart_every == 0) {
        play.hosts[index] = (play_host_t){
            .up_since = now_us + S, .excused_until = now_us + STABILITY_US};
    }
}

static void
run_play(const share_case_t *item, uint64_t seed)
{
    memset(&play, 0, sizeof(play));
    pps_rng_init(&play.rng, seed);
    for (int64_t now = 0; now < END_US; now += STEP_US) {
        disturb(item, now);
        deliver_reports(item, now);
        for (unsigned int i = 0; i < item->hosts; i++) {
            if (now >= play.hosts[i].up_since) {
                step_host(item, i, now);
            }
        }
    }
}

static const share_case_t shares[] = {
    {"two hosts", 2, 1, 10, 0, 0},
    {"six hosts, 1 a second", 6, 1, 3, 0, 0},
    {"six hosts, 1.3 a second", 6, 1.3, 3, 0, 0},
    {"six hosts, half a second", 6, 0.5, 3, 0, 0},
    {"six hosts, 40 a second", 6, 40, 30, 0, 0},
    {"95 hosts, 1 a second", 95, 1, 1, 0, 0},
    {"95 hosts, 8 a second", 95, 8, 1, 0, 0},
    {"300 hosts, 1.5 a second", 300, 1.5, 0.5, 0, 0},
    {"300 hosts, 60 a second", 300, 60, 1, 0, 0},
    {"six hosts, restarted", 6, 2, 3, S, 0},
    {"95 hosts, restarted", 95, 2, 1, S / 2, 0},
    {"six hosts, cut", 6, 2, 3, 0, 1},
    {"300 hosts, cut and restarted", 300, 4, 0.5, S / 2, 1},
};

Test(worker_limit, all_hosts_together_send_more_than_the_limit)
{
    for (size_t i = 0; i < sizeof(shares) / sizeof(*shares); i++) {
        for (uint64_t seed = 1; seed <= SEEDS; seed++) {
            run_play(&shares[i], seed);
            cr_expect(play.worst <= 1, "%s, seed %d: %.2f of what is allowed",
                      shares[i].name, (int)seed, play.worst);
        }
    }
}

/* The limit is there to be used: callers are not to be refused for it while
 * the worker would take them. */
Test(worker_limit, hosts_use_the_limit)
{
    for (size_t i = 0; i < sizeof(shares) / sizeof(*shares); i++) {
        double named_s = (double)(END_US - NAMED_US) / S;

        if (shares[i].restart_every == 0 && !shares[i].is_cut) {
            run_play(&shares[i], 1);
            cr_expect(play.all_sends >= shares[i].per_s * named_s * 0.6,
                      "%s: %u in %.0f s", shares[i].name, play.all_sends,
                      named_s);
        }
    }
}

Test(worker_limit, answer_sent_for_before_the_limit_does_not_end_it)
{
    pps_worker_limit_t limit = {0};

    cr_expect_eq(pps_worker_limit_name(&limit, 2, 5 * S), 1);
    cr_expect_eq(pps_worker_limit_name(&limit, 2, 6 * S), 0);
    cr_expect_eq(pps_worker_limit_end(&limit, 5 * S), 0);
    cr_expect(limit.is_named);
    cr_expect_eq(pps_worker_limit_end(&limit, 6 * S + 1), 1);
    cr_expect_not(limit.is_named);
}

Test(worker_limit, worker_that_takes_nothing_is_asked_now_and_then)
{
    const pps_limit_share_t alone = {1, 1};
    pps_worker_limit_t limit = {0};

    pps_worker_limit_name(&limit, 0, S);
    cr_expect_gt(pps_worker_limit_wait_us(&limit, &alone, S), 10 * S);
    cr_expect_lt(pps_worker_limit_wait_us(&limit, &alone, S), 60 * S);
    cr_expect_eq(pps_worker_limit_wait_us(&limit, &alone, 60 * S), 0);
}
