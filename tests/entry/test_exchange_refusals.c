/** @file test_exchange_refusals.c @brief What is refused, and what is told. */
#include "clock.h"
#include "world.h"

#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

/* The hosts found after an upstream was first asked share its repeats too. */
Test(exchange_refusals, repeats_are_shared_among_the_hosts_of_now)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    world_t world;

    world_start(&world, script, 1);
    pps_dispatcher_upstream(&world.dispatcher, "s");
    cr_expect_float_eq(
        pps_dispatcher_repeat_bounds(&world.dispatcher).allowance, 20, 0.01);
    world.dispatcher.hosts = 10;
    cr_expect_float_eq(
        pps_dispatcher_repeat_bounds(&world.dispatcher).allowance, 2, 0.01);
}

/* A host that lost its path to the workers refuses at once, truly not run, and
 * asks nobody; as soon as a worker is heard it serves again. */
Test(exchange_refusals, a_host_that_reaches_no_worker_refuses_at_once)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static const world_answer_t refused = {"refused", "503", ""};
    static const world_answer_t served = {"served", "200", "hi"};
    world_t world;
    net_client_t client;

    world_start(&world, script, 1);
    for (uint64_t i = 1; i <= 4; i++) {
        pps_reach_failed(&world.dispatcher.reach, i, world.reactor.now_us);
    }
    world.dispatcher.reach.tried_us = world.reactor.now_us;
    world_ask(&world, &client, "/once/", "");
    world_expect(&refused, &client);
    cr_expect_not_null(strstr(pps_buf_text(&client.got), "Retry-After: 0.0"));
    cr_expect_eq(world_sends(&world), 0);
    pps_reach_heard(&world.dispatcher.reach);
    world_ask(&world, &client, "/once/", "");
    world_expect(&served, &client);
}

/* A host that knows no deployment yet asks callers back when it is likely to
 * know one, well within their patience, not at once again. */
Test(exchange_refusals, a_starting_host_tells_when_to_come_back)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static const world_answer_t refused = {"starting", "503", ""};
    world_t world;
    net_client_t client;
    const char *field;

    world_start(&world, script, 1);
    pps_deployment_free(world.dispatcher.deployment);
    world.dispatcher.deployment = NULL;
    world_ask(&world, &client, "/safe/", "");
    world_expect(&refused, &client);
    field = strstr(pps_buf_text(&client.got), "Retry-After: ");
    cr_assert_not_null(field);
    cr_expect_float_eq(strtod(field + strlen("Retry-After: "), NULL), 0.75,
                       0.01);
    cr_expect_eq(world_sends(&world), 0);
    cr_expect_eq(world.dispatcher.exchange_count, 0);
}

/* A request that comes just before the host knows what to serve is served. */
Test(exchange_refusals, a_request_waits_for_the_start)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static const world_answer_t served = {"served", "200", "hi"};
    world_t world;
    net_client_t client;
    pps_deployment_t *deployment;

    world_start(&world, script, 1);
    deployment = world.dispatcher.deployment;
    world.dispatcher.deployment = NULL;
    world_request(&world, &client, "/safe/", "");
    while (world.dispatcher.exchange_count == 0) {
        net_run_for(&world.reactor, 1);
    }
    cr_expect_eq(world_sends(&world), 0);
    pps_dispatcher_deploy(&world.dispatcher, deployment);
    net_run_until_ended(&world.reactor, &client, 4000);
    world_expect(&served, &client);
    cr_expect_eq(world.dispatcher.exchange_count, 0);
}

/* One whose caller leaves meanwhile is forgotten. */
Test(exchange_refusals, a_caller_leaves_a_starting_host)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    world_t world;
    net_client_t client;
    pps_deployment_t *deployment;

    world_start(&world, script, 1);
    deployment = world.dispatcher.deployment;
    world.dispatcher.deployment = NULL;
    world_request(&world, &client, "/safe/", "");
    while (world.dispatcher.exchange_count == 0) {
        net_run_for(&world.reactor, 1);
    }
    net_client_close(&client);
    while (world.dispatcher.exchange_count > 0) {
        net_run_for(&world.reactor, 1);
    }
    pps_dispatcher_deploy(&world.dispatcher, deployment);
    net_run_for(&world.reactor, 20);
    cr_expect_eq(world_sends(&world), 0);
}
