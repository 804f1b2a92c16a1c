/** @file http_stream.c @brief Reads one response on the caller's thread. */
#include "http_handle.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <string.h>

static int
read_authority(char out[PPS_HTTP_AUTHORITY_BYTES], const char *url)
{
    const char *start = strstr(url, "://");
    size_t size;

    if (start == NULL) {
        return pps_error_set(PPS_EINVALID, "'%s' is not a URL", url);
    }
    start += 3;
    size = strcspn(start, "/?");
    if (size == 0 || size >= PPS_HTTP_AUTHORITY_BYTES) {
        return pps_error_set(PPS_EINVALID, "'%s' names no host", url);
    }
    memcpy(out, start, size);
    out[size] = '\0';
    return PPS_OK;
}

/*
 * Runs one step of libcurl. It waits up to `wait_ms` for the socket first,
 * since the previous step has already read all available bytes.
 */
static void
run_step(pps_http_stream_t *stream, int wait_ms)
{
    CURLMsg *message;
    int running = 0;
    int pending_messages = 0;

    if (stream->performed && wait_ms > 0) {
        curl_multi_poll(stream->multi, NULL, 0, wait_ms, NULL);
    }
    stream->performed = 1;
    curl_multi_perform(stream->multi, &running);
    while ((message = curl_multi_info_read(stream->multi,
                                           &pending_messages)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            stream->finished = 1;
            stream->result = message->data.result;
        }
    }
}

static int
error_from_curl(CURLcode result)
{
    switch (result) {
    case CURLE_OK:
        return PPS_OK;
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_COULDNT_CONNECT:
    case CURLE_URL_MALFORMAT:
        return PPS_EUNAVAILABLE;
    default:
        return PPS_EUNKNOWN;
    }
}

/* libcurl has one code for all timeouts; nothing was sent if the connection
 * was not established. */
static int
set_transfer_error(const pps_http_stream_t *stream)
{
    curl_off_t connected_us = 0;
    int error = error_from_curl(stream->result);

    if (stream->result == CURLE_OPERATION_TIMEDOUT) {
        curl_easy_getinfo(stream->easy, CURLINFO_CONNECT_TIME_T,
                          &connected_us);
        error = connected_us == 0 ? PPS_EUNAVAILABLE : PPS_ETIMEOUT;
    }
    return pps_error_set(error, "%s: %s", stream->authority,
                         curl_easy_strerror(stream->result));
}

static int
await_headers(pps_http_stream_t *stream, int timeout_ms)
{
    int64_t deadline_us = pps_clock_now_us() + timeout_ms * PPS_US_PER_MS;

    while (!stream->headers_done) {
        int64_t remaining_ms =
            (deadline_us - pps_clock_now_us()) / PPS_US_PER_MS;

        if (remaining_ms <= 0) {
            return pps_error_set(PPS_ETIMEOUT, "%s: no answer in %d ms",
                                 stream->authority, timeout_ms);
        }
        run_step(stream, (int)remaining_ms);
        if (stream->finished && !stream->headers_done) {
            return stream->result == CURLE_OK
                       ? pps_error_set(PPS_EUNKNOWN, "%s: empty response",
                                       stream->authority)
                       : set_transfer_error(stream);
        }
    }
    return PPS_OK;
}

int
pps_http_stream_open(pps_http_stream_t **out, pps_http_client_t *client,
                     const pps_http_request_t *request)
{
    char authority[PPS_HTTP_AUTHORITY_BYTES];
    pps_http_stream_t *stream = NULL;
    int timeout_ms = request->answer_timeout_ms ? request->answer_timeout_ms
                                                : PPS_HTTP_ANSWER_TIMEOUT_MS;
    int error = read_authority(authority, request->url);

    if (error < 0) {
        return error;
    }
    error = pps_http_handle_acquire(&stream, client, authority,
                                    request->fresh_connection);
    if (error < 0) {
        return error;
    }
    error = pps_http_handle_prepare(stream, request);
    if (error < 0) {
        pps_http_handle_free(stream);
        return error;
    }
    curl_multi_add_handle(stream->multi, stream->easy);
    error = await_headers(stream, timeout_ms);
    if (error < 0) {
        curl_multi_remove_handle(stream->multi, stream->easy);
        pps_http_handle_free(stream);
        return error;
    }
    *out = stream;
    return PPS_OK;
}

int
pps_http_stream_status(const pps_http_stream_t *stream)
{
    return stream->status;
}

int
pps_http_stream_is_reused(const pps_http_stream_t *stream)
{
    long connections = 0;

    curl_easy_getinfo(stream->easy, CURLINFO_NUM_CONNECTS, &connections);
    return connections == 0;
}

void
pps_http_stream_discard(pps_http_stream_t *stream)
{
    curl_multi_remove_handle(stream->multi, stream->easy);
    pps_http_handle_free(stream);
}

int
pps_http_stream_retry_after(const pps_http_stream_t *stream)
{
    return stream->retry_after_s;
}

int
pps_http_stream_read(pps_http_stream_t *stream, pps_buf_t *out, int wait_ms)
{
    int64_t deadline_us = pps_clock_now_us() + wait_ms * PPS_US_PER_MS;
    int64_t remaining_ms = wait_ms;

    /* A step may also end on a libcurl timer, without bytes to read. */
    while (stream->received.size == 0 && !stream->finished &&
           remaining_ms >= 0) {
        run_step(stream, (int)remaining_ms);
        remaining_ms = (deadline_us - pps_clock_now_us()) / PPS_US_PER_MS;
        if (remaining_ms == 0) {
            break;
        }
    }
    if (stream->received.size > 0) {
        int error =
            pps_buf_append(out, stream->received.data, stream->received.size);

        pps_buf_consume(&stream->received, stream->received.size);
        return error < 0 ? error : 1;
    }
    if (!stream->finished) {
        return pps_error_set(PPS_ETIMEOUT, "%s: no data for %d ms",
                             stream->authority, wait_ms);
    }
    return stream->result == CURLE_OK ? 0 : set_transfer_error(stream);
}

void
pps_http_stream_close(pps_http_stream_t *stream)
{
    if (stream == NULL) {
        return;
    }
    curl_multi_remove_handle(stream->multi, stream->easy);
    curl_slist_free_all(stream->headers);
    stream->headers = NULL;
    pps_buf_clear(&stream->received);
    if (stream->finished && stream->result == CURLE_OK) {
        pps_http_handle_release(stream);
    }
    else {
        pps_http_handle_free(stream);
    }
}
