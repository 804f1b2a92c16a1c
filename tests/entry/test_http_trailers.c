/** @file test_http_trailers.c @brief Requests whose chunked body ends with
 * trailer fields, from the caller's connection to the worker. */
#include "exchange_fixture.h"
#include "transport/http_server.h"

#include "clock.h"
#include "steady_clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define LIMIT_MS 3000
#define REQUEST_BYTES_MAX 8192

#define FIELDS_5 "X-A: 1\r\nX-B: 1\r\nX-C: 1\r\nX-D: 1\r\nX-E: 1\r\n"
#define FIELDS_35                                                             \
    FIELDS_5 FIELDS_5 FIELDS_5 FIELDS_5 FIELDS_5 FIELDS_5 FIELDS_5
#define FIELDS_70 FIELDS_35 FIELDS_35

typedef struct {
    const char *name;
    const char *trailer;
} trailer_case_t;

static const trailer_case_t cases[] = {
    {"none", ""},
    {"an unknown field", "Content-Digest: sha-256=:X48E9qOokqqrvdts8nOJRg==:"
                         "\r\n"},
    {"the request's id", "X-Request-Id: other\r\n"},
    {"the host", "Host: other\r\n"},
    {"the key", "Authorization: Token key2\r\n"},
    {"the workspace", "X-Tenant: other\r\n"},
    {"the deadline", "X-Deadline-Ms: 1\r\n"},
    {"the model", "X-Model: other\r\n"},
    {"the token counts", "X-Token-Usage: 1,1\r\n"},
    {"a length", "Content-Length: 1\r\n"},
    {"two lengths", "Content-Length: 1\r\nContent-Length: 2\r\n"},
    {"a length that is no number", "Content-Length: many\r\n"},
    {"an encoding", "Transfer-Encoding: gzip\r\n"},
    {"the end of the connection", "Connection: close\r\n"},
    {"another protocol", "Connection: Upgrade\r\nUpgrade: other\r\n"},
    {"two of a name", "X-A: 1\r\nX-A: 2\r\n"},
    {"an empty value", "X-A:\r\n"},
    {"a folded value", "X-A: 1\r\n 2\r\n\t3\r\n"},
    {"more fields than a head may have", FIELDS_70},
};

#define CASE_COUNT (sizeof(cases) / sizeof(*cases))

/** The last field of a head is the one that a trailer has overwritten. */
static const char *const last_fields[] = {
    "X-Request-Id: r1\r\n",
    "X-Token-Usage: 1460,80\r\n",
    "X-Model: m0\r\n",
};

#define LAST_FIELD_COUNT (sizeof(last_fields) / sizeof(*last_fields))

static void
write_request(char out[REQUEST_BYTES_MAX], const char *last_field,
              const char *trailer)
{
    int has_id = strstr(last_field, "X-Request-Id") != NULL;

    snprintf(out, REQUEST_BYTES_MAX,
             "POST /safe/x HTTP/1.1\r\nHost: h\r\nAuthorization: Token key\r\n"
             "%sTransfer-Encoding: chunked\r\nX-Deadline-Ms: 3000\r\n%s\r\n"
             "5\r\nhello\r\n0\r\n%s\r\n",
             has_id ? "" : "X-Request-Id: r1\r\n", last_field, trailer);
}

/** Takes out the line of the time that is left, which differs from run to
 * run. */
static void
remove_deadline(char *text)
{
    char *line = strstr(text, "X-Deadline-Ms:");
    char *next = line != NULL ? strstr(line, "\r\n") : NULL;

    cr_expect_not_null(next, "no deadline in %s", text);
    if (next != NULL) {
        memmove(line, next + 2, strlen(next + 2) + 1);
    }
}

/** Sends a request twice on one connection, in one packet.
 * @param seen what the worker got of the second one */
static void
run_requests(char seen[REQUEST_BYTES_MAX], const char *first,
             const char *second, const char *name)
{
    static const net_answer_t answer = {OK_PLAIN, NET_KEEP};
    static fixture_t fixture;
    char text[2 * REQUEST_BYTES_MAX];
    net_client_t client;

    snprintf(text, sizeof(text), "%s%s", first, second);
    fixture_start(&fixture, &answer, 1);
    pps_pool_remove(fixture.dispatcher.pool, "w1");
    pps_pool_remove(fixture.dispatcher.pool, "w2");
    net_client_start(&client, &fixture.reactor,
                     pps_http_server_port(fixture.callers), text);
    net_run_until(&fixture.reactor, &fixture.workers[0].requests, 2, LIMIT_MS);
    cr_expect_eq(fixture.workers[0].requests, 2, "%s: %zu requests, %s", name,
                 fixture.workers[0].requests, pps_buf_text(&client.got));
    snprintf(seen, REQUEST_BYTES_MAX, "%s",
             pps_buf_text(&fixture.workers[0].last));
    net_client_close(&client);
    pps_http_server_stop(fixture.callers);
}

/* Guards against a trailer field that a worker gets in place of a header
 * field, or beside the header fields; and against one that harms the request
 * behind it on the connection. The worker gets the same bytes as without a
 * trailer. */
Test(http_trailers, trailer_changes_what_the_worker_gets, .timeout = 60)
{
    for (size_t last = 0; last < LAST_FIELD_COUNT; last++) {
        char plain[REQUEST_BYTES_MAX];
        char expected[REQUEST_BYTES_MAX];

        write_request(plain, last_fields[last], "");
        run_requests(expected, plain, plain, "reference");
        remove_deadline(expected);
        for (size_t i = 0; i < CASE_COUNT; i++) {
            char text[REQUEST_BYTES_MAX];
            char seen[REQUEST_BYTES_MAX];

            write_request(text, last_fields[last], cases[i].trailer);
            run_requests(seen, plain, text, cases[i].name);
            remove_deadline(seen);
            cr_expect_str_eq(seen, expected, "%s", cases[i].name);
            run_requests(seen, text, plain, cases[i].name);
            remove_deadline(seen);
            cr_expect_str_eq(seen, expected, "behind %s", cases[i].name);
        }
    }
}
