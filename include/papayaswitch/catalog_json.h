/**
 * @file catalog_json.h
 * @brief Catalog as JSON, as the daemon serves it and `note check` reads it.
 *
 * `{"revision": N, "upstreams": {NAME: {...}}, "versions": {...},
 * "workspaces": {...}}`; each object holds `revision`, `note` and the keys of
 * its section.
 */
#ifndef PAPAYASWITCH_CATALOG_JSON_H
#define PAPAYASWITCH_CATALOG_JSON_H

#include "papayaswitch/catalog.h"

#include <jansson.h>

/** Writes a catalog. The caller gives `*out` back with json_decref(). */
int
pps_catalog_to_json(json_t **out, const pps_catalog_t *catalog);

/**
 * Reads what pps_catalog_to_json() wrote; members it does not know are left
 * out. @return 0; PPS_EINVALID; PPS_ENOMEM
 */
int
pps_catalog_from_json(pps_catalog_t **out, const json_t *json);

#endif
