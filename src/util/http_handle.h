/**
 * @file http_handle.h
 * @brief Internal structures of the HTTP client.
 */
#ifndef PPS_UTIL_HTTP_HANDLE_H
#define PPS_UTIL_HTTP_HANDLE_H

#include "http_answer_head.h"
#include "http_client.h"

#include <curl/curl.h>
#include <pthread.h>
#include <urcu/list.h>

/** Size of `ADDRESS:PORT`, with its NUL byte. */
#define PPS_HTTP_AUTHORITY_BYTES 64

/** Default time limit for the response headers. */
#define PPS_HTTP_ANSWER_TIMEOUT_MS 10000

struct pps_http_client {
    pthread_mutex_t lock;
    struct cds_list_head idle; /* most recently used first */
    size_t idle_count;
};

struct pps_http_stream {
    struct cds_list_head node;
    char authority[PPS_HTTP_AUTHORITY_BYTES];
    pps_http_client_t *client;
    CURL *easy;
    CURLM *multi;
    struct curl_slist *headers;
    pps_buf_t received;
    int status;
    int retry_after_s;
    int performed; /* whether curl_multi_perform() was called */
    int headers_done;
    pps_http_answer_head_t head;
    int finished;
    CURLcode result;
};

/** Returns an idle handle for the authority, or a new one if there is none or
 * `fresh` is set. @return 0 or PPS_ENOMEM */
int
pps_http_handle_acquire(pps_http_stream_t **out, pps_http_client_t *client,
                        const char *authority, int fresh);

/** Returns a handle to the pool; a full pool frees the least recently used. */
void
pps_http_handle_release(pps_http_stream_t *stream);

/** Frees a handle and closes its connection. */
void
pps_http_handle_free(pps_http_stream_t *stream);

/** Sets the libcurl options of a request and resets the stream. */
int
pps_http_handle_prepare(pps_http_stream_t *stream,
                        const pps_http_request_t *request);

#endif
