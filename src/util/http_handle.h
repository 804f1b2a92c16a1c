/**
 * @file http_handle.h
 * @brief Inner layout of the HTTP client: kept handles and streams.
 */
#ifndef PPS_UTIL_HTTP_HANDLE_H
#define PPS_UTIL_HTTP_HANDLE_H

#include "http_client.h"

#include <curl/curl.h>
#include <pthread.h>
#include <urcu/list.h>

/** Room for `ADDRESS:PORT`, its end included. */
#define PPS_HTTP_AUTHORITY_BYTES 64

/** Time until the status line when a request does not say. */
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
    int begun; /* libcurl has worked on it once */
    int headers_done;
    int finished;
    CURLcode result;
};

/** Takes a handle that is kept for the address, or makes one. */
int
pps_http_handle_take(pps_http_stream_t **out, pps_http_client_t *client,
                     const char *authority, int fresh);

/** Puts a handle back; the one unused longest is freed over the bound. */
void
pps_http_handle_keep(pps_http_stream_t *stream);

/** Frees a handle and its connection. */
void
pps_http_handle_free(pps_http_stream_t *stream);

/** Sets a handle up for a request. */
int
pps_http_handle_prepare(pps_http_stream_t *stream,
                        const pps_http_request_t *request);

#endif
