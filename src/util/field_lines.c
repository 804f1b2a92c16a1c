/** @file field_lines.c @brief Reads field lines without keeping them. */
#include "field_lines.h"

#include <ctype.h>
#include <limits.h>

#define DELETE 0x7f

/* Characters of a token (RFC 9110, 5.6.2). */
static const char name_chars[UCHAR_MAX + 1] = {
    ['0' ... '9'] = 1,  ['A' ... 'Z'] = 1, ['a' ... 'z'] = 1, ['!'] = 1,
    ['#' ... '\''] = 1, ['*'] = 1,         ['+'] = 1,         ['-'] = 1,
    ['.'] = 1,          ['^' ... '`'] = 1, ['|'] = 1,         ['~'] = 1,
};

static int
is_name_char(char c)
{
    return name_chars[(unsigned char)c];
}

static int
is_value_char(char c)
{
    unsigned char byte = (unsigned char)c;

    return byte == '\t' || (byte >= ' ' && byte != DELETE);
}

/* Returns how many bytes of the current name or value follow. */
static size_t
count_bytes(pps_field_lines_position_t position, const char *data, size_t size)
{
    size_t count = 0;

    if (position == PPS_FIELD_LINES_IN_NAME) {
        while (count < size && is_name_char(data[count])) {
            count++;
        }
    }
    if (position == PPS_FIELD_LINES_IN_VALUE) {
        while (count < size && is_value_char(data[count])) {
            count++;
        }
    }
    return count;
}

/* A line that begins with a blank continues the value of the line before it.
 */
static pps_field_lines_state_t
start_line(pps_field_lines_t *lines, char c)
{
    int may_fold = lines->field_bytes > 0 && !lines->refuses_folding;

    if (c == '\n') {
        return PPS_FIELD_LINES_WHOLE;
    }
    if (c == '\r') {
        lines->position = PPS_FIELD_LINES_BEHIND_LAST_CR;
    }
    else if (isblank((unsigned char)c) && may_fold) {
        lines->position = PPS_FIELD_LINES_IN_VALUE;
    }
    else if (is_name_char(c)) {
        lines->position = PPS_FIELD_LINES_IN_NAME;
    }
    else {
        return PPS_FIELD_LINES_MALFORMED;
    }
    return PPS_FIELD_LINES_MORE;
}

static pps_field_lines_state_t
read_name(pps_field_lines_t *lines, char c)
{
    if (c == ':') {
        lines->position = PPS_FIELD_LINES_IN_VALUE;
        return PPS_FIELD_LINES_MORE;
    }
    return is_name_char(c) ? PPS_FIELD_LINES_MORE : PPS_FIELD_LINES_MALFORMED;
}

static pps_field_lines_state_t
read_value(pps_field_lines_t *lines, char c)
{
    if (c == '\r') {
        lines->position = PPS_FIELD_LINES_BEHIND_CR;
        return PPS_FIELD_LINES_MORE;
    }
    if (c == '\n') {
        lines->position = PPS_FIELD_LINES_AT_LINE_START;
        return PPS_FIELD_LINES_MORE;
    }
    return is_value_char(c) ? PPS_FIELD_LINES_MORE : PPS_FIELD_LINES_MALFORMED;
}

static pps_field_lines_state_t
read_char(pps_field_lines_t *lines, char c)
{
    switch (lines->position) {
    case PPS_FIELD_LINES_AT_LINE_START:
        return start_line(lines, c);
    case PPS_FIELD_LINES_IN_NAME:
        return read_name(lines, c);
    case PPS_FIELD_LINES_IN_VALUE:
        return read_value(lines, c);
    case PPS_FIELD_LINES_BEHIND_CR:
        lines->position = PPS_FIELD_LINES_AT_LINE_START;
        return c == '\n' ? PPS_FIELD_LINES_MORE : PPS_FIELD_LINES_MALFORMED;
    case PPS_FIELD_LINES_BEHIND_LAST_CR:
        break;
    }
    return c == '\n' ? PPS_FIELD_LINES_WHOLE : PPS_FIELD_LINES_MALFORMED;
}

static pps_field_lines_state_t
read_next(pps_field_lines_t *lines, const char *data, size_t size,
          size_t *used)
{
    pps_field_lines_state_t state;

    *used = count_bytes(lines->position, data, size);
    lines->field_bytes += *used;
    if (*used > 0) {
        return PPS_FIELD_LINES_MORE;
    }
    *used = 1;
    state = read_char(lines, data[0]);
    lines->field_bytes += state == PPS_FIELD_LINES_MORE &&
                          lines->position != PPS_FIELD_LINES_BEHIND_LAST_CR;
    return state;
}

pps_field_lines_state_t
pps_field_lines_read(pps_field_lines_t *lines, const char *data, size_t size,
                     size_t *used)
{
    pps_field_lines_state_t state = PPS_FIELD_LINES_MORE;

    *used = 0;
    while (state == PPS_FIELD_LINES_MORE && *used < size) {
        size_t part_used;

        state = read_next(lines, data + *used, size - *used, &part_used);
        *used += part_used;
    }
    return state;
}
