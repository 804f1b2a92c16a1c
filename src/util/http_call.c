/** @file http_call.c @brief Reads a complete response through a stream. */
#include "http_handle.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdio.h>
#include <string.h>

static void
copy_content_type(pps_http_response_t *out, const pps_http_stream_t *stream)
{
    char *type = NULL;

    curl_easy_getinfo(stream->easy, CURLINFO_CONTENT_TYPE, &type);
    snprintf(out->content_type, sizeof(out->content_type), "%s",
             type ? type : "");
}

int
pps_http_client_call(pps_http_response_t *out, pps_http_client_t *client,
                     const pps_http_request_t *request)
{
    pps_http_stream_t *stream;
    int timeout_ms = request->answer_timeout_ms ? request->answer_timeout_ms
                                                : PPS_HTTP_ANSWER_TIMEOUT_MS;
    int64_t deadline_us = pps_clock_now_us() + timeout_ms * PPS_US_PER_MS;
    int error = pps_http_stream_open(&stream, client, request);

    memset(out, 0, sizeof(*out));
    if (error < 0) {
        return error;
    }
    out->status = stream->status;
    out->retry_after_s = stream->retry_after_s;
    copy_content_type(out, stream);
    do {
        int64_t remaining_ms =
            (deadline_us - pps_clock_now_us()) / PPS_US_PER_MS;

        error =
            remaining_ms <= 0
                ? pps_error_set(PPS_ETIMEOUT,
                                "%s: timed out before the end of the response",
                                stream->authority)
                : pps_http_stream_read(stream, &out->body, (int)remaining_ms);
        if (error == PPS_ETIMEOUT && remaining_ms > 0) {
            error = 1;
        }
    } while (error > 0);
    pps_http_stream_close(stream);
    if (error < 0) {
        pps_http_response_clear(out);
    }
    return error;
}

void
pps_http_response_clear(pps_http_response_t *response)
{
    pps_buf_clear(&response->body);
}
