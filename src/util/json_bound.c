/** @file json_bound.c @brief Replaces values that a JSON parser refuses. */
#include "json_bound.h"

#include "buf.h"

#include <ctype.h>
#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define NUMBER_BYTES_MAX 64
#define NOTHING "null"

typedef struct {
    const char *at;
    const char *end;
} text_t;

static int
is_number_part(char byte)
{
    return isdigit((unsigned char)byte) || strchr("+-.eE", byte) != NULL;
}

/* Moves behind a string, which begins at its quote. */
static void
skip_string(text_t *text)
{
    text->at++;
    while (text->at < text->end && *text->at != '"') {
        text->at += *text->at == '\\' && text->at + 1 < text->end ? 2 : 1;
    }
    text->at += text->at < text->end;
}

/* Moves behind an array or object, which begins at its bracket. */
static void
skip_container(text_t *text)
{
    size_t depth = 0;

    do {
        char byte = *text->at;

        if (byte == '"') {
            skip_string(text);
            continue;
        }
        depth += byte == '[' || byte == '{';
        depth -= byte == ']' || byte == '}';
        text->at++;
    } while (text->at < text->end && depth > 0);
}

/* Returns whether a number fits 64 bits; a number in an odd form is left to
 * the parser. */
static int
is_in_range(const char *begin, size_t size)
{
    char number[NUMBER_BYTES_MAX];

    if (size >= sizeof(number)) {
        return 0;
    }
    memcpy(number, begin, size);
    number[size] = '\0';
    errno = 0;
    if (strpbrk(number, ".eE") != NULL) {
        return isfinite(strtod(number, NULL));
    }
    (void)strtoll(number, NULL, 10);
    return errno != ERANGE;
}

static void
copy_number(pps_buf_t *out, text_t *text)
{
    const char *begin = text->at;
    size_t size;

    while (text->at < text->end && *text->at != '\0' &&
           is_number_part(*text->at)) {
        text->at++;
    }
    size = (size_t)(text->at - begin);
    if (is_in_range(begin, size)) {
        pps_buf_append(out, begin, size);
    }
    else {
        pps_buf_puts(out, NOTHING);
    }
}

static void
copy_string(pps_buf_t *out, text_t *text)
{
    const char *begin = text->at;

    skip_string(text);
    pps_buf_append(out, begin, (size_t)(text->at - begin));
}

static void
copy_bounded(pps_buf_t *out, text_t *text)
{
    size_t depth = 0;

    while (text->at < text->end) {
        char byte = *text->at;

        if (byte == '"') {
            copy_string(out, text);
        }
        else if (byte == '-' || isdigit((unsigned char)byte)) {
            copy_number(out, text);
        }
        else if ((byte == '[' || byte == '{') && depth == PPS_JSON_DEPTH_MAX) {
            skip_container(text);
            pps_buf_puts(out, NOTHING);
        }
        else {
            depth += byte == '[' || byte == '{';
            depth -= (byte == ']' || byte == '}') && depth > 0;
            pps_buf_append(out, text->at++, 1);
        }
    }
}

json_t *
pps_json_load_bounded(const char *text, size_t size)
{
    pps_buf_t bounded = PPS_BUF_INIT;
    text_t rest = {text, text + size};
    json_t *value = NULL;

    copy_bounded(&bounded, &rest);
    if (!bounded.failed) {
        value = json_loadb(pps_buf_text(&bounded), bounded.size, 0, NULL);
    }
    pps_buf_clear(&bounded);
    return value;
}
