/**
 * @file buf.h
 * @brief A growing byte buffer; always followed by a zero byte.
 */
#ifndef PPS_UTIL_BUF_H
#define PPS_UTIL_BUF_H

#include <stddef.h>

/** A growing byte buffer. Zero-initialise it; free with pps_buf_clear(). */
typedef struct {
    char *data;
    size_t size;
    size_t capacity;
    int failed; /**< set once memory ran out; later calls do nothing */
} pps_buf_t;

#define PPS_BUF_INIT                                                          \
    {                                                                         \
        NULL, 0, 0, 0                                                         \
    }

/** Appends bytes. @return 0 or PPS_ENOMEM. */
int
pps_buf_append(pps_buf_t *buf, const void *data, size_t size);

/** Appends a string. @return 0 or PPS_ENOMEM. */
int
pps_buf_puts(pps_buf_t *buf, const char *text);

/** Appends formatted text. @return 0 or PPS_ENOMEM. */
int
pps_buf_printf(pps_buf_t *buf, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Removes `size` bytes from the front. */
void
pps_buf_consume(pps_buf_t *buf, size_t size);

/** Frees the memory and leaves an empty buffer. */
void
pps_buf_clear(pps_buf_t *buf);

/** Hands the memory to the caller (free()) and leaves an empty buffer. */
char *
pps_buf_detach(pps_buf_t *buf);

/** The text, or "" when the buffer is empty. */
const char *
pps_buf_text(const pps_buf_t *buf);

#endif
