/** @file chat_request.c @brief Decoder of chat completion requests. */
#include "chat_request.h"

#include "papayaswitch/errors.h"

#include <string.h>

static int
append_parts(pps_buf_t *prompt, const json_t *parts, size_t message)
{
    size_t index;
    json_t *part;

    json_array_foreach(parts, index, part)
    {
        const char *text = json_string_value(json_object_get(part, "text"));

        if (text == NULL) {
            return pps_error_set(PPS_EINVALID,
                                 "messages[%zu].content[%zu]: expected a part "
                                 "with a string 'text'",
                                 message, index);
        }
        pps_buf_puts(prompt, text);
    }
    return PPS_OK;
}

static int
append_message(pps_buf_t *prompt, const json_t *message, size_t index)
{
    const char *role = json_string_value(json_object_get(message, "role"));
    const json_t *content = json_object_get(message, "content");
    int error = PPS_OK;

    if (role == NULL) {
        return pps_error_set(PPS_EINVALID,
                             "messages[%zu].role: expected a string", index);
    }
    pps_buf_printf(prompt, "%s: ", role);
    if (json_is_string(content)) {
        pps_buf_puts(prompt, json_string_value(content));
    }
    else if (json_is_array(content)) {
        error = append_parts(prompt, content, index);
    }
    else {
        error = pps_error_set(PPS_EINVALID,
                              "messages[%zu].content: expected a string or "
                              "a list of parts",
                              index);
    }
    pps_buf_puts(prompt, "\n");
    return error;
}

static int
read_messages(pps_chat_request_t *out)
{
    const json_t *messages = json_object_get(out->body, "messages");
    size_t index;
    json_t *message;

    if (!json_is_array(messages) || json_array_size(messages) == 0) {
        return pps_error_set(PPS_EINVALID,
                             "messages: expected a non-empty list");
    }
    json_array_foreach(messages, index, message)
    {
        int error = append_message(&out->prompt, message, index);

        if (error < 0) {
            return error;
        }
    }
    return out->prompt.failed ? PPS_ENOMEM : PPS_OK;
}

static int
read_max_tokens(pps_chat_request_t *out)
{
    const json_t *value = json_object_get(out->body, "max_tokens");

    if (value == NULL) {
        value = json_object_get(out->body, "max_completion_tokens");
    }
    out->max_tokens = PPS_MAX_TOKENS_DEFAULT;
    if (value == NULL || json_is_null(value)) {
        return PPS_OK;
    }
    if (!json_is_integer(value) || json_integer_value(value) < 1 ||
        json_integer_value(value) > PPS_MAX_TOKENS_LIMIT) {
        return pps_error_set(PPS_EINVALID,
                             "max_tokens: expected an integer from 1 to %d",
                             PPS_MAX_TOKENS_LIMIT);
    }
    out->max_tokens = (uint32_t)json_integer_value(value);
    return PPS_OK;
}

static int
read_stream(pps_chat_request_t *out)
{
    const json_t *stream = json_object_get(out->body, "stream");
    const json_t *options = json_object_get(out->body, "stream_options");

    if (stream != NULL && !json_is_boolean(stream)) {
        return pps_error_set(PPS_EINVALID, "stream: expected true or false");
    }
    out->stream = json_is_true(stream);
    out->include_usage =
        json_is_true(json_object_get(options, "include_usage"));
    return PPS_OK;
}

static int
read_body(pps_chat_request_t *out)
{
    int error;

    out->model = json_string_value(json_object_get(out->body, "model"));
    if (out->model == NULL) {
        return pps_error_set(PPS_EINVALID, "model: expected a string");
    }
    error = read_messages(out);
    if (error == 0) {
        error = read_max_tokens(out);
    }
    if (error == 0) {
        error = read_stream(out);
    }
    return error;
}

int
pps_chat_request_decode(pps_chat_request_t *out, const void *body, size_t size)
{
    json_error_t json_error;
    int error;

    memset(out, 0, sizeof(*out));
    out->body = json_loadb(body ? body : "", size, JSON_REJECT_DUPLICATES,
                           &json_error);
    if (out->body == NULL) {
        return pps_error_set(PPS_EINVALID, "line %d, column %d: %s",
                             json_error.line, json_error.column,
                             json_error.text);
    }
    error = json_is_object(out->body)
                ? read_body(out)
                : pps_error_set(PPS_EINVALID, "body: expected a JSON object");
    if (error < 0) {
        pps_chat_request_clear(out);
    }
    return error;
}

void
pps_chat_request_clear(pps_chat_request_t *request)
{
    json_decref(request->body);
    request->body = NULL;
    pps_buf_clear(&request->prompt);
}
