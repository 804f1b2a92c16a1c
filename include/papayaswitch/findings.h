/**
 * @file findings.h
 * @brief Findings about an input, collected with their place.
 */
#ifndef PAPAYASWITCH_FINDINGS_H
#define PAPAYASWITCH_FINDINGS_H

#include <stddef.h>
#include <stdio.h>

/** One finding. */
typedef struct {
    char *file;    /**< name of the input */
    int line;      /**< line counted from 1; 0 when it concerns the whole */
    char *message; /**< what is wrong, one line */
} pps_finding_t;

/** A list of findings in the order in which they were added. */
typedef struct pps_findings pps_findings_t;

/** Makes an empty list. The caller frees it with pps_findings_free(). */
int
pps_findings_new(pps_findings_t **out);

/** Frees a list; NULL is allowed. */
void
pps_findings_free(pps_findings_t *findings);

/** Adds a finding; `file` is copied. Out of memory is counted, not lost. */
void
pps_findings_add(pps_findings_t *findings, const char *file, int line,
                 const char *format, ...)
    __attribute__((format(printf, 4, 5)));

/** Number of findings, those lost to memory included. */
size_t
pps_findings_count(const pps_findings_t *findings);

/** The finding at `index`, or NULL. */
const pps_finding_t *
pps_findings_at(const pps_findings_t *findings, size_t index);

/** Sorts by file, then line, keeping the order of equals. */
void
pps_findings_sort(pps_findings_t *findings);

/** Writes one line `FILE:LINE: message` per finding. */
void
pps_findings_print(const pps_findings_t *findings, FILE *stream);

#endif
