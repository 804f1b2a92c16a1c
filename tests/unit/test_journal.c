/** @file test_journal.c @brief Tests claims and pins under log faults. */
#include "fake_log.h"
#include "papayaswitch/journal.h"

#include <criterion/criterion.h>
#include <stdatomic.h>
#include <stdio.h>

#define HOSTS 2
#define THREADS 8
#define WAIT_US (60 * PPS_US_PER_S)
#define POLL_US 1000

static fake_log_t logged;
static pps_journal_t *journals[HOSTS];
static pthread_t control_thread;
static atomic_int control_stop;
static const uint8_t digest[PPS_BODY_DIGEST_SIZE] = {1};

/* Does the work of both hosts' control threads. */
static void
run_control_step(void)
{
    for (int i = 0; i < HOSTS; i++) {
        uint64_t next = pps_journal_next(journals[i]);

        pthread_mutex_lock(&logged.mutex);
        if (next < logged.count) {
            pps_journal_fold(journals[i], &logged.entries[next],
                             logged.count - next);
        }
        pps_journal_on_read(journals[i], 0, logged.count, pps_clock_now_us());
        pthread_mutex_unlock(&logged.mutex);
        pps_journal_tick(journals[i]);
    }
}

static void *
run_control(void *user)
{
    while (!atomic_load(&control_stop)) {
        run_control_step();
        pps_clock_sleep_us(POLL_US);
    }
    return NULL;
}

static void
start(int64_t decision_timeout_us)
{
    static const char *const names[HOSTS] = {"a", "b"};

    fake_log_init(&logged);
    atomic_store(&control_stop, 0);
    for (int i = 0; i < HOSTS; i++) {
        pps_journal_options_t options = PPS_JOURNAL_OPTIONS_INIT;

        options.host = names[i];
        options.decision_timeout_us = decision_timeout_us;
        options.appender.interval_us = POLL_US;
        cr_assert_eq(pps_journal_new(&journals[i], &logged.base, &options), 0);
    }
    pthread_create(&control_thread, NULL, run_control, NULL);
}

static void
stop(void)
{
    atomic_store(&control_stop, 1);
    pthread_join(control_thread, NULL);
    for (int i = 0; i < HOSTS; i++) {
        pps_journal_free(journals[i]);
    }
    fake_log_clear(&logged);
}

static int64_t
deadline(void)
{
    return pps_clock_now_us() + WAIT_US;
}

static int
claim(pps_verdict_t *verdict, int host, const char *key)
{
    return pps_journal_claim(verdict, journals[host], "ministry", key, digest,
                             "r", deadline());
}

static void
finish(int host, const char *key, uint64_t fencing, pps_outcome_state_t state)
{
    pps_outcome_t outcome = {.workspace = "ministry",
                             .claim_offset = fencing,
                             .state = state,
                             .status = 201,
                             .body = "filed",
                             .body_size = 5};

    strcpy(outcome.key, key);
    cr_assert_eq(pps_journal_record_outcome(journals[host], &outcome), 0);
}

static uint64_t
log_head(void)
{
    uint64_t head;

    pthread_mutex_lock(&logged.mutex);
    head = logged.count;
    pthread_mutex_unlock(&logged.mutex);
    return head;
}

static int
is_settled(int host)
{
    return pps_journal_pending_count(journals[host]) == 0 &&
           pps_journal_next(journals[host]) == log_head();
}

/* Waits until every outcome is in the log and both hosts have folded it. */
static void
wait_until_settled(void)
{
    while (!is_settled(0) || !is_settled(1)) {
        pps_clock_sleep_us(POLL_US);
    }
}

/** One of several concurrent callers. */
typedef struct {
    int host;
    const char *key;
    int error;
    pps_verdict_t verdict;
} caller_t;

static void *
call(void *user)
{
    caller_t *caller = user;

    caller->error = claim(&caller->verdict, caller->host, caller->key);
    return NULL;
}

static int
run_callers(const char *key, caller_t callers[THREADS])
{
    pthread_t threads[THREADS];
    int granted = 0;

    for (int i = 0; i < THREADS; i++) {
        callers[i] = (caller_t){.host = i % HOSTS, .key = key};
        pthread_create(&threads[i], NULL, call, &callers[i]);
    }
    for (int i = 0; i < THREADS; i++) {
        pthread_join(threads[i], NULL);
        granted += callers[i].error == 0 &&
                   callers[i].verdict.kind == PPS_VERDICT_GRANTED;
    }
    return granted;
}

Test(journal, at_most_one_of_many_is_granted_under_log_faults)
{
    static const struct {
        fake_log_fault_t fault;
        int granted;
    } cases[] = {
        {FAKE_LOG_NO_FAULT, 1},  {FAKE_LOG_LOST_ACK, 1},
        {FAKE_LOG_DUPLICATE, 1}, {FAKE_LOG_LOST_REQUEST, 0},
        {FAKE_LOG_OUTAGE, 0},
    };
    caller_t callers[THREADS];
    char key[16];

    start(300 * PPS_US_PER_MS);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        fake_log_set_fault(&logged, cases[i].fault);
        snprintf(key, sizeof(key), "k%zu", i);
        cr_expect_eq(run_callers(key, callers), cases[i].granted, "case %zu",
                     i);
        for (int j = 0; j < THREADS; j++) {
            if (cases[i].granted) {
                cr_expect_eq(callers[j].error, 0);
                cr_expect(callers[j].verdict.kind == PPS_VERDICT_GRANTED ||
                          callers[j].verdict.kind == PPS_VERDICT_IN_PROGRESS);
            }
            else {
                cr_expect_eq(callers[j].error,
                             cases[i].fault == FAKE_LOG_OUTAGE
                                 ? PPS_EUNAVAILABLE
                                 : PPS_EUNKNOWN);
            }
        }
    }
    stop();
}

Test(journal, later_callers_receive_the_outcome)
{
    static const struct {
        pps_outcome_state_t state;
        pps_verdict_kind_t kind;
    } cases[] = {
        {PPS_OUTCOME_COMPLETED, PPS_VERDICT_DONE},
        {PPS_OUTCOME_NOT_RUN, PPS_VERDICT_GRANTED},
        {PPS_OUTCOME_UNKNOWN, PPS_VERDICT_UNKNOWN},
    };
    pps_verdict_t verdict;
    char key[16];

    start(WAIT_US);
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        snprintf(key, sizeof(key), "k%zu", i);
        cr_assert_eq(claim(&verdict, 0, key), 0);
        finish(0, key, verdict.fencing, cases[i].state);
        wait_until_settled();
        cr_assert_eq(claim(&verdict, 1, key), 0);
        cr_expect_eq(verdict.kind, cases[i].kind, "case %zu", i);
        if (verdict.kind == PPS_VERDICT_DONE) {
            cr_expect_eq(verdict.status, 201);
            cr_expect_eq(memcmp(verdict.body, "filed", 5), 0);
        }
        pps_verdict_clear(&verdict);
    }
    stop();
}

Test(journal, another_body_under_the_same_key_is_refused)
{
    static const uint8_t other[PPS_BODY_DIGEST_SIZE] = {2};
    pps_verdict_t verdict;

    start(WAIT_US);
    cr_assert_eq(claim(&verdict, 0, "k"), 0);
    cr_assert_eq(pps_journal_claim(&verdict, journals[1], "ministry", "k",
                                   other, "r2", deadline()),
                 0);
    cr_expect_eq(verdict.kind, PPS_VERDICT_MISMATCH);
    stop();
}

/* Guards against a key held forever: the log stores a claim only after its
 * caller was refused with PPS_EUNKNOWN. */
Test(journal, a_claim_that_appears_late_is_released)
{
    pps_claim_t late = {.workspace = "ministry",
                        .key = "k",
                        .host = "a",
                        .incarnation = 1,
                        .attempt = 1,
                        .request_id = "r"};
    pps_verdict_t verdict;
    void *data;
    size_t size;

    start(20 * PPS_US_PER_MS);
    fake_log_set_fault(&logged, FAKE_LOG_LOST_REQUEST);
    cr_assert_eq(claim(&verdict, 0, "k"), PPS_EUNKNOWN);
    fake_log_set_fault(&logged, FAKE_LOG_NO_FAULT);
    cr_assert_eq(pps_claim_encode(&data, &size, &late), 0);
    pthread_mutex_lock(&logged.mutex);
    fake_log_store(&logged, data, size);
    pthread_mutex_unlock(&logged.mutex);
    free(data);
    while (pps_journal_next(journals[1]) < 2) {
        pps_clock_sleep_us(POLL_US);
    }
    wait_until_settled();
    cr_expect_eq(pps_journal_lookup(&verdict, journals[1], "ministry", "k"),
                 PPS_ENOTFOUND);
    stop();
}

Test(journal, an_outcome_is_appended_after_an_outage)
{
    pps_verdict_t verdict;

    start(WAIT_US);
    cr_assert_eq(claim(&verdict, 0, "k"), 0);
    fake_log_set_fault(&logged, FAKE_LOG_OUTAGE);
    finish(0, "k", verdict.fencing, PPS_OUTCOME_COMPLETED);
    pps_clock_sleep_us(20 * POLL_US);
    cr_expect_eq(pps_journal_pending_count(journals[0]), 1);
    fake_log_set_fault(&logged, FAKE_LOG_NO_FAULT);
    wait_until_settled();
    cr_assert_eq(pps_journal_lookup(&verdict, journals[1], "ministry", "k"),
                 0);
    cr_expect_eq(verdict.kind, PPS_VERDICT_DONE);
    pps_verdict_clear(&verdict);
    stop();
}

/** A first request of a session. */
typedef struct {
    int host;
    int error;
    char version[PPS_NAME_MAX + 1];
} pinner_t;

static void *
pin(void *user)
{
    pinner_t *pinner = user;

    pinner->error = pps_journal_pin(pinner->version, journals[pinner->host],
                                    "ministry", "s", 600, deadline());
    return NULL;
}

Test(journal, two_first_requests_get_one_pin)
{
    pinner_t pinners[HOSTS] = {{0, 0, "v1"}, {1, 0, "v2"}};
    pthread_t threads[HOSTS];
    char version[PPS_NAME_MAX + 1] = "v3";

    start(WAIT_US);
    for (int i = 0; i < HOSTS; i++) {
        pthread_create(&threads[i], NULL, pin, &pinners[i]);
    }
    for (int i = 0; i < HOSTS; i++) {
        pthread_join(threads[i], NULL);
        cr_expect_eq(pinners[i].error, 0);
    }
    cr_expect_str_eq(pinners[0].version, pinners[1].version);
    cr_expect_eq(pps_journal_pin(version, journals[0], "ministry", "s", 600,
                                 deadline()),
                 0);
    cr_expect_str_eq(version, pinners[0].version);
    cr_expect_eq(pps_journal_touch(journals[0], "ministry", "s"), 0);
    cr_expect_eq(pps_journal_touch(journals[0], "ministry", "none"),
                 PPS_ENOTFOUND);
    stop();
}

/** Verdict on another host for a claim of incarnation 1 of host "a". */
typedef struct {
    const char *name;
    pps_journal_host_t hosts[2];
    size_t count;
    pps_verdict_kind_t kind;
} present_case_t;

Test(journal, a_claim_of_an_absent_host_is_reported_unknown)
{
    static const present_case_t cases[] = {
        {"present", {{"b", 1}, {"a", 1}}, 2, PPS_VERDICT_IN_PROGRESS},
        {"no incarnation reported", {{"a", 0}}, 1, PPS_VERDICT_IN_PROGRESS},
        {"restarted", {{"a", 2}, {"b", 1}}, 2, PPS_VERDICT_UNKNOWN},
        {"not listed", {{"b", 1}}, 1, PPS_VERDICT_UNKNOWN},
    };
    pps_verdict_t verdict;

    start(WAIT_US);
    cr_assert_eq(claim(&verdict, 0, "k"), 0);
    wait_until_settled();
    for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
        cr_assert_eq(pps_journal_set_present_hosts(journals[1], cases[i].hosts,
                                                   cases[i].count),
                     0);
        cr_assert_eq(claim(&verdict, 1, "k"), 0);
        cr_expect_eq(verdict.kind, cases[i].kind, "%s", cases[i].name);
    }
    cr_assert_eq(claim(&verdict, 0, "k"), 0);
    cr_expect_eq(verdict.kind, PPS_VERDICT_IN_PROGRESS, "the holder itself");
    stop();
}

Test(journal, touches_of_a_session_are_rate_limited)
{
    char version[PPS_NAME_MAX + 1] = "v1";
    uint64_t head;

    start(WAIT_US);
    cr_assert_eq(pps_journal_pin(version, journals[0], "ministry", "s", 600,
                                 deadline()),
                 0);
    head = log_head();
    cr_assert_eq(pps_journal_touch(journals[0], "ministry", "s"), 0);
    while (log_head() == head) {
        pps_clock_sleep_us(POLL_US);
    }
    for (int i = 0; i < 20; i++) {
        pps_journal_touch(journals[0], "ministry", "s");
        pps_clock_sleep_us(POLL_US);
    }
    cr_expect_eq(log_head(), head + 1);
    stop();
}
