/** @file fuzz_http.c @brief Fuzzes the readers of requests and of answers. The
 * outcome must not depend on where the bytes are cut. The first two bytes
 * choose the reader and the cut; of the others, the lowest values stand for
 * pieces of messages, which a fuzzer would hardly find. */
#include "clock.h"
#include "transport/reply_reader.h"
#include "transport/request_reader.h"

#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#define CHOICE_BYTES 2
#define HEADER_BYTES_MAX 1024
#define BODY_BYTES_MAX 1024

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static const char *const pieces[] = {
    "POST / HTTP/1.1\r\nHost: h\r\n",
    "HTTP/1.1 200 OK\r\n",
    "HTTP/1.1 103 Early Hints\r\n",
    "Transfer-Encoding: chunked\r\n",
    "Content-Length: 3\r\n",
    "X-Request-Id: other\r\n",
    "Connection: close\r\n",
    "X-A: 1\r\n",
    "\r\n",
    "3\r\nabc\r\n",
    "0\r\n",
    "0;a=b\r\n",
    " folded\r\n",
};

#define PIECE_COUNT (sizeof(pieces) / sizeof(*pieces))

/** What a reader made of the bytes. */
typedef struct {
    int state;
    size_t used;
    unsigned int status; /**< of an answer, or of a rejection */
    unsigned int fields;
    pps_buf_t body;
} outcome_t;

static int
is_same(const outcome_t *a, const outcome_t *b)
{
    return a->state == b->state && a->used == b->used &&
           a->status == b->status && a->fields == b->fields &&
           a->body.size == b->body.size &&
           memcmp(pps_buf_text(&a->body), pps_buf_text(&b->body),
                  a->body.size) == 0;
}

static void
read_request(outcome_t *out, const char *text, size_t size, size_t split)
{
    static const pps_http_limits_t limits = {HEADER_BYTES_MAX, BODY_BYTES_MAX,
                                             PPS_US_PER_S, PPS_US_PER_S};
    pps_request_reader_t reader;
    size_t used = 0;

    pps_request_reader_init(&reader, &limits);
    /* Feeding no bytes would state the end of the connection. */
    out->state = pps_request_reader_feed(&reader, text, split, &out->used);
    if (out->state == PPS_REQUEST_MORE && size > split) {
        out->state = pps_request_reader_feed(&reader, text + split,
                                             size - split, &used);
        out->used += used;
    }
    if (out->state == PPS_REQUEST_WHOLE) {
        out->fields = reader.request.headers.count;
        pps_buf_append(&out->body, reader.request.body.data,
                       reader.request.body.size);
    }
    else {
        out->used = 0;
    }
    out->status = reader.error_status;
    pps_request_reader_clear(&reader);
}

static int
on_head(void *user, const pps_http_reply_t *reply)
{
    outcome_t *out = user;
    const char *id = pps_headers_get(&reply->headers, "X-Request-Id");

    if (id != NULL && strcmp(id, "other") == 0) {
        return 1;
    }
    out->status = reply->status;
    out->fields = reply->headers.count;
    return 0;
}

static void
on_body(void *user, const char *data, size_t size)
{
    pps_buf_append(&((outcome_t *)user)->body, data, size);
}

static void
read_reply(outcome_t *out, const char *text, size_t size, size_t split)
{
    static const pps_channel_ops_t ops = {.on_head = on_head,
                                          .on_body = on_body};
    pps_reply_reader_t reader;
    size_t used = 0;

    pps_reply_reader_init(&reader);
    pps_reply_reader_begin(&reader, &ops, out);
    out->state = pps_reply_reader_feed(&reader, text, split, &out->used);
    if (out->state == PPS_REPLY_MORE && size > split) {
        out->state =
            pps_reply_reader_feed(&reader, text + split, size - split, &used);
        out->used += used;
    }
    if (out->state != PPS_REPLY_WHOLE) {
        out->used = 0;
    }
    pps_reply_reader_clear(&reader);
}

static void
write_text(pps_buf_t *out, const uint8_t *data, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (data[i] < PIECE_COUNT) {
            pps_buf_puts(out, pieces[data[i]]);
        }
        else {
            pps_buf_append(out, &data[i], 1);
        }
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    void (*const read)(outcome_t *, const char *, size_t, size_t) =
        size > 0 && data[0] % 2 == 0 ? read_request : read_reply;
    pps_buf_t text = PPS_BUF_INIT;
    outcome_t whole = {0};
    outcome_t cut = {0};

    if (size <= CHOICE_BYTES) {
        return 0;
    }
    write_text(&text, data + CHOICE_BYTES, size - CHOICE_BYTES);
    read(&whole, text.data, text.size, text.size);
    read(&cut, text.data, text.size, 1 + data[1] % text.size);
    if (!is_same(&whole, &cut)) {
        abort();
    }
    pps_buf_clear(&text);
    pps_buf_clear(&whole.body);
    pps_buf_clear(&cut.body);
    return 0;
}
