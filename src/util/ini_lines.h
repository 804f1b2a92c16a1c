/**
 * @file ini_lines.h
 * @brief INI reading that names the line of every section and key.
 */
#ifndef PPS_UTIL_INI_LINES_H
#define PPS_UTIL_INI_LINES_H

#include "papayaswitch/findings.h"

#include <stddef.h>

/** What the reader hands over; all strings are valid for the call only. */
typedef struct {
    /** A section header was met. */
    void (*section)(void *user, const char *section, int line);
    /** A key with its value was met. */
    void (*key)(void *user, const char *section, const char *key,
                const char *value, int line);
} pps_ini_handler_t;

/**
 * Reads an INI text. Lines that are no INI, are too long or hold control
 * characters become findings; reading goes on behind them.
 *
 * @param file name used in findings
 * @return 0, also with findings; PPS_ENOMEM
 */
int
pps_ini_read(const char *text, size_t size, const char *file,
             const pps_ini_handler_t *handler, void *user,
             pps_findings_t *findings);

/** Reads a whole file into a zero-ended text that the caller frees. */
int
pps_file_read(char **out, size_t *size, const char *path);

#endif
