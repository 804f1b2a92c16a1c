/** @file test_claims.c @brief At most once, under failure. */
#include "harness_service_call.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

static cluster_t *cluster;

static void
set_up(void)
{
    const cluster_options_t options = {.routers = 3};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
}

static void
tear_down(void)
{
    cluster_free(cluster);
}

TestSuite(claims, .init = set_up, .fini = tear_down);

/** A fault, what the first request is told, and what later ones are. */
typedef struct {
    const char *name;
    const char *platform; /* faults, or NULL */
    const char *services; /* of all of them */
    const char *first_service;
    const char *code; /* of the first answer; "": it is the service's */
    const char *later_code;
    int runs_first;
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"no fault", NULL, NULL, NULL, "", "", 1},
    {"append's answer cut or 500", "{\"drop_acks\": 3}", NULL, NULL, "", "",
     1},
    {"log down", "{\"log\": \"down\"}", NULL, NULL, "log_unavailable", "", 0},
    {"log slow", "{\"log\": \"slow\", \"slow_ms\": 1500}", NULL, NULL,
     "log_unavailable", "", 0},
    {"log silent", "{\"log\": \"silent\"}", NULL, NULL, "log_unavailable", "",
     0},
    {"one is full", NULL, NULL, "{\"refuse\": \"full\"}", "", "", 1},
    {"answer lost", NULL, "{\"lose_answer\": 9}", NULL, "upstream_failed",
     "outcome_unknown", 1},
    {"all full", NULL, "{\"refuse\": \"full\"}", NULL, "no_capacity", "", 0},
    {"all broken", NULL, "{\"refuse\": \"broken\"}", NULL, "no_capacity", "",
     0},
    {"log slow and answer lost", "{\"log\": \"slow\", \"slow_ms\": 200}",
     "{\"lose_answer\": 9}", NULL, "upstream_failed", "outcome_unknown", 1},
    {"append's answer and service's lost", "{\"drop_acks\": 2}",
     "{\"lose_answer\": 9}", NULL, "upstream_failed", "outcome_unknown", 1},
};

static void
switch_faults(const fault_case_t *fault)
{
    if (fault->platform != NULL) {
        cr_assert_eq(cluster_set_faults(cluster->platform, fault->platform),
                     200);
    }
    if (fault->services != NULL) {
        cluster_set_service_faults(cluster, fault->services);
    }
    if (fault->first_service != NULL) {
        cr_assert_eq(
            cluster_set_faults(cluster->services[0], fault->first_service),
            200);
    }
}

static void
expect_first(const fault_case_t *fault, const char *key, service_call_t *act)
{
    service_call_perform_key(act, cluster, 0, key);
    cr_expect_str_eq(act->result.code, fault->code, "%s: %s", fault->name,
                     act->result.code);
    cr_expect_eq(cluster_run_count(cluster, key), fault->runs_first,
                 "%s: first", fault->name);
}

static void
expect_later(const fault_case_t *fault, const char *key, int router)
{
    service_call_t act;

    service_call_complete_key(&act, cluster, router, key);
    cr_expect_str_eq(act.result.code, fault->later_code, "%s at %d",
                     fault->name, router);
    cr_expect_eq(cluster_run_count(cluster, key), 1, "%s at %d", fault->name,
                 router);
}

static void
check_fault(const fault_case_t *fault, const char *key)
{
    char warm[32];
    service_call_t act;

    snprintf(warm, sizeof(warm), "before-%s", key);
    service_call_complete_key(&act, cluster, 0, warm);
    switch_faults(fault);
    expect_first(fault, key, &act);
    cr_expect(fault->runs_first == 1 || service_call_is_not_run(&act), "%s",
              fault->name);
    cluster_reset_faults(cluster);
    for (int router = 0; router < 3; router++) {
        expect_later(fault, key, router);
    }
}

Test(claims, a_fault_runs_a_request_at_most_once_and_is_told_truly)
{
    for (size_t i = 0; i < sizeof(fault_cases) / sizeof(fault_cases[0]); i++) {
        char key[16];

        snprintf(key, sizeof(key), "fault-%zu", i);
        check_fault(&fault_cases[i], key);
    }
}

/* A worker that drains stays out of the choice, so this has its own system. */
Test(claims, a_draining_service_is_passed_by_or_the_key_is_free_again)
{
    service_call_t act;

    cluster_set_faults(cluster->services[0], "{\"refuse\": \"draining\"}");
    service_call_perform_key(&act, cluster, 0, "one-drains");
    cr_expect_eq(act.result.status, 200, "%s", act.result.code);
    cluster_set_faults(cluster->services[1], "{\"refuse\": \"draining\"}");
    service_call_perform_key(&act, cluster, 0, "all-drain");
    cr_expect(service_call_is_not_run(&act));
    cr_expect_eq(cluster_run_count(cluster, "all-drain"), 0);
    cluster_reset_faults(cluster);
    service_call_complete_key(&act, cluster, 2, "all-drain");
    cr_expect_eq(act.result.status, 200, "%s", act.result.code);
    cr_expect_eq(cluster_run_count(cluster, "one-drains"), 1);
    cr_expect_eq(cluster_run_count(cluster, "all-drain"), 1);
}

Test(claims, one_key_at_three_hosts_at_once_runs_once)
{
    for (int round = 0; round < 10; round++) {
        service_call_t acts[6];
        char key[16];

        snprintf(key, sizeof(key), "race-%d", round);
        for (int i = 0; i < 6; i++) {
            acts[i] = (service_call_t){
                .cluster = cluster, .router = i % 3, .key = key};
            service_call_start(&acts[i]);
        }
        for (int i = 0; i < 6; i++) {
            service_call_join(&acts[i]);
            cr_expect(acts[i].result.status == 200 ||
                          service_call_is_undecided(&acts[i]),
                      "%s", acts[i].result.code);
        }
        service_call_complete_key(&acts[0], cluster, round % 3, key);
        cr_expect_eq(acts[0].result.status, 200);
        cr_expect_eq(acts[0].result.ran, 1);
        cr_expect_eq(cluster_run_count(cluster, key), 1);
    }
}

Test(claims, a_key_belongs_to_its_workspace_and_its_request)
{
    service_call_t act = {
        .cluster = cluster, .router = 0, .key = "own", .body = "{1}"};

    service_call_perform(&act);
    cr_expect_eq(act.result.status, 200);
    act.body = "{2}";
    act.router = 1;
    service_call_complete(&act);
    cr_expect_str_eq(act.result.code, "idempotency_key_mismatch");
    cr_expect_str_eq(act.result.run, "no");
    act.bearer = "ministry-key";
    act.ask = 1;
    service_call_perform(&act);
    cr_expect_str_eq(act.result.code, "not_found");
    act.ask = 0;
    service_call_perform(&act);
    cr_expect_eq(act.result.status, 200);
    cr_expect_eq(act.result.replayed, 0);
    cr_expect_eq(act.result.ran, 1, "the service takes it for another's key");
}

Test(claims, an_outcome_is_asked_for_at_any_host)
{
    service_call_t act;

    service_call_perform_key(&act, cluster, 0, "asked");
    for (int router = 0; router < 3; router++) {
        service_call_complete_key(&act, cluster, router, "asked");
        act.ask = 1;
        service_call_perform(&act);
        cr_expect_eq(act.result.status, 200);
        cr_expect_eq(act.result.ran, 1);
        act.key = "never";
        service_call_perform(&act);
        cr_expect_str_eq(act.result.code, "not_found");
    }
}

static void
set_up_fencing(void)
{
    const cluster_options_t options = {
        .routers = 2, .services = 1, .checks_fencing = 1};

    cr_assert_eq(cluster_new(&cluster, &options), 0);
}

TestSuite(claims_fenced, .init = set_up_fencing, .fini = tear_down);

/* The same key of two workspaces: neither's number fences the other. */
Test(claims_fenced, a_service_that_checks_numbers_runs_each_key_once)
{
    service_call_t held = {.cluster = cluster, .router = 0, .key = "fenced"};
    service_call_t other = {.cluster = cluster,
                            .router = 1,
                            .key = "fenced",
                            .bearer = "ministry-key"};

    cluster_set_service_faults(cluster, "{\"delay_ms\": 600}");
    service_call_start(&held);
    cr_assert(service_call_wait_sent(cluster, 0, "fenced"));
    cluster_set_service_faults(cluster, "{\"reset\": true}");
    service_call_perform(&other);
    cr_expect_eq(other.result.status, 200, "%s", other.result.code);
    service_call_join(&held);
    cr_expect_eq(held.result.status, 200, "%s", held.result.code);
    service_call_complete_key(&held, cluster, 1, "fenced");
    cr_expect_eq(held.result.ran, 1);
}
