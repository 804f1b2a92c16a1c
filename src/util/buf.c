/** @file buf.c @brief Implements the growing byte buffer. */
#include "buf.h"

#include "papayaswitch/errors.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 64
/** Larger buffers grow by a part of their size only, so that little of a large
 * one is unused. */
#define DOUBLED_BYTES_MAX (64U << 10)
#define GROWTH_DIVISOR_OF_LARGE 4

static int
reserve(pps_buf_t *buf, size_t extra)
{
    size_t wanted = buf->size + extra + 1;
    size_t capacity = buf->capacity ? buf->capacity : INITIAL_CAPACITY;
    char *data;

    if (buf->failed) {
        return PPS_ENOMEM;
    }
    if (wanted <= buf->capacity) {
        return PPS_OK;
    }
    while (capacity < wanted) {
        capacity += capacity < DOUBLED_BYTES_MAX
                        ? capacity
                        : capacity / GROWTH_DIVISOR_OF_LARGE;
    }
    data = realloc(buf->data, capacity);
    if (data == NULL) {
        buf->failed = 1;
        return pps_error_set(PPS_ENOMEM, "buffer: out of memory");
    }
    buf->data = data;
    buf->capacity = capacity;
    return PPS_OK;
}

int
pps_buf_append(pps_buf_t *buf, const void *data, size_t size)
{
    int error = reserve(buf, size);

    if (error < 0) {
        return error;
    }
    if (size > 0) {
        memcpy(buf->data + buf->size, data, size);
    }
    buf->size += size;
    buf->data[buf->size] = '\0';
    return PPS_OK;
}

int
pps_buf_puts(pps_buf_t *buf, const char *text)
{
    return pps_buf_append(buf, text, strlen(text));
}

int
pps_buf_printf(pps_buf_t *buf, const char *format, ...)
{
    va_list args;
    char *text = NULL;
    int length;
    int error;

    va_start(args, format);
    length = vasprintf(&text, format, args);
    va_end(args);
    if (length < 0) {
        buf->failed = 1;
        return pps_error_set(PPS_ENOMEM, "buffer: out of memory");
    }
    error = pps_buf_append(buf, text, (size_t)length);
    free(text);
    return error;
}

void
pps_buf_consume(pps_buf_t *buf, size_t size)
{
    if (size >= buf->size) {
        buf->size = 0;
    }
    else {
        memmove(buf->data, buf->data + size, buf->size - size);
        buf->size -= size;
    }
    if (buf->data != NULL) {
        buf->data[buf->size] = '\0';
    }
}

void
pps_buf_clear(pps_buf_t *buf)
{
    free(buf->data);
    *buf = (pps_buf_t)PPS_BUF_INIT;
}

char *
pps_buf_detach(pps_buf_t *buf)
{
    char *data = buf->data;

    buf->data = NULL;
    pps_buf_clear(buf);
    return data;
}

const char *
pps_buf_text(const pps_buf_t *buf)
{
    return buf->data ? buf->data : "";
}
