/** @file http_client.c @brief Pools idle libcurl handles by authority. */
#include "http_handle.h"

#include "papayaswitch/errors.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define IDLE_HANDLES_MAX 512

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

void
pps_http_handle_free(pps_http_stream_t *stream)
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
        pps_http_handle_free(stream);
    }
    pthread_mutex_destroy(&client->lock);
    free(client);
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
        pps_http_handle_free(stream);
        return pps_error_set(PPS_ENOMEM, "HTTP stream: out of memory");
    }
    *out = stream;
    return PPS_OK;
}

int
pps_http_handle_acquire(pps_http_stream_t **out, pps_http_client_t *client,
                        const char *authority, int fresh)
{
    *out = fresh ? NULL : take_idle(client, authority);
    return *out != NULL ? PPS_OK : make_stream(out, client, authority);
}

void
pps_http_handle_release(pps_http_stream_t *stream)
{
    pps_http_client_t *client = stream->client;
    pps_http_stream_t *least_recent = NULL;

    pthread_mutex_lock(&client->lock);
    cds_list_add(&stream->node, &client->idle);
    if (++client->idle_count > IDLE_HANDLES_MAX) {
        least_recent =
            cds_list_entry(client->idle.prev, pps_http_stream_t, node);
        cds_list_del(&least_recent->node);
        client->idle_count--;
    }
    pthread_mutex_unlock(&client->lock);
    if (least_recent != NULL) {
        pps_http_handle_free(least_recent);
    }
}
