/** @file test_bills.c @brief Each request is billed once under faults. */
#include "harness_answer.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/** Index of the router that owns the bills. */
#define OWNER 0
#define ANSWER_COUNT 5
#define NO_ROUTER (-1)

static cluster_t *cluster;

/* Returns the owner's partner, the router with copies of its bills. */
static int
find_partner(cluster_t *system)
{
    json_t *status = cluster_status(system, OWNER);
    const char *id = json_string_value(
        json_object_get(json_object_get(status, "bills"), "partner"));
    int index = NO_ROUTER;

    if (id != NULL) {
        sscanf(id, "e%d", &index);
    }
    json_decref(status);
    return index;
}

static int
has_partner(cluster_t *system, void *user)
{
    return find_partner(system) != NO_ROUTER;
}

static void
start_system(int routers, const char *settings)
{
    const cluster_options_t options = {.routers = routers,
                                       .engines = 2,
                                       .services = 1,
                                       .token_us = "500",
                                       .router_settings = settings};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
    if (routers > 1) {
        cr_assert(cluster_wait(cluster, has_partner, NULL));
    }
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

static void
set_log_faults(const char *faults)
{
    cr_assert_eq(cluster_set_faults(cluster->platform, faults), 200);
}

static void
send_chat(answer_call_t *call, int router, const char *id)
{
    *call = (answer_call_t){
        .cluster = cluster,
        .chat = {.router = router, .request_id = id, .stream = 1}};
    answer_call(call);
    answer_clear(call);
}

/* Sends the chats `from` to `to` - 1 and expects complete answers. */
static void
expect_complete(int router, int from, int to)
{
    for (int i = from; i < to; i++) {
        char id[16];
        answer_call_t call;

        snprintf(id, sizeof(id), "r%d", i);
        send_chat(&call, router, id);
        cr_assert_eq(call.result.end, ANSWER_COMPLETE, "%s: %s", id,
                     call.result.code);
    }
}

static void
expect_bills(pps_bill_reading_t *out, uint64_t expected, const char *name)
{
    cr_expect(cluster_wait_bills(cluster, (json_int_t)expected), "%s", name);
    cr_assert_eq(cluster_bills(cluster, out), 0);
    cr_expect_eq(out->bills, expected, "%s: %d bills", name, (int)out->bills);
    cr_expect_eq(out->repeated_request, 0, "%s", name);
    cr_expect_eq(out->corrupt, 0, "%s", name);
}

/** The expected value of a member of `bills` in a router's status. */
typedef struct {
    int router;
    const char *key;
    json_int_t value;
} expected_stat_t;

static json_int_t
bill_stat(cluster_t *system, int router, const char *key)
{
    json_t *status = cluster_status(system, router);
    json_int_t value = json_integer_value(
        json_object_get(json_object_get(status, "bills"), key));

    json_decref(status);
    return value;
}

static int
has_stat(cluster_t *system, void *user)
{
    const expected_stat_t *expected = user;

    return bill_stat(system, expected->router, expected->key) ==
           expected->value;
}

static void
wait_stat(int router, const char *key, json_int_t value)
{
    expected_stat_t expected = {router, key, value};

    cr_assert(cluster_wait(cluster, has_stat, &expected),
              "%s did not become %d", key, (int)value);
}

static void
kill_router(int router)
{
    harness_signal(cluster->routers[router], SIGKILL);
    harness_wait(cluster->routers[router], CLUSTER_WAIT_MS);
}

static int
has_another_partner(cluster_t *system, void *user)
{
    const int *old_partner = user;
    int partner = find_partner(system);

    return partner != NO_ROUTER && partner != *old_partner &&
           bill_stat(system, OWNER, "exposed") == 0;
}

/* Kills the owner's partner and waits until a new one has all copies. */
static void
replace_partner(void)
{
    int old_partner = find_partner(cluster);

    kill_router(old_partner);
    cr_assert(cluster_wait(cluster, has_another_partner, &old_partner));
}

#define LOG_DOWN "{\"log\": \"down\"}"
#define LOG_SILENT "{\"log\": \"silent\"}"
#define DROP_ACKS "{\"drop_acks\": 6}"
#define RESET_FAULTS "{\"reset\": true}"

/** A fault of the log and the crashes that follow the answers. */
typedef struct {
    const char *name;
    const char *faults;  /**< of the platform, set before the chats */
    int partner_crashes; /**< the owner gets a new one before it crashes */
    int restart;         /**< the owner starts again, as a new incarnation */
    int delay_ms;        /**< from the last answer to the owner's crash */
} crash_case_t;

static const crash_case_t crash_cases[] = {
    {"log down", LOG_DOWN, 0, 0, 0},
    {"log silent", LOG_SILENT, 0, 0, 0},
    {"log down, partner crashes first", LOG_DOWN, 1, 0, 0},
    {"log down, owner restarts", LOG_DOWN, 0, 1, 0},
    {"acknowledgements lost", DROP_ACKS, 0, 0, 300},
    {"acknowledgements lost, owner restarts", DROP_ACKS, 0, 1, 1300},
    {"immediate crash", RESET_FAULTS, 0, 0, 0},
    {"immediate crash, owner restarts", RESET_FAULTS, 0, 1, 0},
    {"crash around the append", RESET_FAULTS, 0, 0, 990},
    {"crash after the append", RESET_FAULTS, 0, 0, 1100},
};

#define CRASH_CASES (sizeof(crash_cases) / sizeof(crash_cases[0]))

ParameterizedTestParameters(bills, crashes)
{
    static int indices[CRASH_CASES];

    for (size_t i = 0; i < CRASH_CASES; i++) {
        indices[i] = (int)i;
    }
    return cr_make_param_array(int, indices, CRASH_CASES);
}

ParameterizedTest(int *index, bills, crashes, .fini = tear_down)
{
    const crash_case_t *crash = &crash_cases[*index];
    pps_bill_reading_t reading;

    start_system(3, NULL);
    set_log_faults(crash->faults);
    expect_complete(OWNER, 0, ANSWER_COUNT);
    if (crash->partner_crashes) {
        replace_partner();
    }
    pps_clock_sleep_us(crash->delay_ms * PPS_US_PER_MS);
    kill_router(OWNER);
    if (crash->restart) {
        cr_assert_eq(cluster_start_router(cluster, OWNER), 0);
        cr_assert_eq(cluster_put_hosts(cluster), 0);
    }
    set_log_faults(RESET_FAULTS);
    expect_bills(&reading, ANSWER_COUNT, crash->name);
    if (crash->restart) {
        cr_assert(cluster_wait_serving(cluster, OWNER, 1));
        expect_complete(OWNER, ANSWER_COUNT, 2 * ANSWER_COUNT);
        expect_bills(&reading, 2 * ANSWER_COUNT, crash->name);
    }
}

Test(bills, bills_of_a_frozen_owner_are_counted_once, .fini = tear_down)
{
    pps_bill_reading_t reading;

    start_system(3, NULL);
    set_log_faults(LOG_DOWN);
    expect_complete(OWNER, 0, ANSWER_COUNT);
    harness_signal(cluster->routers[OWNER], SIGSTOP);
    set_log_faults(RESET_FAULTS);
    expect_bills(&reading, ANSWER_COUNT, "frozen");
    harness_signal(cluster->routers[OWNER], SIGCONT);
    wait_stat(OWNER, "own", 0);
    expect_bills(&reading, ANSWER_COUNT, "continued");
    cr_expect_eq(reading.repeated_sequence, ANSWER_COUNT);
}

Test(bills, a_frozen_partner_is_replaced_before_the_answer_ends,
     .fini = tear_down)
{
    pps_bill_reading_t reading;
    int partner;

    start_system(4, NULL);
    set_log_faults(LOG_DOWN);
    partner = find_partner(cluster);
    harness_signal(cluster->routers[partner], SIGSTOP);
    expect_complete(OWNER, 0, ANSWER_COUNT);
    cr_expect_neq(find_partner(cluster), partner);
    kill_router(OWNER);
    set_log_faults(RESET_FAULTS);
    expect_bills(&reading, ANSWER_COUNT, "partner frozen, owner crashed");
}

Test(bills, lost_acknowledgements_duplicate_no_bill, .fini = tear_down)
{
    pps_bill_reading_t reading;

    start_system(3, NULL);
    set_log_faults("{\"drop_acks\": 2}");
    expect_complete(OWNER, 0, ANSWER_COUNT);
    wait_stat(OWNER, "own", 0);
    expect_bills(&reading, ANSWER_COUNT, "lost acknowledgements");
    cr_expect_geq(reading.repeated_sequence, 1);
}

Test(bills, requests_beyond_bills_max_are_not_run, .fini = tear_down)
{
    pps_bill_reading_t reading;
    answer_call_t call;

    start_system(3, "[limits]\nbills_max = 5\n");
    set_log_faults(LOG_DOWN);
    expect_complete(OWNER, 0, ANSWER_COUNT);
    send_chat(&call, OWNER, "refused");
    cr_expect_eq(call.result.end, ANSWER_ERROR);
    cr_expect_str_eq(call.result.code, "not_serving");
    cr_expect_str_eq(call.result.run, "no");
    cr_expect_eq(bill_stat(cluster, OWNER, "own"), ANSWER_COUNT);
    cr_expect_eq(bill_stat(cluster, OWNER, "exposed"), 0);
    set_log_faults(RESET_FAULTS);
    wait_stat(OWNER, "own", 0);
    expect_complete(OWNER, ANSWER_COUNT, ANSWER_COUNT + 1);
    expect_bills(&reading, ANSWER_COUNT + 1, "bills_max reached");
}

static int
is_refused(cluster_t *system, void *user)
{
    answer_call_t *call = user;

    send_chat(call, OWNER, "alone");
    return strcmp(call->result.code, "not_serving") == 0;
}

Test(bills, without_partner_and_log_requests_are_not_run, .fini = tear_down)
{
    pps_bill_reading_t reading;
    answer_call_t call;

    start_system(1, NULL);
    expect_complete(OWNER, 0, 1);
    set_log_faults(LOG_DOWN);
    cr_assert(cluster_wait(cluster, is_refused, &call));
    cr_expect_str_eq(call.result.run, "no");
    set_log_faults(RESET_FAULTS);
    cr_assert(cluster_wait_serving(cluster, OWNER, 1));
    wait_stat(OWNER, "own", 0);
    cr_assert_eq(cluster_bills(cluster, &reading), 0);
    cr_expect_leq(reading.bills, 2);
}

Test(bills, a_request_sent_again_to_another_host_is_billed_once,
     .fini = tear_down)
{
    pps_bill_reading_t reading;

    start_system(3, NULL);
    expect_complete(0, 0, ANSWER_COUNT);
    expect_complete(1, 0, ANSWER_COUNT);
    wait_stat(0, "own", 0);
    wait_stat(1, "own", 0);
    cr_assert_eq(cluster_bills(cluster, &reading), 0);
    cr_expect_eq(reading.bills, ANSWER_COUNT);
    cr_expect_eq(reading.repeated_request, ANSWER_COUNT);
}

/* The partner may have crashed so shortly before the stop that the owner has
 * not detected it. */
static void
stop_in_outage(int partner_crashes)
{
    pps_bill_reading_t reading;

    start_system(3, NULL);
    set_log_faults(LOG_DOWN);
    expect_complete(OWNER, 0, ANSWER_COUNT);
    if (partner_crashes) {
        kill_router(find_partner(cluster));
    }
    harness_signal(cluster->routers[OWNER], SIGTERM);
    cr_expect_eq(harness_wait(cluster->routers[OWNER], CLUSTER_WAIT_MS), 0);
    set_log_faults(RESET_FAULTS);
    expect_bills(&reading, ANSWER_COUNT, "graceful stop");
}

Test(bills, a_graceful_stop_in_an_outage_hands_its_bills_over,
     .fini = tear_down)
{
    stop_in_outage(0);
}

Test(bills, a_graceful_stop_finds_another_partner, .fini = tear_down)
{
    stop_in_outage(1);
}
