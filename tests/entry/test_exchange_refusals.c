/** @file test_exchange_refusals.c @brief Tests refusals by the router itself
 * and their retry times. */
#include "clock.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

/* Hosts that were discovered after the upstream's first use also get a share
 * of its repeats. */
Test(exchange_refusals, repeat_allowance_follows_host_count)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    fixture_t fixture;

    fixture_start(&fixture, script, 1);
    pps_dispatcher_upstream(&fixture.dispatcher, "s");
    cr_expect_float_eq(
        pps_dispatcher_repeat_bounds(&fixture.dispatcher).allowance, 20, 0.01);
    fixture.dispatcher.hosts = 10;
    cr_expect_float_eq(
        pps_dispatcher_repeat_bounds(&fixture.dispatcher).allowance, 2, 0.01);
}

/* A host that cannot reach the workers refuses at once, with no attempt, so
 * that callers don't wait for connection timeouts. It serves again once it has
 * received bytes from any worker. */
Test(exchange_refusals, host_that_reaches_no_worker_refuses_at_once)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static const fixture_answer_t refused = {"refused", "503", ""};
    static const fixture_answer_t served = {"served", "200", "hi"};
    fixture_t fixture;
    net_client_t client;

    fixture_start(&fixture, script, 1);
    for (uint64_t i = 1; i <= 4; i++) {
        pps_reachability_record_failure(&fixture.dispatcher.reach, i,
                                        fixture.reactor.now_us);
    }
    fixture.dispatcher.reach.admitted_us = fixture.reactor.now_us;
    fixture_run_request(&fixture, &client, "/once/", "");
    fixture_expect(&refused, &client);
    cr_expect_not_null(strstr(pps_buf_text(&client.got), "Retry-After: 0.0"));
    cr_expect_eq(fixture_request_count(&fixture), 0);
    pps_reachability_record_reply(&fixture.dispatcher.reach);
    fixture_run_request(&fixture, &client, "/once/", "");
    fixture_expect(&served, &client);
}

/* A host without a deployment must send a retry time well within the caller's
 * timeout, but not an immediate one. */
Test(exchange_refusals, starting_host_sends_retry_after)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static const fixture_answer_t refused = {"starting", "503", ""};
    fixture_t fixture;
    net_client_t client;
    const char *field;

    fixture_start(&fixture, script, 1);
    pps_deployment_unref(fixture.dispatcher.deployment);
    fixture.dispatcher.deployment = NULL;
    fixture_run_request(&fixture, &client, "/safe/", "");
    fixture_expect(&refused, &client);
    field = strstr(pps_buf_text(&client.got), "Retry-After: ");
    cr_assert_not_null(field);
    cr_expect_float_eq(strtod(field + strlen("Retry-After: "), NULL), 0.75,
                       0.01);
    cr_expect_eq(fixture_request_count(&fixture), 0);
    cr_expect_eq(fixture.dispatcher.exchange_count, 0);
}

/* A request that arrives shortly before the deployment is served. */
Test(exchange_refusals, request_waits_for_deployment)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static const fixture_answer_t served = {"served", "200", "hi"};
    fixture_t fixture;
    net_client_t client;
    pps_deployment_t *deployment;

    fixture_start(&fixture, script, 1);
    deployment = fixture.dispatcher.deployment;
    fixture.dispatcher.deployment = NULL;
    fixture_request(&fixture, &client, "/safe/", "");
    while (fixture.dispatcher.exchange_count == 0) {
        net_run_for(&fixture.reactor, 1);
    }
    cr_expect_eq(fixture_request_count(&fixture), 0);
    pps_dispatcher_deploy(&fixture.dispatcher, deployment);
    net_run_until_ended(&fixture.reactor, &client, 4000);
    fixture_expect(&served, &client);
    cr_expect_eq(fixture.dispatcher.exchange_count, 0);
}

/* A waiting request whose caller disconnects must be freed and not sent. */
Test(exchange_refusals, caller_disconnects_during_start)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    fixture_t fixture;
    net_client_t client;
    pps_deployment_t *deployment;

    fixture_start(&fixture, script, 1);
    deployment = fixture.dispatcher.deployment;
    fixture.dispatcher.deployment = NULL;
    fixture_request(&fixture, &client, "/safe/", "");
    while (fixture.dispatcher.exchange_count == 0) {
        net_run_for(&fixture.reactor, 1);
    }
    net_client_close(&client);
    while (fixture.dispatcher.exchange_count > 0) {
        net_run_for(&fixture.reactor, 1);
    }
    pps_dispatcher_deploy(&fixture.dispatcher, deployment);
    net_run_for(&fixture.reactor, 20);
    cr_expect_eq(fixture_request_count(&fixture), 0);
}
