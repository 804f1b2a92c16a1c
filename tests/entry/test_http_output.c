/** @file test_http_output.c @brief Tests responses that are written late. */
#include "net.h"
#include "transport/http_server.h"

#include "clock.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <string.h>

#define REQUEST "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
#define CLOSING "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
#define CHUNKS "3\r\none\r\n3\r\ntwo\r\n"

typedef struct {
    pps_http_conn_t *conn;
    size_t requests;
} owner_t;

static void
on_request(void *user, pps_http_conn_t *conn,
           const pps_http_request_t *request)
{
    owner_t *owner = user;

    owner->conn = conn;
    owner->requests++;
    pps_http_conn_attach(conn, owner);
}

static void
on_disconnect(void *user, void *exchange)
{
}

static const pps_http_server_ops_t ops = {on_request, on_disconnect};
static pps_http_limits_t limits = {200, 20, 2 * PPS_US_PER_S,
                                   4 * PPS_US_PER_S};

/** What happens between the last chunk and the next wait for events. */
typedef enum {
    END,
    DRAIN_AND_END,
    END_AND_STOP,
    ABORT,
} finish_t;

typedef struct {
    const char *name;
    const char *request;
    finish_t finish;
    const char *body; /* that the caller receives */
    int ended;
} case_t;

/* Output that is still collected when a connection closes must not be lost:
 * the caller would see a response cut off in the middle. */
static const case_t cases[] = {
    {"kept open", REQUEST, END, CHUNKS "0\r\n\r\n", 0},
    {"closed after the response", CLOSING, END, CHUNKS "0\r\n\r\n", 1},
    {"draining since the head", REQUEST, DRAIN_AND_END, CHUNKS "0\r\n\r\n", 1},
    {"stopped after the end", REQUEST, END_AND_STOP, CHUNKS "0\r\n\r\n", 1},
    {"aborted", REQUEST, ABORT, CHUNKS, 1},
};

static void
finish(pps_http_server_t *server, pps_http_conn_t *conn, finish_t how)
{
    if (how == DRAIN_AND_END) {
        pps_http_server_drain(server);
    }
    if (how == ABORT) {
        pps_http_conn_abort(conn);
        return;
    }
    pps_http_conn_end(conn);
    if (how == END_AND_STOP) {
        pps_http_server_stop(server);
    }
}

Test(http_output, whole_responses)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_reactor_t reactor;
        pps_http_server_t *server;
        owner_t owner = {0};
        net_client_t client;
        const char *body;

        steady_clock_init_reactor(&reactor);
        cr_assert_eq(pps_http_server_new(&server, &reactor, "127.0.0.1", 0,
                                         &limits, &ops, &owner),
                     0);
        net_client_start(&client, &reactor, pps_http_server_port(server),
                         cases[i].request);
        cr_assert(net_run_until(&reactor, &owner.requests, 1, 2000));
        pps_http_conn_begin(owner.conn, 200, "");
        pps_http_conn_chunk(owner.conn, "one", 3);
        pps_http_conn_chunk(owner.conn, "two", 3);
        cr_expect_gt(pps_http_conn_queued_bytes(owner.conn),
                     strlen(cases[i].body) - 5,
                     "%s: head and chunks are one write", cases[i].name);
        finish(server, owner.conn, cases[i].finish);
        net_run_for(&reactor, 100);
        body = strstr(pps_buf_text(&client.got), "\r\n\r\n");
        cr_assert_not_null(body, "%s", cases[i].name);
        cr_expect_str_eq(body + 4, cases[i].body, "%s", cases[i].name);
        cr_expect_eq(client.ended, cases[i].ended, "%s", cases[i].name);
    }
}
