/** @file chat_stream.c @brief Streams completions as server-sent events. */
#include "chat.h"
#include "counters.h"
#include "event.h"
#include "papayaswitch/errors.h"

#include <string.h>

#define READ_WAIT_MS 100
#define BLOCK_BYTES 4096

static void
end_with_error(pps_chat_t *chat, pps_api_error_t code, const char *message)
{
    pps_event_record("request_failed",
                     PPS_FIELDS(PPS_STR("request", chat->call.request_id),
                                PPS_STR("code", pps_api_error_code(code)),
                                PPS_STR("detail", message)));
    pps_counter_add(PPS_COUNTER_REQUESTS_FAILED, 1);
    pps_chat_reply_error(
        &chat->out, pps_api_error_json(code, chat->call.request_id, message));
    chat->ended = 1;
}

static void
end_completed(pps_chat_t *chat)
{
    pps_answer_usage_t usage;

    pps_answer_usage(chat->answer, &usage);
    if (pps_chat_bill(chat, &usage) < 0) {
        end_with_error(chat, PPS_API_BILL_NOT_DURABLE,
                       "the bill for the answer could not be made durable");
        return;
    }
    pps_counter_add(PPS_COUNTER_REQUESTS_OK, 1);
    pps_chat_reply_finish(&chat->reply, &chat->out, &usage);
    chat->ended = 1;
}

static void
read_answer(pps_chat_t *chat)
{
    pps_buf_t text = PPS_BUF_INIT;
    int result = pps_answer_read(chat->answer, &text, READ_WAIT_MS);

    if (text.size > 0) {
        pps_counter_add(PPS_COUNTER_TOKENS_RELAYED, 1);
        pps_chat_reply_delta(&chat->reply, &chat->out, pps_buf_text(&text));
    }
    pps_buf_clear(&text);
    if (result == 0) {
        end_completed(chat);
    }
    else if (result < 0) {
        end_with_error(chat, PPS_API_UPSTREAM_FAILED, pps_error_last());
    }
}

/* Called on the connection's thread when the socket accepts more bytes. */
static ssize_t
on_stream_read(void *user, uint64_t offset, char *out, size_t max)
{
    pps_chat_t *chat = user;
    size_t size;

    while (chat->out.size == 0 && !chat->ended) {
        read_answer(chat);
    }
    if (chat->out.failed) {
        return U_STREAM_ERROR;
    }
    if (chat->out.size == 0) {
        return U_STREAM_END;
    }
    size = chat->out.size < max ? chat->out.size : max;
    memcpy(out, chat->out.data, size);
    pps_buf_consume(&chat->out, size);
    return (ssize_t)size;
}

static void
on_stream_close(void *user)
{
    pps_chat_free(user);
}

int
pps_chat_stream(pps_chat_t *chat, struct _u_response *response)
{
    u_map_put(response->map_header, "Content-Type", "text/event-stream");
    u_map_put(response->map_header, "Cache-Control", "no-store");
    if (ulfius_set_stream_response(response, 200, on_stream_read,
                                   on_stream_close, U_STREAM_SIZE_UNKNOWN,
                                   BLOCK_BYTES, chat) != U_OK) {
        pps_chat_free(chat);
        return U_CALLBACK_ERROR;
    }
    return U_CALLBACK_COMPLETE;
}
