/** @file field_lines.c @brief Reads field lines without keeping them. */
#include "field_lines.h"

#include <ctype.h>
#include <string.h>

static int
is_name_char(char c)
{
    return c != '\0' &&
           (isalnum((unsigned char)c) || strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static int
is_value_char(char c)
{
    return c == '\t' || !iscntrl((unsigned char)c);
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

pps_field_lines_state_t
pps_field_lines_read(pps_field_lines_t *lines, const char *data, size_t size,
                     size_t *used)
{
    pps_field_lines_state_t state = PPS_FIELD_LINES_MORE;

    *used = 0;
    while (state == PPS_FIELD_LINES_MORE && *used < size) {
        state = read_char(lines, data[(*used)++]);
        lines->field_bytes +=
            state == PPS_FIELD_LINES_MORE &&
            lines->position != PPS_FIELD_LINES_BEHIND_LAST_CR;
    }
    return state;
}
