/** @file harness_http.c @brief HTTP calls for tests, with curl. */
#include "harness_http.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS_DEFAULT 10000
#define URL_BYTES 512

static size_t
append(char *data, size_t size, size_t count, void *user)
{
    pps_buf_append(user, data, size * count);
    return size * count;
}

/** A response body that is being received. */
typedef struct {
    pps_buf_t *text;
    size_t abort_after_bytes;
} body_t;

static size_t
append_body(char *data, size_t size, size_t count, void *user)
{
    body_t *body = user;

    append(data, size, count, body->text);
    if (body->abort_after_bytes > 0 &&
        body->text->size >= body->abort_after_bytes) {
        return 0;
    }
    return size * count;
}

static struct curl_slist *
make_headers(const harness_call_t *call)
{
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");

    headers = curl_slist_append(headers, "Content-Type: application/json");
    for (int i = 0; i < HARNESS_HEADERS_MAX && call->headers[i] != NULL; i++) {
        headers = curl_slist_append(headers, call->headers[i]);
    }
    return headers;
}

static void
perform(CURL *curl, harness_reply_t *reply, size_t abort_after_bytes)
{
    body_t body = {&reply->text, abort_after_bytes};
    long status = 0;

    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, append);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &reply->headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &body);
    reply->broken = curl_easy_perform(curl) != CURLE_OK;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
    reply->status = (int)status;
    reply->json =
        json_loadb(pps_buf_text(&reply->text), reply->text.size, 0, NULL);
}

void
harness_call(harness_reply_t *reply, const harness_call_t *call)
{
    CURL *curl = curl_easy_init();
    struct curl_slist *headers = make_headers(call);
    int timeout_ms =
        call->timeout_ms > 0 ? call->timeout_ms : TIMEOUT_MS_DEFAULT;
    char url[URL_BYTES];

    memset(reply, 0, sizeof(*reply));
    snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", call->port,
             call->path);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    if (call->body != NULL) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, call->body);
    }
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, call->method);
    perform(curl, reply, call->abort_after_bytes);
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
}

void
harness_json(harness_reply_t *reply, const char *method, int port,
             const char *path, json_t *body)
{
    char *text = body == NULL ? NULL : json_dumps(body, JSON_COMPACT);
    const harness_call_t call = {
        .method = method, .port = port, .path = path, .body = text};

    harness_call(reply, &call);
    free(text);
    json_decref(body);
}

int
harness_status(const char *method, int port, const char *path, json_t *body)
{
    harness_reply_t reply;
    int status;

    harness_json(&reply, method, port, path, body);
    status = reply.status;
    harness_reply_clear(&reply);
    return status;
}

json_int_t
harness_reply_int(const harness_reply_t *reply, const char *key)
{
    const json_t *value = json_object_get(reply->json, key);

    return json_is_integer(value) ? json_integer_value(value) : -1;
}

const char *
harness_reply_text(const harness_reply_t *reply, const char *key)
{
    const char *text = json_string_value(json_object_get(reply->json, key));

    return text == NULL ? "" : text;
}

void
harness_reply_clear(harness_reply_t *reply)
{
    pps_buf_clear(&reply->headers);
    pps_buf_clear(&reply->text);
    json_decref(reply->json);
    memset(reply, 0, sizeof(*reply));
}
