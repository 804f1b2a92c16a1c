/** @file test_partitioned_hosts.c @brief Callers of hosts that have lost
 * their paths to workers. */
#include "exchange/path_watch.h"
#include "hosts_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

/** Requests to each host, one after the other, and the time between them. */
#define REQUESTS 20
#define INTERVAL_MS 60
/** The first requests after the cut, which may be lost to finding out. */
#define REQUESTS_BEFORE 6
#define WAIT_MS 3500
/** Hosts without paths serve at least this share of what others do. */
#define SERVED_SHARE_MIN 0.9

typedef struct {
    const char *name;
    unsigned int hosts;
    unsigned int cut; /* the first hosts */
    path_t path;
    unsigned int lost_workers; /* the first workers, for these hosts */
} cut_case_t;

static const cut_case_t cut_cases[] = {
    {"one of two hosts, unanswered", 2, 1, PATH_UNANSWERED, HOSTS_WORKERS},
    {"one of six hosts, unanswered", 6, 1, PATH_UNANSWERED, HOSTS_WORKERS},
    {"half of eight hosts, refused", 8, 4, PATH_REFUSED, HOSTS_WORKERS},
    {"all but one of six hosts, refused", 6, 5, PATH_REFUSED, HOSTS_WORKERS},
    {"all but one of six, unanswered", 6, 5, PATH_UNANSWERED, HOSTS_WORKERS},
    {"all workers but one, unanswered", 4, 2, PATH_UNANSWERED,
     HOSTS_WORKERS - 1},
    {"one worker, refused", 4, 2, PATH_REFUSED, 1},
};

static const char *const request_paths[] = {"/safe/", "/once/", "/quick/"};

static int
is_served(const net_client_t *client)
{
    return strncmp(pps_buf_text(&client->got), "HTTP/1.1 200", 12) == 0;
}

/* Sends requests to all hosts at a steady rate and counts those served. */
static void
count_served(hosts_t *hosts, unsigned int *served)
{
    static net_client_t clients[HOSTS_MAX][REQUESTS];

    for (unsigned int n = 0; n < REQUESTS; n++) {
        for (unsigned int i = 0; i < hosts->host_count; i++) {
            hosts_request(hosts, i, &clients[i][n],
                          request_paths[(n + i) % 3]);
        }
        net_run_for(&hosts->reactor, INTERVAL_MS);
    }
    for (unsigned int i = 0; i < hosts->host_count; i++) {
        served[i] = 0;
        for (unsigned int n = 0; n < REQUESTS; n++) {
            net_run_until_ended(&hosts->reactor, &clients[i][n], WAIT_MS);
            served[i] += n >= REQUESTS_BEFORE && is_served(&clients[i][n]);
        }
    }
}

Test(partitioned_hosts, callers_of_hosts_without_paths_to_workers_are_served)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};

    for (size_t c = 0; c < sizeof(cut_cases) / sizeof(*cut_cases); c++) {
        const cut_case_t *item = &cut_cases[c];
        unsigned int served[HOSTS_MAX];
        static hosts_t hosts;
        double others = 0;

        hosts_start(&hosts, item->hosts, script, 1);
        for (unsigned int i = 0; i < item->cut; i++) {
            hosts_set_paths(&hosts, i, item->path, 0, item->lost_workers - 1);
        }
        count_served(&hosts, served);
        for (unsigned int i = item->cut; i < item->hosts; i++) {
            others += (double)served[i] / (item->hosts - item->cut);
        }
        for (unsigned int i = 0; i < item->cut; i++) {
            cr_expect_geq(served[i], SERVED_SHARE_MIN * others,
                          "%s: host %u served %u, the others %.1f", item->name,
                          i, served[i], others);
        }
        cr_expect_eq((int)others, REQUESTS - REQUESTS_BEFORE, "%s",
                     item->name);
    }
}

/** Requests that break off while a host loses its paths. */
#define BREAKS 6
/** Time in which a host finds out that its paths are back. */
#define PATHS_BACK_MS 600
#define PROBE_MS 150

/* A host whose paths are reset and then refused has seen no worker end: the
 * requests that were under way are not kept from workers later. */
Test(partitioned_hosts, requests_that_break_off_with_the_paths_are_not_blocked)
{
    static const net_answer_t script[BREAKS + 1] = {
        {NULL, NET_KEEP},    {NULL, NET_KEEP}, {NULL, NET_KEEP},
        {NULL, NET_KEEP},    {NULL, NET_KEEP}, {NULL, NET_KEEP},
        {OK_PLAIN, NET_KEEP}};
    static const fixture_answer_t served = {"the same request", "200", "hi"};
    static hosts_t hosts;
    net_client_t client;

    hosts_start(&hosts, 2, script, BREAKS + 1);
    net_server_share_script(hosts.workers, HOSTS_WORKERS);
    for (size_t n = 1; n <= BREAKS; n++) {
        hosts_request(&hosts, 0, &client, "/once/");
        cr_assert(net_run_until(&hosts.reactor, hosts.workers[0].script_index,
                                n, WAIT_MS));
        hosts_set_paths(&hosts, 0, PATH_REFUSED, 0, HOSTS_WORKERS - 1);
        for (int i = 0; i < HOSTS_WORKERS; i++) {
            net_server_reset(&hosts.workers[i]);
        }
        net_run_for(&hosts.reactor, PROBE_MS);
        hosts_set_paths(&hosts, 0, PATH_SOUND, 0, HOSTS_WORKERS - 1);
        net_run_for(&hosts.reactor, PATHS_BACK_MS);
    }
    hosts_request(&hosts, 0, &client, "/once/");
    net_run_until_ended(&hosts.reactor, &client, WAIT_MS);
    fixture_expect(&served, &client);
}

#define UNREACHED_REQUESTS 10

/* A connection that did not come about adds nothing to the upstream's load. */
Test(partitioned_hosts, connections_that_fail_use_up_no_repeats)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static hosts_t hosts;
    pps_dispatcher_t *dispatcher = &hosts.hosts[0].dispatcher;
    pps_repeat_bounds_t bounds;

    hosts_start(&hosts, 1, script, 1);
    hosts_set_paths(&hosts, 0, PATH_REFUSED, 0, HOSTS_WORKERS - 2);
    for (int i = 0; i < UNREACHED_REQUESTS; i++) {
        net_client_t client;

        hosts_request(&hosts, 0, &client, "/safe/");
        net_run_until_ended(&hosts.reactor, &client, WAIT_MS);
        cr_expect(is_served(&client));
    }
    bounds = pps_dispatcher_repeat_bounds(dispatcher);
    cr_expect_eq(pps_repeat_limit_used(
                     &pps_dispatcher_upstream(dispatcher, "s")->repeats,
                     &bounds, hosts.reactor.now_us),
                 0);
}

/** Longer than a failure counts by itself. */
#define QUIET_MS 2000
#define CHECK_MS 50

/* A host that reaches no worker, nor does any other, does not become ready
 * while nobody calls it. */
Test(partitioned_hosts, host_stays_out_of_reach_without_calls)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static hosts_t hosts;
    pps_dispatcher_t *dispatcher = &hosts.hosts[0].dispatcher;
    net_client_t clients[HOSTS_WORKERS];
    unsigned int in_reach = 0;

    hosts_start(&hosts, 1, script, 1);
    hosts_set_paths(&hosts, 0, PATH_UNANSWERED, 0, HOSTS_WORKERS - 1);
    for (int i = 0; i < HOSTS_WORKERS; i++) {
        hosts_request(&hosts, 0, &clients[i], "/safe/");
    }
    for (int i = 0; i < HOSTS_WORKERS; i++) {
        net_run_until_ended(&hosts.reactor, &clients[i], WAIT_MS);
    }
    cr_assert(pps_path_watch_is_out_of_reach(dispatcher, NULL));
    for (int i = 0; i < QUIET_MS / CHECK_MS; i++) {
        net_run_for(&hosts.reactor, CHECK_MS);
        in_reach += !pps_path_watch_is_out_of_reach(dispatcher, NULL);
    }
    cr_expect_eq(in_reach, 0, "in reach %u times of %d", in_reach,
                 QUIET_MS / CHECK_MS);
    hosts_set_paths(&hosts, 0, PATH_SOUND, 0, HOSTS_WORKERS - 1);
    net_run_for(&hosts.reactor, QUIET_MS / 4);
    cr_expect_not(pps_path_watch_is_out_of_reach(dispatcher, NULL));
}

#define BAD_REQUESTS 10
#define CRASHES_MAX 5
#define CRASH_DELAY_MS 10
#define RESTART_MS 100

/* The worker starts again, and all hosts read that. */
static void
on_restart(void *user, net_server_t *server)
{
    hosts_t *hosts = user;
    char id[PPS_WORKER_TEXT_BYTES];

    snprintf(id, sizeof(id), "w%d", (int)(server - hosts->workers));
    for (unsigned int i = 0; i < hosts->host_count; i++) {
        pps_pool_t *pool = hosts->hosts[i].dispatcher.pool;
        pps_worker_info_t info = pps_pool_lookup(pool, id)->info;

        info.start_ms++;
        pps_pool_put(pool, &info);
    }
}

/* A host that reaches workers through others only finds out which requests end
 * them. */
Test(partitioned_hosts, request_that_ends_workers_is_sent_through_others)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static hosts_t hosts;
    size_t crashes = 0;

    hosts_start(&hosts, 2, script, 1);
    for (int i = 0; i < HOSTS_WORKERS; i++) {
        hosts.workers[i].crash_text = "bad!";
        hosts.workers[i].crash_delay_ms = CRASH_DELAY_MS;
        hosts.workers[i].restart_ms = RESTART_MS;
        hosts.workers[i].on_restart = on_restart;
        hosts.workers[i].user = &hosts;
    }
    for (int n = 0; n < BAD_REQUESTS; n++) {
        net_client_t client;

        hosts_set_paths(&hosts, 0, PATH_UNANSWERED, 0, HOSTS_WORKERS - 1);
        hosts_mark_paths(&hosts, 0, 1);
        hosts_request(&hosts, 0, &client, "/safe/bad!");
        net_run_until_ended(&hosts.reactor, &client, WAIT_MS);
        cr_expect_not(is_served(&client));
        net_run_for(&hosts.reactor, 2 * RESTART_MS);
    }
    for (int i = 0; i < HOSTS_WORKERS; i++) {
        crashes += hosts.workers[i].crashes;
    }
    cr_expect_leq(crashes, CRASHES_MAX, "%zu", crashes);
}

/* A neighbour that sends nothing to one worker goes on passing on the rest. */
Test(partitioned_hosts, neighbour_that_declines_one_worker_is_still_asked)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static hosts_t hosts;
    pps_pool_t *pool;
    int served = 0;

    hosts_start(&hosts, 2, script, 1);
    hosts_mark_paths(&hosts, 0, 1);
    pool = hosts.hosts[1].dispatcher.pool;
    for (int i = 0; i < HOSTS_WORKERS / 2; i++) {
        char id[PPS_WORKER_TEXT_BYTES];

        snprintf(id, sizeof(id), "w%d", i);
        pps_pool_set_leaving(pps_pool_lookup(pool, id), 0);
    }
    for (int n = 0; n < REQUESTS; n++) {
        net_client_t client;

        hosts_request(&hosts, 0, &client, "/once/");
        net_run_until_ended(&hosts.reactor, &client, WAIT_MS);
        served += is_served(&client);
    }
    cr_expect_geq(served, SERVED_SHARE_MIN * REQUESTS, "%d", served);
}

/* A host that failed to reach two workers that have ended finds out without
 * calls that it reaches others, and takes calls again. */
Test(partitioned_hosts, idle_host_takes_no_calls_after_workers_ended)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};
    static hosts_t hosts;
    pps_dispatcher_t *dispatcher = &hosts.hosts[0].dispatcher;

    hosts_start(&hosts, 2, script, 1);
    for (unsigned int i = 0; i < 2; i++) {
        char id[PPS_WORKER_TEXT_BYTES];

        hosts_set_paths(&hosts, 0, PATH_REFUSED, i, i);
        hosts_set_paths(&hosts, 1, PATH_REFUSED, i, i);
        snprintf(id, sizeof(id), "w%u", i);
        pps_path_watch_note_unreached(dispatcher,
                                      pps_pool_lookup(dispatcher->pool, id),
                                      hosts.reactor.now_us);
    }
    cr_assert_not(pps_path_watch_takes_relays(dispatcher));
    net_run_for(&hosts.reactor, PATHS_BACK_MS);
    cr_expect(pps_path_watch_takes_relays(dispatcher));
}
