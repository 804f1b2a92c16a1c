/** @file test_field_lines.c @brief What is a trailer, and where it ends. */
#include "field_lines.h"

#include <criterion/criterion.h>
#include <string.h>

typedef struct {
    const char *name;
    const char *text;
    pps_field_lines_state_t state;
    size_t used;        /**< bytes up to its end, or up to the fault */
    size_t field_bytes; /**< if it is whole or goes on */
} trailer_case_t;

static const trailer_case_t cases[] = {
    {"no field", "\r\n", PPS_FIELD_LINES_WHOLE, 2, 0},
    {"no field, line feed only", "\n", PPS_FIELD_LINES_WHOLE, 1, 0},
    {"a field", "X-A: 1\r\n\r\n", PPS_FIELD_LINES_WHOLE, 10, 8},
    {"line feeds only", "X-A: 1\n\n", PPS_FIELD_LINES_WHOLE, 8, 7},
    {"an empty value", "X-A:\r\n\r\n", PPS_FIELD_LINES_WHOLE, 8, 6},
    {"a value that goes on", "X-A: 1\r\n 2\r\n\t3\r\n\r\n",
     PPS_FIELD_LINES_WHOLE, 18, 16},
    {"two fields", "A: 1\r\nA: 2\r\n\r\n", PPS_FIELD_LINES_WHOLE, 14, 12},
    {"all characters of a name", "Az09!#$%&'*+-.^_`|~:\r\n\r\n",
     PPS_FIELD_LINES_WHOLE, 24, 22},
    {"other bytes in a value", "A: \xc3\xa9\t\"(){}\r\n\r\n",
     PPS_FIELD_LINES_WHOLE, 15, 13},
    {"the next message behind it", "A: 1\r\n\r\nGET / HTTP/1.1\r\n",
     PPS_FIELD_LINES_WHOLE, 8, 6},
    {"nothing yet", "", PPS_FIELD_LINES_MORE, 0, 0},
    {"cut in a name", "X-", PPS_FIELD_LINES_MORE, 2, 2},
    {"cut in a value", "X-A: 1", PPS_FIELD_LINES_MORE, 6, 6},
    {"cut behind a line", "X-A: 1\r\n", PPS_FIELD_LINES_MORE, 8, 8},
    {"cut in the empty line", "X-A: 1\r\n\r", PPS_FIELD_LINES_MORE, 9, 8},
    {"a request in place of a trailer", "GET / HTTP/1.1\r\nHost: h\r\n\r\n",
     PPS_FIELD_LINES_MALFORMED, 4, 0},
    {"an answer in place of a trailer", "HTTP/1.1 200 OK\r\n\r\n",
     PPS_FIELD_LINES_MALFORMED, 5, 0},
    {"a name without a value", "X-A\r\n\r\n", PPS_FIELD_LINES_MALFORMED, 4, 0},
    {"no name", ": 1\r\n\r\n", PPS_FIELD_LINES_MALFORMED, 1, 0},
    {"a blank before the colon", "X-A : 1\r\n\r\n", PPS_FIELD_LINES_MALFORMED,
     4, 0},
    {"a first line that begins with a blank", " 1\r\n\r\n",
     PPS_FIELD_LINES_MALFORMED, 1, 0},
    {"a carriage return in a value", "X-A: 1\r2\r\n\r\n",
     PPS_FIELD_LINES_MALFORMED, 8, 0},
    {"two carriage returns", "X-A: 1\r\n\r\r\n", PPS_FIELD_LINES_MALFORMED, 10,
     0},
    {"a control character in a value", "X-A: \x01\r\n\r\n",
     PPS_FIELD_LINES_MALFORMED, 6, 0},
    {"a deleted character in a value", "X-A: \x7f\r\n\r\n",
     PPS_FIELD_LINES_MALFORMED, 6, 0},
};

#define CASE_COUNT (sizeof(cases) / sizeof(*cases))

/** Reads a trailer that comes in two pieces. */
static pps_field_lines_state_t
skip_in_pieces(pps_field_lines_t *trailer, const char *text, size_t split,
               size_t *used)
{
    pps_field_lines_state_t state =
        pps_field_lines_read(trailer, text, split, used);
    size_t rest_used;

    if (state != PPS_FIELD_LINES_MORE) {
        return state;
    }
    cr_expect_eq(*used, split);
    state = pps_field_lines_read(trailer, text + split, strlen(text + split),
                                 &rest_used);
    *used += rest_used;
    return state;
}

/* Guards against a trailer that ends elsewhere than its empty line, wherever
 * the network cuts it: what follows is read as another message. */
Test(trailer, trailer_ends_at_another_byte)
{
    for (size_t i = 0; i < CASE_COUNT; i++) {
        const trailer_case_t *item = &cases[i];

        for (size_t split = 0; split <= strlen(item->text); split++) {
            pps_field_lines_t trailer = {0};
            size_t used;

            cr_expect_eq(skip_in_pieces(&trailer, item->text, split, &used),
                         item->state, "%s, %zu", item->name, split);
            cr_expect_eq(used, item->used, "%s, %zu: %zu", item->name, split,
                         used);
            if (item->state != PPS_FIELD_LINES_MALFORMED) {
                cr_expect_eq(trailer.field_bytes, item->field_bytes,
                             "%s, %zu: %zu", item->name, split,
                             trailer.field_bytes);
            }
        }
    }
}

/* A byte of the value 0 is none of a name or a value. */
Test(trailer, zero_byte_is_taken_for_text)
{
    static const char name[] = "X\0A: 1\r\n\r\n";
    static const char value[] = "XA: \0\r\n\r\n";
    pps_field_lines_t first = {0};
    pps_field_lines_t second = {0};
    size_t used;

    cr_expect_eq(pps_field_lines_read(&first, name, sizeof(name) - 1, &used),
                 PPS_FIELD_LINES_MALFORMED);
    cr_expect_eq(
        pps_field_lines_read(&second, value, sizeof(value) - 1, &used),
        PPS_FIELD_LINES_MALFORMED);
}
