/** @file request_reader.c @brief Parses and validates requests. */
#include "request_reader.h"

#include "counters.h"
#include "papayaswitch/errors.h"

#include <string.h>
#include <strings.h>

/** Largest buffers of a request that are kept for the next one. */
#define KEPT_BYTES_MAX 4096

#define STATUS_BAD_REQUEST 400
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_HEADERS_TOO_LARGE 431

/* What on_headers_complete() returns to end the parsing of a request. */
#define PARSER_STOP 2

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
 * would allow request smuggling. Sets the length, 0 if there is none. */
static int
framing_is_ambiguous(int64_t *length, const pps_headers_t *headers,
                     unsigned int http_minor)
{
    const char *encoding = pps_headers_get(headers, "transfer-encoding");
    unsigned int lengths = pps_headers_count(headers, "content-length");

    *length = 0;
    if (encoding == NULL) {
        int error = pps_headers_get_number(length, headers, "content-length");

        return lengths > 1 || error == PPS_EINVALID;
    }
    return lengths > 0 || strcasecmp(encoding, "chunked") != 0 ||
           pps_headers_count(headers, "transfer-encoding") > 1 ||
           http_minor == 0;
}

static int
check_head(pps_request_reader_t *reader)
{
    const pps_headers_t *headers = &reader->request.headers;
    int64_t length;

    if (headers->overflow) {
        return reject(reader, STATUS_HEADERS_TOO_LARGE);
    }
    if (framing_is_ambiguous(&length, headers, reader->parser.http_minor) ||
        reader->parser.method == HTTP_CONNECT ||
        pps_headers_count(headers, "host") != 1) {
        return reject(reader, STATUS_BAD_REQUEST);
    }
    reader->body_left = (uint64_t)length;
    return reader->body_left > reader->limits->body_bytes
               ? reject(reader, STATUS_BODY_TOO_LARGE)
               : 0;
}

static int
on_headers_complete(http_parser *parser)
{
    pps_request_reader_t *reader = parser->data;
    const char *expect;

    pps_headers_end(&reader->request.headers);
    if (check_head(reader) != 0) {
        return -1;
    }
    reader->keep_alive = http_should_keep_alive(parser);
    expect = pps_headers_get(&reader->request.headers, "expect");
    reader->expects_continue =
        expect != NULL && strcasecmp(expect, "100-continue") == 0;
    reader->is_parsed = 1;
    return PARSER_STOP;
}

static const http_parser_settings parser_settings = {
    .on_url = on_url,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
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
    pps_head_lines_init(&reader->head, PPS_HEAD_OF_REQUEST);
    reader->part = PPS_REQUEST_IN_HEAD;
    reader->is_parsed = 0;
    reader->discards_body = 0;
    reader->body_left = 0;
    reader->chunks = (pps_chunks_t){0};
    reader->trailer = (pps_field_lines_t){0};
    reader->header_bytes = 0;
    reader->expects_continue = 0;
    reader->keep_alive = 0;
    reader->error_status = 0;
}

static pps_request_state_t
reject_malformed(pps_request_reader_t *reader)
{
    if (reader->error_status == 0) {
        reject(reader, STATUS_BAD_REQUEST);
    }
    return PPS_REQUEST_REJECTED;
}

static pps_request_state_t
start_body(pps_request_reader_t *reader)
{
    reader->request.method = http_method_str(reader->parser.method);
    if (pps_headers_get(&reader->request.headers, "transfer-encoding")) {
        reader->part = PPS_REQUEST_IN_CHUNKS;
        return PPS_REQUEST_MORE;
    }
    reader->part = PPS_REQUEST_IN_BODY;
    return reader->body_left == 0 ? PPS_REQUEST_WHOLE : PPS_REQUEST_MORE;
}

static pps_request_state_t
read_head(pps_request_reader_t *reader, const char *data, size_t size,
          size_t *used)
{
    pps_field_lines_state_t state =
        pps_head_lines_read(&reader->head, data, size, used);

    http_parser_execute(&reader->parser, &parser_settings, data, *used);
    if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK ||
        state == PPS_FIELD_LINES_MALFORMED) {
        return reject_malformed(reader);
    }
    if (state == PPS_FIELD_LINES_MORE) {
        return PPS_REQUEST_MORE;
    }
    return reader->is_parsed ? start_body(reader) : reject_malformed(reader);
}

static pps_request_state_t
keep_body(pps_request_reader_t *reader, const char *data, size_t size)
{
    pps_buf_t *body = &reader->request.body;

    if (body->size + size > reader->limits->body_bytes) {
        reject(reader, STATUS_BODY_TOO_LARGE);
        return PPS_REQUEST_REJECTED;
    }
    if (size > 0 && !reader->discards_body) {
        pps_buf_append(body, data, size);
    }
    return PPS_REQUEST_MORE;
}

static pps_request_state_t
read_body(pps_request_reader_t *reader, const char *data, size_t size,
          size_t *used)
{
    *used = reader->body_left < size ? (size_t)reader->body_left : size;
    reader->body_left -= *used;
    if (keep_body(reader, data, *used) != PPS_REQUEST_MORE) {
        return PPS_REQUEST_REJECTED;
    }
    return reader->body_left == 0 ? PPS_REQUEST_WHOLE : PPS_REQUEST_MORE;
}

static pps_request_state_t
read_chunks(pps_request_reader_t *reader, const char *data, size_t size,
            size_t *used)
{
    pps_chunk_piece_t piece;

    switch (pps_chunks_read(&reader->chunks, &piece, data, size, used)) {
    case PPS_CHUNKS_MALFORMED:
        return reject_malformed(reader);
    case PPS_CHUNKS_LAST:
        reader->part = PPS_REQUEST_IN_TRAILER;
        break;
    case PPS_CHUNKS_MORE:
        break;
    }
    return keep_body(reader, piece.data, piece.size);
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
        return reject_malformed(reader);
    }
    if (state == PPS_FIELD_LINES_MORE) {
        return PPS_REQUEST_MORE;
    }
    pps_counter_add(PPS_COUNTER_ENTRY_TRAILERS,
                    reader->trailer.field_bytes > 0);
    return PPS_REQUEST_WHOLE;
}

static pps_request_state_t
read_part(pps_request_reader_t *reader, const char *data, size_t size,
          size_t *used)
{
    switch (reader->part) {
    case PPS_REQUEST_IN_HEAD:
        return read_head(reader, data, size, used);
    case PPS_REQUEST_IN_BODY:
        return read_body(reader, data, size, used);
    case PPS_REQUEST_IN_CHUNKS:
        return read_chunks(reader, data, size, used);
    case PPS_REQUEST_IN_TRAILER:
        break;
    }
    return skip_trailer(reader, data, size, used);
}

pps_request_state_t
pps_request_reader_feed(pps_request_reader_t *reader, const char *data,
                        size_t size, size_t *used)
{
    pps_request_state_t state = PPS_REQUEST_MORE;

    *used = 0;
    while (state == PPS_REQUEST_MORE && *used < size) {
        size_t part_used = 0;

        state = read_part(reader, data + *used, size - *used, &part_used);
        *used += part_used;
    }
    return state;
}

int
pps_request_reader_has_head(const pps_request_reader_t *reader)
{
    return reader->part != PPS_REQUEST_IN_HEAD;
}

uint64_t
pps_request_reader_body_left(const pps_request_reader_t *reader)
{
    return reader->part == PPS_REQUEST_IN_BODY ? reader->body_left
                                               : UINT64_MAX;
}

void
pps_request_reader_discard_body(pps_request_reader_t *reader)
{
    reader->discards_body = 1;
    pps_buf_clear(&reader->request.body);
}

void
pps_request_reader_clear(pps_request_reader_t *reader)
{
    pps_buf_clear(&reader->request.target);
    pps_headers_clear(&reader->request.headers);
    pps_buf_clear(&reader->request.body);
}
