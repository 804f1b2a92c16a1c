/** @file chat_request.c @brief Decoder of chat completion requests. */
#include "chat_request.h"

#include "papayaswitch/errors.h"

#include <string.h>

static int
add_parts(pps_buf_t *prompt, const json_t *parts, size_t message)
{
    size_t index;
    json_t *part;

    json_array_foreach(parts, index, part)
    {
        const char *text = json_string_value(json_object_get(part, "text"));

        if (text == NULL) {
            return pps_error_set(PPS_EINVALID,
                                 "messages[%zu].content[%zu]: only parts with "
                                 "a text are taken",
                                 message, index);
        }
        pps_buf_puts(prompt, text);
    }
    return PPS_OK;
}

static int
add_message(pps_buf_t *prompt, const json_t *message, size_t index)
{
    const char *role = json_string_value(json_object_get(message, "role"));
    const json_t *content = json_object_get(message, "content");
    int error = PPS_OK;

    if (role == NULL) {
        return pps_error_set(PPS_EINVALID,
                             "messages[%zu].role: a text is wanted", index);
    }
    pps_buf_printf(prompt, "%s: ", role);
    if (json_is_string(content)) {
        pps_buf_puts(prompt, json_string_value(content));
    }
    else if (json_is_array(content)) {
        error = add_parts(prompt, content, index);
    }
    else {
        error = pps_error_set(PPS_EINVALID,
                              "messages[%zu].content: a text or a list of "
                              "parts is wanted",
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
                             "messages: a list of one or more is wanted");
    }
    json_array_foreach(messages, index, message)
    {
        int error = add_message(&out->prompt, message, index);

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
                             "max_tokens: a whole number from 1 to %d is "
                             "wanted",
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
        return pps_error_set(PPS_EINVALID, "stream: true or false is wanted");
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
        return pps_error_set(PPS_EINVALID, "model: a text is wanted");
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
    json_error_t place;
    int error;

    memset(out, 0, sizeof(*out));
    out->body =
        json_loadb(body ? body : "", size, JSON_REJECT_DUPLICATES, &place);
    if (out->body == NULL) {
        return pps_error_set(PPS_EINVALID, "line %d, column %d: %s",
                             place.line, place.column, place.text);
    }
    error = json_is_object(out->body)
                ? read_body(out)
                : pps_error_set(PPS_EINVALID, "a JSON object is wanted");
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
