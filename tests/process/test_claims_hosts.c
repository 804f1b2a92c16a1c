/** @file test_claims_hosts.c @brief A key runs at most once if hosts fail. */
#include "harness_service_call.h"

#include <criterion/criterion.h>
#include <signal.h>
#include <unistd.h>

/** Time after which a request waits for the slow log. */
#define REQUEST_WAIT_US (100 * 1000)

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

TestSuite(claims_hosts, .init = set_up, .fini = tear_down);

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

/* Starts a request that the services delay, and waits until the router has
 * sent it. */
static void
start_delayed(service_call_t *call, int router, const char *key,
              const char *faults)
{
    cluster_set_service_faults(cluster, faults);
    *call = (service_call_t){.cluster = cluster, .router = router, .key = key};
    service_call_start(call);
    cr_assert(service_call_wait_sent(cluster, router, key));
}

static int
has_run(cluster_t *system, void *user)
{
    return cluster_run_count(system, user) >= 1;
}

Test(claims_hosts, a_host_killed_after_dispatch_causes_no_second_run)
{
    static char key[] = "killed";
    service_call_t first;
    service_call_t later;

    start_delayed(&first, 0, key, "{\"delay_ms\": 700}");
    kill_router(0);
    service_call_join(&first);
    cr_expect_eq(first.result.status, 0);
    service_call_perform_key(&later, cluster, 1, key);
    cr_expect(service_call_is_undecided(&later), "%s", later.result.code);
    cr_assert(cluster_wait(cluster, has_run, key));
    service_call_complete_key(&later, cluster, 2, key);
    cr_expect(service_call_has_code(&later, "outcome_unknown"), "%s",
              later.result.code);
    start_router(0);
    for (int router = 0; router < 3; router++) {
        service_call_perform_key(&later, cluster, router, key);
        cr_expect(service_call_is_undecided(&later), "%s", later.result.code);
        later.is_outcome_query = 1;
        service_call_perform(&later);
        cr_expect(service_call_is_undecided(&later), "outcome query: %s",
                  later.result.code);
    }
    cr_expect_eq(cluster_run_count(cluster, key), 1);
}

Test(claims_hosts, a_host_stopped_during_dispatch_runs_once)
{
    static char key[] = "stopped";
    service_call_t first;
    service_call_t later;

    start_delayed(&first, 0, key, "{\"delay_ms\": 300}");
    harness_signal(cluster->routers[0], SIGSTOP);
    cr_assert(cluster_wait(cluster, has_run, key));
    for (int router = 1; router < 3; router++) {
        service_call_perform_key(&later, cluster, router, key);
        cr_expect(service_call_is_undecided(&later), "%s", later.result.code);
    }
    harness_signal(cluster->routers[0], SIGCONT);
    service_call_join(&first);
    cr_expect_eq(first.result.status, 200);
    service_call_complete_key(&later, cluster, 2, key);
    cr_expect_eq(later.result.status, 200);
    cr_expect_eq(later.result.has_replay_header, 1);
    cr_expect_eq(cluster_run_count(cluster, key), 1);
}

/* The slow log makes the pause fall between the claim's append and its
 * grant. */
Test(claims_hosts,
     a_host_stopped_between_claim_and_dispatch_does_not_run_twice)
{
    static char key[] = "paused";
    service_call_t first = {.cluster = cluster, .router = 0, .key = key};
    service_call_t later;

    cluster_set_faults(cluster->platform,
                       "{\"log\": \"slow\", \"slow_ms\": 300}");
    service_call_start(&first);
    usleep(REQUEST_WAIT_US);
    harness_signal(cluster->routers[0], SIGSTOP);
    cluster_reset_faults(cluster);
    for (int router = 1; router < 3; router++) {
        service_call_perform_key(&later, cluster, router, key);
        cr_expect(service_call_is_undecided(&later) ||
                      later.result.status == 200,
                  "%s", later.result.code);
    }
    usleep(3000 * 1000);
    harness_signal(cluster->routers[0], SIGCONT);
    service_call_join(&first);
    for (int router = 0; router < 3; router++) {
        service_call_complete_key(&later, cluster, router, key);
        cr_expect_eq(later.result.status, 200, "%s", later.result.code);
        cr_expect_eq(later.result.run_number, 1);
    }
    cr_expect_eq(cluster_run_count(cluster, key), 1);
}

/* The platform starts another process with the id of the stopped one. */
Test(claims_hosts, a_host_replaced_while_it_was_stopped_does_not_run_twice)
{
    static char key[] = "replaced";
    service_call_t first = {.cluster = cluster, .router = 0, .key = key};
    harness_process_t *stopped = cluster->routers[0];
    service_call_t later;

    cluster_set_faults(cluster->platform,
                       "{\"log\": \"slow\", \"slow_ms\": 300}");
    service_call_start(&first);
    usleep(REQUEST_WAIT_US);
    harness_signal(stopped, SIGSTOP);
    cluster_reset_faults(cluster);
    start_router(0);
    service_call_complete_key(&later, cluster, 0, "other");
    cr_expect_eq(later.result.status, 200, "%s", later.result.code);
    service_call_complete_key(&later, cluster, 1, key);
    cr_expect(later.result.status == 200 || service_call_is_undecided(&later),
              "%s", later.result.code);
    harness_signal(stopped, SIGCONT);
    service_call_join(&first);
    for (int router = 0; router < 3; router++) {
        service_call_complete_key(&later, cluster, router, key);
        cr_expect(later.result.status == 200 ||
                      service_call_is_undecided(&later),
                  "%s", later.result.code);
    }
    cr_expect_leq(cluster_run_count(cluster, key), 1);
    cr_expect(!service_call_is_not_run(&first) || later.result.status == 200 ||
              cluster_run_count(cluster, key) == 0);
}

/* A host that has not read the log must not answer that a key did not run. */
Test(claims_hosts, a_new_host_in_a_log_outage_denies_no_run)
{
    service_call_t call;

    service_call_perform_key(&call, cluster, 0, "before");
    cr_expect_eq(call.result.status, 200);
    cluster_set_faults(cluster->platform, "{\"log\": \"down\"}");
    kill_router(1);
    start_router(1);
    call = (service_call_t){.cluster = cluster, .router = 1, .key = "before"};
    service_call_wait_serving(&call);
    cr_expect_str_eq(call.result.code, "log_unavailable");
    call.is_outcome_query = 1;
    service_call_wait_serving(&call);
    cr_expect_str_eq(call.result.code, "outcome_unknown");
    cluster_reset_faults(cluster);
    service_call_complete_key(&call, cluster, 1, "before");
    cr_expect_eq(call.result.has_replay_header, 1);
    cr_expect_eq(cluster_run_count(cluster, "before"), 1);
}

/* The claim's records are trimmed; only checkpoints still contain it. */
Test(claims_hosts, claims_survive_the_trimming_of_records)
{
    service_call_t call;

    service_call_perform_key(&call, cluster, 0, "trimmed");
    cr_expect_eq(call.result.status, 200);
    service_call_perform_key(&call, cluster, 1, "after");
    cr_assert_eq(cluster_set_faults(cluster->platform, "{\"retain\": 1}"),
                 200);
    kill_router(2);
    start_router(2);
    service_call_complete_key(&call, cluster, 2, "trimmed");
    cr_expect_eq(call.result.status, 200, "%s", call.result.code);
    cr_expect_eq(call.result.has_replay_header, 1);
    service_call_complete_key(&call, cluster, 2, "new");
    cr_expect_eq(call.result.status, 200, "%s", call.result.code);
    cr_expect_eq(cluster_run_count(cluster, "trimmed"), 1);
    cr_expect_eq(cluster_run_count(cluster, "new"), 1);
}
