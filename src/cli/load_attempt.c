/** @file load_attempt.c @brief Sends one attempt over a reused connection. */
#include "load_attempt.h"

#include "load_verify.h"

#include <stdio.h>

#define CONNECT_TIMEOUT_MS 2000L
#define URL_BYTES 256
#define HEADER_BYTES 256

typedef struct {
    load_answer_t *answer;
    const load_request_t *request;
} transfer_t;

static size_t
on_header(char *line, size_t size, size_t count, void *user)
{
    transfer_t *transfer = user;

    load_answer_add_header(transfer->answer, line, size * count);
    return size * count;
}

static size_t
on_body(char *data, size_t size, size_t count, void *user)
{
    transfer_t *transfer = user;

    load_answer_add_body(transfer->answer, transfer->request, data,
                         size * count);
    return size * count;
}

static void
add_header(struct curl_slist **headers, const char *name, const char *value)
{
    char line[HEADER_BYTES];

    snprintf(line, sizeof(line), "%s: %s", name, value);
    *headers = curl_slist_append(*headers, line);
}

static struct curl_slist *
make_headers(const load_request_t *request)
{
    struct curl_slist *headers = NULL;
    char text[HEADER_BYTES / 2 + 64];

    snprintf(text, sizeof(text), "Bearer %s", request->workspace->key);
    add_header(&headers, "Authorization", text);
    add_header(&headers, "X-Request-Id", request->id);
    add_header(&headers, "Content-Type", "application/json");
    add_header(&headers, "Expect", "");
    if (request->session >= 0) {
        snprintf(text, sizeof(text), "%s-s%d", request->options->run_id,
                 request->session);
        add_header(&headers, "X-Session", text);
    }
    if (load_request_kind(request)->target == LOAD_TARGET_RELEASE) {
        add_header(&headers, "Idempotency-Key", request->id);
    }
    return headers;
}

static void
make_url(char *out, size_t size, const load_request_t *request,
         const char *entry)
{
    if (load_request_kind(request)->target == LOAD_TARGET_MODEL) {
        snprintf(out, size, "http://%s/v1/chat/completions", entry);
    }
    else {
        snprintf(out, size, "http://%s/v1/services/%s/%s", entry,
                 request->options->service, request->resource);
    }
}

static void
set_options(CURL *curl, const load_request_t *request, transfer_t *transfer)
{
    curl_easy_reset(curl);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT, (long)request->options->timeout_s);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
    if (request->body.size > 0) {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
                         (long)request->body.size);
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request->body.data);
    }
}

static load_verdict_t
classify(CURLcode code, load_answer_t *answer, const load_request_t *request)
{
    load_verdict_t verdict;

    if (code == CURLE_COULDNT_CONNECT) {
        return LOAD_UNREACHABLE;
    }
    if (code != CURLE_OK && answer->status == 0) {
        return LOAD_NO_ANSWER;
    }
    if (code != CURLE_OK) {
        return answer->error != NULL ? LOAD_ERROR : LOAD_CUT;
    }
    verdict = load_answer_classify(answer, request);
    if (verdict == LOAD_WHOLE && request->options->verify &&
        !load_verify_text(answer, request)) {
        return LOAD_WRONG;
    }
    return verdict;
}

load_verdict_t
load_attempt_run(CURL *curl, const load_request_t *request, const char *entry,
                 load_answer_t *answer)
{
    transfer_t transfer = {answer, request};
    struct curl_slist *headers = make_headers(request);
    char url[URL_BYTES];
    CURLcode code;

    make_url(url, sizeof(url), request, entry);
    set_options(curl, request, &transfer);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    code = curl_easy_perform(curl);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &answer->status);
    curl_slist_free_all(headers);
    return classify(code, answer, request);
}
