/** @file test_sessions.c @brief Tests that a session keeps its version. */
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

/* New sessions of `office` get this version with the given exposure. */
#define CHEAPER_VERSION_NOTE                                                  \
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

/** A request of a session and its result. */
typedef struct {
    cluster_chat_t chat;
    int status;
    char code[NAME_BYTES];
    char run[NAME_BYTES];
    char version[NAME_BYTES];
    char token[TOKEN_BYTES];
    int has_retry_after;
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

/* Returns 0 when the host responded `not_serving`. */
static int
send_turn(cluster_t *system, void *user)
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
    turn->has_retry_after = text[0] != '\0';
    harness_reply_clear(&reply);
    return strcmp(turn->code, "not_serving") != 0;
}

/* Repeats the request while the host responds that it starts no work. */
static void
send_until_serving(turn_t *turn, int router, const char *session,
                   const char *token)
{
    memset(turn, 0, sizeof(*turn));
    turn->chat.router = router;
    turn->chat.session = session;
    turn->chat.token = token;
    cr_assert(cluster_wait(cluster, send_turn, turn));
}

static int
send_turn_and_check_log(cluster_t *system, void *user)
{
    const turn_t *turn = user;

    return send_turn(system, user) &&
           strcmp(turn->code, "log_unavailable") != 0;
}

/* Repeats the request until the log is available again. */
static void
send_until_log_available(turn_t *turn, int router, const char *session)
{
    memset(turn, 0, sizeof(*turn));
    turn->chat.router = router;
    turn->chat.session = session;
    cr_assert(cluster_wait(cluster, send_turn_and_check_log, turn));
}

static void
expect_version(int router, const char *session, const char *token,
               const char *version)
{
    turn_t turn;

    send_until_serving(&turn, router, session, token);
    cr_expect_eq(turn.status, 200, "%s at %d: %s", session, router, turn.code);
    cr_expect_str_eq(turn.version, version, "%s at %d: %s", session, router,
                     turn.version);
}

/* Returns how many generations the engines have started. */
static json_int_t
count_started(void)
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
    int is_temporary = strcmp(code, "version_withdrawn") != 0;
    json_int_t before = count_started();
    turn_t turn;

    send_until_serving(&turn, router, session, token);
    cr_expect_str_eq(turn.code, code, "%s at %d: %s %s", session, router,
                     turn.code, turn.version);
    cr_expect(strcmp(turn.run, "no") == 0 &&
                  turn.has_retry_after == is_temporary &&
                  count_started() == before,
              "%s at %d", session, router);
}

static void
roll_out(const char *exposure, const char *extra_lines)
{
    char body[512];

    snprintf(body, sizeof(body), CHEAPER_VERSION_NOTE, exposure, extra_lines);
    cr_assert_eq(cluster_publish(cluster, "cheaper", body, "in_force"), 0);
}

static void *
run_turn(void *user)
{
    send_turn(cluster, user);
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

/** A fault of the log and the error code that a first request gets. */
typedef struct {
    const char *session;
    const char *fault;
    const char *code; /* "": success */
} log_case_t;

static const log_case_t log_cases[] = {
    {"lost", "{\"drop_acks\": 3}", ""},
    {"late", "{\"log\": \"slow\", \"slow_ms\": 150}", ""},
    {"slow", "{\"log\": \"slow\", \"slow_ms\": 1500}", "log_unavailable"},
    {"down", "{\"log\": \"down\"}", "log_unavailable"},
};

/* A pin that was written remains valid although its request was refused. */
Test(sessions, a_first_request_during_a_log_fault_pins_one_version)
{
    roll_out("0.5", "");
    for (size_t i = 0; i < sizeof(log_cases) / sizeof(log_cases[0]); i++) {
        const log_case_t *log_case = &log_cases[i];
        turn_t first;
        turn_t turn;

        cluster_set_faults(cluster->platform, log_case->fault);
        send_until_serving(&first, 0, log_case->session, NULL);
        cr_expect_str_eq(first.code, log_case->code, "%s: %s",
                         log_case->session, first.code);
        cluster_set_faults(cluster->platform, "{\"reset\": true}");
        send_until_log_available(&turn, 1, log_case->session);
        cr_expect(log_case->code[0] ||
                  strcmp(first.version, turn.version) == 0);
        expect_version(2, log_case->session, NULL, turn.version);
        expect_version(0, log_case->session, NULL, turn.version);
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

Test(sessions, a_pin_survives_the_restart_of_its_host)
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

Test(sessions, a_pin_lasts_until_its_version_is_withdrawn)
{
    const char *retire = "[version drafting/small-1]\nstate = retiring\n";
    const char *withdraw = "[version drafting/small-1]\nstate = withdrawn\n";
    turn_t first;

    send_until_serving(&first, 0, "s", NULL);
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

/* Any change must invalidate the token, also if it can still be decoded. */
static void
expect_altered_refused(int router, const char *session, const char *token)
{
    for (size_t position = 1; position < strlen(token); position += 3) {
        char altered[TOKEN_BYTES];

        snprintf(altered, sizeof(altered), "%s", token);
        altered[position] = altered[position] == 'A' ? 'B' : 'A';
        expect_refused(router, session, altered, "log_unavailable");
    }
}

/* Router 1 restarts during the outage and has read nothing of the log. */
Test(sessions, tokens_carry_the_pin_during_a_log_outage)
{
    turn_t first;
    turn_t other = {.chat = {.key = "ministry-key", .session = "s"}};

    send_until_serving(&first, 0, "s", NULL);
    cr_assert(send_turn(cluster, &other));
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

#define STEP_INTERVAL_US (100 * PPS_US_PER_MS)
#define BUSY_SESSION_COUNT 10
/* 1.8 s between two uses of a busy session, below its session_idle_s. */
#define IDLE_STEP_COUNT 18

static void
run_step(int step)
{
    char name[NAME_BYTES];

    if (step < 2 * BUSY_SESSION_COUNT && step % 2 == 0) {
        snprintf(name, sizeof(name), "busy-%d", step / 2);
        expect_version(0, name, NULL, "drafting/small-1");
    }
    if (step >= IDLE_STEP_COUNT && step % 2 == 0) {
        snprintf(name, sizeof(name), "other-%d", step);
        expect_version(0, name, NULL, "drafting/small-2");
        snprintf(name, sizeof(name), "busy-%d", (step - IDLE_STEP_COUNT) / 2);
        expect_version(0, name, NULL, "drafting/small-1");
    }
}

static void
use_busy_sessions(void)
{
    char name[NAME_BYTES];

    for (int i = 0; i < BUSY_SESSION_COUNT; i++) {
        snprintf(name, sizeof(name), "busy-%d", i);
        expect_version(0, name, NULL, "drafting/small-1");
    }
}

/* Uses are written to the log at intervals. Wherever the last use falls
 * between two writes, a session unused for less than its idle time is kept.
 * Pins of other sessions advance the log's time. */
Test(sessions, a_pin_expires_after_its_idle_time_and_not_before)
{
    const char *idle = "[workspace office]\nsession_idle_s = 2\n";
    int64_t start_us;

    cr_assert_eq(cluster_publish(cluster, "idle", idle, "in_force"), 0);
    expect_version(0, "idle", NULL, "drafting/small-1");
    use_busy_sessions();
    roll_out("1", "");
    use_busy_sessions();
    start_us = pps_clock_now_us();
    for (int step = 0; step < IDLE_STEP_COUNT + 2 * BUSY_SESSION_COUNT;
         step++) {
        pps_clock_sleep_us(start_us + step * STEP_INTERVAL_US -
                           pps_clock_now_us());
        run_step(step);
    }
    pps_clock_sleep_us(start_us + 60 * STEP_INTERVAL_US - pps_clock_now_us());
    expect_version(1, "last", NULL, "drafting/small-2");
    expect_version(2, "idle", NULL, "drafting/small-2");
}
