/** @file fuzz_wire.c @brief Fuzzes the parsing of caller and worker headers
 * and of server-sent events. */
#include "caller_wire.h"
#include "exchange/event_split.h"
#include "worker_wire.h"

#include <stddef.h>
#include <stdint.h>
#include <string.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
on_event(void *user, const char *text, size_t size, int64_t id)
{
}

/* Adds each line "name:value"; skips lines without a name or with a NUL. */
static void
fill_headers(pps_headers_t *headers, const char *text, size_t size)
{
    const char *end = text + size;

    while (text < end) {
        const char *line_end = memchr(text, '\n', (size_t)(end - text));
        const char *colon;

        line_end = line_end != NULL ? line_end : end;
        colon = memchr(text, ':', (size_t)(line_end - text));
        if (colon != NULL && colon > text &&
            memchr(text, '\0', (size_t)(line_end - text)) == NULL) {
            pps_headers_append_name(headers, text, (size_t)(colon - text));
            pps_headers_append_value(headers, colon + 1,
                                     (size_t)(line_end - colon - 1));
        }
        text = line_end + 1;
    }
    pps_headers_end(headers);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    pps_http_request_t request = {.method = "GET"};
    pps_http_reply_t reply = {.status = 200};
    pps_event_split_t split = {PPS_BUF_INIT};
    const pps_worker_request_t send = {.worker_id = "w", .priority = 1};
    pps_call_t call = {0};
    pps_worker_reply_t decoded;
    pps_buf_t out = PPS_BUF_INIT;

    fill_headers(&request.headers, (const char *)data, size);
    fill_headers(&reply.headers, (const char *)data, size);
    pps_buf_puts(&request.target, "/");
    if (pps_caller_wire_ops.decode(&call, &request) == 0) {
        pps_worker_wire_ops.encode(&out, &request, &call, &send);
    }
    pps_worker_wire_ops.decode(&decoded, &reply);
    pps_worker_wire_ops.fields(&out, &reply);
    pps_event_split_feed(&split, (const char *)data, size, on_event, NULL);
    pps_headers_clear(&request.headers);
    pps_headers_clear(&reply.headers);
    pps_buf_clear(&request.target);
    pps_event_split_reset(&split);
    pps_buf_clear(&out);
    return 0;
}
