/**
 * @file note.h
 * @brief Release notes: INI texts with which operators change the catalog.
 *
 * A note is a delta: each section names one object and the keys that change.
 * docs/operators/notes.md describes the grammar.
 */
#ifndef PAPAYASWITCH_NOTE_H
#define PAPAYASWITCH_NOTE_H

#include "papayaswitch/findings.h"

#include <stddef.h>
#include <stdint.h>

/** A parsed note. */
typedef struct pps_note pps_note_t;

/**
 * Parses a note and checks what does not depend on the catalog in force:
 * syntax, unknown keys, duplicates, ranges.
 *
 * @param out the note, also if there are findings; NULL on PPS_ENOMEM
 * @param file name used in findings
 * @return 0; PPS_EINVALID if a finding was added; PPS_ENOMEM
 */
int
pps_note_parse(pps_note_t **out, const char *text, size_t size,
               const char *file, pps_findings_t *findings);

/** Frees a note; NULL is allowed. */
void
pps_note_free(pps_note_t *note);

/** Returns the note's id, unique among notes, or "" if it has none. */
const char *
pps_note_id(const pps_note_t *note);

/** Returns the catalog revision that the note is based on. */
uint64_t
pps_note_base(const pps_note_t *note);

/**
 * Returns a 64-bit hash of the text. It distinguishes notes that share an id,
 * of which only the first in the log takes effect.
 */
uint64_t
pps_note_digest(const pps_note_t *note);

/** Returns the parsed text, NUL-terminated; `size` may be NULL. */
const char *
pps_note_text(const pps_note_t *note, size_t *size);

#endif
