/** @file reply_reader.c @brief Reads HTTP responses: heads with http_parser,
 * once their grammar has been checked, and bodies by their framing. */
#include "reply_reader.h"

#include "counters.h"

#include <stdlib.h>
#include <string.h>

/** Bytes that a server may send before the head of the answer: interim answers
 * and answers to other requests. */
#define BEFORE_HEAD_BYTES_MAX (1U << 20)
/** Bytes of a head and a trailer together. */
#define HEADER_BYTES_MAX HTTP_MAX_HEADER_SIZE
#define NO_KEEP_ALIVE (-1)
#define STATUS_SWITCHING_PROTOCOLS 101

/* What on_headers_complete() returns to end the parsing of a message. */
#define PARSER_STOP 2

static int
on_name(http_parser *parser, const char *data, size_t size)
{
    pps_reply_reader_t *reader = parser->data;

    pps_headers_append_name(&reader->reply.headers, data, size);
    return 0;
}

static int
on_value(http_parser *parser, const char *data, size_t size)
{
    pps_reply_reader_t *reader = parser->data;

    pps_headers_append_value(&reader->reply.headers, data, size);
    return 0;
}

static int
on_headers_complete(http_parser *parser)
{
    pps_reply_reader_t *reader = parser->data;

    pps_headers_end(&reader->reply.headers);
    reader->reply.status = parser->status_code;
    reader->reusable = http_should_keep_alive(parser);
    reader->is_parsed = 1;
    return PARSER_STOP;
}

static const http_parser_settings parser_settings = {
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
};

static void
read_keep_alive(pps_reply_reader_t *reader)
{
    const char *text = pps_headers_get(&reader->reply.headers, "keep-alive");
    const char *timeout = text ? strstr(text, "timeout=") : NULL;

    reader->keep_alive_s = timeout != NULL
                               ? strtol(timeout + strlen("timeout="), NULL, 10)
                               : NO_KEEP_ALIVE;
}

/* Prepares for the next message. */
static void
start_message(pps_reply_reader_t *reader)
{
    http_parser_init(&reader->parser, HTTP_RESPONSE);
    pps_headers_reset(&reader->reply.headers);
    pps_head_lines_init(&reader->head, PPS_HEAD_OF_ANSWER);
    reader->is_parsed = 0;
    reader->skipping = 0;
    reader->part = PPS_REPLY_IN_HEAD;
}

void
pps_reply_reader_init(pps_reply_reader_t *reader)
{
    memset(reader, 0, sizeof(*reader));
    start_message(reader);
    reader->parser.data = reader;
    reader->keep_alive_s = NO_KEEP_ALIVE;
}

void
pps_reply_reader_clear(pps_reply_reader_t *reader)
{
    pps_headers_clear(&reader->reply.headers);
}

void
pps_reply_reader_begin(pps_reply_reader_t *reader,
                       const pps_channel_ops_t *ops, void *user)
{
    reader->ops = ops;
    reader->user = user;
    reader->before_head_bytes = 0;
    reader->has_head = 0;
}

static pps_reply_state_t
end_message(pps_reply_reader_t *reader)
{
    int is_answer = !reader->skipping;

    start_message(reader);
    return is_answer ? PPS_REPLY_WHOLE : PPS_REPLY_MORE;
}

static pps_reply_state_t
start_body(pps_reply_reader_t *reader)
{
    switch (reader->framing.kind) {
    case PPS_FRAMING_EMPTY:
        return end_message(reader);
    case PPS_FRAMING_CHUNKS:
        reader->part = PPS_REPLY_IN_CHUNKS;
        reader->chunks = (pps_chunks_t){0};
        break;
    case PPS_FRAMING_LENGTH:
    case PPS_FRAMING_END:
        reader->part = PPS_REPLY_IN_BODY;
        break;
    }
    return PPS_REPLY_MORE;
}

/* Hands a final head to the owner, who may skip it. */
static void
report_head(pps_reply_reader_t *reader)
{
    read_keep_alive(reader);
    reader->skipping = reader->ops->on_head(reader->user, &reader->reply);
    reader->has_head = !reader->skipping;
}

static pps_reply_state_t
end_head(pps_reply_reader_t *reader)
{
    unsigned int status = reader->reply.status;

    if (!reader->is_parsed || reader->reply.headers.overflow ||
        status == STATUS_SWITCHING_PROTOCOLS ||
        pps_reply_framing_read(&reader->framing, &reader->reply,
                               reader->parser.http_minor) != 0) {
        return PPS_REPLY_MALFORMED;
    }
    if (status < PPS_HTTP_SUCCESS_MIN) {
        reader->skipping = 1;
    }
    else {
        report_head(reader);
    }
    return reader->stopped ? PPS_REPLY_STOPPED : start_body(reader);
}

static pps_reply_state_t
read_head(pps_reply_reader_t *reader, const char *data, size_t size,
          size_t *used)
{
    pps_field_lines_state_t state =
        pps_head_lines_read(&reader->head, data, size, used);

    if (state == PPS_FIELD_LINES_MALFORMED || reader->ops == NULL ||
        pps_head_lines_bytes(&reader->head) > HEADER_BYTES_MAX) {
        return PPS_REPLY_MALFORMED;
    }
    http_parser_execute(&reader->parser, &parser_settings, data, *used);
    if (HTTP_PARSER_ERRNO(&reader->parser) != HPE_OK) {
        return PPS_REPLY_MALFORMED;
    }
    return state == PPS_FIELD_LINES_WHOLE ? end_head(reader) : PPS_REPLY_MORE;
}

static pps_reply_state_t
report_body(pps_reply_reader_t *reader, const char *data, size_t size)
{
    if (size > 0 && !reader->skipping && reader->ops != NULL) {
        reader->ops->on_body(reader->user, data, size);
    }
    return reader->stopped ? PPS_REPLY_STOPPED : PPS_REPLY_MORE;
}

/* Reads a body that ends after its length or with the connection. */
static pps_reply_state_t
read_body(pps_reply_reader_t *reader, const char *data, size_t size,
          size_t *used)
{
    pps_reply_framing_t *framing = &reader->framing;
    int has_length = framing->kind == PPS_FRAMING_LENGTH;
    pps_reply_state_t state;

    *used =
        has_length && framing->length < size ? (size_t)framing->length : size;
    framing->length -= has_length ? *used : 0;
    state = report_body(reader, data, *used);
    return state == PPS_REPLY_MORE && has_length && framing->length == 0
               ? end_message(reader)
               : state;
}

static pps_reply_state_t
read_chunks(pps_reply_reader_t *reader, const char *data, size_t size,
            size_t *used)
{
    pps_chunk_piece_t piece;

    switch (pps_chunks_read(&reader->chunks, &piece, data, size, used)) {
    case PPS_CHUNKS_MALFORMED:
        return PPS_REPLY_MALFORMED;
    case PPS_CHUNKS_LAST:
        reader->part = PPS_REPLY_IN_TRAILER;
        reader->trailer = (pps_field_lines_t){0};
        break;
    case PPS_CHUNKS_MORE:
        break;
    }
    return report_body(reader, piece.data, piece.size);
}

static pps_reply_state_t
read_trailer(pps_reply_reader_t *reader, const char *data, size_t size,
             size_t *used)
{
    pps_field_lines_state_t state =
        pps_field_lines_read(&reader->trailer, data, size, used);

    if (state == PPS_FIELD_LINES_MALFORMED ||
        pps_head_lines_bytes(&reader->head) + reader->trailer.field_bytes >
            HEADER_BYTES_MAX) {
        return PPS_REPLY_MALFORMED;
    }
    if (state == PPS_FIELD_LINES_MORE) {
        return PPS_REPLY_MORE;
    }
    pps_counter_add(PPS_COUNTER_ENTRY_TRAILERS,
                    reader->trailer.field_bytes > 0);
    return end_message(reader);
}

static pps_reply_state_t
read_part(pps_reply_reader_t *reader, const char *data, size_t size,
          size_t *used)
{
    switch (reader->part) {
    case PPS_REPLY_IN_HEAD:
        return read_head(reader, data, size, used);
    case PPS_REPLY_IN_BODY:
        return read_body(reader, data, size, used);
    case PPS_REPLY_IN_CHUNKS:
        return read_chunks(reader, data, size, used);
    case PPS_REPLY_IN_TRAILER:
        break;
    }
    return read_trailer(reader, data, size, used);
}

/* Only a body without a length may end with the connection. */
static pps_reply_state_t
end_connection(pps_reply_reader_t *reader)
{
    int ends_body = reader->part == PPS_REPLY_IN_BODY &&
                    reader->framing.kind == PPS_FRAMING_END;

    return ends_body ? end_message(reader) : PPS_REPLY_MORE;
}

pps_reply_state_t
pps_reply_reader_feed(pps_reply_reader_t *reader, const char *data,
                      size_t size, size_t *used)
{
    pps_reply_state_t state = PPS_REPLY_MORE;

    *used = 0;
    if (!reader->has_head) {
        reader->before_head_bytes += size;
    }
    if (reader->before_head_bytes > BEFORE_HEAD_BYTES_MAX) {
        return PPS_REPLY_MALFORMED;
    }
    if (size == 0) {
        state = end_connection(reader);
    }
    while (state == PPS_REPLY_MORE && *used < size) {
        size_t part_used = 0;

        state = read_part(reader, data + *used, size - *used, &part_used);
        *used += part_used;
    }
    if (state == PPS_REPLY_WHOLE) {
        reader->ops = NULL;
    }
    return state;
}

void
pps_reply_reader_stop(pps_reply_reader_t *reader)
{
    reader->stopped = 1;
    reader->ops = NULL;
}
