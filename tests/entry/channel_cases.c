/** @file channel_cases.c @brief Answers as workers send them. */
#include "channel_cases.h"

#include <criterion/criterion.h>
#include <string.h>

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    channel_outcome_t *outcome = user;
    const char *id = pps_headers_get(&reply->headers, "X-Request-Id");

    if (id != NULL && strcmp(id, "other") == 0) {
        return 1;
    }
    outcome->status = reply->status;
    return 0;
}

static void
on_body(void *user, const char *data, size_t size)
{
    pps_buf_append(&((channel_outcome_t *)user)->body, data, size);
}

static void
on_end(void *user)
{
    channel_outcome_t *outcome = user;

    outcome->failure = CHANNEL_COMPLETE;
    outcome->finished = 1;
}

static void
on_fail(void *user, pps_channel_failure_t failure)
{
    channel_outcome_t *outcome = user;

    outcome->failure = (int)failure;
    outcome->finished = 1;
}

const pps_channel_ops_t channel_outcome_ops = {on_head, on_body, on_end,
                                               on_fail};
#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED_AB OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"
#define OTHER_CHUNKED                                                         \
    OK "X-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"            \
       "3\r\nxxx\r\n0\r\n"

#define AB "Content-Length: 2\r\n\r\nab"
#define WHOLE(name, text)                                                     \
    {                                                                         \
        name, {text, NET_KEEP}, CHANNEL_COMPLETE, "ab"                        \
    }
#define EMPTY(name, text)                                                     \
    {                                                                         \
        name, {text, NET_KEEP}, CHANNEL_COMPLETE, ""                          \
    }
#define NONE(name, text)                                                      \
    {                                                                         \
        name, {text, NET_KEEP}, PPS_CHANNEL_MALFORMED, ""                     \
    }
#define CHUNKS(chunks) OK "Transfer-Encoding: chunked\r\n\r\n" chunks
#define LAST "0\r\n\r\n"
#define NO_CHUNKS(name, chunks, body)                                         \
    {                                                                         \
        name, {CHUNKS(chunks), NET_KEEP}, PPS_CHANNEL_MALFORMED, body         \
    }
#define CODED(name, field)                                                    \
    {                                                                         \
        name, {OK field "\r\n\r\n2\r\nab\r\n" LAST, NET_CLOSE},               \
            PPS_CHANNEL_MALFORMED, ""                                         \
    }

const channel_case_t channel_cases[] = {
    {"with a length",
     {OK "Content-Length: 2\r\n\r\nab", NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"in chunks",
     {OK "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"ended by closing the connection",
     {OK "\r\nab", NET_CLOSE},
     CHANNEL_COMPLETE,
     "ab"},
    {"reset after the last byte",
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
    {"not HTTP",
     {"what is this\r\n\r\n", NET_KEEP},
     PPS_CHANNEL_MALFORMED,
     ""},
    {"another request's answer first",
     {OK "X-Request-Id: other\r\nContent-Length: 3\r\n\r\nxxx" OK
         "Content-Length: 2\r\n\r\nab",
      NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"only another request's answer",
     {OK "X-Request-Id: other\r\nContent-Length: 3\r\n\r\nxxx", NET_CLOSE},
     PPS_CHANNEL_BROKEN,
     ""},
    {"an interim answer first",
     {"HTTP/1.1 100 Continue\r\n\r\n" OK "Content-Length: 2\r\n\r\nab",
      NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"a surplus second answer",
     {OK "Content-Length: 2\r\n\r\nab" OK "Content-Length: 1\r\n\r\nz",
      NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"a trailer",
     {CHUNKED_AB "X-A: 1\r\nX-A: 2\r\n\r\n", NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"a trailer that names another request",
     {CHUNKED_AB "X-Request-Id: other\r\n\r\n", NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"a trailer with lengths",
     {CHUNKED_AB "Content-Length: 7\r\nContent-Length: x\r\n\r\n", NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"a trailer with an encoding",
     {CHUNKED_AB "Transfer-Encoding: gzip\r\n\r\n", NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"a trailer, then the end of the connection",
     {CHUNKED_AB "X-A: 1\r\n\r\n", NET_CLOSE},
     CHANNEL_COMPLETE,
     "ab"},
    {"a trailer behind an interim answer",
     {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" CHUNKED_AB
      "X-A: 1\r\n\r\n",
      NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"another request's answer with a trailer first",
     {OTHER_CHUNKED "Connection: close\r\nContent-Length: x\r\n\r\n" OK
                    "Content-Length: 2\r\n\r\nab",
      NET_KEEP},
     CHANNEL_COMPLETE,
     "ab"},
    {"a trailer without an end",
     {CHUNKED_AB "X-A: 1\r\n", NET_CLOSE},
     PPS_CHANNEL_BROKEN,
     "ab"},
    {"an answer in place of a trailer",
     {CHUNKED_AB OK "Content-Length: 0\r\n\r\n", NET_KEEP},
     PPS_CHANNEL_MALFORMED,
     "ab"},
    /* Version (RFC 9112, 2.3). */
    WHOLE("HTTP/1.0", "HTTP/1.0 200 OK\r\n" AB),
    NONE("HTTP/0.9", "HTTP/0.9 200 OK\r\n" AB),
    NONE("HTTP/2.0", "HTTP/2.0 200 OK\r\n" AB),
    NONE("HTTP/1.10", "HTTP/1.10 200 OK\r\n" AB),
    NONE("a version without a minor number", "HTTP/1 200 OK\r\n" AB),
    NONE("a version in lower case", "http/1.1 200 OK\r\n" AB),
    NONE("another protocol", "ICY 200 OK\r\n" AB),
    /* Status line (RFC 9112, 4) and status (RFC 9110, 15). */
    WHOLE("a reason that is empty", "HTTP/1.1 200 \r\n" AB),
    WHOLE("no reason", "HTTP/1.1 200\r\n" AB),
    WHOLE("other bytes in the reason", "HTTP/1.1 200 \xc3\x96K\t!\r\n" AB),
    WHOLE("the highest status", "HTTP/1.1 599 Last\r\n" AB),
    NONE("status 000", "HTTP/1.1 000 Zero\r\n" AB),
    NONE("status 099", "HTTP/1.1 099 Low\r\n" AB),
    NONE("status 600", "HTTP/1.1 600 High\r\n" AB),
    NONE("status 999", "HTTP/1.1 999 High\r\n" AB),
    NONE("a status of two digits", "HTTP/1.1 20 OK\r\n" AB),
    NONE("a status of four digits", "HTTP/1.1 2000 OK\r\n" AB),
    NONE("a status with a sign", "HTTP/1.1 +20 OK\r\n" AB),
    NONE("a status with a letter", "HTTP/1.1 2x0 OK\r\n" AB),
    NONE("no status", "HTTP/1.1 OK\r\n" AB),
    NONE("two blanks before the status", "HTTP/1.1  200 OK\r\n" AB),
    NONE("a tab before the status", "HTTP/1.1\t200 OK\r\n" AB),
    NONE("no blank behind the status", "HTTP/1.1 200OK\r\n" AB),
    NONE("a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" AB),
    NONE("a carriage return in the reason", "HTTP/1.1 200 O\rK\r\n" AB),
    NONE("a switch to another protocol",
         "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n"
         "\r\n" OK AB),
    /* Line ends (RFC 9112, 2.2). */
    WHOLE("line feeds only", "HTTP/1.1 200 OK\nContent-Length: 2\n\nab"),
    WHOLE("empty lines first", "\r\n\r\n" OK AB),
    NONE("a blank before the first field", OK " X-A: 1\r\n" AB),
    NONE("a line of blanks", OK "X-A: 1\r\n  \r\n" AB),
    NONE("a carriage return that ends a line", OK "X-A: 1\rX-B: 2\r\n" AB),
    NONE("two carriage returns", OK "X-A: 1\r\r\n" AB),
    /* Names of fields (RFC 9112, 5.1; RFC 9110, 5.1). */
    WHOLE("all characters of a name", OK "Az09!#$&'*+-.^_`|~: 1\r\n" AB),
    NONE("a blank in a name", OK "X Odd: zz\r\n" AB),
    NONE("a blank before a colon", OK "X-Odd : zz\r\n" AB),
    NONE("a blank before a length's colon", OK "Content-Length : 1\r\n\r\nab"),
    NONE("a blank before a coding's colon",
         OK "Transfer-Encoding : chunked\r\n\r\n2\r\nab\r\n" LAST),
    NONE("a tab before a colon", OK "X-Odd\t: zz\r\n" AB),
    NONE("a control byte in a name", OK "X-\x01: zz\r\n" AB),
    NONE("a control byte that begins a name", OK "\x02X: zz\r\n" AB),
    NONE("a deleted character in a name", OK "X-\x7f: zz\r\n" AB),
    NONE("another byte in a name", OK "X-\xc3\xa9: zz\r\n" AB),
    NONE("a separator in a name", OK "X(a): zz\r\n" AB),
    NONE("a quote in a name", OK "\"X\": zz\r\n" AB),
    NONE("no name", OK ": zz\r\n" AB),
    NONE("no colon", OK "X-Odd\r\n" AB),
    NONE("a blank in a name of an interim answer",
         "HTTP/1.1 103 Early\r\nX Odd: zz\r\n\r\n" OK AB),
    NONE(
        "a blank in a name of another request's answer", OK
        "X-Request-Id: other\r\nX Odd: zz\r\nContent-Length: 0\r\n\r\n" OK AB),
    /* Values (RFC 9112, 5.2; RFC 9110, 5.5). */
    WHOLE("an empty value", OK "X-A:\r\n" AB),
    WHOLE("other bytes in a value", OK "X-A: \xc3\xa9\t\"(){}\r\n" AB),
    NONE("a value that goes on in the next line", OK "X-A: 1\r\n 2\r\n" AB),
    NONE("a length that goes on in the next line",
         OK "Content-Length: 2\r\n\t1\r\n\r\nab"),
    NONE("a control byte in a value", OK "X-A: a\x01z\r\n" AB),
    NONE("a deleted character in a value", OK "X-A: a\x7fz\r\n" AB),
    NONE("a carriage return in a value", OK "X-A: a\rz\r\n" AB),
    /* Codings (RFC 9112, 6.1). */
    WHOLE("a coding in other letters, between blanks",
          OK "Transfer-Encoding: \t Chunked \r\n\r\n2\r\nab\r\n" LAST),
    CODED("another coding", "Transfer-Encoding: gzip"),
    CODED("another coding, then chunks", "Transfer-Encoding: gzip, chunked"),
    CODED("chunks, then another coding", "Transfer-Encoding: chunked, gzip"),
    CODED("chunks twice", "Transfer-Encoding: chunked, chunked"),
    CODED("two codings in two lines",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"),
    CODED("an empty coding", "Transfer-Encoding:"),
    CODED("a coding with a parameter", "Transfer-Encoding: chunked;a=b"),
    CODED("a coding that ends like chunks", "Transfer-Encoding: xchunked"),
    CODED("a coding and a length",
          "Transfer-Encoding: chunked\r\nContent-Length: 2"),
    CODED("a length and a coding",
          "Content-Length: 2\r\nTransfer-Encoding: chunked"),
    NONE("chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked"
                               "\r\n\r\n2\r\nab\r\n" LAST),
    /* Lengths (RFC 9112, 6.2 and 6.3). */
    WHOLE("a length between blanks", OK "Content-Length: \t2 \r\n\r\nab"),
    WHOLE("a length with zeros", OK "Content-Length: 002\r\n\r\nab"),
    NONE("two lengths", OK "Content-Length: 2\r\nContent-Length: 1\r\n\r\nab"),
    NONE("two lengths that are the same",
         OK "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab"),
    NONE("a list of lengths", OK "Content-Length: 2, 2\r\n\r\nab"),
    NONE("an empty length", OK "Content-Length:\r\n\r\nab"),
    NONE("a length of blanks", OK "Content-Length: \t \r\n\r\nab"),
    NONE("a length with a sign", OK "Content-Length: +2\r\n\r\nab"),
    NONE("a negative length", OK "Content-Length: -2\r\n\r\nab"),
    NONE("a length in hex digits", OK "Content-Length: 0x2\r\n\r\nab"),
    NONE("a length with a fraction", OK "Content-Length: 2.0\r\n\r\nab"),
    NONE("a length with a blank inside", OK "Content-Length: 0 2\r\n\r\nab"),
    NONE("a length beyond all numbers",
         OK "Content-Length: 99999999999999999999\r\n\r\nab"),
    EMPTY("no content, with a length",
          "HTTP/1.1 204 None\r\nContent-Length: 2\r\n\r\n"),
    EMPTY("not modified, with a length",
          "HTTP/1.1 304 Same\r\nContent-Length: 2\r\n\r\n"),
    EMPTY("not modified, without a length", "HTTP/1.1 304 Same\r\n\r\n"),
    /* Chunks (RFC 9112, 7.1). */
    WHOLE("two chunks", CHUNKS("1\r\na\r\n1\r\nb\r\n" LAST)),
    WHOLE("chunks with extensions",
          CHUNKS("2;a;b=\"c d\"\r\nab\r\n0 ; z\r\n\r\n")),
    WHOLE("a size with zeros", CHUNKS("0002\r\nab\r\n000\r\n\r\n")),
    WHOLE("a size in capital digits", CHUNKS("00000000000002\r\nab\r\n" LAST)),
    NO_CHUNKS("more bytes than the chunk's size", "2\r\nabXX" LAST, "ab"),
    NO_CHUNKS("a size that is too large", "3\r\nab\r\n" LAST, "ab\r"),
    NO_CHUNKS("no line end behind a chunk", "2\r\nab" LAST, "ab"),
    NO_CHUNKS("a line feed only behind a chunk", "2\r\nab\n" LAST, "ab"),
    NO_CHUNKS("a carriage return only behind a size", "2\rXab\r\n" LAST, ""),
    NO_CHUNKS("a line feed only behind a size", "2\nab\r\n" LAST, ""),
    NO_CHUNKS("no size", "\r\nab\r\n" LAST, ""),
    NO_CHUNKS("a size with a sign", "+2\r\nab\r\n" LAST, ""),
    NO_CHUNKS("a negative size", "-2\r\nab\r\n" LAST, ""),
    NO_CHUNKS("a size with a prefix", "0x2\r\nab\r\n" LAST, ""),
    NO_CHUNKS("a size that is no number", "zz\r\nab\r\n" LAST, ""),
    NO_CHUNKS("a blank before a size", " 2\r\nab\r\n" LAST, ""),
    NO_CHUNKS("blanks behind a size", "2 \r\nab\r\n" LAST, ""),
    NO_CHUNKS("a second size behind a blank", "2 1\r\nab\r\n" LAST, ""),
    NO_CHUNKS("a size beyond all numbers", "fffffffffffffffff\r\nab", ""),
    NO_CHUNKS("a control byte in an extension", "2;\x01\r\nab\r\n" LAST, ""),
    NO_CHUNKS("a blank in a trailer's name", "2\r\nab\r\n0\r\nX A: 1\r\n\r\n",
              "ab"),
};

const size_t channel_case_count =
    sizeof(channel_cases) / sizeof(*channel_cases);

void
channel_expect(const channel_case_t *item, channel_outcome_t *outcome)
{
    cr_expect_eq(outcome->failure, item->failure, "%s: %d", item->name,
                 outcome->failure);
    cr_expect_str_eq(pps_buf_text(&outcome->body), item->body, "%s",
                     item->name);
    pps_buf_clear(&outcome->body);
}
