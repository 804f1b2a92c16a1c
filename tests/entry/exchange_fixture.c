/** @file exchange_fixture.c @brief Runs a dispatcher with scripted workers. */
#include "exchange_fixture.h"

#include "caller_wire.h"
#include "clock.h"
#include "records.h"
#include "steady_clock.h"
#include "worker_wire.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_TIMEOUT_MS 4000
#define CRASH_DELAY_MS 10
#define RESTART_MS 150
#define SETTLE_MS 5

static const char config[] =
    "{\"version\":1,\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":8,"
    "\"kv_tokens\":8000,\"models\":[{\"name\":\"m0\",\"cost\":0.1},{\"name\":"
    "\"m1\",\"cost\":1}]"
    "}}],\"routes\":["
    "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/safe/\",\"kind\":"
    "\"safe\",\"service\":\"s\",\"max_attempts\":2,\"timeout_ms\":3000,"
    "\"target_latency_ms\":2000},"
    "{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/once/\",\"kind\":"
    "\"non_idempotent\",\"service\":\"s\",\"max_attempts\":1,"
    "\"timeout_ms\":3000,\"target_latency_ms\":2000},"
    "{\"name\":\"c\",\"host\":\"h\",\"path_prefix\":\"/stream/\",\"kind\":"
    "\"streaming\",\"service\":\"s\",\"max_attempts\":3,\"timeout_ms\":3000,"
    "\"target_latency_ms\":2000,\"stream_resume\":true,\"gap_aim_ms\":1500},"
    "{\"name\":\"d\",\"host\":\"h\",\"path_prefix\":\"/sized/\",\"kind\":"
    "\"streaming\",\"service\":\"s\",\"max_attempts\":3,\"timeout_ms\":3000,"
    "\"target_latency_ms\":2000,\"stream_resume\":true,\"gap_aim_ms\":1500,"
    "\"sizes\":[\"m0\",\"m1\"]}"
    ",{\"name\":\"e\",\"host\":\"h\",\"path_prefix\":\"/quick/\",\"kind\":"
    "\"safe\",\"service\":\"s\",\"max_attempts\":2,\"timeout_ms\":3000,"
    "\"target_latency_ms\":50}"
    "],\"limits\":{\"max_header_bytes\":4096,\"max_body_bytes\":4096,"
    "\"header_timeout_ms\":1000,\"idle_timeout_ms\":2000},\"tenants\":[{"
    "\"name\":\"team\",\"api_keys\":[\"key\"]},{\"name\":\"other\","
    "\"api_keys\":[\"key2\"]}]}";

void
fixture_start_host(pps_dispatcher_t *dispatcher, pps_http_server_t **callers,
                   pps_reactor_t *reactor)
{
    const pps_dispatch_options_t options = {
        .failure_domain = "z",
        .repeat_ratio = 1,
        .repeat_allowance = 20,
        .repeat_window_us = 10 * PPS_US_PER_S,
        .confidence_min = 50,
        .rollout = {0.15, 30},
    };
    pps_deployment_t *deployment;

    cr_assert_eq(pps_dispatcher_init(dispatcher, reactor, &options,
                                     &pps_caller_wire_ops,
                                     &pps_worker_wire_ops),
                 0);
    cr_assert_eq(
        pps_record_parse_deployment(&deployment, config, strlen(config)), 0);
    pps_dispatcher_deploy(dispatcher, deployment);
    cr_assert_eq(pps_http_server_new(callers, reactor, "127.0.0.1", 0,
                                     &dispatcher->limits,
                                     &pps_dispatcher_server_ops, dispatcher),
                 0);
}

void
fixture_start(fixture_t *fixture, const net_answer_t *script, size_t size)
{
    memset(fixture, 0, sizeof(*fixture));
    steady_clock_init_reactor(&fixture->reactor);
    fixture_start_host(&fixture->dispatcher, &fixture->callers,
                       &fixture->reactor);
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        pps_worker_info_t info = {.upstream = "s",
                                  .failure_domain = "z",
                                  .version = "v1",
                                  .slots = 8};

        net_server_start(&fixture->workers[i], &fixture->reactor, script,
                         size);
        snprintf(info.id, sizeof(info.id), "w%d", i);
        snprintf(info.address, sizeof(info.address), "%s",
                 fixture->workers[i].address);
        pps_pool_put(fixture->dispatcher.pool, &info);
    }
}

size_t
fixture_request_count(const fixture_t *fixture)
{
    size_t sum = 0;

    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        sum += fixture->workers[i].requests;
    }
    return sum;
}

static void
on_restart(void *user, net_server_t *server)
{
    fixture_t *fixture = user;
    char id[8];
    pps_worker_info_t info;

    snprintf(id, sizeof(id), "w%d", (int)(server - fixture->workers));
    info = pps_pool_lookup(fixture->dispatcher.pool, id)->info;
    info.start_ms++;
    pps_pool_put(fixture->dispatcher.pool, &info);
}

void
fixture_let_workers_crash(fixture_t *fixture, const char *text,
                          const char *head)
{
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        fixture->workers[i].crash_text = text;
        fixture->workers[i].crash_head = head;
        fixture->workers[i].crash_delay_ms = CRASH_DELAY_MS;
        fixture->workers[i].restart_ms = RESTART_MS;
        fixture->workers[i].on_restart = on_restart;
        fixture->workers[i].user = fixture;
    }
}

size_t
fixture_count_crashes(const fixture_t *fixture)
{
    size_t sum = 0;

    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        sum += fixture->workers[i].crashes;
    }
    return sum;
}

void
fixture_wait_for_workers(fixture_t *fixture)
{
    net_run_for(&fixture->reactor, SETTLE_MS);
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        while (fixture->workers[i].is_down) {
            net_run_for(&fixture->reactor, SETTLE_MS);
        }
    }
}

void
fixture_request_host(pps_reactor_t *reactor, const pps_http_server_t *callers,
                     net_client_t *client, const char *path,
                     const char *headers)
{
    char text[1024];

    snprintf(text, sizeof(text),
             "POST %sx HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n"
             "X-Deadline-Ms: 3000\r\nAuthorization: Token key\r\n%s"
             "Connection: close\r\nContent-Length: 4\r\n\r\nbody",
             path, headers);
    net_client_start(client, reactor, pps_http_server_port(callers), text);
}

void
fixture_request(fixture_t *fixture, net_client_t *client, const char *path,
                const char *headers)
{
    fixture_request_host(&fixture->reactor, fixture->callers, client, path,
                         headers);
}

void
fixture_run_request(fixture_t *fixture, net_client_t *client, const char *path,
                    const char *headers)
{
    fixture_request(fixture, client, path, headers);
    net_run_until_ended(&fixture->reactor, client, ANSWER_TIMEOUT_MS);
}

static void
decode_chunks(pps_buf_t *out, const char *text)
{
    size_t size;
    char *end;

    while ((size = strtoul(text, &end, 16)) > 0) {
        pps_buf_append(out, end + 2, size);
        text = end + 2 + size + 2;
    }
}

void
fixture_expect(const fixture_answer_t *answer, const net_client_t *client)
{
    const char *text = pps_buf_text(&client->got);
    const char *body = strstr(text, "\r\n\r\n");
    pps_buf_t plain = PPS_BUF_INIT;

    cr_assert_not_null(body, "%s: no answer", answer->name);
    cr_expect_eq(strncmp(text + strlen("HTTP/1.1 "), answer->status, 3), 0,
                 "%s: %.20s", answer->name, text);
    if (strstr(text, "chunked") != NULL) {
        decode_chunks(&plain, body + 4);
    }
    else {
        pps_buf_puts(&plain, body + 4);
    }
    if (answer->body[0] != '\0') {
        cr_expect_str_eq(pps_buf_text(&plain), answer->body, "%s",
                         answer->name);
    }
    pps_buf_clear(&plain);
}
