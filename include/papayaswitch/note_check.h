/**
 * @file note_check.h
 * @brief Checks a note file, alone or against the catalog in force.
 */
#ifndef PAPAYASWITCH_NOTE_CHECK_H
#define PAPAYASWITCH_NOTE_CHECK_H

#include "papayaswitch/catalog.h"

/**
 * Checks a note file and sorts the findings by line.
 *
 * @param in_force catalog in force; NULL skips the checks that depend on it
 *        (dangling references, required keys of new objects, conflicts)
 * @param next receives the catalog that the note would create, which the
 *        caller frees; NULL on error or without `in_force`. May be NULL
 * @return 0; PPS_EINVALID or PPS_ECONFLICT with findings; PPS_EIO,
 *         PPS_ELIMIT or PPS_ENOMEM without
 */
int
pps_note_check_file(const char *path, const pps_catalog_t *in_force,
                    pps_catalog_t **next, pps_findings_t *findings);

/** Loads a catalog from a JSON file. @return as pps_catalog_from_json() */
int
pps_catalog_load(pps_catalog_t **out, const char *path);

#endif
