/** @file sse.c @brief Line parser of server-sent events. */
#include "sse.h"

#include "papayaswitch/errors.h"

#include <string.h>

static void
take_line(pps_sse_t *sse, const char *line, size_t size)
{
    static const char field[] = "data:";
    size_t skip = sizeof(field) - 1;

    if (size < skip || memcmp(line, field, skip) != 0) {
        return;
    }
    if (size > skip && line[skip] == ' ') {
        skip++;
    }
    if (sse->data.size > 0) {
        pps_buf_puts(&sse->data, "\n");
    }
    pps_buf_append(&sse->data, line + skip, size - skip);
}

int
pps_sse_next(pps_sse_t *sse, const char **out)
{
    if (sse->scanned > 0) {
        sse->data.size = 0;
        sse->scanned = 0;
    }
    while (sse->pending.size > 0) {
        const char *line = sse->pending.data;
        const char *newline = memchr(line, '\n', sse->pending.size);
        size_t size;
        size_t text;

        if (newline == NULL) {
            break;
        }
        size = (size_t)(newline - line);
        text = size > 0 && line[size - 1] == '\r' ? size - 1 : size;
        take_line(sse, line, text);
        pps_buf_consume(&sse->pending, size + 1);
        if (text == 0 && sse->data.size > 0) {
            sse->scanned = 1;
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
