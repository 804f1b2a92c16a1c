/**
 * @file test_exchange_answers.c
 * @brief What callers get of the answers in channel_cases.h, when a worker
 * gives them to a request that may run only once.
 */
#include "channel_cases.h"
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define TEXT_BYTES 1024

#define OF_TWO                                                                \
    "HTTP/1.1 200 OK\r\n" SEALED "X-Request-Id: zz\r\nContent-Length: "       \
    "2\r\n\r\nno"
#define SEALED_TWICE                                                          \
    "HTTP/1.1 200 OK\r\n" SEALED "X-Response-Seal: t\r\nContent-Length: "     \
    "2\r\n\r\nno"
#define REFUSAL_OF_TWO                                                        \
    "HTTP/1.1 503 Full\r\nX-Request-Id: %s\r\nX-Request-Id: zz\r\n"           \
    "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"

/* Writes the answer with the fields that a worker's answer bears. Returns 0 if
 * it has no head of its own, or more than one. */
static int
seal(char out[TEXT_BYTES], const char *text)
{
    const char *line_end = text != NULL ? strchr(text, '\n') : NULL;

    if (line_end == NULL || strncmp(text, "HTTP/", 5) != 0 ||
        strstr(line_end, "HTTP/") != NULL) {
        return 0;
    }
    snprintf(out, TEXT_BYTES, "%.*s%s%s", (int)(line_end + 1 - text), text,
             SEALED, line_end + 1);
    return 1;
}

static int
is_complete(const net_client_t *client)
{
    const char *text = pps_buf_text(&client->got);

    return client->ended == 1 && strstr(text, "\r\n\r\n") != NULL &&
           (strstr(text, "chunked") == NULL ||
            strstr(text, "0\r\n\r\n") != NULL);
}

/* An answer is forwarded with its status, or not at all. */
static void
expect(const channel_case_t *item, const net_client_t *client)
{
    char status[] = "000";
    const fixture_answer_t whole = {item->name, status, item->body};
    const char *text = pps_buf_text(&client->got);

    memcpy(status, item->answer.text + strlen("HTTP/1.1 "), strlen(status));
    if (item->failure == CHANNEL_COMPLETE && item->body[0] != '\0') {
        fixture_expect(&whole, client);
        return;
    }
    cr_expect(strncmp(text, "HTTP/1.1 502", 12) == 0 || !is_complete(client) ||
                  item->failure == CHANNEL_COMPLETE,
              "%s: %s", item->name, text);
    cr_expect_null(strstr(text, "Odd"), "%s", item->name);
}

/* Guards against a success of a worker in trouble that the caller gets as an
 * answer, or with a body that is not the worker's. */
Test(exchange_answers, answer_against_the_grammar_reaches_the_caller,
     .timeout = 60)
{
    for (size_t i = 0; i < channel_case_count; i++) {
        const channel_case_t *item = &channel_cases[i];
        char text[TEXT_BYTES];
        const net_answer_t script = {text, item->answer.end};
        static fixture_t fixture;
        net_client_t client;

        if (seal(text, item->answer.text)) {
            fixture_start(&fixture, &script, 1);
            fixture_run_request(&fixture, &client, "/once/", "");
            expect(item, &client);
            cr_expect_eq(fixture_request_count(&fixture), 1, "%s", item->name);
        }
    }
}

typedef struct {
    const char *name;
    net_answer_t script[2]; /* of the workers, in the order of attempts */
} identity_case_t;

static const identity_case_t identities[] = {
    {"a success that names two requests", {{OF_TWO, NET_KEEP}}},
    {"a success with two seals", {{SEALED_TWICE, NET_KEEP}}},
    {"a refusal that names two requests",
     {{REFUSAL_OF_TWO, NET_KEEP}, {OK_PLAIN, NET_KEEP}}},
};

/* Guards against the answer to another request that a caller gets, and against
 * a second run after a refusal that may be another request's. */
Test(exchange_answers, answer_to_two_requests_is_taken_for_this_one)
{
    for (size_t i = 0; i < sizeof(identities) / sizeof(*identities); i++) {
        const identity_case_t *item = &identities[i];
        const fixture_answer_t refused = {item->name, "502", ""};
        static fixture_t fixture;
        net_client_t client;

        fixture_start(&fixture, item->script, 2);
        net_server_share_script(fixture.workers, FIXTURE_WORKERS);
        fixture_run_request(&fixture, &client, "/once/", "");
        fixture_expect(&refused, &client);
        cr_expect_eq(fixture_request_count(&fixture), 1, "%s", item->name);
    }
}
