/** @file request_reader.c @brief Parses and validates requests. */
#include "request_reader.h"

#include "counters.h"

#include <limits.h>
#include <string.h>
#include <strings.h>

/** Largest buffers of a request that are kept for the next one. */
#define KEPT_BYTES_MAX 4096

#define STATUS_BAD_REQUEST 400
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_HEADERS_TOO_LARGE 431

static int
reject(pps_request_reader_t *reader, unsigned int status)
{
    reader->error_status = status;
    return -1;
}

/* Checks what the head and the trailer have so far. */
static int
check_header_bytes(pps_request_reader_t *reader)
{
    size_t size = reader->header_bytes + reader->trailer.field_bytes;

    return size > reader->limits->header_bytes
               ? reject(reader, STATUS_HEADERS_TOO_LARGE)
               : 0;
}

static int
count_header_bytes(pps_request_reader_t *reader, size_t size)
{
    reader->header_bytes += size;
    return check_header_bytes(reader);
}

static int
on_url(http_parser *parser, const char *data, size_t size)
{
    pps_request_reader_t *reader = parser->data;

    pps_buf_append(&reader->request.target, data, size);
    return count_header_bytes(reader, size);
}

static int
on_name(http_parser *parser, const char *data, size_t size)
{
    pps_request_reader_t *reader = parser->data;

    pps_headers_append_name(&reader->request.headers, data, size);
    return count_header_bytes(reader, size);
}

static int
on_value(http_parser *parser, const char *data, size_t size)
{
    pps_request_reader_t *reader = parser->data;

    pps_headers_append_value(&reader->request.headers, data, size);
    return count_header_bytes(reader, size);
}

/* Detects body framing that a proxy or backend could read differently, which
 * would allow request smuggling. */
static int
framing_is_ambiguous(const pps_headers_t *headers)
{
    const char *encoding = pps_headers_get(headers, "transfer-encoding");
    unsigned int lengths = pps_headers_count(headers, "content-length");

    if (encoding == NULL) {
        return lengths > 1;
    }
    return lengths > 0 || strcasecmp(encoding, "chunked") != 0 ||
           pps_headers_count(headers, "transfer-encoding") > 1;
}

static int
on_headers_complete(http_parser *parser)
{
    pps_request_reader_t *reader = parser->data;
    const pps_headers_t *headers = &reader->request.headers;
    const char *expect;

    pps_headers_end(&reader->request.headers);
    if (headers->overflow) {
        return reject(reader, STATUS_HEADERS_TOO_LARGE);
    }
    if (framing_is_ambiguous(headers) || parser->method == HTTP_CONNECT ||
        pps_headers_count(headers, "host") != 1) {
        return reject(reader, STATUS_BAD_REQUEST);
    }
    if (parser->content_length != ULLONG_MAX &&
        parser->content_length > reader->limits->body_bytes) {
        return reject(reader, STATUS_BODY_TOO_LARGE);
    }
    reader->keep_alive = http_should_keep_alive(parser);
    expect = pps_headers_get(headers, "expect");
    reader->expects_continue =
        expect != NULL && strcasecmp(expect, "100-continue") == 0;
    return 0;
}

/* Keeps the trailer from the parser, which would report its fields as those of
 * the head and apply the ones that concern framing. */
static int
on_chunk_header(http_parser *parser)
{
    pps_request_reader_t *reader = parser->data;

    if (parser->content_length == 0) {
        reader->in_trailer = 1;
        http_parser_pause(parser, 1);
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    pps_request_reader_t *reader = parser->data;

    if (reader->request.body.size + size > reader->limits->body_bytes) {
        return reject(reader, STATUS_BODY_TOO_LARGE);
    }
    pps_buf_append(&reader->request.body, data, size);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    http_parser_pause(parser, 1);
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_chunk_header = on_chunk_header,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

void
pps_request_reader_init(pps_request_reader_t *reader,
                        const pps_http_limits_t *limits)
{
    memset(reader, 0, sizeof(*reader));
    reader->limits = limits;
    pps_request_reader_begin(reader);
}

/* Empties a buffer, and frees it if it is large: a connection that is kept may
 * never need as much again. */
static void
empty(pps_buf_t *buf)
{
    buf->size = 0;
    if (buf->capacity > KEPT_BYTES_MAX) {
        pps_buf_clear(buf);
    }
}

void
pps_request_reader_begin(pps_request_reader_t *reader)
{
    http_parser_init(&reader->parser, HTTP_REQUEST);
    reader->parser.data = reader;
    pps_headers_reset(&reader->request.headers);
    empty(&reader->request.headers.text);
    empty(&reader->request.target);
    empty(&reader->request.body);
    reader->trailer = (pps_field_lines_t){0};
    reader->in_trailer = 0;
    reader->header_bytes = 0;
    reader->expects_continue = 0;
    reader->keep_alive = 0;
    reader->error_status = 0;
}

static pps_request_state_t
read_message(pps_request_reader_t *reader, const char *data, size_t size,
             size_t *used)
{
    *used = http_parser_execute(&reader->parser, &parser_settings, data, size);
    switch (HTTP_PARSER_ERRNO(&reader->parser)) {
    case HPE_OK:
        return PPS_REQUEST_MORE;
    case HPE_PAUSED:
        return reader->in_trailer ? PPS_REQUEST_MORE : PPS_REQUEST_WHOLE;
    default:
        if (reader->error_status == 0) {
            reject(reader, STATUS_BAD_REQUEST);
        }
        return PPS_REQUEST_REJECTED;
    }
}

static pps_request_state_t
skip_trailer(pps_request_reader_t *reader, const char *data, size_t size,
             size_t *used)
{
    pps_field_lines_state_t state =
        pps_field_lines_read(&reader->trailer, data, size, used);

    if (check_header_bytes(reader) != 0) {
        return PPS_REQUEST_REJECTED;
    }
    if (state == PPS_FIELD_LINES_MALFORMED) {
        reject(reader, STATUS_BAD_REQUEST);
        return PPS_REQUEST_REJECTED;
    }
    if (state == PPS_FIELD_LINES_MORE) {
        return PPS_REQUEST_MORE;
    }
    pps_counter_add(PPS_COUNTER_ENTRY_TRAILERS,
                    reader->trailer.field_bytes > 0);
    return PPS_REQUEST_WHOLE;
}

pps_request_state_t
pps_request_reader_feed(pps_request_reader_t *reader, const char *data,
                        size_t size, size_t *used)
{
    pps_request_state_t state = PPS_REQUEST_MORE;
    size_t trailer_used = 0;

    *used = 0;
    if (!reader->in_trailer) {
        state = read_message(reader, data, size, used);
    }
    if (state == PPS_REQUEST_MORE && reader->in_trailer) {
        state =
            skip_trailer(reader, data + *used, size - *used, &trailer_used);
        *used += trailer_used;
    }
    if (state == PPS_REQUEST_WHOLE) {
        reader->request.method = http_method_str(reader->parser.method);
    }
    return state;
}

void
pps_request_reader_clear(pps_request_reader_t *reader)
{
    pps_buf_clear(&reader->request.target);
    pps_headers_clear(&reader->request.headers);
    pps_buf_clear(&reader->request.body);
}
