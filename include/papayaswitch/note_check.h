/**
 * @file note_check.h
 * @brief Checks the file of a note, alone or against what is in force.
 */
#ifndef PAPAYASWITCH_NOTE_CHECK_H
#define PAPAYASWITCH_NOTE_CHECK_H

#include "papayaswitch/catalog.h"

/**
 * Adds all findings of a note's file, sorted by line.
 *
 * @param in_force NULL: what depends on it (dangling references, required
 *        keys of new objects, conflicts) is not checked
 * @param next the catalog that the note would make; NULL when not wanted.
 *        Set to NULL when there are findings or no `in_force`
 * @return 0; PPS_EINVALID or PPS_ECONFLICT with findings; PPS_EIO,
 *         PPS_ELIMIT or PPS_ENOMEM without
 */
int
pps_note_check_file(const char *path, const pps_catalog_t *in_force,
                    pps_catalog_t **next, pps_findings_t *findings);

/** Loads a catalog from a file of JSON. */
int
pps_catalog_load(pps_catalog_t **out, const char *path);

#endif
