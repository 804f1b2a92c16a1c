/** @file event_split.c @brief Server-sent events by their blank lines. */
#include "event_split.h"

#include "papayaswitch/errors.h"

#include <string.h>

#define EVENT_BYTES_MAX (1U << 18)
#define ID_DIGITS_MAX 15

static int64_t
read_id(const char *text, size_t size)
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
        const char *stop = memchr(line, '\n', (size_t)(end - line));

        if (stop == NULL) {
            stop = end;
        }
        if (stop - line > 3 && memcmp(line, "id:", 3) == 0) {
            return read_id(line + 3, (size_t)(stop - line - 3));
        }
        line = stop + 1;
    }
    return -1;
}

/* Length of the first event with its blank line, or 0. */
static size_t
event_size(const char *text, size_t size)
{
    const char *at = text;
    const char *end = text + size;

    while (at < end) {
        const char *stop = memchr(at, '\n', (size_t)(end - at));

        if (stop == NULL) {
            return 0;
        }
        if (stop + 1 < end && stop[1] == '\n') {
            return (size_t)(stop + 2 - text);
        }
        if (stop + 2 < end && stop[1] == '\r' && stop[2] == '\n') {
            return (size_t)(stop + 3 - text);
        }
        at = stop + 1;
    }
    return 0;
}

int
pps_event_split_feed(pps_event_split_t *split, const char *data, size_t size,
                     pps_event_fn event, void *user)
{
    size_t whole;

    if (pps_buf_append(&split->partial, data, size) != 0) {
        return PPS_ENOMEM;
    }
    while ((whole = event_size(split->partial.data, split->partial.size)) >
           0) {
        event(user, split->partial.data, whole,
              find_id(split->partial.data, whole));
        if (split->partial.size < whole) {
            return PPS_OK;
        }
        pps_buf_consume(&split->partial, whole);
    }
    return split->partial.size > EVENT_BYTES_MAX ? PPS_ELIMIT : PPS_OK;
}
