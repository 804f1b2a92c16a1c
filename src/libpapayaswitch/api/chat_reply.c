/** @file chat_reply.c @brief Encoder of chat completions and their events. */
#include "chat_reply.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

static json_t *
usage_json(const pps_answer_usage_t *usage)
{
    return json_pack("{s:I, s:I, s:I}", "prompt_tokens",
                     (json_int_t)usage->prompt_tokens, "completion_tokens",
                     (json_int_t)usage->generated_tokens, "total_tokens",
                     (json_int_t)usage->prompt_tokens +
                         (json_int_t)usage->generated_tokens);
}

static json_t *
completion_json(const pps_chat_reply_t *reply, const char *object,
                json_t *choice)
{
    return json_pack("{s:s+, s:s, s:I, s:s, s:[o]}", "id", "chatcmpl-",
                     reply->request_id, "object", object, "created",
                     (json_int_t)reply->created_s, "model", reply->model,
                     "choices", choice);
}

json_t *
pps_chat_reply_completion(const pps_chat_reply_t *reply, const char *text,
                          const pps_answer_usage_t *usage)
{
    json_t *choice = json_pack("{s:i, s:{s:s, s:s}, s:s}", "index", 0,
                               "message", "role", "assistant", "content", text,
                               "finish_reason", usage->finish_reason);
    json_t *completion = completion_json(reply, "chat.completion", choice);

    json_object_set_new(completion, "usage", usage_json(usage));
    return completion;
}

static int
append_event(pps_buf_t *out, json_t *event)
{
    char *text = json_dumps(event, JSON_COMPACT);
    int error;

    json_decref(event);
    if (text == NULL) {
        return pps_error_set(PPS_ENOMEM, "event: out of memory");
    }
    error = pps_buf_printf(out, "data: %s\n\n", text);
    free(text);
    return error;
}

/* Encodes once what surrounds the text of a delta; the deltas of a stream
 * differ only in their text. */
static int
encode_delta_template(pps_chat_reply_t *reply)
{
    static const char content_key[] = "\"content\":";
    json_t *choice = json_pack("{s:i, s:{s:s}, s:n}", "index", 0, "delta",
                               "content", "", "finish_reason");
    json_t *event = completion_json(reply, "chat.completion.chunk", choice);
    char *text = json_dumps(event, JSON_COMPACT);
    char *content = text ? strstr(text, content_key) : NULL;

    json_decref(event);
    if (content == NULL) {
        free(text);
        return pps_error_set(PPS_ENOMEM, "event: out of memory");
    }
    content += strlen(content_key);
    reply->delta_suffix = strdup(content + strlen("\"\""));
    *content = '\0';
    reply->delta_prefix = text;
    return reply->delta_suffix ? PPS_OK : PPS_ENOMEM;
}

void
pps_chat_reply_clear(pps_chat_reply_t *reply)
{
    free(reply->delta_prefix);
    free(reply->delta_suffix);
    reply->delta_prefix = NULL;
    reply->delta_suffix = NULL;
}

int
pps_chat_reply_delta(pps_chat_reply_t *reply, pps_buf_t *out, const char *text)
{
    json_t *content = json_string(text);
    char *quoted = json_dumps(content, JSON_COMPACT | JSON_ENCODE_ANY);
    int error = reply->delta_prefix ? PPS_OK : encode_delta_template(reply);

    json_decref(content);
    if (error == 0 && quoted == NULL) {
        error = pps_error_set(PPS_ENOMEM, "event: out of memory");
    }
    if (error == 0) {
        error = pps_buf_printf(out, "data: %s%s%s\n\n", reply->delta_prefix,
                               quoted, reply->delta_suffix);
    }
    free(quoted);
    return error;
}

int
pps_chat_reply_finish(const pps_chat_reply_t *reply, pps_buf_t *out,
                      const pps_answer_usage_t *usage)
{
    json_t *choice = json_pack("{s:i, s:{}, s:s}", "index", 0, "delta",
                               "finish_reason", usage->finish_reason);
    json_t *last = completion_json(reply, "chat.completion.chunk", choice);
    int error;

    json_object_set_new(last, "usage", usage_json(usage));
    error = append_event(out, last);
    return error < 0 ? error : pps_buf_puts(out, "data: [DONE]\n\n");
}

int
pps_chat_reply_error(pps_buf_t *out, json_t *error)
{
    return append_event(out, error);
}
