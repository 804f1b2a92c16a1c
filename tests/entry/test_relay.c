/** @file test_relay.c @brief Calls to workers that go through another host. */
#include "channel_cases.h"
#include "clock.h"
#include "exchange/path_watch.h"
#include "exchange/worker_permit.h"
#include "hosts_fixture.h"
#include "relay/relay_call.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define LIMIT_MS 3000
#define SETTLE_MS 30
#define TEXT "GET / HTTP/1.1\r\nHost: x\r\n\r\n"

/* The first host calls a worker through the second. */
static void
start_call(hosts_t *hosts, const char *local_address, pps_relay_call_t **call,
           channel_outcome_t *outcome)
{
    const pps_relay_route_t route = {
        .neighbour = hosts->hosts[1].relay,
        .local_address = local_address,
        .worker =
            pps_pool_lookup(hosts->hosts[1].dispatcher.pool, "w0")->digest,
    };

    memset(outcome, 0, sizeof(*outcome));
    cr_assert_eq(pps_relay_call_new(call, &hosts->reactor, &route, TEXT,
                                    strlen(TEXT), &channel_outcome_ops,
                                    outcome),
                 0);
}

/* An answer through another host has the outcome that it has directly: above
 * all, one that was reset or cut off is not taken for whole. */
Test(relay, answers)
{
    for (size_t i = 0; i < channel_case_count; i++) {
        static hosts_t hosts;
        pps_relay_call_t *call;
        channel_outcome_t outcome;

        hosts_start(&hosts, 2, &channel_cases[i].answer, 1);
        start_call(&hosts, hosts.hosts[0].address, &call, &outcome);
        cr_assert(
            net_run_until(&hosts.reactor, &outcome.finished, 1, LIMIT_MS),
            "%s", channel_cases[i].name);
        channel_expect(&channel_cases[i], &outcome);
        cr_expect_eq(hosts_count_requests(&hosts), 1);
        cr_expect_str_eq(pps_buf_text(&hosts.workers[0].last), TEXT);
    }
}

typedef struct {
    const char *name;
    path_t path;               /* from the second host to the worker */
    const char *local_address; /* NULL: the first host's */
    int is_leaving;
    int is_paused;
    int is_doubtful; /* the second host did not reach other workers */
    int is_stopping;
    pps_channel_failure_t failure;
} refusal_case_t;

static const refusal_case_t refusal_cases[] = {
    {"the worker refuses", PATH_REFUSED, NULL, 0, 0, 0, 0,
     PPS_CHANNEL_REFUSED},
    {"the worker does not answer", PATH_UNANSWERED, NULL, 0, 0, 0, 0,
     PPS_CHANNEL_UNANSWERED},
    {"the caller is no host", PATH_SOUND, "127.0.0.77", 0, 0, 0, 0,
     PPS_CHANNEL_NO_RELAY},
    {"the worker is leaving", PATH_SOUND, NULL, 1, 0, 0, 0,
     PPS_CHANNEL_RELAY_DECLINED},
    {"the worker asked that host for a pause", PATH_SOUND, NULL, 0, 1, 0, 0,
     PPS_CHANNEL_RELAY_DECLINED},
    {"that host reaches no workers", PATH_SOUND, NULL, 0, 0, 1, 0,
     PPS_CHANNEL_NO_RELAY},
    {"that host is stopping", PATH_SOUND, NULL, 0, 0, 0, 1,
     PPS_CHANNEL_NO_RELAY},
};

static void
prepare(hosts_t *hosts, const refusal_case_t *item)
{
    static const net_answer_t answer = {OK_PLAIN, NET_KEEP};
    pps_dispatcher_t *dispatcher = &hosts->hosts[1].dispatcher;
    pps_pool_worker_t *worker;

    hosts_start(hosts, 2, &answer, 1);
    hosts_set_paths(hosts, 1, item->path, 0, HOSTS_WORKERS - 1);
    worker = pps_pool_lookup(dispatcher->pool, "w0");
    if (item->is_leaving) {
        pps_pool_set_leaving(worker, 0);
    }
    if (item->is_paused) {
        pps_pool_pause(worker, hosts->reactor.now_us,
                       hosts->reactor.now_us + PPS_US_PER_S);
    }
    if (item->is_doubtful) {
        pps_path_state_note_unreached(&dispatcher->paths, 1, 1);
        pps_path_state_note_unreached(&dispatcher->paths, 2, 1);
    }
    if (item->is_stopping) {
        pps_relay_server_drain(hosts->hosts[1].relays);
    }
}

/* What was not passed on is told as not sent, and who did not reach whom. */
Test(relay, refusals)
{
    for (size_t i = 0; i < sizeof(refusal_cases) / sizeof(*refusal_cases);
         i++) {
        const refusal_case_t *item = &refusal_cases[i];
        static hosts_t hosts;
        pps_relay_call_t *call;
        channel_outcome_t outcome;

        prepare(&hosts, item);
        start_call(&hosts,
                   item->local_address != NULL ? item->local_address
                                               : hosts.hosts[0].address,
                   &call, &outcome);
        cr_assert(
            net_run_until(&hosts.reactor, &outcome.finished, 1, LIMIT_MS),
            "%s", item->name);
        cr_expect_eq(outcome.failure, (int)item->failure, "%s: %d", item->name,
                     outcome.failure);
        cr_expect_eq(hosts_count_requests(&hosts), 0, "%s", item->name);
    }
}

/* The worker's connection ends with the caller's. */
Test(relay, closed_call_ends_the_connection_to_the_worker)
{
    static const net_answer_t silent = {NULL, NET_KEEP};
    static hosts_t hosts;
    pps_relay_call_t *call;
    channel_outcome_t outcome;

    hosts_start(&hosts, 2, &silent, 1);
    start_call(&hosts, hosts.hosts[0].address, &call, &outcome);
    cr_assert(net_run_until(&hosts.reactor, &hosts.workers[0].requests, 1,
                            LIMIT_MS));
    cr_expect_eq(pps_relay_server_calls(hosts.hosts[1].relays), 1);
    pps_relay_call_close(call);
    cr_assert(
        net_run_until(&hosts.reactor, &hosts.workers[0].closed, 1, LIMIT_MS));
    cr_expect_eq(pps_relay_server_calls(hosts.hosts[1].relays), 0);
    cr_expect_eq(outcome.finished, 0);
}

/* The worker speaks to the host that the request comes from. */
Test(relay, host_keeps_to_the_pause_that_a_worker_asks_for)
{
    static const net_answer_t full = {
        "HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\nRetry-After: 2\r\n"
        "Content-Length: 0\r\n\r\n",
        NET_KEEP};
    static hosts_t hosts;
    pps_relay_call_t *call;
    channel_outcome_t outcome;

    hosts_start(&hosts, 2, &full, 1);
    start_call(&hosts, hosts.hosts[0].address, &call, &outcome);
    cr_assert(net_run_until(&hosts.reactor, &outcome.finished, 1, LIMIT_MS));
    cr_expect_eq(outcome.status, 503);
    start_call(&hosts, hosts.hosts[0].address, &call, &outcome);
    cr_assert(net_run_until(&hosts.reactor, &outcome.finished, 1, LIMIT_MS));
    cr_expect_eq(outcome.failure, (int)PPS_CHANNEL_RELAY_DECLINED);
    cr_expect_eq(hosts_count_requests(&hosts), 1);
}

/* A request that must not run twice, and whose neighbour ends after it passed
 * the request on, is not sent again, and not told as not run. */
Test(relay, once_only_request_runs_once_when_the_relay_breaks)
{
    static const net_answer_t reset = {NULL, NET_RESET};
    static const fixture_answer_t unknown = {"unknown", "502", ""};
    static hosts_t hosts;
    net_client_t client;

    hosts_start(&hosts, 3, &reset, 1);
    hosts_mark_paths(&hosts, 0, 1);
    hosts_request(&hosts, 0, &client, "/once/");
    net_run_until_ended(&hosts.reactor, &client, LIMIT_MS);
    fixture_expect(&unknown, &client);
    net_run_for(&hosts.reactor, SETTLE_MS);
    cr_expect_eq(hosts_count_requests(&hosts), 1);
}

/* An answer much larger than what may wait for the other host arrives whole.
 */
Test(relay, large_answer_arrives_whole)
{
    static const size_t size = 6U << 20;
    static hosts_t hosts;
    static net_answer_t answer = {NULL, NET_KEEP};
    pps_buf_t text = PPS_BUF_INIT;
    pps_relay_call_t *call;
    channel_outcome_t outcome;

    pps_buf_printf(&text, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n",
                   size);
    for (size_t i = 0; i < size; i += 16) {
        pps_buf_puts(&text, "0123456789abcdef");
    }
    answer.text = pps_buf_text(&text);
    hosts_start(&hosts, 2, &answer, 1);
    start_call(&hosts, hosts.hosts[0].address, &call, &outcome);
    cr_assert(net_run_until(&hosts.reactor, &outcome.finished, 1, LIMIT_MS));
    cr_expect_eq(outcome.failure, CHANNEL_COMPLETE);
    cr_expect_eq(outcome.body.size, size);
    pps_buf_clear(&outcome.body);
    pps_buf_clear(&text);
}

/** Longer than a sound worker may be silent. */
#define PAUSE_MS 1500

/* A stream goes on after its worker was silent, directly and through another
 * host. */
Test(relay, stream_goes_on_after_its_worker_was_silent)
{
    static const net_answer_t first = {STREAM "\r\n" EVENT("1"), NET_KEEP};
    static const char rest[] = EVENT("2") LAST_CHUNK;
    static const fixture_answer_t whole = {
        "whole", "200", "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n"};

    for (int is_lost = 0; is_lost < 2; is_lost++) {
        static hosts_t hosts;
        net_client_t client;

        hosts_start(&hosts, 2, &first, 1);
        hosts_mark_paths(&hosts, 0, is_lost);
        hosts_request(&hosts, 0, &client, "/stream/");
        net_run_for(&hosts.reactor, PAUSE_MS);
        cr_assert_eq(hosts_count_requests(&hosts), 1);
        for (int i = 0; i < HOSTS_WORKERS; i++) {
            if (hosts.workers[i].requests > 0) {
                net_server_send(&hosts.workers[i], rest, strlen(rest));
            }
        }
        net_run_until_ended(&hosts.reactor, &client, LIMIT_MS);
        fixture_expect(&whole, &client);
        cr_expect_eq(hosts_count_requests(&hosts), 1);
    }
}

#define LIMIT_PER_S 2
/** Until each worker takes a request. */
#define SAVE_MS 700

static void
give_share(void *user, const pps_pool_worker_t *worker, unsigned int *hosts,
           int *before)
{
    *hosts = 1;
    *before = user != NULL ? 0 : -1;
}

/* A host that may not send to a worker that names a limit has a neighbour send
 * with its share, which is used up by that. */
Test(relay, host_without_a_share_of_a_limit_refuses)
{
    static const net_answer_t script[] = {{"HTTP/1.1 200 OK\r\n" SEALED
                                           "Server-Limit: 2\r\n"
                                           "Content-Length: 2\r\n\r\nhi",
                                           NET_KEEP}};
    static const fixture_answer_t served = {"served", "200", "hi"};
    static const fixture_answer_t refused = {"used up", "503", ""};
    static hosts_t hosts;
    net_client_t client;

    hosts_start(&hosts, 2, script, 1);
    for (unsigned int h = 0; h < 2; h++) {
        pps_dispatcher_t *dispatcher = &hosts.hosts[h].dispatcher;
        pps_pool_worker_t *worker;

        dispatcher->limit_rank = give_share;
        dispatcher->notice_user = h == 1 ? dispatcher : NULL;
        cds_list_for_each_entry (worker, pps_pool_workers(dispatcher->pool),
                                 node) {
            pps_worker_limit_name(&worker->limit, LIMIT_PER_S,
                                  hosts.reactor.now_us);
        }
    }
    cr_assert_eq(pps_worker_has_share(
                     &hosts.hosts[1].dispatcher,
                     pps_pool_lookup(hosts.hosts[1].dispatcher.pool, "w0"),
                     NULL),
                 0);
    net_run_for(&hosts.reactor, SAVE_MS);
    for (int i = 0; i < HOSTS_WORKERS; i++) {
        hosts_request(&hosts, 0, &client, "/once/");
        net_run_until_ended(&hosts.reactor, &client, LIMIT_MS);
        if (i < HOSTS_WORKERS / 2) {
            fixture_expect(&served, &client);
        }
    }
    for (int i = 0; i < HOSTS_WORKERS; i++) {
        hosts_request(&hosts, 0, &client, "/once/");
        net_run_until_ended(&hosts.reactor, &client, LIMIT_MS);
    }
    fixture_expect(&refused, &client);
    cr_expect_leq(hosts_count_requests(&hosts), HOSTS_WORKERS);
}

typedef struct {
    const char *name;
    const char *text;
    const char *status;
} malformed_case_t;

#define HEAD_END " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n"
#define DIGEST "0123456789abcdef"

static const malformed_case_t malformed_cases[] = {
    {"another path", "POST /topics/x" HEAD_END "Content-Length: 2\r\n\r\nab",
     "404"},
    {"no digest", "POST /workers/" HEAD_END "Content-Length: 2\r\n\r\nab",
     "404"},
    {"a digest with more behind it",
     "POST /workers/" DIGEST "/x" HEAD_END "Content-Length: 2\r\n\r\nab",
     "404"},
    {"slots of no share",
     "POST /workers/" DIGEST "?slots=2" HEAD_END "Content-Length: 2\r\n\r\nab",
     "404"},
    {"no slots",
     "POST /shares/" DIGEST "?slots=0" HEAD_END "Content-Length: 2\r\n\r\nab",
     "404"},
    {"too many slots",
     "POST /shares/" DIGEST "?slots=99999" HEAD_END
     "Content-Length: 2\r\n\r\nab",
     "404"},
    {"slots that are no number",
     "POST /shares/" DIGEST "?slots=2x" HEAD_END "Content-Length: 2\r\n\r\nab",
     "404"},
    {"a caller that is no host",
     "POST /workers/" DIGEST HEAD_END "Content-Length: 2\r\n\r\nab", "403"},
    {"the same with a share",
     "POST /shares/" DIGEST HEAD_END "Content-Length: 2\r\n\r\nab", "403"},
    {"a body over the limit",
     "POST /workers/" DIGEST HEAD_END "Content-Length: 99999999\r\n\r\nab",
     "413"},
    {"a length that is no number",
     "POST /workers/" DIGEST HEAD_END "Content-Length: x\r\n\r\nab", "400"},
    {"no HTTP", "hello\r\n\r\n", "400"},
};

Test(relay, malformed_calls_reach_no_worker)
{
    static const net_answer_t answer = {OK_PLAIN, NET_KEEP};
    static hosts_t hosts;

    hosts_start(&hosts, 2, &answer, 1);
    for (size_t i = 0; i < sizeof(malformed_cases) / sizeof(*malformed_cases);
         i++) {
        const malformed_case_t *item = &malformed_cases[i];
        const fixture_answer_t refused = {item->name, item->status, ""};
        pps_relay_server_t *server;
        net_client_t client;

        cr_assert_eq(pps_relay_server_new(&server, &hosts.reactor, "127.0.0.1",
                                          0, NULL, &pps_relay_desk_ops,
                                          &hosts.hosts[1].relay_desk),
                     0);
        net_client_start(&client, &hosts.reactor,
                         pps_relay_server_port(server), item->text);
        net_run_until_ended(&hosts.reactor, &client, LIMIT_MS);
        fixture_expect(&refused, &client);
    }
    cr_expect_eq(hosts_count_requests(&hosts), 0);
}
