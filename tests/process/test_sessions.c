/** @file test_sessions.c @brief One version from first to last request. */
#include "clock.h"
#include "harness_cluster.h"

#include <criterion/criterion.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ROUTERS 3
#define NAME_BYTES 64
#define TOKEN_BYTES 1100

/* A version that a new session of `office` gets, always or half the time. */
#define CHEAPER                                                               \
    "[version drafting/small-2]\nupstream = drafting\ncost = 0.05\n"          \
    "quality = 0.9\nexposure = %s\n"                                          \
    "[workspace office]\nallow+ = drafting/small-2\n%s"

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

TestSuite(sessions, .init = set_up, .fini = tear_down);

/** A request of a session and what came of it. */
typedef struct {
    cluster_chat_t chat;
    int status;
    char code[NAME_BYTES];
    char run[NAME_BYTES];
    char version[NAME_BYTES];
    char token[TOKEN_BYTES];
    int retry_after;
    pthread_t thread;
} turn_t;

static void
copy_header(char *out, size_t size, const harness_reply_t *reply,
            const char *name)
{
    char *value = cluster_header(reply, name);

    snprintf(out, size, "%s", value ? value : "");
    free(value);
}

static int
holds_answered(cluster_t *system, void *user)
{
    turn_t *turn = user;
    char text[NAME_BYTES];
    harness_reply_t reply;

    cluster_chat(&reply, system, &turn->chat);
    turn->status = reply.status;
    snprintf(turn->code, NAME_BYTES, "%s", cluster_error_code(&reply));
    snprintf(turn->run, NAME_BYTES, "%s", cluster_error_run(&reply));
    copy_header(turn->version, NAME_BYTES, &reply, "X-Model-Version");
    copy_header(turn->token, TOKEN_BYTES, &reply, "X-Session-Token");
    copy_header(text, sizeof(text), &reply, "Retry-After");
    turn->retry_after = text[0] != '\0';
    harness_reply_clear(&reply);
    return strcmp(turn->code, "not_serving") != 0;
}

/* Another host is asked while one says that it starts no work now. */
static void
take_turn(turn_t *turn, int router, const char *session, const char *token)
{
    memset(turn, 0, sizeof(*turn));
    turn->chat.router = router;
    turn->chat.session = session;
    turn->chat.token = token;
    cr_assert(cluster_wait(cluster, holds_answered, turn));
}

static int
holds_settled(cluster_t *system, void *user)
{
    const turn_t *turn = user;

    return holds_answered(system, user) &&
           strcmp(turn->code, "log_unavailable") != 0;
}

/* Asks until the log is there again. */
static void
take_settled(turn_t *turn, int router, const char *session)
{
    memset(turn, 0, sizeof(*turn));
    turn->chat.router = router;
    turn->chat.session = session;
    cr_assert(cluster_wait(cluster, holds_settled, turn));
}

static void
expect_version(int router, const char *session, const char *token,
               const char *version)
{
    turn_t turn;

    take_turn(&turn, router, session, token);
    cr_expect_eq(turn.status, 200, "%s at %d: %s", session, router, turn.code);
    cr_expect_str_eq(turn.version, version, "%s at %d: %s", session, router,
                     turn.version);
}

/* Generations that the engines have started so far. */
static json_int_t
started(void)
{
    json_int_t sum = 0;

    for (int i = 0; i < cluster->options.engines; i++) {
        harness_reply_t reply;
        const char *version;
        json_t *count;

        harness_json(&reply, "GET", cluster->engines[i]->port, "/runs", NULL);
        json_object_foreach(json_object_get(reply.json, "started_by_version"),
                            version, count)
        {
            sum += json_integer_value(count);
        }
        harness_reply_clear(&reply);
    }
    return sum;
}

static void
expect_refused(int router, const char *session, const char *token,
               const char *code)
{
    int may_pass = strcmp(code, "version_withdrawn") != 0;
    json_int_t before = started();
    turn_t turn;

    take_turn(&turn, router, session, token);
    cr_expect_str_eq(turn.code, code, "%s at %d: %s %s", session, router,
                     turn.code, turn.version);
    cr_expect(strcmp(turn.run, "no") == 0 && turn.retry_after == may_pass &&
                  started() == before,
              "%s at %d", session, router);
}

static void
roll_out(const char *exposure, const char *more)
{
    char body[512];

    snprintf(body, sizeof(body), CHEAPER, exposure, more);
    cr_assert_eq(cluster_publish(cluster, "cheaper", body, "in_force"), 0);
}

static void *
run_turn(void *user)
{
    holds_answered(cluster, user);
    return NULL;
}

Test(sessions, concurrent_first_requests_get_one_version)
{
    roll_out("0.5", "");
    for (int round = 0; round < 12; round++) {
        turn_t turns[2 * ROUTERS];
        char session[16];

        snprintf(session, sizeof(session), "race-%d", round);
        for (int i = 0; i < 2 * ROUTERS; i++) {
            memset(&turns[i], 0, sizeof(turns[i]));
            turns[i].chat.router = i % ROUTERS;
            turns[i].chat.session = session;
            pthread_create(&turns[i].thread, NULL, run_turn, &turns[i]);
        }
        for (int i = 0; i < 2 * ROUTERS; i++) {
            pthread_join(turns[i].thread, NULL);
            cr_expect_eq(turns[i].status, 200, "%s", turns[i].code);
            cr_expect_str_eq(turns[i].version, turns[0].version, "%s",
                             session);
        }
        expect_version(round % ROUTERS, session, NULL, turns[0].version);
    }
}

/** A fault of the log and what a first request is told under it. */
typedef struct {
    const char *session;
    const char *fault;
    const char *code; /* "": answered */
} log_case_t;

static const log_case_t log_cases[] = {
    {"lost", "{\"drop_acks\": 3}", ""},
    {"late", "{\"log\": \"slow\", \"slow_ms\": 150}", ""},
    {"slow", "{\"log\": \"slow\", \"slow_ms\": 1500}", "log_unavailable"},
    {"down", "{\"log\": \"down\"}", "log_unavailable"},
};

/* A pin that was written although its request was refused still counts. */
Test(sessions, a_first_request_under_a_fault_of_the_log_pins_one_version)
{
    roll_out("0.5", "");
    for (size_t i = 0; i < sizeof(log_cases) / sizeof(log_cases[0]); i++) {
        const log_case_t *c = &log_cases[i];
        turn_t first;
        turn_t turn;

        cluster_set_faults(cluster->platform, c->fault);
        take_turn(&first, 0, c->session, NULL);
        cr_expect_str_eq(first.code, c->code, "%s: %s", c->session,
                         first.code);
        cluster_set_faults(cluster->platform, "{\"reset\": true}");
        take_settled(&turn, 1, c->session);
        cr_expect(c->code[0] || strcmp(first.version, turn.version) == 0);
        expect_version(2, c->session, NULL, turn.version);
        expect_version(0, c->session, NULL, turn.version);
    }
}

static void
kill_router(int router)
{
    harness_signal(cluster->routers[router], SIGKILL);
    harness_wait(cluster->routers[router], CLUSTER_WAIT_MS);
}

static void
start_router(int router)
{
    cr_assert_gt(cluster_start_router(cluster, router), -1);
    cluster_put_hosts(cluster);
    cr_assert(cluster_wait_serving(cluster, router, 1));
}

Test(sessions, the_host_that_pinned_is_lost_and_comes_back)
{
    expect_version(0, "s", NULL, "drafting/small-1");
    kill_router(0);
    roll_out("1", "");
    expect_version(1, "s", NULL, "drafting/small-1");
    expect_version(2, "s", NULL, "drafting/small-1");
    start_router(0);
    expect_version(0, "new", NULL, "drafting/small-2");
    expect_version(0, "s", NULL, "drafting/small-1");
}

Test(sessions, a_roll_out_a_retirement_and_a_withdrawal_in_between)
{
    const char *retire = "[version drafting/small-1]\nstate = retiring\n";
    const char *withdraw = "[version drafting/small-1]\nstate = withdrawn\n";
    turn_t first;

    take_turn(&first, 0, "s", NULL);
    cr_assert_str_eq(first.version, "drafting/small-1");
    roll_out("1", "");
    for (int i = 0; i < ROUTERS; i++) {
        expect_version(i, "s", NULL, "drafting/small-1");
    }
    expect_version(1, "rolled-out", NULL, "drafting/small-2");
    cr_assert_eq(cluster_publish(cluster, "retire", retire, "in_force"), 0);
    for (int i = 0; i < ROUTERS; i++) {
        expect_version(i, "s", NULL, "drafting/small-1");
    }
    expect_version(2, "retired", NULL, "drafting/small-2");
    cr_assert_eq(cluster_publish(cluster, "withdraw", withdraw, "in_force"),
                 0);
    for (int i = 0; i < ROUTERS; i++) {
        expect_refused(i, "s", NULL, "version_withdrawn");
        expect_refused(i, "s", first.token, "version_withdrawn");
        expect_version(i, "rolled-out", NULL, "drafting/small-2");
    }
}

/* A change anywhere counts, also where the rest would still be readable. */
static void
expect_altered_refused(int router, const char *session, const char *token)
{
    for (size_t place = 1; place < strlen(token); place += 3) {
        char altered[TOKEN_BYTES];

        snprintf(altered, sizeof(altered), "%s", token);
        altered[place] = altered[place] == 'A' ? 'B' : 'A';
        expect_refused(router, session, altered, "log_unavailable");
    }
}

Test(sessions, a_log_outage_and_a_host_that_has_read_nothing)
{
    turn_t first;
    turn_t other = {.chat = {.key = "ministry-key", .session = "s"}};

    take_turn(&first, 0, "s", NULL);
    cr_assert(holds_answered(cluster, &other));
    roll_out("1", "");
    cluster_set_faults(cluster->platform, "{\"log\": \"down\"}");
    kill_router(1);
    start_router(1);
    for (int i = 0; i < ROUTERS; i++) {
        expect_version(i, "s", first.token, "drafting/small-1");
        expect_refused(i, "new", NULL, "log_unavailable");
        expect_refused(i, "new", first.token, "log_unavailable");
    }
    expect_refused(1, "s", NULL, "log_unavailable");
    expect_altered_refused(1, "s", first.token);
    expect_refused(1, "s", other.token, "log_unavailable");
    cluster_set_faults(cluster->platform, "{\"reset\": true}");
    for (int i = 0; i < ROUTERS; i++) {
        expect_version(i, "s", other.token, "drafting/small-1");
        expect_version(i, "new", NULL, "drafting/small-2");
    }
}

#define STEP_US (100 * PPS_US_PER_MS)
#define BUSY 10
#define IDLE_STEPS 18

static void
expect_step(int step)
{
    char name[NAME_BYTES];

    if (step < 2 * BUSY && step % 2 == 0) {
        snprintf(name, sizeof(name), "busy-%d", step / 2);
        expect_version(0, name, NULL, "drafting/small-1");
    }
    if (step >= IDLE_STEPS && step % 2 == 0) {
        snprintf(name, sizeof(name), "other-%d", step);
        expect_version(0, name, NULL, "drafting/small-2");
        snprintf(name, sizeof(name), "busy-%d", (step - IDLE_STEPS) / 2);
        expect_version(0, name, NULL, "drafting/small-1");
    }
}

static void
use_all(void)
{
    char name[NAME_BYTES];

    for (int i = 0; i < BUSY; i++) {
        snprintf(name, sizeof(name), "busy-%d", i);
        expect_version(0, name, NULL, "drafting/small-1");
    }
}

/* Uses are written to the log coarsely: whatever their place between two
 * writes, a session unused for less than its idle time is kept. Other
 * sessions' pins let the log's time go on. */
Test(sessions, a_pin_ends_by_idle_time_and_not_before)
{
    const char *idle = "[workspace office]\nsession_idle_s = 2\n";
    int64_t start_us;

    cr_assert_eq(cluster_publish(cluster, "idle", idle, "in_force"), 0);
    expect_version(0, "idle", NULL, "drafting/small-1");
    use_all();
    roll_out("1", "");
    use_all();
    start_us = pps_clock_now_us();
    for (int step = 0; step < IDLE_STEPS + 2 * BUSY; step++) {
        pps_clock_sleep_us(start_us + step * STEP_US - pps_clock_now_us());
        expect_step(step);
    }
    pps_clock_sleep_us(start_us + 60 * STEP_US - pps_clock_now_us());
    expect_version(1, "last", NULL, "drafting/small-2");
    expect_version(2, "idle", NULL, "drafting/small-2");
}
