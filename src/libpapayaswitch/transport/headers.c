/** @file headers.c @brief Keeps header fields in one buffer with offsets. */
#include "headers.h"

#include "papayaswitch/errors.h"

#include <ctype.h>
#include <string.h>
#include <strings.h>

#define NUMBER_DIGITS_MAX 15

/* Blanks behind a value do not belong to it. */
static void
trim_value(pps_headers_t *headers)
{
    size_t begin = headers->offsets[headers->count - 1].value;
    const char *text = headers->text.data;

    while (headers->text.size > begin &&
           isblank((unsigned char)text[headers->text.size - 1])) {
        headers->text.size--;
    }
}

static void
end_value(pps_headers_t *headers)
{
    if (headers->in_value) {
        trim_value(headers);
        pps_buf_append(&headers->text, "", 1);
        headers->in_value = 0;
    }
}

void
pps_headers_append_name(pps_headers_t *headers, const char *data, size_t size)
{
    int starts_field = headers->in_value || headers->text.size == 0;

    end_value(headers);
    if (starts_field) {
        if (headers->count == PPS_HEADERS_MAX) {
            headers->overflow = 1;
            headers->count--;
        }
        headers->offsets[headers->count].name = (uint32_t)headers->text.size;
        headers->offsets[headers->count].value = 0;
        headers->count++;
    }
    pps_buf_append(&headers->text, data, size);
}

void
pps_headers_append_value(pps_headers_t *headers, const char *data, size_t size)
{
    if (headers->count == 0) {
        return;
    }
    if (!headers->in_value) {
        pps_buf_append(&headers->text, "", 1);
        headers->offsets[headers->count - 1].value =
            (uint32_t)headers->text.size;
        headers->in_value = 1;
    }
    pps_buf_append(&headers->text, data, size);
}

void
pps_headers_end(pps_headers_t *headers)
{
    end_value(headers);
}

void
pps_headers_reset(pps_headers_t *headers)
{
    headers->text.size = 0;
    headers->count = 0;
    headers->in_value = 0;
    headers->overflow = 0;
}

void
pps_headers_clear(pps_headers_t *headers)
{
    pps_buf_clear(&headers->text);
    pps_headers_reset(headers);
}

const char *
pps_headers_name_at(const pps_headers_t *headers, unsigned int index)
{
    return headers->text.data + headers->offsets[index].name;
}

const char *
pps_headers_value_at(const pps_headers_t *headers, unsigned int index)
{
    return headers->text.data + headers->offsets[index].value;
}

const char *
pps_headers_get(const pps_headers_t *headers, const char *name)
{
    for (unsigned int i = 0; i < headers->count; i++) {
        if (strcasecmp(pps_headers_name_at(headers, i), name) == 0) {
            return pps_headers_value_at(headers, i);
        }
    }
    return NULL;
}

unsigned int
pps_headers_count(const pps_headers_t *headers, const char *name)
{
    unsigned int count = 0;

    for (unsigned int i = 0; i < headers->count; i++) {
        count += strcasecmp(pps_headers_name_at(headers, i), name) == 0;
    }
    return count;
}

int
pps_headers_get_number(int64_t *out, const pps_headers_t *headers,
                       const char *name)
{
    const char *text = pps_headers_get(headers, name);
    size_t length;
    int64_t value = 0;

    if (text == NULL) {
        return PPS_ENOTFOUND;
    }
    length = strlen(text);
    if (length == 0 || length > NUMBER_DIGITS_MAX ||
        strspn(text, "0123456789") != length) {
        return PPS_EINVALID;
    }
    for (; *text != '\0'; text++) {
        value = value * 10 + (*text - '0');
    }
    *out = value;
    return PPS_OK;
}
