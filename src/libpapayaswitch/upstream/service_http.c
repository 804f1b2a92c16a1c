/** @file service_http.c @brief Service backend over HTTP. */
#include "papayaswitch/service.h"

#include "http_client.h"
#include "papayaswitch/errors.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_BYTES 320
#define HEADERS_MAX 4
#define OUTCOME_TIMEOUT_MS 1000
#define HTTP_OK 200

typedef struct {
    pps_service_backend_t base;
    pps_http_client_t *client;
} service_http_t;

typedef struct {
    char text[HEADERS_MAX][HEADER_BYTES];
    const char *lines[HEADERS_MAX];
    size_t count;
} headers_t;

static void
add_header(headers_t *headers, const char *name, const char *value)
{
    char *line = headers->text[headers->count];

    snprintf(line, HEADER_BYTES, "%s: %s", name, value);
    headers->lines[headers->count++] = line;
}

static void
build_headers(headers_t *headers, const pps_service_request_t *request)
{
    char fencing[24];

    headers->count = 0;
    add_header(headers, "X-Request-Id", request->request_id);
    if (request->content_type != NULL) {
        add_header(headers, "Content-Type", request->content_type);
    }
    if (request->key != NULL) {
        snprintf(fencing, sizeof(fencing), "%" PRIu64, request->fencing);
        add_header(headers, "X-Request-Key", request->key);
        add_header(headers, "X-Fencing", fencing);
    }
}

/* Only an error status with the name of a refusal means that the service did
 * not run the call. */
static int
is_refusal(const pps_http_response_t *response, pps_refusal_answer_t *refusal)
{
    json_t *body;
    int known;

    if (response->status < 400) {
        return 0;
    }
    body = json_loadb(pps_buf_text(&response->body), response->body.size, 0,
                      NULL);
    known = pps_refusal_lookup(
                &refusal->reason,
                json_string_value(json_object_get(body, "error"))) == 0;
    refusal->retry_after_s = response->retry_after_s;
    json_decref(body);
    return known;
}

static void
move_answer(pps_service_answer_t *out, pps_http_response_t *response)
{
    out->status = response->status;
    memcpy(out->content_type, response->content_type,
           sizeof(out->content_type));
    out->body_size = response->body.size;
    out->body = pps_buf_detach(&response->body);
}

static int
service_http_call(pps_service_backend_t *base, pps_service_answer_t *out,
                  const char *address, unsigned int port,
                  const pps_service_request_t *request, int timeout_ms,
                  pps_refusal_answer_t *refusal)
{
    service_http_t *self = (service_http_t *)base;
    pps_http_request_t http = {.method = request->method,
                               .body = request->body,
                               .body_size = request->body_size,
                               .answer_timeout_ms = timeout_ms,
                               .fresh_connection = request->once};
    pps_http_response_t response = {0};
    headers_t headers;
    pps_buf_t url = PPS_BUF_INIT;
    int error;

    memset(out, 0, sizeof(*out));
    build_headers(&headers, request);
    http.headers = headers.lines;
    http.header_count = headers.count;
    error = pps_buf_printf(&url, "http://%s:%u/call/%s", address, port,
                           request->path);
    if (error == 0) {
        http.url = pps_buf_text(&url);
        error = pps_http_client_call(&response, self->client, &http);
    }
    pps_buf_clear(&url);
    if (error < 0) {
        return error;
    }
    if (is_refusal(&response, refusal)) {
        error = pps_error_set(PPS_EREFUSED, "the service refused the call: %s",
                              pps_refusal_name(refusal->reason));
    }
    else {
        move_answer(out, &response);
    }
    pps_http_response_clear(&response);
    return error;
}

static int
service_http_outcome(pps_service_backend_t *base, pps_service_run_t *out,
                     const char *address, unsigned int port, const char *key)
{
    service_http_t *self = (service_http_t *)base;
    pps_http_request_t request = {.answer_timeout_ms = OUTCOME_TIMEOUT_MS,
                                  .fresh_connection = 1};
    pps_http_response_t response = {0};
    pps_buf_t url = PPS_BUF_INIT;
    json_t *body;
    const char *state;
    int error =
        pps_buf_printf(&url, "http://%s:%u/outcome/%s", address, port, key);

    if (error == 0) {
        request.url = pps_buf_text(&url);
        error = pps_http_client_call(&response, self->client, &request);
    }
    pps_buf_clear(&url);
    if (error < 0) {
        return error;
    }
    body =
        json_loadb(pps_buf_text(&response.body), response.body.size, 0, NULL);
    state = json_string_value(json_object_get(body, "state"));
    *out = response.status == HTTP_OK && state != NULL &&
                   strcmp(state, "done") == 0
               ? PPS_SERVICE_RUN_DONE
               : PPS_SERVICE_RUN_UNKNOWN;
    json_decref(body);
    pps_http_response_clear(&response);
    return PPS_OK;
}

static void
service_http_free(pps_service_backend_t *base)
{
    service_http_t *self = (service_http_t *)base;

    if (self != NULL) {
        pps_http_client_free(self->client);
        free(self);
    }
}

int
pps_service_http_new(pps_service_backend_t **out)
{
    service_http_t *self = calloc(1, sizeof(*self));
    int error;

    if (self == NULL) {
        return pps_error_set(PPS_ENOMEM, "service backend: out of memory");
    }
    self->base =
        (pps_service_backend_t){PPS_SERVICE_BACKEND_VERSION, service_http_call,
                                service_http_outcome, service_http_free};
    error = pps_http_client_new(&self->client);
    if (error < 0) {
        free(self);
        return error;
    }
    *out = &self->base;
    return PPS_OK;
}

void
pps_service_answer_clear(pps_service_answer_t *answer)
{
    free(answer->body);
    answer->body = NULL;
}
