/** @file test_window.c @brief How much waits of answers that a host
 * passes on, in all. */
#include "memory/window.h"
#include "net.h"
#include "relay/relay_server.h"
#include "steady_clock.h"
#include "transport/tcp_write.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define MIB ((size_t)1 << 20)
#define KIB ((size_t)1 << 10)

typedef struct {
    const char *name;
    size_t queued_max;
    size_t calls;
    size_t window;
} window_case_t;

static const window_case_t cases[] = {
    {"no call", 8 * MIB, 0, 256 * KIB},
    {"one call", 8 * MIB, 1, 256 * KIB},
    {"as many as have the largest window", 8 * MIB, 32, 256 * KIB},
    {"more calls", 8 * MIB, 64, 128 * KIB},
    {"the most calls", 8 * MIB, 512, 16 * KIB},
    {"a small host", 2 * MIB, 512, 8 * KIB},
    {"no memory", 0, 10, 8 * KIB},
};

Test(window, a_call_takes_the_part_of_others)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        cr_expect_eq(pps_window_bytes(cases[i].queued_max, cases[i].calls),
                     cases[i].window, "%s", cases[i].name);
    }
}

#define CALLS 60
#define LIMIT_MS 10000
#define QUEUED_MAX (1 * MIB)
/** Most that is read of an answer before it waits, its chunk's frame included.
 */
#define READ_BYTES (17 * KIB)
#define FLOOD_ANSWER_BYTES (1 * MIB)
#define SOCKET_BYTES 4096

static char worker_address[NET_ADDRESS_BYTES];

static pps_relay_status_t
find(void *user, char *out, void **hold, const char *peer, uint64_t worker,
     unsigned int slots)
{
    snprintf(out, PPS_RELAY_ADDRESS_BYTES, "%s", worker_address);
    *hold = NULL;
    return PPS_RELAY_CONNECTED;
}

static void
on_end(void *user, void *hold, int is_served)
{
}

static void
on_left(void *user, void *hold, int64_t begun_us)
{
}

static void
on_reply(void *user, uint64_t worker, int64_t tried_us,
         const pps_http_reply_t *reply)
{
}

static void
on_tried(void *user, uint64_t worker, int64_t tried_us, int is_reached)
{
}

static const pps_relay_ops_t ops = {find, on_end, on_left, on_reply, on_tried};

/** A host that asks for a call and reads nothing of its answer. */
typedef struct {
    uv_tcp_t tcp;
    uv_connect_t connect;
} silent_host_t;

static void
on_connected(uv_connect_t *connect, int status)
{
    static char text[] = "POST /workers/0000000000000001 HTTP/1.1\r\n"
                         "Host: relay\r\nContent-Length: 27\r\n\r\n"
                         "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    uv_buf_t piece = uv_buf_init(text, sizeof(text) - 1);

    cr_assert_eq(status, 0);
    pps_tcp_write((uv_tcp_t *)connect->handle, &piece, 1);
}

static void
start_silent_host(silent_host_t *host, pps_reactor_t *reactor,
                  unsigned int port)
{
    struct sockaddr_in endpoint;
    int size = SOCKET_BYTES;

    uv_tcp_init_ex(&reactor->loop, &host->tcp, AF_INET);
    uv_recv_buffer_size((uv_handle_t *)&host->tcp, &size);
    uv_ip4_addr("127.0.0.1", (int)port, &endpoint);
    cr_assert_eq(uv_tcp_connect(&host->connect, &host->tcp,
                                (const struct sockaddr *)&endpoint,
                                on_connected),
                 0);
}

/* Guards against answers that fill the memory of the host that passes them on,
 * each of them within its own limit, while the other hosts do not read. */
Test(window, answers_for_other_hosts_fill_the_memory, .timeout = 60)
{
    static silent_host_t silent[CALLS];
    static net_answer_t answer = {NULL, NET_KEEP};
    pps_buf_t text = PPS_BUF_INIT;
    pps_reactor_t reactor;
    pps_relay_server_t *server;
    net_server_t worker;
    size_t queued = 0;

    pps_buf_puts(&text, "HTTP/1.1 200 OK\r\n\r\n");
    while (text.size < FLOOD_ANSWER_BYTES) {
        pps_buf_puts(&text, "no answer ");
    }
    answer.text = text.data;
    steady_clock_init_reactor(&reactor);
    net_server_start(&worker, &reactor, &answer, 1);
    snprintf(worker_address, sizeof(worker_address), "%s", worker.address);
    cr_assert_eq(pps_relay_server_new(&server, &reactor, "127.0.0.1", 0,
                                      "127.0.0.1", &ops, NULL),
                 0);
    pps_relay_server_set_queued_max(server, QUEUED_MAX);
    for (size_t i = 0; i < CALLS; i++) {
        start_silent_host(&silent[i], &reactor, pps_relay_server_port(server));
    }
    cr_assert(net_run_until(&reactor, &worker.requests, CALLS, LIMIT_MS));
    for (int turn = 0; turn < 50; turn++) {
        size_t now = pps_relay_server_queued(server);

        queued = now > queued ? now : queued;
        net_run_for(&reactor, 10);
    }
    cr_expect_leq(queued, QUEUED_MAX + CALLS * READ_BYTES, "%zu", queued);
    cr_expect_gt(queued, 0);
    pps_buf_clear(&text);
}
