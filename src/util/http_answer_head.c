/** @file http_answer_head.c @brief Checks lines and the fields of framing. */
#include "http_answer_head.h"

#include "papayaswitch/errors.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#define CODING "Transfer-Encoding:"
#define LENGTH "Content-Length:"
#define CHUNKED "chunked"

static int
is_field(const char *line, size_t size, const char *name)
{
    return size > strlen(name) && strncasecmp(line, name, strlen(name)) == 0;
}

static int
is_text(const char *value, size_t size, const char *text)
{
    while (size > 0 && isspace((unsigned char)*value)) {
        value++;
        size--;
    }
    while (size > 0 && isspace((unsigned char)value[size - 1])) {
        size--;
    }
    return size == strlen(text) && strncasecmp(value, text, size) == 0;
}

static int
check_framing(pps_http_answer_head_t *head, const char *line, size_t size)
{
    int is_coding = is_field(line, size, CODING);

    if (is_coding &&
        !is_text(line + strlen(CODING), size - strlen(CODING), CHUNKED)) {
        return PPS_ECORRUPT;
    }
    head->framing_fields += is_coding || is_field(line, size, LENGTH);
    return head->framing_fields > 1 ? PPS_ECORRUPT : PPS_OK;
}

int
pps_http_answer_head_check(pps_http_answer_head_t *head, const char *line,
                           size_t size)
{
    pps_field_lines_state_t state;
    size_t used;

    if (!head->is_open) {
        *head = (pps_http_answer_head_t){.is_open = 1};
        pps_head_lines_init(&head->lines, PPS_HEAD_OF_ANSWER);
    }
    state = pps_head_lines_read(&head->lines, line, size, &used);
    if (state == PPS_FIELD_LINES_MALFORMED) {
        return PPS_ECORRUPT;
    }
    head->is_open = state == PPS_FIELD_LINES_MORE;
    return check_framing(head, line, size);
}
