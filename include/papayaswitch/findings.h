/**
 * @file findings.h
 * @brief List of the faults found in an input, with file and line.
 */
#ifndef PAPAYASWITCH_FINDINGS_H
#define PAPAYASWITCH_FINDINGS_H

#include <stddef.h>
#include <stdio.h>

/** Fault in an input. */
typedef struct {
    char *file;    /**< name of the input */
    int line;      /**< line number from 1; 0 for the whole input */
    char *message; /**< description, one line */
} pps_finding_t;

/** Findings in the order in which they were added. */
typedef struct pps_findings pps_findings_t;

/** Creates an empty list, which the caller frees. @return 0 or PPS_ENOMEM */
int
pps_findings_new(pps_findings_t **out);

/** Frees a list; NULL is allowed. */
void
pps_findings_free(pps_findings_t *findings);

/** Adds a finding and copies `file`; if out of memory, only counts it. */
void
pps_findings_add(pps_findings_t *findings, const char *file, int line,
                 const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/** Returns the number of findings, including dropped ones. */
size_t
pps_findings_count(const pps_findings_t *findings);

/** Returns the finding at `index`, or NULL. */
const pps_finding_t *
pps_findings_at(const pps_findings_t *findings, size_t index);

/** Sorts by file, then line; the sort is stable. */
void
pps_findings_sort(pps_findings_t *findings);

/** Writes `FILE:LINE: message` lines, then the count of any dropped ones. */
void
pps_findings_print(const pps_findings_t *findings, FILE *stream);

#endif
