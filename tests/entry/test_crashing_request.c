/** @file test_crashing_request.c @brief Tests that workers are kept from a
 * request that comes again and ends each worker which begins to run it. */
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CRASHES_MAX 4
#define REPEATS 8
/** After the silence that makes the host drop an attempt. */
#define LATE_CRASH_MS 100
#define LATE_RESTART_MS 400
/** One more may be under way when the third is known. */
#define LATE_CRASHES_MAX 5

typedef struct {
    const char *path;
    const char *key;
    const char *body;
} request_t;

typedef struct {
    const char *name;
    request_t bad;
    request_t sound[3]; /* differ from it in one thing */
} request_case_t;

static const request_case_t cases[] = {
    {"safe",
     {"/safe/x", "key", "bad!"},
     {{"/safe/x", "key", "good"},
      {"/safe/y", "key", "good"},
      {"/safe/x", "key2", "good"}}},
    {"safe, without a body",
     {"/safe/bad!", "key", ""},
     {{"/safe/x", "key", ""},
      {"/safe/x?y", "key", ""},
      {"/safe/x", "key2", ""}}},
    {"not to be repeated",
     {"/once/x", "key", "bad!"},
     {{"/once/x", "key", "good"},
      {"/once/y", "key", "good"},
      {"/safe/x", "key", "good"}}},
    {"a stream",
     {"/stream/x", "key", "bad!"},
     {{"/safe/x", "key", "good"},
      {"/once/x", "key", "good"},
      {"/safe/y", "key", "good"}}},
};

static void
start(fixture_t *fixture)
{
    static const net_answer_t script[] = {{OK_PLAIN, NET_KEEP}};

    fixture_start(fixture, script, 1);
    fixture_let_workers_crash(fixture, "bad!", NULL);
}

/* Sends a request under an id of its own. Returns the answer's status. */
static unsigned int
send_request(fixture_t *fixture, const request_t *request, int number)
{
    char text[512];
    net_client_t client;

    snprintf(text, sizeof(text),
             "POST %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: r%d\r\n"
             "X-Deadline-Ms: 3000\r\nAuthorization: Token %s\r\n"
             "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
             request->path, number, request->key, strlen(request->body),
             request->body);
    net_client_start(&client, &fixture->reactor,
                     pps_http_server_port(fixture->callers), text);
    net_run_until_ended(&fixture->reactor, &client, 4000);
    return (unsigned int)strtoul(
        pps_buf_text(&client.got) + strlen("HTTP/1.1 "), NULL, 10);
}

Test(crashing_request, same_request_is_sent_on_after_three_crashes)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        fixture_t fixture;

        start(&fixture);
        for (int n = 0; n < REPEATS; n++) {
            unsigned int status = send_request(&fixture, &cases[i].bad, n);

            cr_expect(status == 502 || status == 503, "%s: %u", cases[i].name,
                      status);
            fixture_wait_for_workers(&fixture);
        }
        cr_expect_leq(fixture_count_crashes(&fixture), CRASHES_MAX, "%s: %zu",
                      cases[i].name, fixture_count_crashes(&fixture));
        for (int n = 0; n < 3; n++) {
            cr_expect_eq(
                send_request(&fixture, &cases[i].sound[n], REPEATS + n), 200,
                "%s, %d", cases[i].name, n);
        }
    }
}

/* The host has dropped the attempt by the time at which the worker ends. */
Test(crashing_request, same_request_is_sent_on_though_it_ends_workers_late)
{
    static const request_t bad = {"/quick/x", "key", "bad!"};
    static const request_t sound = {"/quick/x", "key", "good"};
    fixture_t fixture;

    start(&fixture);
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        fixture.workers[i].crash_delay_ms = LATE_CRASH_MS;
        fixture.workers[i].restart_ms = LATE_RESTART_MS;
    }
    for (int n = 0; n < REPEATS; n++) {
        send_request(&fixture, &bad, n);
        fixture_wait_for_workers(&fixture);
    }
    cr_expect_leq(fixture_count_crashes(&fixture), LATE_CRASHES_MAX, "%zu",
                  fixture_count_crashes(&fixture));
    cr_expect_eq(send_request(&fixture, &sound, REPEATS), 200);
}

/* The worker is back before its new record has come. */
Test(crashing_request, ends_of_a_worker_with_an_old_record_count_once)
{
    static const request_t bad = {"/safe/x", "key", "bad!"};
    fixture_t fixture;

    start(&fixture);
    for (int i = 0; i < FIXTURE_WORKERS; i++) {
        char id[8];

        fixture.workers[i].on_restart = NULL;
        snprintf(id, sizeof(id), "w%d", i);
        if (i > 0) {
            pps_pool_remove(fixture.dispatcher.pool, id);
        }
    }
    for (int n = 0; n < REPEATS; n++) {
        send_request(&fixture, &bad, n);
        fixture_wait_for_workers(&fixture);
    }
    cr_expect_leq(fixture_count_crashes(&fixture), CRASHES_MAX, "%zu",
                  fixture_count_crashes(&fixture));
}
