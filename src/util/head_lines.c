/** @file head_lines.c @brief Reads a first line, then field lines. */
#include "head_lines.h"

#include <ctype.h>
#include <string.h>

/** A status line up to its status: '#' stands for a digit, and '%' for the
 * first digit of a status from 100 to 599. */
#define STATUS_LINE "HTTP/1.# %##"

void
pps_head_lines_init(pps_head_lines_t *head, pps_head_kind_t kind)
{
    *head = (pps_head_lines_t){.kind = kind, .fields = {.refuses_folding = 1}};
}

static int
is_line_end(char c)
{
    return c == '\r' || c == '\n';
}

static int
matches(char pattern, char c)
{
    switch (pattern) {
    case '#':
        return isdigit((unsigned char)c);
    case '%':
        return c >= '1' && c <= '5';
    default:
        return c == pattern;
    }
}

static pps_field_lines_state_t
end_first_line(pps_head_lines_t *head, char c)
{
    head->is_behind_cr = c == '\r';
    head->has_first_line = c == '\n';
    return PPS_FIELD_LINES_MORE;
}

static pps_field_lines_state_t
read_text(char c)
{
    return c == '\t' || !iscntrl((unsigned char)c) ? PPS_FIELD_LINES_MORE
                                                   : PPS_FIELD_LINES_MALFORMED;
}

/* Reads a byte behind the status: a blank, then the reason, which may be
 * absent. */
static pps_field_lines_state_t
read_reason(pps_head_lines_t *head, char c)
{
    int is_first = !head->has_reason;

    head->has_reason = 1;
    if (is_line_end(c)) {
        return end_first_line(head, c);
    }
    if (is_first) {
        return c == ' ' ? PPS_FIELD_LINES_MORE : PPS_FIELD_LINES_MALFORMED;
    }
    return read_text(c);
}

static pps_field_lines_state_t
read_status_line(pps_head_lines_t *head, size_t at, char c)
{
    if (at >= strlen(STATUS_LINE)) {
        return read_reason(head, c);
    }
    return matches(STATUS_LINE[at], c) ? PPS_FIELD_LINES_MORE
                                       : PPS_FIELD_LINES_MALFORMED;
}

static pps_field_lines_state_t
read_request_line(pps_head_lines_t *head, char c)
{
    return is_line_end(c) ? end_first_line(head, c) : read_text(c);
}

static pps_field_lines_state_t
read_first_line(pps_head_lines_t *head, char c)
{
    size_t at = head->first_line_bytes;

    if (head->is_behind_cr) {
        return c == '\n' ? end_first_line(head, c) : PPS_FIELD_LINES_MALFORMED;
    }
    if (at == 0 && is_line_end(c)) {
        return PPS_FIELD_LINES_MORE;
    }
    head->first_line_bytes++;
    return head->kind == PPS_HEAD_OF_ANSWER ? read_status_line(head, at, c)
                                            : read_request_line(head, c);
}

pps_field_lines_state_t
pps_head_lines_read(pps_head_lines_t *head, const char *data, size_t size,
                    size_t *used)
{
    pps_field_lines_state_t state = PPS_FIELD_LINES_MORE;
    size_t fields_used = 0;

    *used = 0;
    while (state == PPS_FIELD_LINES_MORE && !head->has_first_line &&
           *used < size) {
        state = read_first_line(head, data[(*used)++]);
    }
    if (state == PPS_FIELD_LINES_MORE && head->has_first_line) {
        state = pps_field_lines_read(&head->fields, data + *used, size - *used,
                                     &fields_used);
        *used += fields_used;
    }
    return state;
}

size_t
pps_head_lines_bytes(const pps_head_lines_t *head)
{
    return head->first_line_bytes + head->fields.field_bytes;
}
