/** @file sse.c @brief Parser of server-sent events. */
#include "sse.h"

#include "papayaswitch/errors.h"

#include <string.h>

static void
parse_line(pps_sse_t *sse, const char *line, size_t size)
{
    static const char field[] = "data:";
    size_t value_start = sizeof(field) - 1;

    if (size < value_start || memcmp(line, field, value_start) != 0) {
        return;
    }
    if (size > value_start && line[value_start] == ' ') {
        value_start++;
    }
    if (sse->data.size > 0) {
        pps_buf_puts(&sse->data, "\n");
    }
    pps_buf_append(&sse->data, line + value_start, size - value_start);
}

int
pps_sse_next(pps_sse_t *sse, const char **out)
{
    if (sse->event_returned > 0) {
        sse->data.size = 0;
        sse->event_returned = 0;
    }
    while (sse->pending.size > 0) {
        const char *line = sse->pending.data;
        const char *newline = memchr(line, '\n', sse->pending.size);
        size_t size;
        size_t text_size;

        if (newline == NULL) {
            break;
        }
        size = (size_t)(newline - line);
        text_size = size > 0 && line[size - 1] == '\r' ? size - 1 : size;
        parse_line(sse, line, text_size);
        pps_buf_consume(&sse->pending, size + 1);
        if (text_size == 0 && sse->data.size > 0) {
            sse->event_returned = 1;
            *out = pps_buf_text(&sse->data);
            return 1;
        }
    }
    if (sse->pending.size + sse->data.size > PPS_SSE_EVENT_MAX) {
        return pps_error_set(PPS_ECORRUPT, "event larger than %u bytes",
                             PPS_SSE_EVENT_MAX);
    }
    return 0;
}

void
pps_sse_clear(pps_sse_t *sse)
{
    pps_buf_clear(&sse->pending);
    pps_buf_clear(&sse->data);
}
