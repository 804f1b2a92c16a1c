/** @file fuzz_note.c @brief Fuzzes the parsing and applying of notes. */
#include "papayaswitch/catalog.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

#define HASH "0101010101010101010101010101010101010101010101010101010101010101"

static const char seed[] =
    "[note]\nid = seed\nbase = 0\n[upstream p]\nkind = engine\n"
    "[upstream s]\nkind = service\n"
    "[version m/1]\nupstream = p\ncost = 1\nquality = 0.5\n"
    "[workspace w]\nkey_hash = " HASH "\nallow = m/1\nservices = s\n";

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Applies a note, which must fail if and only if there are findings. */
static pps_catalog_t *
apply(const pps_catalog_t *base, const char *text, size_t size)
{
    pps_findings_t *findings;
    pps_catalog_t *next = NULL;
    pps_note_t *note;
    int error;

    if (pps_findings_new(&findings) < 0) {
        abort();
    }
    pps_note_parse(&note, text, size, "f", findings);
    error = pps_catalog_apply(&next, base, note, "f", findings);
    if ((error == PPS_OK) != (pps_findings_count(findings) == 0)) {
        abort();
    }
    if (next != NULL &&
        pps_catalog_revision(next) != pps_catalog_revision(base) + 1) {
        abort();
    }
    pps_note_free(note);
    pps_findings_free(findings);
    return next;
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    pps_catalog_t *empty;
    pps_catalog_t *base;
    pps_catalog_t *next;

    if (pps_catalog_new(&empty) < 0) {
        abort();
    }
    base = apply(empty, seed, strlen(seed));
    next = apply(base, (const char *)data, size);
    /* A second application of the same note must be rejected. */
    if (next != NULL && apply(next, (const char *)data, size) != NULL) {
        abort();
    }
    pps_catalog_free(next);
    pps_catalog_free(base);
    pps_catalog_free(empty);
    return 0;
}
