/** @file test_request_reader.c @brief Requests from their bytes, cut at each
 * byte. */
#include "transport/request_reader.h"

#include "clock.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define TEXT_BYTES 4096
#define HEADER_BYTES_MAX 200
#define BODY_BYTES_MAX 20

#define HEAD "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
#define CHUNKED HEAD "X-Request-Id: r1\r\n\r\n3\r\nabc\r\n0\r\n"
#define GET "GET /a HTTP/1.1\r\nHost: h\r\n"
#define POST "POST /a HTTP/1.1\r\nHost: h\r\n"
#define LINE_40 "X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"
#define SMALL_10 "A:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\nA:\r\n"

static const pps_http_limits_t limits = {HEADER_BYTES_MAX, BODY_BYTES_MAX,
                                         PPS_US_PER_S, PPS_US_PER_S};

typedef struct {
    const char *name;
    const char *text;
    unsigned int status; /**< of the rejection; 0: it is served */
    const char *fields;  /**< of the head, if it is served */
    const char *body;
    int keep_alive;
} request_case_t;

#define FIELDS "Host=h;Transfer-Encoding=chunked;X-Request-Id=r1;"

static const request_case_t cases[] = {
    {"no trailer", CHUNKED "\r\n", 0, FIELDS, "abc", 1},
    {"a trailer", CHUNKED "X-A: 1\r\n\r\n", 0, FIELDS, "abc", 1},
    {"a trailer with the id", CHUNKED "X-Request-Id: r2\r\n\r\n", 0, FIELDS,
     "abc", 1},
    {"a trailer with lengths",
     CHUNKED "Content-Length: 5\r\nContent-Length: x\r\n\r\n", 0, FIELDS,
     "abc", 1},
    {"a trailer with an encoding", CHUNKED "Transfer-Encoding: gzip\r\n\r\n",
     0, FIELDS, "abc", 1},
    {"a trailer that ends the connection", CHUNKED "Connection: close\r\n\r\n",
     0, FIELDS, "abc", 1},
    {"a head that ends the connection",
     HEAD "Connection: close\r\n\r\n0\r\nConnection: keep-alive\r\n\r\n", 0,
     "Host=h;Transfer-Encoding=chunked;Connection=close;", "", 0},
    {"an extension of the last chunk", HEAD "\r\n0;a=b\r\nX-A: 1\r\n\r\n", 0,
     "Host=h;Transfer-Encoding=chunked;", "", 1},
    {"a trailer within the limit of a head", CHUNKED LINE_40 LINE_40 "\r\n", 0,
     FIELDS, "abc", 1},
    {"a trailer over the limit of a head",
     CHUNKED LINE_40 LINE_40 LINE_40 LINE_40 "\r\n", 431, "", "", 0},
    {"a trailer without an end over the limit",
     CHUNKED "X-A: " LINE_40 LINE_40 LINE_40 LINE_40, 431, "", "", 0},
    {"a request in place of a trailer",
     CHUNKED "GET /b HTTP/1.1\r\nHost: h\r\n\r\n", 400, "", "", 0},
    {"a length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
     0, "Host=h;Content-Length=3;", "abc", 1},
    {"no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0, "Host=h;", "", 1},
    {"empty lines first", "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", 0,
     "Host=h;", "", 1},
    {"line feeds only", "GET /a HTTP/1.1\nHost: h\n\n", 0, "Host=h;", "", 1},
    {"blanks around a value", "GET /a HTTP/1.1\r\nHost: \t h \r\n\r\n", 0,
     "Host=h;", "", 1},
    {"two chunks with extensions",
     HEAD "\r\n1;a\r\na\r\n2 ; b=\"c\"\r\nbc\r\n0\r\n\r\n", 0,
     "Host=h;Transfer-Encoding=chunked;", "abc", 1},
    {"a blank in a name", GET "X Odd: 1\r\n\r\n", 400, "", "", 0},
    {"a blank before a colon", GET "X-Odd : 1\r\n\r\n", 400, "", "", 0},
    {"a blank before a length's colon", POST "Content-Length : 3\r\n\r\nabc",
     400, "", "", 0},
    {"a blank before a coding's colon",
     POST "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n", 400, "", "", 0},
    {"a control byte in a name", GET "X-\x01: 1\r\n\r\n", 400, "", "", 0},
    {"a blank before the first field",
     "GET /a HTTP/1.1\r\n X: 1\r\nHost: h\r\n\r\n", 400, "", "", 0},
    {"a value that goes on in the next line", GET "X: 1\r\n 2\r\n\r\n", 400,
     "", "", 0},
    {"a control byte in a value", GET "X: a\x01z\r\n\r\n", 400, "", "", 0},
    {"a carriage return in a value", GET "X: a\rz\r\n\r\n", 400, "", "", 0},
    {"no colon", GET "X-Odd\r\n\r\n", 400, "", "", 0},
    {"an empty length", POST "Content-Length:\r\n\r\nabc", 400, "", "", 0},
    {"a length with a sign", POST "Content-Length: +3\r\n\r\nabc", 400, "", "",
     0},
    {"chunks in HTTP/1.0",
     "POST /a HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"
     "\r\n",
     400, "", "", 0},
    {"more bytes than the chunk's size", HEAD "\r\n3\r\nabcXX0\r\n\r\n", 400,
     "", "", 0},
    {"a carriage return only behind a size", HEAD "\r\n3\rXabc\r\n0\r\n\r\n",
     400, "", "", 0},
    {"a line feed only behind a chunk", HEAD "\r\n3\r\nabc\n0\r\n\r\n", 400,
     "", "", 0},
    {"a second size behind a blank", HEAD "\r\n3 1\r\nabc\r\n0\r\n\r\n", 400,
     "", "", 0},
};

#define CASE_COUNT (sizeof(cases) / sizeof(*cases))

static void
expect_request(const request_case_t *item, size_t split,
               const pps_request_reader_t *reader)
{
    const pps_http_request_t *request = &reader->request;
    pps_buf_t fields = PPS_BUF_INIT;

    for (unsigned int i = 0; i < request->headers.count; i++) {
        pps_buf_printf(&fields, "%s=%s;",
                       pps_headers_name_at(&request->headers, i),
                       pps_headers_value_at(&request->headers, i));
    }
    cr_expect_str_eq(pps_buf_text(&fields), item->fields, "%s, %zu",
                     item->name, split);
    cr_expect_eq(request->body.size, strlen(item->body), "%s, %zu", item->name,
                 split);
    cr_expect_eq(
        memcmp(pps_buf_text(&request->body), item->body, strlen(item->body)),
        0, "%s, %zu", item->name, split);
    cr_expect_eq(reader->keep_alive, item->keep_alive, "%s, %zu", item->name,
                 split);
    pps_buf_clear(&fields);
}

/** Reads the first request of a text that comes in two pieces. */
static pps_request_state_t
feed_in_pieces(pps_request_reader_t *reader, const char *text, size_t split,
               size_t *used)
{
    pps_request_state_t state =
        pps_request_reader_feed(reader, text, split, used);
    size_t rest_used;

    if (state != PPS_REQUEST_MORE) {
        return state;
    }
    cr_expect_eq(*used, split);
    state = pps_request_reader_feed(reader, text + split, strlen(text + split),
                                    &rest_used);
    *used += rest_used;
    return state;
}

/* Guards against a trailer field that is taken for one of the head, against a
 * request that others read differently, and against an end that depends on
 * where the network cuts it. The request behind it arrives as sent. */
Test(request_reader, request_is_taken_for_another)
{
    static const request_case_t next = {
        "next", "POST /n HTTP/1.1\r\nHost: n\r\nContent-Length: 1\r\n\r\nn",
        0,      "Host=n;Content-Length=1;",
        "n",    1};

    for (size_t i = 0; i < CASE_COUNT; i++) {
        const request_case_t *item = &cases[i];
        char text[TEXT_BYTES];

        snprintf(text, sizeof(text), "%s%s", item->text, next.text);
        for (size_t split = 0; split <= strlen(item->text); split++) {
            pps_request_reader_t reader;
            pps_request_state_t state;
            size_t used;

            pps_request_reader_init(&reader, &limits);
            state = feed_in_pieces(&reader, text, split, &used);
            if (item->status != 0) {
                cr_expect_eq(state, PPS_REQUEST_REJECTED, "%s, %zu",
                             item->name, split);
                cr_expect_eq(reader.error_status, item->status, "%s, %zu: %u",
                             item->name, split, reader.error_status);
            }
            else {
                cr_expect_eq(state, PPS_REQUEST_WHOLE, "%s, %zu", item->name,
                             split);
                cr_expect_eq(used, strlen(item->text), "%s, %zu", item->name,
                             split);
                expect_request(item, split, &reader);
                pps_request_reader_begin(&reader);
                cr_expect_eq(pps_request_reader_feed(&reader, next.text,
                                                     strlen(next.text), &used),
                             PPS_REQUEST_WHOLE, "behind %s", item->name);
                expect_request(&next, split, &reader);
            }
            pps_request_reader_clear(&reader);
        }
    }
}

/* Many small fields are no more than a few large ones. */
Test(request_reader, number_of_trailer_fields_is_limited)
{
    static const char text[] = HEAD "\r\n0\r\n" SMALL_10 "\r\n";
    static const pps_http_limits_t wide = {TEXT_BYTES, BODY_BYTES_MAX,
                                           PPS_US_PER_S, PPS_US_PER_S};
    static const char line[] = "X-Trace: 1\r\n";
    pps_request_reader_t reader;
    char many[TEXT_BYTES] = HEAD "\r\n0\r\n";
    size_t used;

    pps_request_reader_init(&reader, &limits);
    cr_expect_eq(pps_request_reader_feed(&reader, text, strlen(text), &used),
                 PPS_REQUEST_WHOLE);
    pps_request_reader_clear(&reader);
    for (int i = 0; i < 4 * PPS_HEADERS_MAX; i++) {
        strcat(many, line);
    }
    strcat(many, "\r\n");
    pps_request_reader_init(&reader, &wide);
    cr_expect_eq(pps_request_reader_feed(&reader, many, strlen(many), &used),
                 PPS_REQUEST_WHOLE);
    cr_expect_eq(used, strlen(many));
    cr_expect_eq(reader.request.headers.count, 2);
    pps_request_reader_clear(&reader);
}
