/** @file harness_answer.c @brief Sends chats and reads their answers. */
#include "harness_answer.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENT_PREFIX "data: "

static void
copy_name(char out[ANSWER_NAME_MAX], const char *text)
{
    snprintf(out, ANSWER_NAME_MAX, "%s", text ? text : "");
}

static void
copy_error(answer_result_t *result, const json_t *error)
{
    copy_name(result->code, json_string_value(json_object_get(error, "code")));
    copy_name(result->run, json_string_value(json_object_get(error, "run")));
}

/* @return whether the part has a finish reason */
static int
add_part(answer_result_t *result, const json_t *part, const char *request_id)
{
    const json_t *choice = json_array_get(json_object_get(part, "choices"), 0);
    const json_t *delta = json_object_get(choice, "delta");
    const char *id = json_string_value(json_object_get(part, "id"));
    const char *text;
    char expected[ANSWER_NAME_MAX];

    if (json_object_get(part, "error") != NULL) {
        copy_error(result, json_object_get(part, "error"));
        return 0;
    }
    if (delta == NULL) {
        delta = json_object_get(choice, "message");
    }
    text = json_string_value(json_object_get(delta, "content"));
    pps_buf_puts(&result->text, text ? text : "");
    snprintf(expected, sizeof(expected), "chatcmpl-%s", request_id);
    result->foreign_id_count += id == NULL || strcmp(id, expected) != 0;
    return json_is_string(json_object_get(choice, "finish_reason"));
}

/* @return whether a finish reason and the end mark were received */
static int
add_stream(answer_result_t *result, char *text, const char *request_id)
{
    int finished = 0;
    int done = 0;
    char *rest = NULL;

    for (char *line = strtok_r(text, "\n", &rest); line != NULL;
         line = strtok_r(NULL, "\n", &rest)) {
        json_t *part;

        if (strncmp(line, EVENT_PREFIX, strlen(EVENT_PREFIX)) != 0) {
            continue;
        }
        line += strlen(EVENT_PREFIX);
        if (strcmp(line, "[DONE]") == 0) {
            done = 1;
            continue;
        }
        part = json_loads(line, 0, NULL);
        finished |= add_part(result, part, request_id);
        json_decref(part);
    }
    return finished && done;
}

static void
read_answer(answer_result_t *result, const harness_reply_t *reply,
            const cluster_chat_t *chat)
{
    char *version = cluster_header(reply, "X-Model-Version");
    int complete;

    memset(result, 0, sizeof(*result));
    copy_name(result->version, version);
    free(version);
    if (chat->stream && reply->json == NULL) {
        char *text = strdup(pps_buf_text(&reply->text));

        complete = add_stream(result, text, chat->request_id);
        free(text);
    }
    else {
        complete = add_part(result, reply->json, chat->request_id);
    }
    if (complete && !reply->broken && reply->status == 200 &&
        result->code[0] == '\0') {
        result->end = ANSWER_COMPLETE;
    }
    else if (!complete && result->code[0] != '\0') {
        result->end = ANSWER_ERROR;
    }
}

void
answer_call(answer_call_t *call)
{
    harness_reply_t reply;

    cluster_chat(&reply, call->cluster, &call->chat);
    read_answer(&call->result, &reply, &call->chat);
    harness_reply_clear(&reply);
}

static void *
run_call(void *user)
{
    answer_call(user);
    return NULL;
}

void
answer_start(answer_call_t *call)
{
    pthread_create(&call->thread, NULL, run_call, call);
}

void
answer_join(answer_call_t *call)
{
    pthread_join(call->thread, NULL);
}

void
answer_clear(answer_call_t *call)
{
    pps_buf_clear(&call->result.text);
}

void
answer_engine_state(cluster_t *cluster, int engine, const char *request_id,
                    char state[ANSWER_NAME_MAX], json_int_t *tokens)
{
    harness_reply_t reply;
    char path[2 * ANSWER_NAME_MAX];

    snprintf(path, sizeof(path), "/outcome/%s", request_id);
    harness_json(&reply, "GET", cluster->engines[engine]->port, path, NULL);
    copy_name(state, harness_reply_text(&reply, "state"));
    if (tokens != NULL) {
        *tokens = harness_reply_int(&reply, "generated_tokens");
    }
    harness_reply_clear(&reply);
}

typedef struct {
    const char *request_id;
    json_int_t tokens;
    int engine;
} progress_t;

static int
has_progress(cluster_t *cluster, void *user)
{
    progress_t *progress = user;

    for (int i = 0; i < cluster->options.engines; i++) {
        char state[ANSWER_NAME_MAX];
        json_int_t tokens;

        answer_engine_state(cluster, i, progress->request_id, state, &tokens);
        if (strcmp(state, "running") == 0 && tokens >= progress->tokens) {
            progress->engine = i;
            return 1;
        }
    }
    return 0;
}

int
answer_wait_tokens(cluster_t *cluster, const char *request_id,
                   json_int_t tokens)
{
    progress_t progress = {request_id, tokens, -1};

    cluster_wait(cluster, has_progress, &progress);
    return progress.engine;
}

void
answer_call_reference(answer_call_t *reference, cluster_t *cluster,
                      const char *prompt, int tokens)
{
    *reference = (answer_call_t){.cluster = cluster,
                                 .chat = {.request_id = "reference",
                                          .prompt = prompt,
                                          .max_tokens = tokens}};
    answer_call(reference);
    cr_assert_eq(reference->result.end, ANSWER_COMPLETE);
    cr_assert_gt(reference->result.text.size, 0);
}

void
answer_expect_match(const answer_call_t *call, const answer_call_t *reference,
                    const char *name)
{
    const answer_result_t *result = &call->result;

    cr_expect_eq(result->foreign_id_count, 0, "%s", name);
    cr_expect_str_eq(result->version, reference->result.version, "%s", name);
    if (result->end == ANSWER_COMPLETE) {
        cr_expect_str_eq(pps_buf_text(&result->text),
                         pps_buf_text(&reference->result.text), "%s", name);
    }
}

void
answer_expect_bills(cluster_t *cluster, uint64_t expected, const char *name)
{
    pps_bill_reading_t bills;

    cr_expect(cluster_wait_bills(cluster, (json_int_t)expected), "%s", name);
    cr_assert_eq(cluster_bills(cluster, &bills), 0);
    cr_expect_eq(bills.bills, expected, "%s: %d bills", name,
                 (int)bills.bills);
    cr_expect_eq(bills.repeated_request, 0, "%s", name);
}

cluster_t *
answer_cluster_new(int engines, const char *token_us)
{
    const cluster_options_t options = {.routers = 2,
                                       .engines = engines,
                                       .services = 1,
                                       .token_us = token_us,
                                       .router_settings = ANSWER_SETTINGS};
    cluster_t *cluster = NULL;

    cr_assert_eq(cluster_new(&cluster, &options), 0);
    return cluster;
}
