/** @file test_bills.c @brief Each request is billed once, under failure. */
#include "harness_answer.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#define OWNER 0
#define ANSWERS 5
#define NONE (-1)

static cluster_t *cluster;

/* The index of the router that holds the owner's copies, or NONE. */
static int
find_partner(cluster_t *at)
{
    json_t *status = cluster_status(at, OWNER);
    const char *id = json_string_value(
        json_object_get(json_object_get(status, "bills"), "partner"));
    int index = NONE;

    if (id != NULL) {
        sscanf(id, "e%d", &index);
    }
    json_decref(status);
    return index;
}

static int
has_partner(cluster_t *at, void *user)
{
    return find_partner(at) != NONE;
}

static void
start(int routers, const char *settings)
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
fault_log(const char *faults)
{
    cr_assert_eq(cluster_set_faults(cluster->platform, faults), 200);
}

static void
ask(answer_call_t *call, int router, const char *id)
{
    *call = (answer_call_t){
        .cluster = cluster,
        .chat = {.router = router, .request_id = id, .stream = 1}};
    answer_call(call);
    answer_clear(call);
}

/* Answers `from` to `to`, all of which must be whole. */
static void
ask_whole(int router, int from, int to)
{
    for (int i = from; i < to; i++) {
        char id[16];
        answer_call_t call;

        snprintf(id, sizeof(id), "r%d", i);
        ask(&call, router, id);
        cr_assert_eq(call.result.end, ANSWER_COMPLETE, "%s: %s", id,
                     call.result.code);
    }
}

static void
expect_bills(pps_bill_reading_t *out, uint64_t wanted, const char *name)
{
    cr_expect(cluster_wait_bills(cluster, (json_int_t)wanted), "%s", name);
    cr_assert_eq(cluster_bills(cluster, out), 0);
    cr_expect_eq(out->bills, wanted, "%s: %d bills", name, (int)out->bills);
    cr_expect_eq(out->repeated_request, 0, "%s", name);
    cr_expect_eq(out->corrupt, 0, "%s", name);
}

/** A number in a router's account of its bills, to be waited for. */
typedef struct {
    int router;
    const char *key;
    json_int_t value;
} account_t;

static json_int_t
account(cluster_t *at, int router, const char *key)
{
    json_t *status = cluster_status(at, router);
    json_int_t value = json_integer_value(
        json_object_get(json_object_get(status, "bills"), key));

    json_decref(status);
    return value;
}

static int
holds_account(cluster_t *at, void *user)
{
    const account_t *wanted = user;

    return account(at, wanted->router, wanted->key) == wanted->value;
}

static void
wait_account(int router, const char *key, json_int_t value)
{
    account_t wanted = {router, key, value};

    cr_assert(cluster_wait(cluster, holds_account, &wanted), "%s is not %d",
              key, (int)value);
}

static void
kill_router(int router)
{
    harness_signal(cluster->routers[router], SIGKILL);
    harness_wait(cluster->routers[router], CLUSTER_WAIT_MS);
}

static int
has_another_partner(cluster_t *at, void *user)
{
    const int *before = user;
    int partner = find_partner(at);

    return partner != NONE && partner != *before &&
           account(at, OWNER, "exposed") == 0;
}

/* Kills the owner's partner and waits until another one has all copies. */
static void
replace_partner(void)
{
    int before = find_partner(cluster);

    kill_router(before);
    cr_assert(cluster_wait(cluster, has_another_partner, &before));
}

#define LOG_DOWN "{\"log\": \"down\"}"
#define LOG_SILENT "{\"log\": \"silent\"}"
#define LOSE_ACKS "{\"drop_acks\": 6}"
#define HEAL "{\"reset\": true}"

/** What the log does, and who dies between the last token and the append. */
typedef struct {
    const char *name;
    const char *faults; /**< of the platform, before the answers */
    int partner_dies;   /**< before the owner, which then has a new partner */
    int restart;        /**< the owner comes back in a new incarnation */
    int delay_ms;       /**< from the last answer to the owner's death */
} death_case_t;

static const death_case_t death_cases[] = {
    {"log down", LOG_DOWN, 0, 0, 0},
    {"log silent", LOG_SILENT, 0, 0, 0},
    {"log down, partner dies first", LOG_DOWN, 1, 0, 0},
    {"log down, owner comes back", LOG_DOWN, 0, 1, 0},
    {"acknowledgements lost", LOSE_ACKS, 0, 0, 300},
    {"acknowledgements lost, owner comes back", LOSE_ACKS, 0, 1, 1300},
    {"at once", HEAL, 0, 0, 0},
    {"at once, owner comes back", HEAL, 0, 1, 0},
    {"around the append", HEAL, 0, 0, 990},
    {"after the append", HEAL, 0, 0, 1100},
};

#define DEATH_CASES (sizeof(death_cases) / sizeof(death_cases[0]))

ParameterizedTestParameters(bills, deaths)
{
    static int indices[DEATH_CASES];

    for (size_t i = 0; i < DEATH_CASES; i++) {
        indices[i] = (int)i;
    }
    return cr_make_param_array(int, indices, DEATH_CASES);
}

ParameterizedTest(int *index, bills, deaths, .fini = tear_down)
{
    const death_case_t *death = &death_cases[*index];
    pps_bill_reading_t reading;

    start(3, NULL);
    fault_log(death->faults);
    ask_whole(OWNER, 0, ANSWERS);
    if (death->partner_dies) {
        replace_partner();
    }
    pps_clock_sleep_us(death->delay_ms * PPS_US_PER_MS);
    kill_router(OWNER);
    if (death->restart) {
        cr_assert_eq(cluster_start_router(cluster, OWNER), 0);
        cr_assert_eq(cluster_put_hosts(cluster), 0);
    }
    fault_log(HEAL);
    expect_bills(&reading, ANSWERS, death->name);
    if (death->restart) {
        cr_assert(cluster_wait_serving(cluster, OWNER, 1));
        ask_whole(OWNER, ANSWERS, 2 * ANSWERS);
        expect_bills(&reading, 2 * ANSWERS, death->name);
    }
}

Test(bills, a_frozen_owner_taken_for_lost_is_counted_once, .fini = tear_down)
{
    pps_bill_reading_t reading;

    start(3, NULL);
    fault_log(LOG_DOWN);
    ask_whole(OWNER, 0, ANSWERS);
    harness_signal(cluster->routers[OWNER], SIGSTOP);
    fault_log(HEAL);
    expect_bills(&reading, ANSWERS, "frozen");
    harness_signal(cluster->routers[OWNER], SIGCONT);
    wait_account(OWNER, "own", 0);
    expect_bills(&reading, ANSWERS, "continued");
    cr_expect_eq(reading.repeated_sequence, ANSWERS);
}

Test(bills, a_frozen_partner_is_replaced_before_the_answer_ends,
     .fini = tear_down)
{
    pps_bill_reading_t reading;
    int partner;

    start(4, NULL);
    fault_log(LOG_DOWN);
    partner = find_partner(cluster);
    harness_signal(cluster->routers[partner], SIGSTOP);
    ask_whole(OWNER, 0, ANSWERS);
    cr_expect_neq(find_partner(cluster), partner);
    kill_router(OWNER);
    fault_log(HEAL);
    expect_bills(&reading, ANSWERS, "partner frozen, owner dead");
}

Test(bills, lost_acknowledgements_double_no_bill, .fini = tear_down)
{
    pps_bill_reading_t reading;

    start(3, NULL);
    fault_log("{\"drop_acks\": 2}");
    ask_whole(OWNER, 0, ANSWERS);
    wait_account(OWNER, "own", 0);
    expect_bills(&reading, ANSWERS, "lost acknowledgements");
    cr_expect_geq(reading.repeated_sequence, 1);
}

Test(bills, at_the_bound_of_an_outage_requests_are_not_run, .fini = tear_down)
{
    pps_bill_reading_t reading;
    answer_call_t call;

    start(3, "[limits]\nbills_max = 5\n");
    fault_log(LOG_DOWN);
    ask_whole(OWNER, 0, ANSWERS);
    ask(&call, OWNER, "refused");
    cr_expect_eq(call.result.end, ANSWER_ERROR);
    cr_expect_str_eq(call.result.code, "not_serving");
    cr_expect_str_eq(call.result.run, "no");
    cr_expect_eq(account(cluster, OWNER, "own"), ANSWERS);
    cr_expect_eq(account(cluster, OWNER, "exposed"), 0);
    fault_log(HEAL);
    wait_account(OWNER, "own", 0);
    ask_whole(OWNER, ANSWERS, ANSWERS + 1);
    expect_bills(&reading, ANSWERS + 1, "bound");
}

static int
refuses(cluster_t *at, void *user)
{
    answer_call_t *call = user;

    ask(call, OWNER, "alone");
    return strcmp(call->result.code, "not_serving") == 0;
}

Test(bills, without_partner_and_log_requests_are_not_run, .fini = tear_down)
{
    pps_bill_reading_t reading;
    answer_call_t call;

    start(1, NULL);
    ask_whole(OWNER, 0, 1);
    fault_log(LOG_DOWN);
    cr_assert(cluster_wait(cluster, refuses, &call));
    cr_expect_str_eq(call.result.run, "no");
    fault_log(HEAL);
    cr_assert(cluster_wait_serving(cluster, OWNER, 1));
    wait_account(OWNER, "own", 0);
    cr_assert_eq(cluster_bills(cluster, &reading), 0);
    cr_expect_leq(reading.bills, 2);
}

Test(bills, a_request_sent_again_to_another_host_is_billed_once,
     .fini = tear_down)
{
    pps_bill_reading_t reading;

    start(3, NULL);
    ask_whole(0, 0, ANSWERS);
    ask_whole(1, 0, ANSWERS);
    wait_account(0, "own", 0);
    wait_account(1, "own", 0);
    cr_assert_eq(cluster_bills(cluster, &reading), 0);
    cr_expect_eq(reading.bills, ANSWERS);
    cr_expect_eq(reading.repeated_request, ANSWERS);
}

/* With or without a partner that died a moment ago, unnoticed. */
static void
stop_in_outage(int partner_dies)
{
    pps_bill_reading_t reading;

    start(3, NULL);
    fault_log(LOG_DOWN);
    ask_whole(OWNER, 0, ANSWERS);
    if (partner_dies) {
        kill_router(find_partner(cluster));
    }
    harness_signal(cluster->routers[OWNER], SIGTERM);
    cr_expect_eq(harness_wait(cluster->routers[OWNER], CLUSTER_WAIT_MS), 0);
    fault_log(HEAL);
    expect_bills(&reading, ANSWERS, "graceful stop");
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
