/** @file engine_http.c @brief Engine backend over HTTP and SSE. */
#include "papayaswitch/engine.h"

#include "http_client.h"
#include "papayaswitch/errors.h"
#include "sse.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define URL_BYTES 128
#define CANCEL_TIMEOUT_MS 1000
#define REFUSAL_BODY_WAIT_MS 500
#define HTTP_OK 200

typedef struct {
    pps_engine_backend_t base;
    pps_http_client_t *client;
} engine_http_t;

struct pps_engine_stream {
    pps_http_stream_t *http;
    pps_sse_t sse;
    json_t *event; /* owns the strings of the last event returned */
};

static const char *const json_headers[] = {"Content-Type: application/json"};

static int
encode_request(char **out, const pps_generate_request_t *request)
{
    json_t *body = json_pack("{s:s, s:s, s:s, s:I, s:i, s:I, s:I, s:b}",
                             "request_id", request->request_id, "version",
                             request->version, "prompt", request->prompt,
                             "max_tokens", (json_int_t)request->max_tokens,
                             "priority", request->priority, "resume_from",
                             (json_int_t)request->resume_from, "revision",
                             (json_int_t)request->revision, "stream", 1);

    *out = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    if (*out == NULL) {
        return pps_error_set(PPS_EINVALID, "the prompt must be valid UTF-8");
    }
    return PPS_OK;
}

static int
read_refusal(pps_http_stream_t *http, pps_refusal_answer_t *refusal)
{
    pps_buf_t body = PPS_BUF_INIT;
    json_t *answer;

    while (pps_http_stream_read(http, &body, REFUSAL_BODY_WAIT_MS) > 0) {
    }
    answer = json_loadb(pps_buf_text(&body), body.size, 0, NULL);
    if (pps_refusal_lookup(&refusal->reason, json_string_value(json_object_get(
                                                 answer, "error"))) < 0) {
        refusal->reason = PPS_REFUSAL_BROKEN;
    }
    refusal->retry_after_s = pps_http_stream_retry_after(http);
    json_decref(answer);
    pps_buf_clear(&body);
    return pps_error_set(PPS_EREFUSED, "the worker refused the request: %s",
                         pps_refusal_name(refusal->reason));
}

static int
engine_http_cancel(pps_engine_backend_t *base, const char *address,
                   unsigned int port, const char *request_id)
{
    engine_http_t *self = (engine_http_t *)base;
    pps_http_request_t request = {.headers = json_headers,
                                  .header_count = 1,
                                  .answer_timeout_ms = CANCEL_TIMEOUT_MS,
                                  .fresh_connection = 1};
    pps_http_response_t response;
    json_t *object = json_pack("{s:s}", "request_id", request_id);
    char *body = json_dumps(object, JSON_COMPACT);
    char url[URL_BYTES];
    int error = PPS_ENOMEM;

    json_decref(object);
    if (body != NULL) {
        snprintf(url, sizeof(url), "http://%s:%u/cancel", address, port);
        request.url = url;
        request.body = body;
        request.body_size = strlen(body);
        error = pps_http_client_call(&response, self->client, &request);
        pps_http_response_clear(&response);
    }
    free(body);
    return error;
}

/* Ends a stream whose worker has refused the request. On a connection that was
 * used before, the refusal may be an earlier one, while the worker runs the
 * request: what it runs is stopped before anybody else is asked. */
static int
end_refused(engine_http_t *self, pps_http_stream_t *http, const char *address,
            unsigned int port, const pps_generate_request_t *request,
            pps_refusal_answer_t *refusal)
{
    int is_doubtful = pps_http_stream_is_reused(http);
    int error = read_refusal(http, refusal);

    if (!is_doubtful) {
        pps_http_stream_close(http);
        return error;
    }
    pps_http_stream_discard(http);
    engine_http_cancel(&self->base, address, port, request->request_id);
    return pps_error_set(PPS_EREFUSED, "the worker refused the request: %s",
                         pps_refusal_name(refusal->reason));
}

static int
engine_http_open(pps_engine_backend_t *base, pps_engine_stream_t **out,
                 const char *address, unsigned int port,
                 const pps_generate_request_t *request, int timeout_ms,
                 pps_refusal_answer_t *refusal)
{
    engine_http_t *self = (engine_http_t *)base;
    pps_http_request_t http = {.headers = json_headers,
                               .header_count = 1,
                               .answer_timeout_ms = timeout_ms};
    pps_engine_stream_t *stream = calloc(1, sizeof(*stream));
    char url[URL_BYTES];
    char *body = NULL;
    int error;

    if (stream == NULL) {
        return pps_error_set(PPS_ENOMEM, "engine stream: out of memory");
    }
    error = encode_request(&body, request);
    if (error < 0) {
        goto done;
    }
    snprintf(url, sizeof(url), "http://%s:%u/generate", address, port);
    http.url = url;
    http.body = body;
    http.body_size = strlen(body);
    /* Pooled connections may be dead; a resumed stream opens a new one. */
    http.fresh_connection = request->resume_from > 0;
    error = pps_http_stream_open(&stream->http, self->client, &http);
    if (error < 0) {
        goto done;
    }
    if (pps_http_stream_status(stream->http) != HTTP_OK) {
        error =
            end_refused(self, stream->http, address, port, request, refusal);
        goto done;
    }
    *out = stream;
    stream = NULL;

done:
    free(body);
    free(stream);
    return error;
}

static int
decode_event(pps_engine_stream_t *stream, const char *data,
             pps_engine_event_t *out)
{
    json_t *event = json_loads(data, 0, NULL);
    json_t *finish = json_object_get(event, "finish");
    json_t *index = json_object_get(event, "index");

    json_decref(stream->event);
    stream->event = event;
    memset(out, 0, sizeof(*out));
    out->request_id = json_string_value(json_object_get(event, "request_id"));
    out->text = json_string_value(json_object_get(event, "text"));
    out->finish_reason = json_string_value(finish);
    if (out->request_id != NULL && out->finish_reason != NULL) {
        out->kind = PPS_ENGINE_FINISH;
        out->prompt_tokens = (uint64_t)json_integer_value(
            json_object_get(event, "prompt_tokens"));
        out->generated_tokens = (uint64_t)json_integer_value(
            json_object_get(event, "generated_tokens"));
        return 1;
    }
    if (out->request_id == NULL || out->text == NULL ||
        !json_is_integer(index) || json_integer_value(index) < 0) {
        return pps_error_set(PPS_ECORRUPT,
                             "malformed engine event: expected request_id "
                             "with text and index, or with finish");
    }
    out->kind = PPS_ENGINE_TOKEN;
    out->index = (uint64_t)json_integer_value(index);
    return 1;
}

static int
engine_http_next(pps_engine_stream_t *stream, pps_engine_event_t *out,
                 int wait_ms)
{
    const char *data;

    for (;;) {
        int result = pps_sse_next(&stream->sse, &data);

        if (result < 0) {
            return result;
        }
        if (result > 0) {
            return strcmp(data, "[DONE]") == 0
                       ? 0
                       : decode_event(stream, data, out);
        }
        result =
            pps_http_stream_read(stream->http, &stream->sse.pending, wait_ms);
        if (result == 0) {
            return pps_error_set(
                PPS_EUNKNOWN, "the engine closed the stream without [DONE]");
        }
        if (result < 0) {
            return result;
        }
    }
}

static void
engine_http_close(pps_engine_stream_t *stream)
{
    if (stream == NULL) {
        return;
    }
    pps_http_stream_close(stream->http);
    pps_sse_clear(&stream->sse);
    json_decref(stream->event);
    free(stream);
}

static void
engine_http_free(pps_engine_backend_t *base)
{
    engine_http_t *self = (engine_http_t *)base;

    if (self != NULL) {
        pps_http_client_free(self->client);
        free(self);
    }
}

int
pps_engine_http_new(pps_engine_backend_t **out)
{
    engine_http_t *self = calloc(1, sizeof(*self));
    int error;

    if (self == NULL) {
        return pps_error_set(PPS_ENOMEM, "engine backend: out of memory");
    }
    self->base = (pps_engine_backend_t){
        PPS_ENGINE_BACKEND_VERSION, engine_http_open,   engine_http_next,
        engine_http_close,          engine_http_cancel, engine_http_free};
    error = pps_http_client_new(&self->client);
    if (error < 0) {
        free(self);
        return error;
    }
    *out = &self->base;
    return PPS_OK;
}
