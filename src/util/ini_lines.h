/**
 * @file ini_lines.h
 * @brief INI reader that reports the line of every section and key.
 */
#ifndef PPS_UTIL_INI_LINES_H
#define PPS_UTIL_INI_LINES_H

#include "papayaswitch/findings.h"

#include <stddef.h>

/** Callbacks of the reader; strings are valid only during the call. */
typedef struct {
    /** Called for a section header. */
    void (*section)(void *user, const char *section, int line);
    /** Called for a key and its value. */
    void (*key)(void *user, const char *section, const char *key,
                const char *value, int line);
} pps_ini_handler_t;

/**
 * Reads an INI text. Lines that are malformed, longer than 8000 characters or
 * contain control characters are added to `findings`; reading continues with
 * the next line. Section names that are empty or exceed 64 characters are
 * added too, and passed to the callback with at most 64 characters.
 *
 * @param file name used in findings
 * @return 0, also if there are findings; PPS_ENOMEM
 */
int
pps_ini_read(const char *text, size_t size, const char *file,
             const pps_ini_handler_t *handler, void *user,
             pps_findings_t *findings);

/**
 * Reads a file of up to 1 MiB into a NUL-terminated text, which the caller
 * frees.
 * @return 0, PPS_EIO, PPS_ELIMIT or PPS_ENOMEM
 */
int
pps_file_read(char **out, size_t *size, const char *path);

#endif
