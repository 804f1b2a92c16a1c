/**
 * @file note.h
 * @brief Release notes: the INI texts by which operators drive the system.
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
 * Parses a note and checks all that can be checked without knowing what is
 * in force: syntax, unknown keys, duplicates, ranges.
 *
 * @param out the note, also when there are findings; NULL on PPS_ENOMEM
 * @param file name used in findings
 * @return 0; PPS_EINVALID when a finding was added; PPS_ENOMEM
 */
int
pps_note_parse(pps_note_t **out, const char *text, size_t size,
               const char *file, pps_findings_t *findings);

/** Frees a note; NULL is allowed. */
void
pps_note_free(pps_note_t *note);

/** The note's id, unique among notes; "" when it has none. */
const char *
pps_note_id(const pps_note_t *note);

/** The revision that the note was written against. */
uint64_t
pps_note_base(const pps_note_t *note);

/**
 * Digest of the text. Two notes with one id but unlike digests are two notes
 * of which only the first in the log counts.
 */
uint64_t
pps_note_digest(const pps_note_t *note);

/** The text as it was parsed, zero-ended. */
const char *
pps_note_text(const pps_note_t *note, size_t *size);

#endif
