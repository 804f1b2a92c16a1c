/** @file http_client.c @brief Pool of libcurl handles, one per stream. */
#include "http_client.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <urcu/list.h>

#define AUTHORITY_BYTES 64
#define CONNECT_TIMEOUT_MS_DEFAULT 1000
#define ANSWER_TIMEOUT_MS_DEFAULT 10000
#define IDLE_HANDLES_MAX 512
#define IDLE_AGE_MAX_S 30L
#define BODY_BYTES_MAX (16u << 20)

struct pps_http_client {
    pthread_mutex_t lock;
    struct cds_list_head idle; /* most recently used first */
    size_t idle_count;
};

struct pps_http_stream {
    struct cds_list_head node;
    char authority[AUTHORITY_BYTES];
    pps_http_client_t *client;
    CURL *easy;
    CURLM *multi;
    struct curl_slist *headers;
    pps_buf_t received;
    int status;
    int retry_after_s;
    int begun; /* libcurl has worked on it once */
    int headers_done;
    int finished;
    CURLcode result;
};

int
pps_http_client_new(pps_http_client_t **out)
{
    pps_http_client_t *client = calloc(1, sizeof(*client));

    if (client == NULL) {
        return pps_error_set(PPS_ENOMEM, "HTTP client: out of memory");
    }
    pthread_mutex_init(&client->lock, NULL);
    CDS_INIT_LIST_HEAD(&client->idle);
    *out = client;
    return PPS_OK;
}

static void
destroy_stream(pps_http_stream_t *stream)
{
    curl_multi_cleanup(stream->multi);
    curl_easy_cleanup(stream->easy);
    curl_slist_free_all(stream->headers);
    pps_buf_clear(&stream->received);
    free(stream);
}

void
pps_http_client_free(pps_http_client_t *client)
{
    pps_http_stream_t *stream;
    pps_http_stream_t *next;

    if (client == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (stream, next, &client->idle, node) {
        destroy_stream(stream);
    }
    pthread_mutex_destroy(&client->lock);
    free(client);
}

static int
read_authority(char out[AUTHORITY_BYTES], const char *url)
{
    const char *start = strstr(url, "://");
    size_t size;

    if (start == NULL) {
        return pps_error_set(PPS_EINVALID, "'%s' is no URL", url);
    }
    start += 3;
    size = strcspn(start, "/?");
    if (size == 0 || size >= AUTHORITY_BYTES) {
        return pps_error_set(PPS_EINVALID, "'%s' names no host", url);
    }
    memcpy(out, start, size);
    out[size] = '\0';
    return PPS_OK;
}

static pps_http_stream_t *
take_idle(pps_http_client_t *client, const char *authority)
{
    pps_http_stream_t *stream;
    pps_http_stream_t *found = NULL;

    pthread_mutex_lock(&client->lock);
    cds_list_for_each_entry (stream, &client->idle, node) {
        if (strcmp(stream->authority, authority) == 0) {
            found = stream;
            break;
        }
    }
    if (found != NULL) {
        cds_list_del(&found->node);
        client->idle_count--;
    }
    pthread_mutex_unlock(&client->lock);
    return found;
}

static int
make_stream(pps_http_stream_t **out, pps_http_client_t *client,
            const char *authority)
{
    pps_http_stream_t *stream = calloc(1, sizeof(*stream));

    if (stream == NULL) {
        return pps_error_set(PPS_ENOMEM, "HTTP stream: out of memory");
    }
    stream->client = client;
    snprintf(stream->authority, sizeof(stream->authority), "%s", authority);
    stream->easy = curl_easy_init();
    stream->multi = curl_multi_init();
    if (stream->easy == NULL || stream->multi == NULL) {
        destroy_stream(stream);
        return pps_error_set(PPS_ENOMEM, "HTTP stream: out of memory");
    }
    *out = stream;
    return PPS_OK;
}

static size_t
take_header(char *line, size_t size, size_t count, void *user)
{
    static const char retry_after[] = "Retry-After:";
    pps_http_stream_t *stream = user;
    size_t total = size * count;
    char value[16] = "";

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
take_body(char *data, size_t size, size_t count, void *user)
{
    pps_http_stream_t *stream = user;
    size_t total = size * count;

    if (stream->received.size + total > BODY_BYTES_MAX ||
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
        struct curl_slist *longer =
            curl_slist_append(list, request->headers[i]);

        if (longer == NULL) {
            curl_slist_free_all(list);
        }
        list = longer;
    }
    if (list == NULL) {
        return pps_error_set(PPS_ENOMEM, "HTTP headers: out of memory");
    }
    stream->headers = list;
    curl_easy_setopt(stream->easy, CURLOPT_HTTPHEADER, list);
    return PPS_OK;
}

static int
prepare(pps_http_stream_t *stream, const pps_http_request_t *request)
{
    CURL *easy = stream->easy;
    long connect_ms = request->connect_timeout_ms ? request->connect_timeout_ms
                                                  : CONNECT_TIMEOUT_MS_DEFAULT;

    curl_easy_reset(easy);
    stream->status = 0;
    stream->retry_after_s = -1;
    stream->begun = 0;
    stream->headers_done = 0;
    stream->finished = 0;
    stream->result = CURLE_OK;
    pps_buf_clear(&stream->received);
    curl_easy_setopt(easy, CURLOPT_URL, request->url);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, connect_ms);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, IDLE_AGE_MAX_S);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, stream);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, take_body);
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

/*
 * Lets libcurl work once, waiting up to `wait_ms` for the socket first. What
 * the last call left behind was nothing, so to wait comes before to work.
 */
static void
drive(pps_http_stream_t *stream, int wait_ms)
{
    CURLMsg *message;
    int running = 0;
    int left = 0;

    if (stream->begun && wait_ms > 0) {
        curl_multi_poll(stream->multi, NULL, 0, wait_ms, NULL);
    }
    stream->begun = 1;
    curl_multi_perform(stream->multi, &running);
    while ((message = curl_multi_info_read(stream->multi, &left)) != NULL) {
        if (message->msg == CURLMSG_DONE) {
            stream->finished = 1;
            stream->result = message->data.result;
        }
    }
}

static int
classify(CURLcode result)
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

/* A connect that timed out has sent nothing, whatever libcurl calls it. */
static int
failure(const pps_http_stream_t *stream)
{
    curl_off_t connected_us = 0;
    int error = classify(stream->result);

    if (stream->result == CURLE_OPERATION_TIMEDOUT) {
        curl_easy_getinfo(stream->easy, CURLINFO_CONNECT_TIME_T,
                          &connected_us);
        error = connected_us == 0 ? PPS_EUNAVAILABLE : PPS_ETIMEOUT;
    }
    return pps_error_set(error, "%s: %s", stream->authority,
                         curl_easy_strerror(stream->result));
}

static int
await_status(pps_http_stream_t *stream, int timeout_ms)
{
    int64_t deadline = pps_clock_now_us() + timeout_ms * PPS_US_PER_MS;

    while (!stream->headers_done) {
        int64_t left_ms = (deadline - pps_clock_now_us()) / PPS_US_PER_MS;

        if (left_ms <= 0) {
            return pps_error_set(PPS_ETIMEOUT, "%s: no answer in %d ms",
                                 stream->authority, timeout_ms);
        }
        drive(stream, (int)left_ms);
        if (stream->finished && !stream->headers_done) {
            return stream->result == CURLE_OK
                       ? pps_error_set(PPS_EUNKNOWN, "%s: empty answer",
                                       stream->authority)
                       : failure(stream);
        }
    }
    return PPS_OK;
}

int
pps_http_stream_open(pps_http_stream_t **out, pps_http_client_t *client,
                     const pps_http_request_t *request)
{
    char authority[AUTHORITY_BYTES];
    pps_http_stream_t *stream = NULL;
    int timeout_ms = request->answer_timeout_ms ? request->answer_timeout_ms
                                                : ANSWER_TIMEOUT_MS_DEFAULT;
    int error = read_authority(authority, request->url);

    if (error < 0) {
        return error;
    }
    if (!request->fresh_connection) {
        stream = take_idle(client, authority);
    }
    if (stream == NULL) {
        error = make_stream(&stream, client, authority);
        if (error < 0) {
            return error;
        }
    }
    error = prepare(stream, request);
    if (error < 0) {
        destroy_stream(stream);
        return error;
    }
    curl_multi_add_handle(stream->multi, stream->easy);
    error = await_status(stream, timeout_ms);
    if (error < 0) {
        curl_multi_remove_handle(stream->multi, stream->easy);
        destroy_stream(stream);
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
pps_http_stream_retry_after(const pps_http_stream_t *stream)
{
    return stream->retry_after_s;
}

int
pps_http_stream_read(pps_http_stream_t *stream, pps_buf_t *out, int wait_ms)
{
    int64_t deadline = pps_clock_now_us() + wait_ms * PPS_US_PER_MS;
    int64_t left_ms = wait_ms;

    /* libcurl also wakes for its own timers, without anything to read. */
    while (stream->received.size == 0 && !stream->finished && left_ms >= 0) {
        drive(stream, (int)left_ms);
        left_ms = (deadline - pps_clock_now_us()) / PPS_US_PER_MS;
        if (left_ms == 0) {
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
        return pps_error_set(PPS_ETIMEOUT, "%s: silent for %d ms",
                             stream->authority, wait_ms);
    }
    return stream->result == CURLE_OK ? 0 : failure(stream);
}

void
pps_http_stream_close(pps_http_stream_t *stream)
{
    pps_http_client_t *client;
    pps_http_stream_t *oldest = NULL;

    if (stream == NULL) {
        return;
    }
    client = stream->client;
    curl_multi_remove_handle(stream->multi, stream->easy);
    curl_slist_free_all(stream->headers);
    stream->headers = NULL;
    pps_buf_clear(&stream->received);
    if (!stream->finished || stream->result != CURLE_OK) {
        destroy_stream(stream);
        return;
    }
    pthread_mutex_lock(&client->lock);
    cds_list_add(&stream->node, &client->idle);
    if (++client->idle_count > IDLE_HANDLES_MAX) {
        oldest = cds_list_entry(client->idle.prev, pps_http_stream_t, node);
        cds_list_del(&oldest->node);
        client->idle_count--;
    }
    pthread_mutex_unlock(&client->lock);
    if (oldest != NULL) {
        destroy_stream(oldest);
    }
}

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
                                                : ANSWER_TIMEOUT_MS_DEFAULT;
    int64_t deadline = pps_clock_now_us() + timeout_ms * PPS_US_PER_MS;
    int error = pps_http_stream_open(&stream, client, request);

    memset(out, 0, sizeof(*out));
    if (error < 0) {
        return error;
    }
    out->status = stream->status;
    out->retry_after_s = stream->retry_after_s;
    copy_content_type(out, stream);
    do {
        int64_t left_ms = (deadline - pps_clock_now_us()) / PPS_US_PER_MS;

        error = left_ms <= 0
                    ? pps_error_set(PPS_ETIMEOUT, "%s: answer cut short",
                                    stream->authority)
                    : pps_http_stream_read(stream, &out->body, (int)left_ms);
        if (error == PPS_ETIMEOUT && left_ms > 0) {
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
