/** @file test_claims.c @brief A key runs at most once under faults. */
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

/** A fault and the answers to the first and to later requests. */
typedef struct {
    const char *name;
    const char *platform; /* faults of the platform, or NULL */
    const char *services; /* faults of all services, or NULL */
    const char *first_service;
    const char *code; /* first error code; "": the service answered */
    const char *later_code;
    int first_run_count;
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"no fault", NULL, NULL, NULL, "", "", 1},
    {"append's acknowledgement lost", "{\"drop_acks\": 3}", NULL, NULL, "", "",
     1},
    {"log down", "{\"log\": \"down\"}", NULL, NULL, "log_unavailable", "", 0},
    {"log slow", "{\"log\": \"slow\", \"slow_ms\": 1500}", NULL, NULL,
     "log_unavailable", "", 0},
    {"log silent", "{\"log\": \"silent\"}", NULL, NULL, "log_unavailable", "",
     0},
    {"one service full", NULL, NULL, "{\"refuse\": \"full\"}", "", "", 1},
    {"service answer lost", NULL, "{\"lose_answer\": 9}", NULL,
     "upstream_failed", "outcome_unknown", 1},
    {"all services full", NULL, "{\"refuse\": \"full\"}", NULL, "no_capacity",
     "", 0},
    {"all services broken", NULL, "{\"refuse\": \"broken\"}", NULL,
     "no_capacity", "", 0},
    {"log slow, service answer lost", "{\"log\": \"slow\", \"slow_ms\": 200}",
     "{\"lose_answer\": 9}", NULL, "upstream_failed", "outcome_unknown", 1},
    {"append's acknowledgement and service answer lost", "{\"drop_acks\": 2}",
     "{\"lose_answer\": 9}", NULL, "upstream_failed", "outcome_unknown", 1},
};

static void
set_faults(const fault_case_t *fault)
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
expect_first(const fault_case_t *fault, const char *key, service_call_t *call)
{
    service_call_perform_key(call, cluster, 0, key);
    cr_expect_str_eq(call->result.code, fault->code, "%s: %s", fault->name,
                     call->result.code);
    cr_expect_eq(cluster_run_count(cluster, key), fault->first_run_count,
                 "%s: first", fault->name);
}

static void
expect_later(const fault_case_t *fault, const char *key, int router)
{
    service_call_t call;

    service_call_complete_key(&call, cluster, router, key);
    cr_expect_str_eq(call.result.code, fault->later_code, "%s at %d",
                     fault->name, router);
    cr_expect_eq(cluster_run_count(cluster, key), 1, "%s at %d", fault->name,
                 router);
}

static void
check_fault(const fault_case_t *fault, const char *key)
{
    char warm_up_key[32];
    service_call_t call;

    snprintf(warm_up_key, sizeof(warm_up_key), "before-%s", key);
    service_call_complete_key(&call, cluster, 0, warm_up_key);
    set_faults(fault);
    expect_first(fault, key, &call);
    cr_expect(fault->first_run_count == 1 || service_call_is_not_run(&call),
              "%s", fault->name);
    cluster_reset_faults(cluster);
    for (int router = 0; router < 3; router++) {
        expect_later(fault, key, router);
    }
}

Test(claims, a_fault_runs_a_request_at_most_once_and_is_reported_correctly)
{
    for (size_t i = 0; i < sizeof(fault_cases) / sizeof(fault_cases[0]); i++) {
        char key[16];

        snprintf(key, sizeof(key), "fault-%zu", i);
        check_fault(&fault_cases[i], key);
    }
}

/* Routers skip a draining worker from then on: this needs a new system. */
Test(claims, a_draining_service_is_skipped_or_the_key_is_released)
{
    service_call_t call;

    cluster_set_faults(cluster->services[0], "{\"refuse\": \"draining\"}");
    service_call_perform_key(&call, cluster, 0, "one-drains");
    cr_expect_eq(call.result.status, 200, "%s", call.result.code);
    cluster_set_faults(cluster->services[1], "{\"refuse\": \"draining\"}");
    service_call_perform_key(&call, cluster, 0, "all-drain");
    cr_expect(service_call_is_not_run(&call));
    cr_expect_eq(cluster_run_count(cluster, "all-drain"), 0);
    cluster_reset_faults(cluster);
    service_call_complete_key(&call, cluster, 2, "all-drain");
    cr_expect_eq(call.result.status, 200, "%s", call.result.code);
    cr_expect_eq(cluster_run_count(cluster, "one-drains"), 1);
    cr_expect_eq(cluster_run_count(cluster, "all-drain"), 1);
}

Test(claims, one_key_at_three_hosts_at_once_runs_once)
{
    for (int round = 0; round < 10; round++) {
        service_call_t calls[6];
        char key[16];

        snprintf(key, sizeof(key), "race-%d", round);
        for (int i = 0; i < 6; i++) {
            calls[i] = (service_call_t){
                .cluster = cluster, .router = i % 3, .key = key};
            service_call_start(&calls[i]);
        }
        for (int i = 0; i < 6; i++) {
            service_call_join(&calls[i]);
            cr_expect(calls[i].result.status == 200 ||
                          service_call_is_undecided(&calls[i]),
                      "%s", calls[i].result.code);
        }
        service_call_complete_key(&calls[0], cluster, round % 3, key);
        cr_expect_eq(calls[0].result.status, 200);
        cr_expect_eq(calls[0].result.run_number, 1);
        cr_expect_eq(cluster_run_count(cluster, key), 1);
    }
}

Test(claims, a_key_belongs_to_its_workspace_and_its_request)
{
    service_call_t call = {
        .cluster = cluster, .router = 0, .key = "own", .body = "{1}"};

    service_call_perform(&call);
    cr_expect_eq(call.result.status, 200);
    call.body = "{2}";
    call.router = 1;
    service_call_complete(&call);
    cr_expect_str_eq(call.result.code, "idempotency_key_mismatch");
    cr_expect_str_eq(call.result.run, "no");
    call.bearer = "ministry-key";
    call.is_outcome_query = 1;
    service_call_perform(&call);
    cr_expect_str_eq(call.result.code, "not_found");
    call.is_outcome_query = 0;
    service_call_perform(&call);
    cr_expect_eq(call.result.status, 200);
    cr_expect_eq(call.result.has_replay_header, 0);
    cr_expect_eq(call.result.run_number, 1,
                 "the service counts runs per workspace");
}

Test(claims, an_outcome_can_be_queried_at_any_host)
{
    service_call_t call;

    service_call_perform_key(&call, cluster, 0, "asked");
    for (int router = 0; router < 3; router++) {
        service_call_complete_key(&call, cluster, router, "asked");
        call.is_outcome_query = 1;
        service_call_perform(&call);
        cr_expect_eq(call.result.status, 200);
        cr_expect_eq(call.result.run_number, 1);
        call.key = "never";
        service_call_perform(&call);
        cr_expect_str_eq(call.result.code, "not_found");
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

/* The same key of two workspaces: their fencing numbers are independent. */
Test(claims_fenced, a_service_that_checks_fencing_runs_each_key_once)
{
    service_call_t delayed = {
        .cluster = cluster, .router = 0, .key = "fenced"};
    service_call_t other = {.cluster = cluster,
                            .router = 1,
                            .key = "fenced",
                            .bearer = "ministry-key"};

    cluster_set_service_faults(cluster, "{\"delay_ms\": 600}");
    service_call_start(&delayed);
    cr_assert(service_call_wait_sent(cluster, 0, "fenced"));
    cluster_set_service_faults(cluster, "{\"reset\": true}");
    service_call_perform(&other);
    cr_expect_eq(other.result.status, 200, "%s", other.result.code);
    service_call_join(&delayed);
    cr_expect_eq(delayed.result.status, 200, "%s", delayed.result.code);
    service_call_complete_key(&delayed, cluster, 1, "fenced");
    cr_expect_eq(delayed.result.run_number, 1);
}
