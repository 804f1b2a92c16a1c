/**
 * @file buf.h
 * @brief Byte buffer that grows as needed and ends in a NUL byte.
 */
#ifndef PPS_UTIL_BUF_H
#define PPS_UTIL_BUF_H

#include <stddef.h>

/** Byte buffer, initially zeros (PPS_BUF_INIT); free with pps_buf_clear(). */
typedef struct {
    char *data;
    size_t size;
    size_t capacity;
    int failed; /**< set after an allocation failure; later appends fail */
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

/** Removes `size` bytes, or all if there are fewer, from the front. */
void
pps_buf_consume(pps_buf_t *buf, size_t size);

/** Frees the memory and resets the buffer. */
void
pps_buf_clear(pps_buf_t *buf);

/** Empties the buffer and returns its memory or NULL; the caller frees it. */
char *
pps_buf_detach(pps_buf_t *buf);

/** Returns the contents as a string; "" for an empty buffer. */
const char *
pps_buf_text(const pps_buf_t *buf);

#endif
