/** @file test_http_channel.c @brief Answers as a worker may send them. */
#include "net.h"
#include "transport/http_channel.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <string.h>

#define LIMIT_MS 3000

typedef struct {
    size_t over;
    int failure; /* -1: the answer was whole */
    unsigned int status;
    pps_buf_t body;
} seen_t;

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    seen_t *seen = user;
    const char *id = pps_headers_get(&reply->headers, "X-Request-Id");

    if (id != NULL && strcmp(id, "other") == 0) {
        return 1;
    }
    seen->status = reply->status;
    return 0;
}

static void
on_body(void *user, const char *data, size_t size)
{
    pps_buf_append(&((seen_t *)user)->body, data, size);
}

static void
on_end(void *user)
{
    seen_t *seen = user;

    seen->failure = -1;
    seen->over = 1;
}

static void
on_fail(void *user, pps_channel_failure_t failure)
{
    seen_t *seen = user;

    seen->failure = (int)failure;
    seen->over = 1;
}

static const pps_channel_ops_t ops = {on_head, on_body, on_end, on_fail};
static const pps_channel_options_t options = {500 * PPS_US_PER_MS, 2000};

#define OK "HTTP/1.1 200 OK\r\n"
#define WHOLE (-1)

typedef struct {
    const char *name;
    net_answer_t answer;
    int failure;
    const char *body;
} case_t;

static const case_t cases[] = {
    {"with a length",
     {OK "Content-Length: 2\r\n\r\nab", NET_KEEP},
     WHOLE,
     "ab"},
    {"in chunks",
     {OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", NET_KEEP},
     WHOLE,
     "ab"},
    {"ended by its connection", {OK "\r\nab", NET_CLOSE}, WHOLE, "ab"},
    {"reset behind its last byte",
     {OK "\r\nab", NET_RESET},
     PPS_CHANNEL_BROKEN,
     "ab"},
    {"shorter than its length",
     {OK "Content-Length: 5\r\n\r\nab", NET_CLOSE},
     PPS_CHANNEL_BROKEN,
     "ab"},
    {"chunks without an end",
     {OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", NET_CLOSE},
     PPS_CHANNEL_BROKEN,
     "ab"},
    {"no answer", {NULL, NET_CLOSE}, PPS_CHANNEL_BROKEN, ""},
    {"no HTTP", {"what is this\r\n\r\n", NET_KEEP}, PPS_CHANNEL_MALFORMED, ""},
    {"another request's answer first",
     {OK "X-Request-Id: other\r\nContent-Length: 3\r\n\r\nxxx" OK
         "Content-Length: 2\r\n\r\nab",
      NET_KEEP},
     WHOLE,
     "ab"},
    {"only another request's answer",
     {OK "X-Request-Id: other\r\nContent-Length: 3\r\n\r\nxxx", NET_CLOSE},
     PPS_CHANNEL_BROKEN,
     ""},
    {"an interim answer first",
     {"HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 2\r\n\r\nab",
      NET_KEEP},
     WHOLE,
     "ab"},
    {"a second answer behind it",
     {OK "Content-Length: 2\r\n\r\nab" OK "Content-Length: 1\r\n\r\nz",
      NET_KEEP},
     WHOLE,
     "ab"},
};

static void
call(pps_http_channel_t *channel, seen_t *seen)
{
    static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

    memset(seen, 0, sizeof(*seen));
    cr_assert_eq(
        pps_http_channel_call(channel, text, strlen(text), &ops, seen), 0);
}

Test(http_channel, answers)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        pps_reactor_t reactor;
        net_server_t server;
        pps_http_channel_t *channel;
        seen_t seen;

        cr_assert_eq(pps_reactor_init(&reactor), 0);
        net_server_start(&server, &reactor, &cases[i].answer, 1);
        cr_assert_eq(pps_http_channel_new(&channel, &reactor, server.address,
                                          &options, NULL, NULL),
                     0);
        call(channel, &seen);
        cr_assert(net_run_until(&reactor, &seen.over, 1, LIMIT_MS), "%s",
                  cases[i].name);
        cr_expect_eq(seen.failure, cases[i].failure, "%s: %d", cases[i].name,
                     seen.failure);
        cr_expect_str_eq(pps_buf_text(&seen.body), cases[i].body, "%s",
                         cases[i].name);
        pps_buf_clear(&seen.body);
    }
}

Test(http_channel, nothing_is_sent_without_a_connection)
{
    pps_reactor_t reactor;
    pps_http_channel_t *channel;
    seen_t seen;

    cr_assert_eq(pps_reactor_init(&reactor), 0);
    cr_assert_eq(pps_http_channel_new(&channel, &reactor, "127.0.0.1:1",
                                      &options, NULL, NULL),
                 0);
    call(channel, &seen);
    cr_assert(net_run_until(&reactor, &seen.over, 1, LIMIT_MS));
    cr_expect_eq(seen.failure, (int)PPS_CHANNEL_UNSENT);
}

Test(http_channel, a_kept_channel_serves_again)
{
    static const net_answer_t answer = {OK "Content-Length: 0\r\n\r\n",
                                        NET_KEEP};
    pps_reactor_t reactor;
    net_server_t server;
    pps_http_channel_t *channel;

    cr_assert_eq(pps_reactor_init(&reactor), 0);
    net_server_start(&server, &reactor, &answer, 1);
    cr_assert_eq(pps_http_channel_new(&channel, &reactor, server.address,
                                      &options, NULL, NULL),
                 0);
    for (int i = 0; i < 3; i++) {
        seen_t seen;

        call(channel, &seen);
        cr_assert(net_run_until(&reactor, &seen.over, 1, LIMIT_MS));
        cr_expect_eq(seen.failure, WHOLE);
        cr_expect(pps_http_channel_is_idle(channel));
    }
    cr_expect_eq(pps_http_channel_calls(channel), 3);
}
