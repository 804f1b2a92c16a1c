/** @file test_homes.c @brief Tests that requests stay within the regions that
 * their route and workspace name. */
#include "counters.h"
#include "exchange/home_gate.h"
#include "hosts_fixture.h"
#include "papayaswitch/errors.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

/** Enough that each of three equal workers gets one. */
#define REQUESTS 60
#define WAIT_MS 3500
#define NO_MAP ""
#define MAP "za:r1,zb:r2,zc:r2,zh:r3"

/* Adds the regions of a list with commas. */
static void
set_homes(pps_homes_t *homes, const char *list)
{
    char text[64];
    char *rest = text;
    char *region;

    snprintf(text, sizeof(text), "%s", list);
    while ((region = strsep(&rest, ",")) != NULL) {
        if (region[0] != '\0') {
            cr_assert_eq(pps_homes_add(homes, region), 0);
        }
    }
}

static void
set_all_homes(pps_deployment_t *deployment, const char *route,
              const char *workspace)
{
    for (size_t i = 0; i < deployment->route_count; i++) {
        set_homes(&deployment->routes[i].homes, route);
    }
    for (size_t i = 0; i < deployment->workspace_count; i++) {
        set_homes(&deployment->workspaces[i].homes, workspace);
    }
}

typedef struct {
    const char *name;
    const char *map;
    const char *route;
    const char *workspace;
    const char *status;
    int gets_requests[FIXTURE_WORKERS]; /* in za, zb and zx */
} home_case_t;

static const home_case_t home_cases[] = {
    {"no homes", MAP, "", "", "200", {1, 1, 1}},
    {"of the route", MAP, "r1", "", "200", {1, 0, 0}},
    {"of the workspace", MAP, "", "r2", "200", {0, 1, 0}},
    {"of both", MAP, "r1,r2", "r2,r3", "200", {0, 1, 0}},
    {"of both, alike", MAP, "r1,r2", "r1,r2", "200", {1, 1, 0}},
    {"empty intersection", MAP, "r1", "r2", "503", {0, 0, 0}},
    {"a region without workers", MAP, "r3", "", "503", {0, 0, 0}},
    {"an unknown region", MAP, "r9", "", "503", {0, 0, 0}},
    {"no regions of domains known", NO_MAP, "r1", "r2", "200", {1, 1, 1}},
};

/* Guards against a request that reaches a worker in a foreign region. */
Test(homes, workers_in_other_regions_get_nothing)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static const char *const domains[] = {"za", "zb", "zx"};

    for (size_t c = 0; c < sizeof(home_cases) / sizeof(*home_cases); c++) {
        const home_case_t *item = &home_cases[c];
        const fixture_answer_t answer = {item->name, item->status, ""};
        uint64_t before = pps_counter_sum(PPS_COUNTER_ENTRY_REFUSED_NO_HOME);
        static fixture_t fixture;
        pps_region_map_t regions;

        fixture_start(&fixture, script, 1);
        cr_assert_eq(pps_region_map_parse(&regions, item->map), 0);
        fixture.dispatcher.options.regions = &regions;
        set_all_homes(fixture.dispatcher.deployment, item->route,
                      item->workspace);
        for (int i = 0; i < FIXTURE_WORKERS; i++) {
            const char *ids[] = {"w0", "w1", "w2"};

            strcpy(pps_pool_lookup(fixture.dispatcher.pool, ids[i])
                       ->info.failure_domain,
                   domains[i]);
        }
        for (int i = 0; i < REQUESTS; i++) {
            net_client_t client;

            fixture_run_request(&fixture, &client, "/safe/", "");
            fixture_expect(&answer, &client);
            cr_expect(item->status[0] == '2' ||
                      strstr(pps_buf_text(&client.got), "Retry-After: "));
        }
        for (int i = 0; i < FIXTURE_WORKERS; i++) {
            cr_expect_eq(fixture.workers[i].requests > 0,
                         item->gets_requests[i], "%s: w%d", item->name, i);
        }
        cr_expect_eq(pps_counter_sum(PPS_COUNTER_ENTRY_REFUSED_NO_HOME) -
                         before,
                     item->status[0] == '5' ? REQUESTS : 0, "%s", item->name);
    }
}

typedef struct {
    const char *name;
    const char *neighbour; /* its failure domain */
    const char *homes;
    int is_relayed;
} hop_case_t;

/* The caller's host is in zh (r3), the workers are in za (r1). */
static const hop_case_t hop_cases[] = {
    {"no homes", "zb", "", 1},
    {"a neighbour in the homes", "za", "r1", 1},
    {"a neighbour in the caller's host's region", "zh", "r1", 1},
    {"a neighbour in a foreign region", "zb", "r1", 0},
    {"a neighbour without a known region", "zx", "r1", 0},
};

/* Guards against a body that is sent to a host in a foreign region. */
Test(homes, neighbours_in_other_regions_get_no_body)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};

    for (size_t c = 0; c < sizeof(hop_cases) / sizeof(*hop_cases); c++) {
        const hop_case_t *item = &hop_cases[c];
        static hosts_t hosts;
        pps_dispatcher_t *first;
        pps_region_map_t regions;
        pps_pool_worker_t *worker;
        net_client_t client;

        hosts_start(&hosts, 2, script, 1);
        cr_assert_eq(pps_region_map_parse(&regions, MAP), 0);
        first = &hosts.hosts[0].dispatcher;
        for (int i = 0; i < 2; i++) {
            hosts.hosts[i].dispatcher.options.regions = &regions;
        }
        first->options.failure_domain = "zh";
        hosts.hosts[1].dispatcher.options.failure_domain = item->neighbour;
        set_all_homes(first->deployment, item->homes, "");
        cds_list_for_each_entry (worker, pps_pool_workers(first->pool), node) {
            strcpy(worker->info.failure_domain, "za");
        }
        hosts_set_paths(&hosts, 0, PATH_REFUSED, 0, HOSTS_WORKERS - 1);
        hosts_mark_paths(&hosts, 0, 1);
        hosts_request(&hosts, 0, &client, "/safe/");
        net_run_until_ended(&hosts.reactor, &client, WAIT_MS);
        cr_expect_eq(hosts_count_requests(&hosts) > 0, item->is_relayed, "%s",
                     item->name);
        cr_expect_eq(strstr(pps_buf_text(&client.got), "200 OK") != NULL,
                     item->is_relayed, "%s", item->name);
    }
}

typedef struct {
    const char *text;
    int error;
    const char *region; /* of "zb" */
} map_case_t;

static const map_case_t map_cases[] = {
    {"", 0, ""},
    {"za:r1,zb:r2", 0, "r2"},
    {" za:r1 , zb:r2 ", 0, "r2"},
    {"zb:r2,", 0, "r2"},
    {"za:r1", 0, ""},
    {"zb", PPS_EINVALID, ""},
    {"zb:", PPS_EINVALID, ""},
    {":r2", PPS_EINVALID, ""},
    {"za:r1,,zb:r2", PPS_EINVALID, ""},
    {"zb:r1,zb:r2", PPS_EINVALID, "r1"},
    {"zb:rrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrrr",
     PPS_EINVALID, ""},
};

/* Guards against a setting that is read as another map than it states. */
Test(homes, region_maps)
{
    for (size_t i = 0; i < sizeof(map_cases) / sizeof(*map_cases); i++) {
        pps_region_map_t map;

        cr_expect_eq(pps_region_map_parse(&map, map_cases[i].text),
                     map_cases[i].error, "case %zu", i);
        cr_expect_str_eq(pps_region_map_find(&map, "zb"), map_cases[i].region,
                         "case %zu", i);
    }
}
