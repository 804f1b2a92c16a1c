/** @file http_conn_parse.c @brief Parses and validates requests. */
#include "http_server_state.h"

#include "tcp_write.h"

#include <limits.h>
#include <strings.h>

#define STATUS_BAD_REQUEST 400
#define STATUS_BODY_TOO_LARGE 413
#define STATUS_HEADERS_TOO_LARGE 431

static int
reject(pps_http_conn_t *conn, unsigned int status)
{
    conn->error_status = status;
    return -1;
}

static int
count_header_bytes(pps_http_conn_t *conn, size_t size)
{
    conn->header_bytes += size;
    return conn->header_bytes > conn->server->limits->header_bytes
               ? reject(conn, STATUS_HEADERS_TOO_LARGE)
               : 0;
}

static int
on_url(http_parser *parser, const char *data, size_t size)
{
    pps_http_conn_t *conn = parser->data;

    pps_buf_append(&conn->request.target, data, size);
    return count_header_bytes(conn, size);
}

static int
on_name(http_parser *parser, const char *data, size_t size)
{
    pps_http_conn_t *conn = parser->data;

    pps_headers_append_name(&conn->request.headers, data, size);
    return count_header_bytes(conn, size);
}

static int
on_value(http_parser *parser, const char *data, size_t size)
{
    pps_http_conn_t *conn = parser->data;

    pps_headers_append_value(&conn->request.headers, data, size);
    return count_header_bytes(conn, size);
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
    pps_http_conn_t *conn = parser->data;
    const pps_headers_t *headers = &conn->request.headers;
    const char *expect;

    pps_headers_end(&conn->request.headers);
    if (headers->overflow) {
        return reject(conn, STATUS_HEADERS_TOO_LARGE);
    }
    if (framing_is_ambiguous(headers) || parser->method == HTTP_CONNECT ||
        pps_headers_count(headers, "host") != 1) {
        return reject(conn, STATUS_BAD_REQUEST);
    }
    if (parser->content_length != ULLONG_MAX &&
        parser->content_length > conn->server->limits->body_bytes) {
        return reject(conn, STATUS_BODY_TOO_LARGE);
    }
    expect = pps_headers_get(headers, "expect");
    if (expect != NULL && strcasecmp(expect, "100-continue") == 0) {
        static char continue_response[] = "HTTP/1.1 100 Continue\r\n\r\n";
        uv_buf_t piece =
            uv_buf_init(continue_response, sizeof(continue_response) - 1);

        pps_tcp_write(&conn->tcp, &piece, 1);
    }
    return 0;
}

static int
on_body(http_parser *parser, const char *data, size_t size)
{
    pps_http_conn_t *conn = parser->data;

    if (conn->request.body.size + size > conn->server->limits->body_bytes) {
        return reject(conn, STATUS_BODY_TOO_LARGE);
    }
    pps_buf_append(&conn->request.body, data, size);
    return 0;
}

static int
on_message_complete(http_parser *parser)
{
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings pps_http_conn_parser_settings = {
    .on_url = on_url,
    .on_header_field = on_name,
    .on_header_value = on_value,
    .on_headers_complete = on_headers_complete,
    .on_body = on_body,
    .on_message_complete = on_message_complete,
};
