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

static int
is_blank_line(const char *line, const char *line_end)
{
    return line_end == line || (line_end == line + 1 && *line == '\r');
}

/* Returns the size of the event at the start of the text, with its blank line;
 * 0: it is incomplete. Goes on where the search for its end stopped. */
static size_t
find_event_end(pps_event_split_t *split, const char *text, size_t size)
{
    const char *line_end;

    while ((line_end = memchr(text + split->searched, '\n',
                              size - split->searched)) != NULL) {
        size_t next = (size_t)(line_end + 1 - text);

        if (split->line > 0 && is_blank_line(text + split->line, line_end)) {
            return next;
        }
        split->line = next;
        split->searched = next;
    }
    split->searched = size;
    return 0;
}

static void
begin_event(pps_event_split_t *split)
{
    split->line = 0;
    split->searched = 0;
}

/* Passes on the complete events at the start of the text.
 * @return the number of their bytes */
static size_t
pass_events(pps_event_split_t *split, const char *text, size_t size,
            pps_event_fn event, void *user)
{
    size_t passed = 0;
    size_t event_bytes;

    while (passed < size && (event_bytes = find_event_end(
                                 split, text + passed, size - passed)) > 0) {
        begin_event(split);
        event(user, text + passed, event_bytes,
              find_id(text + passed, event_bytes));
        if (split->is_reset) {
            break;
        }
        passed += event_bytes;
    }
    return passed;
}

/* Passes on what the kept bytes and the new ones are together. */
static int
continue_event(pps_event_split_t *split, const char *data, size_t size,
               pps_event_fn event, void *user)
{
    size_t passed;

    if (pps_buf_append(&split->partial, data, size) != 0) {
        return PPS_ENOMEM;
    }
    passed = pass_events(split, split->partial.data, split->partial.size,
                         event, user);
    if (split->is_reset || passed == 0) {
        return PPS_OK;
    }
    pps_buf_consume(&split->partial, passed);
    if (split->partial.size == 0) {
        pps_buf_clear(&split->partial);
    }
    return PPS_OK;
}

static int
begin_with(pps_event_split_t *split, const char *data, size_t size,
           pps_event_fn event, void *user)
{
    size_t passed = pass_events(split, data, size, event, user);

    if (split->is_reset || passed == size) {
        return PPS_OK;
    }
    return pps_buf_append(&split->partial, data + passed, size - passed);
}

int
pps_event_split_feed(pps_event_split_t *split, const char *data, size_t size,
                     pps_event_fn event, void *user)
{
    int error;

    split->is_reset = 0;
    error = split->partial.size > 0
                ? continue_event(split, data, size, event, user)
                : begin_with(split, data, size, event, user);
    if (error != 0) {
        return PPS_ENOMEM;
    }
    return split->partial.size > EVENT_BYTES_MAX ? PPS_ELIMIT : PPS_OK;
}

void
pps_event_split_reset(pps_event_split_t *split)
{
    pps_buf_clear(&split->partial);
    begin_event(split);
    split->is_reset = 1;
}
