/** @file event_split.c @brief Splits a stream at blank lines. */
#include "event_split.h"

#include "papayaswitch/errors.h"

#include <string.h>

#define EVENT_BYTES_MAX (1U << 18)
#define ID_DIGITS_MAX 15

static int64_t
parse_id(const char *text, size_t size)
{
    const char *end = text + size;
    int64_t id = 0;
    int digits = 0;

    while (text < end && *text == ' ') {
        text++;
    }
    for (; text < end && *text >= '0' && *text <= '9'; text++) {
        id = id * 10 + (*text - '0');
        if (++digits > ID_DIGITS_MAX) {
            return -1;
        }
    }
    return digits > 0 ? id : -1;
}

static int64_t
find_id(const char *text, size_t size)
{
    const char *line = text;
    const char *end = text + size;

    while (line < end) {
        const char *line_end = memchr(line, '\n', (size_t)(end - line));

        if (line_end == NULL) {
            line_end = end;
        }
        if (line_end - line > 3 && memcmp(line, "id:", 3) == 0) {
            return parse_id(line + 3, (size_t)(line_end - line - 3));
        }
        line = line_end + 1;
    }
    return -1;
}

/* Returns the size of the first event with its blank line; 0: incomplete. */
static size_t
complete_event_bytes(const char *text, size_t size)
{
    const char *line = text;
    const char *end = text + size;

    while (line < end) {
        const char *line_end = memchr(line, '\n', (size_t)(end - line));

        if (line_end == NULL) {
            return 0;
        }
        if (line_end + 1 < end && line_end[1] == '\n') {
            return (size_t)(line_end + 2 - text);
        }
        if (line_end + 2 < end && line_end[1] == '\r' && line_end[2] == '\n') {
            return (size_t)(line_end + 3 - text);
        }
        line = line_end + 1;
    }
    return 0;
}

int
pps_event_split_feed(pps_event_split_t *split, const char *data, size_t size,
                     pps_event_fn event, void *user)
{
    size_t event_bytes;

    if (pps_buf_append(&split->partial, data, size) != 0) {
        return PPS_ENOMEM;
    }
    while ((event_bytes = complete_event_bytes(split->partial.data,
                                               split->partial.size)) > 0) {
        event(user, split->partial.data, event_bytes,
              find_id(split->partial.data, event_bytes));
        if (split->partial.size < event_bytes) {
            return PPS_OK;
        }
        pps_buf_consume(&split->partial, event_bytes);
    }
    return split->partial.size > EVENT_BYTES_MAX ? PPS_ELIMIT : PPS_OK;
}
