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
