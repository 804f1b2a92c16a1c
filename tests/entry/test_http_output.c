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

#define LARGE_BYTES (9U << 20)
#define PIECE_BYTES 65536
#define SMALL_WINDOW_BYTES 65536
#define READ_MS 20000

/** Connects with a small receive buffer and does not read yet. */
static void
start_slow_client(net_client_t *client, pps_reactor_t *reactor,
                  unsigned int port, const char *text)
{
    int size = SMALL_WINDOW_BYTES;

    net_client_start(client, reactor, port, text);
    uv_recv_buffer_size((uv_handle_t *)&client->tcp, &size);
}

typedef struct {
    const char *name;
    const char *request;
    size_t bytes; /* of the answer */
    finish_t finish;
    int is_whole;
} slow_case_t;

/* The first has more than an owner may queue. */
static const slow_case_t slow_cases[] = {
    {"over the limit", REQUEST, LARGE_BYTES, END, 0},
    {"over the limit, closing", CLOSING, LARGE_BYTES, END, 0},
    {"over the limit, draining", REQUEST, LARGE_BYTES, DRAIN_AND_END, 0},
    {"kept open", REQUEST, 3U << 20, END, 1},
    {"closing", CLOSING, 3U << 20, END, 1},
    {"draining", REQUEST, 3U << 20, DRAIN_AND_END, 1},
    {"stopped after the end", REQUEST, 3U << 20, END_AND_STOP, 1},
};

/* Guards against an answer that ends as if it were whole though pieces of it
 * were dropped, and against a stop that cuts off what a caller still reads. */
Test(http_output, slow_caller_gets_a_cut_answer_as_whole, .timeout = 60)
{
    static char piece[PIECE_BYTES];

    for (size_t i = 0; i < sizeof(slow_cases) / sizeof(*slow_cases); i++) {
        const slow_case_t *item = &slow_cases[i];
        pps_reactor_t reactor;
        pps_http_server_t *server;
        owner_t owner = {0};
        net_client_t client;
        int has_end;

        steady_clock_init_reactor(&reactor);
        cr_assert_eq(pps_http_server_new(&server, &reactor, "127.0.0.1", 0,
                                         &limits, &ops, &owner),
                     0);
        start_slow_client(&client, &reactor, pps_http_server_port(server),
                          item->request);
        cr_assert(net_run_until(&reactor, &owner.requests, 1, 2000));
        pps_http_conn_begin(owner.conn, 200, "");
        for (size_t sent = 0; sent < item->bytes; sent += PIECE_BYTES) {
            pps_http_conn_chunk(owner.conn, piece, PIECE_BYTES);
        }
        finish(server, owner.conn, item->finish);
        for (int waited = 0;
             waited < READ_MS && !client.ended &&
             (!item->is_whole || client.got.size < item->bytes);
             waited += 10) {
            net_run_for(&reactor, 10);
        }
        net_run_for(&reactor, 100);
        has_end =
            client.got.size > 5 &&
            memcmp(client.got.data + client.got.size - 5, "0\r\n\r\n", 5) == 0;
        cr_expect_eq(has_end, item->is_whole, "%s: %zu bytes", item->name,
                     client.got.size);
        if (item->is_whole) {
            cr_expect_gt(client.got.size, item->bytes, "%s", item->name);
        }
        else {
            cr_expect_neq(client.ended, 0, "%s: not ended", item->name);
        }
        net_client_close(&client);
        pps_http_server_stop(server);
        pps_buf_clear(&client.got);
    }
}
