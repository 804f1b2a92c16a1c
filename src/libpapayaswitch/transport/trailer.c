/** @file trailer.c @brief Reads field lines without keeping them. */
#include "trailer.h"

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
static pps_trailer_state_t
start_line(pps_trailer_t *trailer, char c)
{
    int is_first = trailer->field_bytes == 0;

    if (c == '\n') {
        return PPS_TRAILER_WHOLE;
    }
    if (c == '\r') {
        trailer->position = PPS_TRAILER_BEHIND_LAST_CR;
    }
    else if (isblank((unsigned char)c) && !is_first) {
        trailer->position = PPS_TRAILER_IN_VALUE;
    }
    else if (is_name_char(c)) {
        trailer->position = PPS_TRAILER_IN_NAME;
    }
    else {
        return PPS_TRAILER_MALFORMED;
    }
    return PPS_TRAILER_MORE;
}

static pps_trailer_state_t
read_name(pps_trailer_t *trailer, char c)
{
    if (c == ':') {
        trailer->position = PPS_TRAILER_IN_VALUE;
        return PPS_TRAILER_MORE;
    }
    return is_name_char(c) ? PPS_TRAILER_MORE : PPS_TRAILER_MALFORMED;
}

static pps_trailer_state_t
read_value(pps_trailer_t *trailer, char c)
{
    if (c == '\r') {
        trailer->position = PPS_TRAILER_BEHIND_CR;
        return PPS_TRAILER_MORE;
    }
    if (c == '\n') {
        trailer->position = PPS_TRAILER_AT_LINE_START;
        return PPS_TRAILER_MORE;
    }
    return is_value_char(c) ? PPS_TRAILER_MORE : PPS_TRAILER_MALFORMED;
}

static pps_trailer_state_t
read_char(pps_trailer_t *trailer, char c)
{
    switch (trailer->position) {
    case PPS_TRAILER_AT_LINE_START:
        return start_line(trailer, c);
    case PPS_TRAILER_IN_NAME:
        return read_name(trailer, c);
    case PPS_TRAILER_IN_VALUE:
        return read_value(trailer, c);
    case PPS_TRAILER_BEHIND_CR:
        trailer->position = PPS_TRAILER_AT_LINE_START;
        return c == '\n' ? PPS_TRAILER_MORE : PPS_TRAILER_MALFORMED;
    case PPS_TRAILER_BEHIND_LAST_CR:
        break;
    }
    return c == '\n' ? PPS_TRAILER_WHOLE : PPS_TRAILER_MALFORMED;
}

pps_trailer_state_t
pps_trailer_skip(pps_trailer_t *trailer, const char *data, size_t size,
                 size_t *used)
{
    pps_trailer_state_t state = PPS_TRAILER_MORE;

    *used = 0;
    while (state == PPS_TRAILER_MORE && *used < size) {
        state = read_char(trailer, data[(*used)++]);
        trailer->field_bytes +=
            state == PPS_TRAILER_MORE &&
            trailer->position != PPS_TRAILER_BEHIND_LAST_CR;
    }
    return state;
}
