/** @file test_http_server.c @brief Tests requests, limits and disconnects. */
#include "net.h"
#include "transport/http_server.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <string.h>

#define LIMIT_MS 5000 /* for what happens at once on an idle machine */
#define SETTLE_MS 40
#define STEP_MS 10

typedef struct {
    size_t requests;
    size_t disconnects;
    int hold; /* requests are not answered */
    pps_buf_t log;
} owner_t;

static void
on_request(void *user, pps_http_conn_t *conn,
           const pps_http_request_t *request)
{
    owner_t *owner = user;

    owner->requests++;
    pps_buf_printf(&owner->log, "%s %s %.*s;", request->method,
                   pps_buf_text(&request->target), (int)request->body.size,
                   pps_buf_text(&request->body));
    if (owner->hold) {
        pps_http_conn_attach(conn, owner);
        return;
    }
    pps_http_conn_respond(conn, 200, "X-A: b\r\n", "ok", 2);
}

static void
on_disconnect(void *user, void *exchange)
{
    ((owner_t *)user)->disconnects++;
}

static const pps_http_server_ops_t ops = {on_request, on_disconnect};
/* header_bytes, body_bytes, request_timeout_us, idle_timeout_us */
static pps_http_limits_t limits = {200, 20, 200 * PPS_US_PER_MS,
                                   400 * PPS_US_PER_MS};

/* Time of a server whose limits are tested; it stands while a test waits for
 * bytes, so that a busy machine does not use up a limit. */
static int64_t manual_now_us;

static int64_t
read_manual_clock(void)
{
    return manual_now_us;
}

static void
init_reactor(pps_reactor_t *reactor)
{
    cr_assert_eq(pps_reactor_init(reactor), 0);
    manual_now_us = reactor->now_us;
    reactor->read_clock = read_manual_clock;
}

/** Advances the time until the server ends the connection.
 * @return the time that passed, at most `limit_ms`, in milliseconds */
static unsigned int
advance_until_ended(pps_reactor_t *reactor, const net_client_t *client,
                    unsigned int limit_ms)
{
    unsigned int passed_ms = 0;

    while (!client->ended && passed_ms < limit_ms) {
        net_run_for(reactor, 5);
        passed_ms += STEP_MS;
        manual_now_us += STEP_MS * PPS_US_PER_MS;
    }
    net_run_for(reactor, SETTLE_MS);
    return passed_ms;
}

#define GET "GET /a HTTP/1.1\r\nHost: h\r\n"
#define POST "POST /b HTTP/1.1\r\nHost: h\r\n"

typedef struct {
    const char *name;
    const char *text;
    const char *requests; /* expected log of the owner */
    const char *answer;   /* expected start of the response */
    int ended;            /* whether the server closes the connection */
} case_t;

static const case_t cases[] = {
    {"plain", GET "\r\n", "GET /a ;", "HTTP/1.1 200 OK", 0},
    {"closing", GET "Connection: close\r\n\r\n", "GET /a ;", "HTTP/1.1 200 OK",
     1},
    {"body", POST "Content-Length: 3\r\n\r\nabc", "POST /b abc;",
     "HTTP/1.1 200 OK", 0},
    {"chunks",
     POST "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
     "POST /b abc;", "HTTP/1.1 200 OK", 0},
    {"two at once", GET "\r\n" POST "Content-Length: 1\r\n\r\nx",
     "GET /a ;POST /b x;", "HTTP/1.1 200 OK", 0},
    {"length and chunks",
     POST "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     "", "HTTP/1.1 400 Bad Request", 1},
    {"two lengths", POST "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
     "", "HTTP/1.1 400 Bad Request", 1},
    {"odd encoding", POST "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", "",
     "HTTP/1.1 400 Bad Request", 1},
    {"two encodings",
     POST
     "Transfer-Encoding: chunked\r\nTransfer-Encoding: x\r\n\r\n0\r\n\r\n",
     "", "HTTP/1.1 400 Bad Request", 1},
    {"no host", "GET /a HTTP/1.1\r\n\r\n", "", "HTTP/1.1 400 Bad Request", 1},
    {"two hosts", GET "Host: other\r\n\r\n", "", "HTTP/1.1 400 Bad Request",
     1},
    {"not HTTP", "hello\r\n\r\n", "", "HTTP/1.1 400 Bad Request", 1},
    {"body over the limit", POST "Content-Length: 21\r\n\r\n", "",
     "HTTP/1.1 413 Payload Too Large", 1},
    {"chunks over the limit",
     POST "Transfer-Encoding: chunked\r\n\r\n"
          "18\r\nabcdefghijklmnopqrstuvwx\r\n0\r\n\r\n",
     "", "HTTP/1.1 413 Payload Too Large", 1},
    {"header over the limit",
     GET "X: "
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
         "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n\r\n",
     "", "HTTP/1.1 431 Request Header Fields Too Large", 1},
};

static void
expect_answer(const net_client_t *client, const case_t *item)
{
    const char *text = pps_buf_text(&client->got);
    size_t size = strlen(item->answer);

    cr_expect_eq(strncmp(text, item->answer, size), 0, "%s: %.40s", item->name,
                 text);
    cr_expect_eq(client->ended, item->ended, "%s", item->name);
}

/** Runs the loop until the server has done what is expected of it. */
static void
run_case(pps_reactor_t *reactor, const owner_t *owner,
         const net_client_t *client, const case_t *item)
{
    size_t size = strlen(item->answer);

    for (unsigned int waited_ms = 0; waited_ms < LIMIT_MS; waited_ms += 5) {
        if (strcmp(pps_buf_text(&owner->log), item->requests) == 0 &&
            strncmp(pps_buf_text(&client->got), item->answer, size) == 0 &&
            client->ended == item->ended) {
            break;
        }
        net_run_for(reactor, 5);
    }
    net_run_for(reactor, SETTLE_MS);
}

Test(http_server, requests)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_reactor_t reactor;
        pps_http_server_t *server;
        owner_t owner = {0};
        net_client_t client;

        init_reactor(&reactor);
        cr_assert_eq(pps_http_server_new(&server, &reactor, "127.0.0.1", 0,
                                         &limits, &ops, &owner),
                     0);
        net_client_start(&client, &reactor, pps_http_server_port(server),
                         cases[i].text);
        run_case(&reactor, &owner, &client, &cases[i]);
        cr_expect_str_eq(pps_buf_text(&owner.log), cases[i].requests, "%s",
                         cases[i].name);
        expect_answer(&client, &cases[i]);
        pps_buf_clear(&owner.log);
    }
}

Test(http_server, a_slow_header_gets_408_and_is_not_delivered)
{
    pps_reactor_t reactor;
    pps_http_server_t *server;
    owner_t owner = {0};
    net_client_t client;
    const case_t item = {"slow", "", "", "HTTP/1.1 408 Request Timeout", 1};
    unsigned int passed_ms;

    init_reactor(&reactor);
    cr_assert_eq(pps_http_server_new(&server, &reactor, "127.0.0.1", 0,
                                     &limits, &ops, &owner),
                 0);
    net_client_start(&client, &reactor, pps_http_server_port(server),
                     "GET /a HT");
    passed_ms = advance_until_ended(&reactor, &client, 400);
    cr_expect_gt(passed_ms, 200);
    expect_answer(&client, &item);
    cr_expect_eq(owner.requests, 0);
}

Test(http_server, a_disconnect_is_reported)
{
    pps_reactor_t reactor;
    pps_http_server_t *server;
    owner_t owner = {.hold = 1};
    net_client_t client;

    init_reactor(&reactor);
    cr_assert_eq(pps_http_server_new(&server, &reactor, "127.0.0.1", 0,
                                     &limits, &ops, &owner),
                 0);
    net_client_start(&client, &reactor, pps_http_server_port(server),
                     GET "\r\n");
    cr_assert(net_run_until(&reactor, &owner.requests, 1, LIMIT_MS));
    net_client_close(&client);
    cr_expect(net_run_until(&reactor, &owner.disconnects, 1, LIMIT_MS));
    cr_expect_eq(pps_http_server_connections(server), 0);
}

Test(http_server, an_idle_connection_is_closed)
{
    pps_reactor_t reactor;
    pps_http_server_t *server;
    owner_t owner = {0};
    net_client_t client;
    unsigned int passed_ms;

    init_reactor(&reactor);
    cr_assert_eq(pps_http_server_new(&server, &reactor, "127.0.0.1", 0,
                                     &limits, &ops, &owner),
                 0);
    net_client_start(&client, &reactor, pps_http_server_port(server), "");
    passed_ms = advance_until_ended(&reactor, &client, 600);
    cr_expect_gt(passed_ms, 400);
    cr_expect_eq(client.ended, 1);
}
