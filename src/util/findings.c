/** @file findings.c @brief Implements the list of findings. */
#include "papayaswitch/findings.h"

#include "papayaswitch/errors.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

struct pps_findings {
    pps_finding_t *items;
    size_t count;
    size_t capacity;
    size_t dropped;
};

int
pps_findings_new(pps_findings_t **out)
{
    *out = calloc(1, sizeof(**out));
    if (*out == NULL) {
        return pps_error_set(PPS_ENOMEM, "findings: out of memory");
    }
    return PPS_OK;
}

void
pps_findings_free(pps_findings_t *findings)
{
    if (findings == NULL) {
        return;
    }
    for (size_t i = 0; i < findings->count; i++) {
        free(findings->items[i].file);
        free(findings->items[i].message);
    }
    free(findings->items);
    free(findings);
}

static int
reserve_one(pps_findings_t *findings)
{
    size_t capacity = findings->capacity ? findings->capacity * 2 : 8;
    pps_finding_t *items;

    if (findings->count < findings->capacity) {
        return PPS_OK;
    }
    items = realloc(findings->items, capacity * sizeof(*items));
    if (items == NULL) {
        return PPS_ENOMEM;
    }
    findings->items = items;
    findings->capacity = capacity;
    return PPS_OK;
}

void
pps_findings_add(pps_findings_t *findings, const char *file, int line,
                 const char *format, ...)
{
    pps_finding_t finding = {.line = line};
    va_list args;
    int length;

    va_start(args, format);
    length = vasprintf(&finding.message, format, args);
    va_end(args);
    finding.file = strdup(file);
    if (length < 0 || finding.file == NULL || reserve_one(findings) < 0) {
        if (length >= 0) {
            free(finding.message);
        }
        free(finding.file);
        findings->dropped++;
        return;
    }
    findings->items[findings->count++] = finding;
}

size_t
pps_findings_count(const pps_findings_t *findings)
{
    return findings->count + findings->dropped;
}

const pps_finding_t *
pps_findings_at(const pps_findings_t *findings, size_t index)
{
    return index < findings->count ? &findings->items[index] : NULL;
}

static int
compare_location(const pps_finding_t *a, const pps_finding_t *b)
{
    int order = strcmp(a->file, b->file);

    return order != 0 ? order : a->line - b->line;
}

void
pps_findings_sort(pps_findings_t *findings)
{
    for (size_t i = 1; i < findings->count; i++) {
        pps_finding_t item = findings->items[i];
        size_t at = i;

        while (at > 0 &&
               compare_location(&findings->items[at - 1], &item) > 0) {
            findings->items[at] = findings->items[at - 1];
            at--;
        }
        findings->items[at] = item;
    }
}

void
pps_findings_print(const pps_findings_t *findings, FILE *stream)
{
    for (size_t i = 0; i < findings->count; i++) {
        const pps_finding_t *finding = &findings->items[i];

        fprintf(stream, "%s:%d: %s\n", finding->file, finding->line,
                finding->message);
    }
    if (findings->dropped > 0) {
        fprintf(stream, "(%zu more findings dropped: out of memory)\n",
                findings->dropped);
    }
}
