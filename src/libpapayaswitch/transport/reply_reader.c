/** @file reply_reader.c @brief Reads HTTP responses with http_parser. */
#include "reply_reader.h"

#include "counters.h"

#include <stdlib.h>
#include <string.h>

/** Bytes that a server may send before the head of the answer: interim answers
 * and answers to other requests. */
#define BEFORE_HEAD_BYTES_MAX (1U << 20)
/** Bytes of the fields of a head and a trailer together. */
#define HEADER_BYTES_MAX HTTP_MAX_HEADER_SIZE
#define NO_KEEP_ALIVE (-1)

static int
on_name(http_parser *parser, const char *data, size_t size)
{
    pps_reply_reader_t *reader = parser->data;

    pps_headers_append_name(&reader->reply.headers, data, size);
    reader->header_bytes += size;
    return 0;
}

static int
on_value(http_parser *parser, const char *data, size_t size)
{
    pps_reply_reader_t *reader = parser->data;

    pps_headers_append_value(&reader->reply.headers, data, size);
    reader->header_bytes += size;
    return 0;
}

static int
on_message_begin(http_parser *parser)
{
    pps_reply_reader_t *reader = parser->data;

    pps_headers_reset(&reader->reply.headers);
    reader->header_bytes = 0;
    reader->skipping = 0;
    /* A response without a call in progress is an error. */
    return reader->ops == NULL ? -1 : 0;
}

static void
read_keep_alive(pps_reply_reader_t *reader)
{
    const char *text = pps_headers_get(&reader->reply.headers, "keep-alive");
    const char *timeout = text ? strstr(text, "timeout=") : NULL;

    reader->keep_alive_s = timeout != NULL
                               ? strtol(timeout + strlen("timeout="), NULL, 10)
                               : NO_KEEP_ALIVE;
}

static int
on_headers_complete(http_parser *parser)
{
    pps_reply_reader_t *reader = parser->data;
    int interim = parser->status_code < 200;

    pps_headers_end(&reader->reply.headers);
    reader->reply.status = parser->status_code;
    if (interim) {
        reader->skipping = 1;
        return 0;
    }
    if (reader->ops == NULL || reader->reply.headers.overflow) {
        return -1;
    }
    read_keep_alive(reader);
    reader->reusable = http_should_keep_alive(parser);
    reader->skipping = reader->ops->on_head(reader->user, &reader->reply);
    reader->has_head = !reader->skipping;
    return reader->stopped ? -1 : 0;
}

/* Keeps the trailer from the parser, which would report its fields as those of
 * the head and apply the ones that concern framing. */
static int
on_chunk_header(http_parser *parser)
{
    pps_reply_reader_t *reader = parser->data;

    if (parser->content_length == 0) {
        reader->in_trailer = 1;
        reader->trailer = (pps_trailer_t){0};
        http_parser_pause(parser, 1);
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    pps_reply_reader_t *reader = parser->data;

    if (!reader->skipping && reader->ops != NULL) {
        reader->ops->on_body(reader->user, data, size);
    }
    return reader->stopped ? -1 : 0;
}

static int
on_message_complete(http_parser *parser)
{
    pps_reply_reader_t *reader = parser->data;

    if (!reader->skipping) {
        http_parser_pause(parser, 1);
    }
    return 0;
}

static const http_parser_settings parser_settings = {
    .on_message_begin = on_message_begin,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_chunk_header = on_chunk_header,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};

void
pps_reply_reader_init(pps_reply_reader_t *reader)
{
    memset(reader, 0, sizeof(*reader));
    http_parser_init(&reader->parser, HTTP_RESPONSE);
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
    http_parser_pause(&reader->parser, 0);
    reader->ops = ops;
    reader->user = user;
    reader->before_head_bytes = 0;
    reader->has_head = 0;
}

static pps_reply_state_t
read_message(pps_reply_reader_t *reader, const char *data, size_t size,
             size_t *used)
{
    *used = http_parser_execute(&reader->parser, &parser_settings, data, size);
    if (reader->stopped) {
        return PPS_REPLY_STOPPED;
    }
    switch (HTTP_PARSER_ERRNO(&reader->parser)) {
    case HPE_OK:
        return PPS_REPLY_MORE;
    case HPE_PAUSED:
        return reader->in_trailer ? PPS_REPLY_MORE : PPS_REPLY_WHOLE;
    default:
        return PPS_REPLY_MALFORMED;
    }
}

/* The parser has not seen the end of the message, so it starts anew. */
static pps_reply_state_t
end_trailer(pps_reply_reader_t *reader)
{
    reader->in_trailer = 0;
    pps_counter_add(PPS_COUNTER_ENTRY_TRAILERS,
                    reader->trailer.field_bytes > 0);
    http_parser_init(&reader->parser, HTTP_RESPONSE);
    return reader->skipping ? PPS_REPLY_MORE : PPS_REPLY_WHOLE;
}

static pps_reply_state_t
skip_trailer(pps_reply_reader_t *reader, const char *data, size_t size,
             size_t *used)
{
    pps_trailer_state_t state =
        pps_trailer_skip(&reader->trailer, data, size, used);

    if (state == PPS_TRAILER_MALFORMED ||
        reader->header_bytes + reader->trailer.field_bytes >
            HEADER_BYTES_MAX) {
        return PPS_REPLY_MALFORMED;
    }
    return state == PPS_TRAILER_WHOLE ? end_trailer(reader) : PPS_REPLY_MORE;
}

pps_reply_state_t
pps_reply_reader_feed(pps_reply_reader_t *reader, const char *data,
                      size_t size, size_t *used)
{
    pps_reply_state_t state;

    *used = 0;
    if (!reader->has_head) {
        reader->before_head_bytes += size;
    }
    if (reader->before_head_bytes > BEFORE_HEAD_BYTES_MAX) {
        return PPS_REPLY_MALFORMED;
    }
    do {
        size_t part_used = 0;

        state =
            reader->in_trailer
                ? skip_trailer(reader, data + *used, size - *used, &part_used)
                : read_message(reader, data + *used, size - *used, &part_used);
        *used += part_used;
    } while (state == PPS_REPLY_MORE && *used < size);
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
