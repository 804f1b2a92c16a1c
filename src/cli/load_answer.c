/** @file load_answer.c @brief Parses and classifies responses. */
#include "load_answer.h"

#include "clock.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define COMPLETION_ID_PREFIX "chatcmpl-"
#define EVENT_PREFIX "data: "
#define STATUS_LINE_PREFIX "HTTP/1.1 "
#define INTERIM_STATUS_DIGIT '1'
#define STATUS_OK 200

const char *
load_verdict_name(load_verdict_t verdict)
{
    static const char *const names[LOAD_VERDICT_COUNT] = {
        "whole",     "refused_not_run", "error",      "cut",
        "no_answer", "wrong",           "unreachable"};

    return names[verdict];
}

void
load_answer_init(load_answer_t *answer)
{
    memset(answer, 0, sizeof(*answer));
    answer->retry_after_s = -1;
    answer->usage_tokens = -1;
}

void
load_answer_clear(load_answer_t *answer)
{
    pps_buf_clear(&answer->raw);
    pps_buf_clear(&answer->text);
    json_decref(answer->error);
}

/* Writes the value to `out` and returns 1 if the line is the header `name`. */
static int
parse_header(char *out, size_t out_size, const char *line, size_t size,
             const char *name)
{
    size_t length = strlen(name);

    if (size <= length || strncasecmp(line, name, length) != 0 ||
        line[length] != ':') {
        return 0;
    }
    line += length + 1;
    size -= length + 1;
    while (size > 0 && isspace((unsigned char)*line)) {
        line++;
        size--;
    }
    while (size > 0 && isspace((unsigned char)line[size - 1])) {
        size--;
    }
    snprintf(out, out_size, "%.*s", (int)size, line);
    return 1;
}

/* Reads the lines that begin and end a head. */
static void
note_head_line(load_answer_t *answer, const char *line, size_t size)
{
    size_t length = strlen(STATUS_LINE_PREFIX);

    if (size > length && strncmp(line, STATUS_LINE_PREFIX, length) == 0) {
        answer->is_interim = line[length] == INTERIM_STATUS_DIGIT;
    }
    if (size > 0 && (line[0] == '\r' || line[0] == '\n')) {
        answer->has_head = !answer->is_interim;
    }
}

void
load_answer_add_header(load_answer_t *answer, const char *line, size_t size)
{
    char value[64];

    if (answer->has_head) {
        return;
    }
    note_head_line(answer, line, size);
    parse_header(answer->request_id, sizeof(answer->request_id), line, size,
                 "X-Request-Id");
    parse_header(answer->version, sizeof(answer->version), line, size,
                 "X-Model-Version");
    if (parse_header(value, sizeof(value), line, size, "Retry-After")) {
        answer->retry_after_s = (int)strtol(value, NULL, 10);
    }
    if (parse_header(value, sizeof(value), line, size, "Content-Type")) {
        answer->is_stream = strstr(value, "text/event-stream") != NULL;
    }
}

static void
check_completion_id(load_answer_t *answer, const load_request_t *request,
                    const json_t *object)
{
    const char *id = json_string_value(json_object_get(object, "id"));

    if (id != NULL &&
        strncmp(id, COMPLETION_ID_PREFIX, strlen(COMPLETION_ID_PREFIX)) == 0 &&
        strcmp(id + strlen(COMPLETION_ID_PREFIX), request->id) != 0) {
        answer->is_mismatched = 1;
    }
}

static void
parse_usage(load_answer_t *answer, const json_t *object)
{
    const json_t *usage = json_object_get(object, "usage");
    const json_t *tokens = json_object_get(usage, "completion_tokens");

    if (json_is_integer(tokens)) {
        answer->usage_tokens = json_integer_value(tokens);
    }
}

static void
append_text(load_answer_t *answer, const char *text)
{
    if (text == NULL || *text == '\0') {
        return;
    }
    if (answer->first_text_us == 0) {
        answer->first_text_us = pps_clock_now_us();
    }
    pps_buf_puts(&answer->text, text);
}

/* Parses a completion or a chunk; `part` is the key of the text object. */
static void
parse_completion(load_answer_t *answer, const load_request_t *request,
                 const json_t *object, const char *part)
{
    const json_t *choices = json_object_get(object, "choices");
    const json_t *choice = json_array_get(choices, 0);
    const json_t *message = json_object_get(choice, part);
    const char *reason =
        json_string_value(json_object_get(choice, "finish_reason"));

    check_completion_id(answer, request, object);
    append_text(answer,
                json_string_value(json_object_get(message, "content")));
    parse_usage(answer, object);
    if (reason != NULL && strcmp(reason, "stop") == 0) {
        answer->finished = 1;
    }
}

static void
parse_error(load_answer_t *answer, json_t *object)
{
    json_t *error = json_object_get(object, "error");

    if (json_is_object(error) && answer->error == NULL) {
        answer->error = json_incref(error);
    }
}

static void
parse_event(load_answer_t *answer, const load_request_t *request,
            const char *line, size_t size)
{
    size_t prefix = strlen(EVENT_PREFIX);
    json_t *object;

    if (size < prefix || strncmp(line, EVENT_PREFIX, prefix) != 0) {
        return;
    }
    line += prefix;
    size -= prefix;
    if (size == strlen("[DONE]") && strncmp(line, "[DONE]", size) == 0) {
        answer->has_done_event = 1;
        return;
    }
    object = json_loadb(line, size, 0, NULL);
    parse_error(answer, object);
    parse_completion(answer, request, object, "delta");
    json_decref(object);
}

void
load_answer_add_body(load_answer_t *answer, const load_request_t *request,
                     const char *data, size_t size)
{
    const char *end;

    pps_buf_append(&answer->raw, data, size);
    if (!answer->is_stream || answer->raw.data == NULL) {
        return;
    }
    while ((end = memchr(answer->raw.data, '\n', answer->raw.size)) != NULL) {
        size_t length = (size_t)(end - answer->raw.data);

        parse_event(answer, request, answer->raw.data, length);
        pps_buf_consume(&answer->raw, length + 1);
    }
}

static void
parse_service_response(load_answer_t *answer, const load_request_t *request,
                       const json_t *object)
{
    const char *path = json_string_value(json_object_get(object, "path"));

    answer->run_count = json_integer_value(json_object_get(object, "run"));
    answer->finished = path != NULL;
    if (path != NULL) {
        size_t length = strlen(path);
        size_t expected_length = strlen(request->resource);

        answer->is_mismatched |=
            length < expected_length ||
            strcmp(path + length - expected_length, request->resource) != 0;
    }
}

static void
parse_body(load_answer_t *answer, const load_request_t *request)
{
    json_t *object =
        json_loadb(pps_buf_text(&answer->raw), answer->raw.size, 0, NULL);

    parse_error(answer, object);
    if (load_request_kind(request)->target == LOAD_TARGET_MODEL) {
        parse_completion(answer, request, object, "message");
    }
    else {
        parse_service_response(answer, request, object);
    }
    json_decref(object);
}

/* Each token of the stand-in engine ends in a space. */
static int64_t
count_tokens(const pps_buf_t *text)
{
    int64_t count = 0;

    for (size_t i = 0; i < text->size; i++) {
        count += text->data[i] == ' ';
    }
    return count;
}

static int
is_complete(const load_answer_t *answer, const load_request_t *request)
{
    if (!answer->finished || (answer->is_stream && !answer->has_done_event)) {
        return 0;
    }
    return load_request_kind(request)->target != LOAD_TARGET_MODEL ||
           count_tokens(&answer->text) == answer->usage_tokens;
}

load_verdict_t
load_answer_classify(load_answer_t *answer, const load_request_t *request)
{
    if (!answer->is_stream) {
        parse_body(answer, request);
    }
    if (answer->request_id[0] != '\0' &&
        strcmp(answer->request_id, request->id) != 0) {
        return LOAD_WRONG;
    }
    if (answer->is_mismatched) {
        return LOAD_WRONG;
    }
    if (answer->error != NULL && answer->has_done_event) {
        return LOAD_WRONG;
    }
    if (answer->error != NULL || answer->status != STATUS_OK) {
        return load_answer_is_refusal(answer) && answer->text.size == 0
                   ? LOAD_REFUSED
                   : LOAD_ERROR;
    }
    return is_complete(answer, request) ? LOAD_WHOLE : LOAD_CUT;
}

const char *
load_answer_error_code(const load_answer_t *answer)
{
    const char *code =
        json_string_value(json_object_get(answer->error, "code"));

    return code == NULL ? "" : code;
}

int
load_answer_is_refusal(const load_answer_t *answer)
{
    const char *run = json_string_value(json_object_get(answer->error, "run"));

    return run != NULL && strcmp(run, "no") == 0;
}
