/** @file harness_cluster_calls.c @brief Sends requests to a system. */
#include "harness_cluster.h"

#include "papayaswitch/log_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEADER_BYTES 1200

int
cluster_set_faults(const harness_process_t *process, const char *json)
{
    return harness_status("PUT", process->port, "/faults",
                          json_loads(json, 0, NULL));
}

void
cluster_chat(harness_reply_t *reply, cluster_t *cluster,
             const cluster_chat_t *chat)
{
    char lines[4][HEADER_BYTES];
    json_t *body = json_pack(
        "{s:s, s:[{s:s, s:s}], s:i, s:b}", "model", "drafting", "messages",
        "role", "user", "content", chat->prompt ? chat->prompt : "caption",
        "max_tokens", chat->max_tokens ? chat->max_tokens : 8, "stream",
        chat->stream);
    char *text = json_dumps(body, JSON_COMPACT);
    harness_call_t call = {
        .method = "POST",
        .port = cluster->routers[chat->router]->port,
        .path = "/v1/chat/completions",
        .body = text,
        .timeout_ms = CLUSTER_WAIT_MS,
        .abort_after_bytes = chat->abort_after_bytes,
    };
    int count = 0;

    snprintf(lines[0], HEADER_BYTES, "Authorization: Bearer %s",
             chat->key ? chat->key : "office-key");
    call.headers[count++] = lines[0];
    if (chat->request_id != NULL) {
        snprintf(lines[1], HEADER_BYTES, "X-Request-Id: %s", chat->request_id);
        call.headers[count++] = lines[1];
    }
    if (chat->session != NULL) {
        snprintf(lines[2], HEADER_BYTES, "X-Session: %s", chat->session);
        call.headers[count++] = lines[2];
    }
    if (chat->token != NULL) {
        snprintf(lines[3], HEADER_BYTES, "X-Session-Token: %s", chat->token);
        call.headers[count++] = lines[3];
    }
    harness_call(reply, &call);
    json_decref(body);
    free(text);
}

void
cluster_release(harness_reply_t *reply, cluster_t *cluster, int router,
                const char *key, const char *body)
{
    char line[HEADER_BYTES];
    harness_call_t call = {
        .method = "POST",
        .port = cluster->routers[router]->port,
        .path = "/v1/services/registry/releases",
        .body = body ? body : "{}",
        .headers = {"Authorization: Bearer office-key", line},
        .timeout_ms = CLUSTER_WAIT_MS,
    };

    snprintf(line, sizeof(line), "Idempotency-Key: %s", key);
    harness_call(reply, &call);
}

static const char *
error_member(const harness_reply_t *reply, const char *member)
{
    const char *text = json_string_value(
        json_object_get(json_object_get(reply->json, "error"), member));

    return text ? text : "";
}

const char *
cluster_error_code(const harness_reply_t *reply)
{
    return error_member(reply, "code");
}

const char *
cluster_error_run(const harness_reply_t *reply)
{
    return error_member(reply, "run");
}

char *
cluster_header(const harness_reply_t *reply, const char *name)
{
    const char *line = pps_buf_text(&reply->headers);
    size_t size = strlen(name);

    while (line != NULL && *line != '\0') {
        if (strncasecmp(line, name, size) == 0 && line[size] == ':') {
            line += size + 1 + strspn(line + size + 1, " ");
            return strndup(line, strcspn(line, "\r\n"));
        }
        line = strchr(line, '\n');
        line = line ? line + 1 : NULL;
    }
    return NULL;
}

json_int_t
cluster_run_count(cluster_t *cluster, const char *key)
{
    json_int_t runs = 0;
    char name[HEADER_BYTES];

    snprintf(name, sizeof(name), "office:%s", key);
    for (int i = 0; i < CLUSTER_WORKERS_MAX; i++) {
        harness_reply_t reply;

        if (cluster->services[i] == NULL) {
            continue;
        }
        harness_json(&reply, "GET", cluster->services[i]->port, "/runs", NULL);
        runs += json_integer_value(
            json_object_get(json_object_get(reply.json, "runs"), name));
        harness_reply_clear(&reply);
    }
    return runs;
}

json_t *
cluster_status(cluster_t *cluster, int router)
{
    harness_reply_t reply;
    json_t *status;

    harness_json(&reply, "GET", cluster->routers[router]->operator_port,
                 "/status", NULL);
    status = reply.status == 200 ? json_incref(reply.json) : NULL;
    harness_reply_clear(&reply);
    return status;
}

int
cluster_is_serving(cluster_t *cluster, int router)
{
    return harness_status("GET", cluster->routers[router]->port, "/ready",
                          NULL) == 200;
}

typedef struct {
    int router;
    int serves;
} expected_t;

static int
has_expected_state(cluster_t *cluster, void *user)
{
    const expected_t *expected = user;

    return cluster_is_serving(cluster, expected->router) == expected->serves;
}

int
cluster_wait_serving(cluster_t *cluster, int router, int serves)
{
    expected_t expected = {router, serves};

    return cluster_wait(cluster, has_expected_state, &expected);
}

/* Reads all bills of the log. The caller frees the reader, also after an
 * error. */
static int
read_bills(cluster_t *cluster, pps_bill_reader_t **out)
{
    pps_log_backend_t *log = NULL;
    char url[64];
    int error;

    *out = NULL;
    snprintf(url, sizeof(url), "http://127.0.0.1:%d", cluster->platform->port);
    error = pps_log_http_new(&log, url);
    if (error == 0) {
        error = pps_bill_reader_new(out);
    }
    if (error == 0) {
        error = pps_bill_reader_read(*out, log);
    }
    if (log != NULL) {
        log->free(log);
    }
    return error;
}

int
cluster_bills(cluster_t *cluster, pps_bill_reading_t *out)
{
    pps_bill_reader_t *reader;
    int error = read_bills(cluster, &reader);

    if (error == 0) {
        pps_bill_reader_reading(reader, out);
    }
    pps_bill_reader_free(reader);
    return error;
}

static int
copy_sum(const pps_bill_sum_t *sum, void *user)
{
    pps_bill_sum_t *out = user;

    if (strcmp(sum->workspace, out->workspace) == 0) {
        *out = *sum;
    }
    return 0;
}

int
cluster_bill_sum(cluster_t *cluster, const char *workspace,
                 pps_bill_sum_t *out)
{
    pps_bill_reader_t *reader;
    int error = read_bills(cluster, &reader);

    memset(out, 0, sizeof(*out));
    snprintf(out->workspace, sizeof(out->workspace), "%s", workspace);
    if (error == 0) {
        pps_bill_reader_sum_foreach(reader, copy_sum, out);
    }
    pps_bill_reader_free(reader);
    return error;
}

static int
has_bills(cluster_t *cluster, void *user)
{
    const json_int_t *expected = user;
    pps_bill_reading_t reading;

    return cluster_bills(cluster, &reading) == 0 &&
           (json_int_t)reading.bills >= *expected;
}

int
cluster_wait_bills(cluster_t *cluster, json_int_t bills)
{
    return cluster_wait(cluster, has_bills, &bills);
}

json_t *
cluster_events(cluster_t *cluster, int router, const char *kind)
{
    json_t *found = json_array();
    harness_reply_t reply;
    size_t index;
    json_t *event;

    harness_json(&reply, "GET", cluster->routers[router]->operator_port,
                 "/events", NULL);
    json_array_foreach(json_object_get(reply.json, "events"), index, event)
    {
        const char *name = json_string_value(json_object_get(event, "kind"));

        if (name != NULL && strcmp(name, kind) == 0) {
            json_array_append(found, event);
        }
    }
    harness_reply_clear(&reply);
    return found;
}
