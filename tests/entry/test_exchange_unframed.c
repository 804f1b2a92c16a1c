/** @file test_exchange_unframed.c @brief Tests answers that have neither a
 * length nor chunks and end with their connection. */
#include "exchange_fixture.h"

#include <criterion/criterion.h>
#include <string.h>

#define HEAD "HTTP/1.1 200 OK\r\n" SEALED
#define STREAM_HEAD HEAD "Content-Type: text/event-stream\r\n\r\n"
#define JSON_HEAD HEAD "Content-Type: application/json\r\n\r\n"
#define ONE "id: 1\ndata: event 1\n\n"

typedef struct {
    fixture_answer_t answer; /* to the caller */
    const char *path;
    net_answer_t script[2]; /* of all workers together */
    size_t requests;
} unframed_case_t;

static const unframed_case_t cases[] = {
    {{"a whole text", "200", "hi"}, "/once/", {{HEAD "\r\nhi", NET_CLOSE}}, 1},
    {{"a whole JSON answer", "200", "{\"a\":1}"},
     "/once/",
     {{JSON_HEAD "{\"a\":1}", NET_CLOSE}},
     1},
    {{"a JSON answer that is cut off", "502", ""},
     "/once/",
     {{JSON_HEAD "{\"a\":1", NET_CLOSE}},
     1},
    {{"a JSON answer that is cut off, to be repeated", "200", "{\"a\":1}"},
     "/safe/",
     {{JSON_HEAD "{\"a\"", NET_CLOSE}, {JSON_HEAD "{\"a\":1}", NET_CLOSE}},
     2},
    {{"a JSON answer without a byte", "502", ""},
     "/once/",
     {{JSON_HEAD, NET_CLOSE}},
     1},
    {{"a text that is no JSON, though it says so", "200", "{]"},
     "/once/",
     {{JSON_HEAD "{]", NET_CLOSE}},
     1},
    {{"a whole stream", "200", ONE},
     "/stream/",
     {{STREAM_HEAD ONE, NET_CLOSE}},
     1},
    {{"a stream that ends inside an event", "200", ONE},
     "/stream/",
     {{STREAM_HEAD "id: 1\ndata: ev", NET_CLOSE},
      {STREAM_HEAD ONE, NET_CLOSE}},
     2},
    {{"a stream without an event", "200", ONE},
     "/stream/",
     {{STREAM_HEAD, NET_CLOSE}, {STREAM_HEAD ONE, NET_CLOSE}},
     2},
};

Test(exchange_unframed, answer_that_is_cut_off_reaches_the_caller_as_whole)
{
    for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
        size_t size = cases[i].script[1].text != NULL ? 2 : 1;
        fixture_t fixture;
        net_client_t client;

        fixture_start(&fixture, cases[i].script, size);
        net_server_share_script(fixture.workers, FIXTURE_WORKERS);
        fixture_run_request(&fixture, &client, cases[i].path, "");
        fixture_expect(&cases[i].answer, &client);
        cr_expect_eq(fixture_request_count(&fixture), cases[i].requests, "%s",
                     cases[i].answer.name);
    }
}
