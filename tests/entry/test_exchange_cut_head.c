/** @file test_exchange_cut_head.c @brief Workers that end their connection
 * inside the head of their answer, at each byte. */
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define TEXT_BYTES 512
#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"
#define HEAD "HTTP/1.1 200 OK\r\n" SEALED "Content-Length: 2\r\n\r\n"
#define UNFRAMED_HEAD "HTTP/1.1 200 OK\r\n" SEALED "\r\n"
#define STREAM_HEAD STREAM "\r\n"

typedef struct {
    const char *name;
    const char *path;
    const char *head;
    net_end_t end;
} cut_case_t;

static const cut_case_t cases[] = {
    {"once", "/once/", HEAD, NET_CLOSE},
    {"once, reset", "/once/", HEAD, NET_RESET},
    {"once, no length", "/once/", UNFRAMED_HEAD, NET_CLOSE},
    {"once, behind an interim answer", "/once/", INTERIM HEAD, NET_CLOSE},
    {"safe", "/safe/", HEAD, NET_CLOSE},
    {"stream", "/stream/", STREAM_HEAD, NET_CLOSE},
    {"stream, behind an interim answer", "/stream/", INTERIM STREAM_HEAD,
     NET_CLOSE},
};

static void
expect_failure(const cut_case_t *item, const char *text, size_t size)
{
    const net_answer_t script = {text, item->end};
    static fixture_t fixture;
    net_client_t client;

    fixture_start(&fixture, &script, 1);
    fixture_run_request(&fixture, &client, item->path, "");
    cr_expect_eq(strncmp(pps_buf_text(&client.got), "HTTP/1.1 502", 12), 0,
                 "%s, %zu bytes: %.30s", item->name, size,
                 pps_buf_text(&client.got));
    pps_http_server_stop(fixture.callers);
}

Test(exchange_cut_head, cut_head_reaches_the_caller_as_an_empty_answer,
     .timeout = 60)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        size_t length = strlen(cases[i].head);

        for (size_t size = 0; size < length; size++) {
            char text[TEXT_BYTES];

            snprintf(text, sizeof(text), "%.*s", (int)size, cases[i].head);
            if (size > 0 && text[size - 1] == '%') {
                continue; /* half of the mark for the request's id */
            }
            expect_failure(&cases[i], text, size);
        }
    }
}
