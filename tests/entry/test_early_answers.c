/**
 * @file test_early_answers.c
 * @brief Answers that a worker sends while a long request is being written.
 *
 * The reading of the answer is paused until a write has met the end of the
 * connection, so that the write takes the socket's error each time.
 */
#include "channel_cases.h"
#include "clock.h"
#include "hosts_fixture.h"
#include "relay/relay_call.h"
#include "steady_clock.h"
#include "transport/http_channel.h"

#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LIMIT_MS 3000
#define SETTLE_MS 30
/** More than the sockets of a connection hold. */
#define REQUEST_BYTES (8U << 20)
#define RECEIVE_BUFFER_BYTES 4096
/** Lets a request be read in few turns of the loop. */
#define READ_BUFFER_BYTES (1U << 20)

typedef enum {
    END_RESET,
    END_CLOSE, /**< in order, once the request has been read */
} end_t;

typedef struct {
    const char *name;
    const char *text;
    end_t end;
    int failure; /**< CHANNEL_COMPLETE, or a pps_channel_failure_t */
    const char *body;
} early_case_t;

#define OK "HTTP/1.1 200 OK\r\n"

static const early_case_t cases[] = {
    {"no length, reset", OK "\r\npart", END_RESET, PPS_CHANNEL_BROKEN, "part"},
    {"no length, no body yet, reset", OK "\r\n", END_RESET, PPS_CHANNEL_BROKEN,
     ""},
    {"no length, HTTP/1.0, reset", "HTTP/1.0 200 OK\r\n\r\npart", END_RESET,
     PPS_CHANNEL_BROKEN, "part"},
    {"no length, ended in order", OK "\r\nwhole", END_CLOSE, CHANNEL_COMPLETE,
     "whole"},
    {"a length, whole, reset", OK "Content-Length: 5\r\n\r\nwhole", END_RESET,
     CHANNEL_COMPLETE, "whole"},
    {"a length, part, reset", OK "Content-Length: 5\r\n\r\npart", END_RESET,
     PPS_CHANNEL_BROKEN, "part"},
    {"chunks, whole, reset",
     OK "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", END_RESET,
     CHANNEL_COMPLETE, "whole"},
    {"chunks, part, reset",
     OK "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", END_RESET,
     PPS_CHANNEL_BROKEN, "part"},
};

static void
set_receive_buffer(int fd, int bytes)
{
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
}

static int
listen_on(char address[NET_ADDRESS_BYTES])
{
    struct sockaddr_in at = {.sin_family = AF_INET,
                             .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t at_bytes = sizeof(at);
    int fd = socket(AF_INET, SOCK_STREAM, 0);

    set_receive_buffer(fd, RECEIVE_BUFFER_BYTES);
    cr_assert_eq(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
    cr_assert_eq(listen(fd, 1), 0);
    getsockname(fd, (struct sockaddr *)&at, &at_bytes);
    snprintf(address, NET_ADDRESS_BYTES, "127.0.0.1:%u", ntohs(at.sin_port));
    return fd;
}

/* Runs the loop until a connection has come and the request is being written,
 * and accepts it. */
static int
accept_from(int listener, pps_reactor_t *reactor)
{
    struct pollfd ready = {.fd = listener, .events = POLLIN};
    int waited_ms = 0;

    do {
        net_run_for(reactor, SETTLE_MS);
        waited_ms += SETTLE_MS;
    } while (poll(&ready, 1, 0) == 0 && waited_ms < LIMIT_MS);
    cr_assert_eq(poll(&ready, 1, 0), 1, "no connection has come");
    return accept(listener, NULL, NULL);
}

static char *
make_request(size_t *size)
{
    char *text = calloc(1, REQUEST_BYTES + 256);
    int head = snprintf(text, 256,
                        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: "
                        "%u\r\n\r\n",
                        REQUEST_BYTES);

    memset(text + head, 'u', REQUEST_BYTES);
    *size = (size_t)head + REQUEST_BYTES;
    return text;
}

/* Reads the whole request while the loop writes it. */
static void
read_request(pps_reactor_t *reactor, int fd, size_t size)
{
    static char piece[1U << 16];
    ssize_t got;

    set_receive_buffer(fd, READ_BUFFER_BYTES);
    while (size > 0) {
        got = recv(fd, piece, sizeof(piece), MSG_DONTWAIT);
        cr_assert(got > 0 || (got < 0 && errno == EAGAIN),
                  "the request was cut off");
        size -= got > 0 ? (size_t)got : 0;
        net_run_for(reactor, 1);
    }
}

static void
reset(int fd)
{
    const struct linger now = {.l_onoff = 1};

    setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    close(fd);
}

/* Answers and ends the connection; the reader is paused meanwhile. */
static void
answer(const early_case_t *item, pps_reactor_t *reactor, int fd, size_t size)
{
    if (item->end == END_CLOSE) {
        read_request(reactor, fd, size);
    }
    cr_assert_eq(send(fd, item->text, strlen(item->text), 0),
                 (ssize_t)strlen(item->text));
    if (item->end == END_CLOSE) {
        close(fd);
    }
    else {
        reset(fd);
    }
    net_run_for(reactor, SETTLE_MS);
}

static void
expect(const early_case_t *item, channel_outcome_t *outcome)
{
    const channel_case_t wanted = {
        .name = item->name, .failure = item->failure, .body = item->body};

    channel_expect(&wanted, outcome);
}

static void
run_case(const early_case_t *item)
{
    static const pps_channel_options_t options = {500 * PPS_US_PER_MS, 2000};
    char address[NET_ADDRESS_BYTES];
    channel_outcome_t outcome = {0};
    pps_http_channel_t *channel;
    pps_reactor_t reactor;
    int listener = listen_on(address);
    size_t size;
    char *text = make_request(&size);
    int fd;

    steady_clock_init_reactor(&reactor);
    cr_assert_eq(pps_http_channel_new(&channel, &reactor, address, &options,
                                      NULL, NULL),
                 0);
    cr_assert_eq(pps_http_channel_call(channel, text, size,
                                       &channel_outcome_ops, &outcome),
                 0);
    fd = accept_from(listener, &reactor);
    pps_http_channel_pause(channel);
    answer(item, &reactor, fd, size);
    pps_http_channel_resume(channel);
    cr_assert(net_run_until(&reactor, &outcome.finished, 1, LIMIT_MS), "%s",
              item->name);
    expect(item, &outcome);
    close(listener);
    free(text);
}

/* Guards against an answer without a length that counts as complete although
 * its connection was reset, because a write of the request took the error. */
Test(early_answers, part_of_an_answer_is_taken_for_whole, .timeout = 60)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        run_case(&cases[i]);
    }
}

/** Bytes of an answer that a relay may hold in this test. */
#define RELAY_QUEUED_BYTES (256U << 10)
/** Turns of the loop without a byte more, after which a relay reads no more.
 */
#define FULL_TURNS 50

/* Sends an answer without a length until the relay reads no more of it. */
static void
fill_relay(pps_reactor_t *reactor, int fd)
{
    static const char head[] = OK "\r\n";
    static const char piece[1U << 16];
    int idle_turns = 0;

    cr_assert_gt(send(fd, head, strlen(head), 0), 0);
    while (idle_turns < FULL_TURNS) {
        ssize_t sent = send(fd, piece, sizeof(piece), MSG_DONTWAIT);

        idle_turns = sent > 0 ? 0 : idle_turns + 1;
        net_run_for(reactor, 1);
    }
}

/* Starts a call of the first host to the listener through the second. */
static pps_relay_call_t *
call_through_relay(hosts_t *hosts, const char *address, const char *text,
                   size_t size, channel_outcome_t *outcome)
{
    pps_pool_worker_t *worker =
        pps_pool_lookup(hosts->hosts[1].dispatcher.pool, "w0");
    const pps_relay_route_t route = {
        .neighbour = hosts->hosts[1].relay,
        .local_address = hosts->hosts[0].address,
        .worker = worker->digest,
    };
    pps_relay_call_t *call;

    snprintf(worker->info.address, sizeof(worker->info.address), "%s",
             address);
    pps_relay_server_set_request_max(hosts->hosts[1].relays, size);
    pps_relay_server_set_queued_max(hosts->hosts[1].relays,
                                    RELAY_QUEUED_BYTES);
    cr_assert_eq(pps_relay_call_new(&call, &hosts->reactor, &route, text, size,
                                    &channel_outcome_ops, outcome),
                 0);
    return call;
}

/* The same through another host, which reads no more of the answer while the
 * first one is slow, and writes the request meanwhile. */
Test(early_answers, part_of_a_relayed_answer_is_taken_for_whole, .timeout = 60)
{
    static const net_answer_t unused = {NULL, NET_KEEP};
    static hosts_t hosts;
    char address[NET_ADDRESS_BYTES];
    channel_outcome_t outcome = {0};
    int listener = listen_on(address);
    size_t size;
    char *text = make_request(&size);
    pps_relay_call_t *call;
    int fd;

    hosts_start(&hosts, 2, &unused, 1);
    call = call_through_relay(&hosts, address, text, size, &outcome);
    fd = accept_from(listener, &hosts.reactor);
    pps_relay_call_pause(call);
    fill_relay(&hosts.reactor, fd);
    reset(fd);
    net_run_for(&hosts.reactor, SETTLE_MS);
    pps_relay_call_resume(call);
    cr_assert(net_run_until(&hosts.reactor, &outcome.finished, 1, LIMIT_MS));
    cr_expect_eq(outcome.failure, (int)PPS_CHANNEL_BROKEN, "%d",
                 outcome.failure);
    pps_buf_clear(&outcome.body);
    close(listener);
    free(text);
}
