/** @file http_prepare.c @brief Prepares a libcurl handle for a request. */
#include "http_handle.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CONNECT_TIMEOUT_MS_DEFAULT 1000
#define IDLE_AGE_MAX_S 30L
#define UNREAD_BODY_BYTES_MAX (16u << 20)

static size_t
on_header(char *line, size_t size, size_t count, void *user)
{
    static const char retry_after[] = "Retry-After:";
    pps_http_stream_t *stream = user;
    size_t total = size * count;
    char value[16] = "";

    /* libcurl reports the fields of a trailer in the same way. */
    if (stream->headers_done) {
        return total;
    }
    if (pps_http_answer_head_check(&stream->head, line, total) != 0) {
        return 0;
    }
    if (total > sizeof(retry_after) &&
        strncasecmp(line, retry_after, sizeof(retry_after) - 1) == 0) {
        size_t length = total - (sizeof(retry_after) - 1);

        length = length < sizeof(value) ? length : sizeof(value) - 1;
        memcpy(value, line + sizeof(retry_after) - 1, length);
        stream->retry_after_s = (int)strtol(value, NULL, 10);
    }
    if (total == 2 && line[0] == '\r') {
        long status = 0;

        curl_easy_getinfo(stream->easy, CURLINFO_RESPONSE_CODE, &status);
        stream->status = (int)status;
        stream->headers_done = status >= 200;
    }
    return total;
}

static size_t
on_body(char *data, size_t size, size_t count, void *user)
{
    pps_http_stream_t *stream = user;
    size_t total = size * count;

    if (stream->received.size + total > UNREAD_BODY_BYTES_MAX ||
        pps_buf_append(&stream->received, data, total) < 0) {
        return 0;
    }
    return total;
}

static int
add_headers(pps_http_stream_t *stream, const pps_http_request_t *request)
{
    struct curl_slist *list = curl_slist_append(NULL, "Expect:");

    for (size_t i = 0; list != NULL && i < request->header_count; i++) {
        struct curl_slist *appended =
            curl_slist_append(list, request->headers[i]);

        if (appended == NULL) {
            curl_slist_free_all(list);
        }
        list = appended;
    }
    if (list == NULL) {
        return pps_error_set(PPS_ENOMEM, "HTTP headers: out of memory");
    }
    stream->headers = list;
    curl_easy_setopt(stream->easy, CURLOPT_HTTPHEADER, list);
    return PPS_OK;
}

int
pps_http_handle_prepare(pps_http_stream_t *stream,
                        const pps_http_request_t *request)
{
    CURL *easy = stream->easy;
    long connect_ms = request->connect_timeout_ms ? request->connect_timeout_ms
                                                  : CONNECT_TIMEOUT_MS_DEFAULT;

    curl_easy_reset(easy);
    stream->status = 0;
    stream->retry_after_s = -1;
    stream->performed = 0;
    stream->headers_done = 0;
    stream->head = (pps_http_answer_head_t){0};
    stream->finished = 0;
    stream->result = CURLE_OK;
    pps_buf_clear(&stream->received);
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_AGE_MAX_S);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, stream);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, stream);
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
                     (long)request->fresh_connection);
    if (request->body != NULL) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)request->body_size);
        curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request->body);
    }
    if (request->method != NULL) {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
    }
    return add_headers(stream, request);
}
