/** @file test_http_pipelining.c @brief Callers that send requests before they
 * have the answers to earlier ones. */
#include "net.h"
#include "transport/http_server.h"

#include "clock.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LIMIT_MS 10000
#define REQUEST_BYTES_MAX 256
/** What all requests of a case may take, beside those that are kept. */
#define STACK_BYTES_MAX (16U << 10)
#define HEAP_BYTES_MAX (1U << 20)

typedef struct {
    const char *name;
    unsigned int requests;
    size_t body_bytes; /**< of each request */
    int is_held;       /**< the first answer comes after all bytes */
    int closes;        /**< the last request ends the connection */
} play_t;

static const play_t plays[] = {
    {"a few", 3, 0, 0, 0},
    {"65 KB of small requests", 2600, 0, 0, 0},
    {"300 KB of small requests", 12000, 0, 0, 0},
    {"requests with bodies", 600, 120, 0, 0},
    {"behind a slow one", 3, 0, 1, 0},
    {"200 KB behind a slow one", 8000, 0, 1, 0},
    {"200 KB with bodies behind a slow one", 1400, 120, 1, 0},
    {"the last one ends the connection", 2600, 0, 0, 1},
    {"the last one behind a slow one ends the connection", 8000, 0, 1, 1},
};

static struct {
    const play_t *item;
    size_t requests;
    size_t body_bytes;
    pps_http_conn_t *held;
    const char *stack;
    size_t stack_bytes; /* most that a request was deeper than the first */
    size_t heap_bytes;  /* most that was in use, more than at the first */
    size_t heap_begin;
} owner;

static void
measure(void)
{
    char here;
    size_t depth = owner.requests > 0 && owner.stack > &here
                       ? (size_t)(owner.stack - &here)
                       : 0;
    size_t heap = mallinfo2().uordblks;

    if (owner.requests == 0) {
        owner.stack = &here;
        owner.heap_begin = heap;
    }
    if (depth > owner.stack_bytes) {
        owner.stack_bytes = depth;
    }
    if (heap > owner.heap_begin + owner.heap_bytes) {
        owner.heap_bytes = heap - owner.heap_begin;
    }
}

static void
answer(pps_http_conn_t *conn)
{
    pps_http_conn_respond(conn, 200, "", "ok", 2);
}

static void
on_request(void *user, pps_http_conn_t *conn,
           const pps_http_request_t *request)
{
    measure();
    owner.body_bytes += request->body.size;
    if (owner.requests++ == 0 && owner.item->is_held) {
        owner.held = conn;
        pps_http_conn_attach(conn, &owner);
        return;
    }
    answer(conn);
}

static void
on_disconnect(void *user, void *exchange)
{
    owner.held = NULL;
}

static const pps_http_server_ops_t ops = {on_request, on_disconnect};

static char *
make_text(const play_t *item)
{
    char *text = calloc(item->requests, REQUEST_BYTES_MAX);
    size_t size = 0;

    for (unsigned int i = 0; i < item->requests; i++) {
        const char *end = item->closes && i + 1 == item->requests
                              ? "Connection: close\r\n"
                              : "";

        size += (size_t)snprintf(text + size, REQUEST_BYTES_MAX,
                                 item->body_bytes > 0
                                     ? "GET /a HTTP/1.1\r\nHost: h\r\n%s"
                                       "Content-Length: %zu\r\n\r\n"
                                     : "GET / HTTP/1.1\r\nHost:\r\n%s\r\n",
                                 end, item->body_bytes);
        memset(text + size, 'b', item->body_bytes);
        size += item->body_bytes;
    }
    return text;
}

static size_t
count_answers(const net_client_t *client)
{
    const char *at = pps_buf_text(&client->got);
    size_t count = 0;

    while ((at = strstr(at, "\r\n\r\nok")) != NULL) {
        count++;
        at++;
    }
    return count;
}

static void
run_play(const play_t *item)
{
    static const pps_http_limits_t limits = {4096, 4096, 60 * PPS_US_PER_S,
                                             60 * PPS_US_PER_S};
    pps_reactor_t reactor;
    pps_http_server_t *server;
    net_client_t client;
    char *text = make_text(item);

    memset(&owner, 0, sizeof(owner));
    owner.item = item;
    steady_clock_init_reactor(&reactor);
    cr_assert_eq(pps_http_server_new(&server, &reactor, "127.0.0.1", 0,
                                     &limits, &ops, NULL),
                 0);
    net_client_start(&client, &reactor, pps_http_server_port(server), text);
    net_run_until(&reactor, &owner.requests, 1, LIMIT_MS);
    if (item->is_held) {
        net_run_for(&reactor, 50);
        cr_assert_not_null(owner.held, "%s: cut off", item->name);
        answer(owner.held);
    }
    cr_expect(
        net_run_until(&reactor, &owner.requests, item->requests, LIMIT_MS),
        "%s: %zu served", item->name, owner.requests);
    net_run_for(&reactor, 50);
    cr_expect_eq(count_answers(&client), item->requests, "%s: %zu answers",
                 item->name, count_answers(&client));
    cr_expect_eq(owner.body_bytes, item->requests * item->body_bytes, "%s",
                 item->name);
    cr_expect_eq(client.ended, item->closes, "%s: %d", item->name,
                 client.ended);
    cr_expect_lt(owner.stack_bytes, STACK_BYTES_MAX, "%s: %zu B of stack",
                 item->name, owner.stack_bytes);
    cr_expect_lt(owner.heap_bytes,
                 HEAP_BYTES_MAX + count_answers(&client) * REQUEST_BYTES_MAX,
                 "%s: %zu B of heap", item->name, owner.heap_bytes);
    net_client_close(&client);
    free(text);
}

/* Guards against requests that take one level of the stack and one copy of all
 * that follows each, and against a caller that is cut off for sending ahead.
 */
Test(http_pipelining, requests_sent_ahead_take_the_memory, .timeout = 120)
{
    for (size_t i = 0; i < sizeof(plays) / sizeof(*plays); i++) {
        run_play(&plays[i]);
    }
}
