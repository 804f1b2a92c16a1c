/**
 * @file catalog_json.h
 * @brief JSON form of a catalog, served by the daemon, read by `note check`.
 *
 * `{"revision": N, "upstreams": {NAME: {...}}, "versions": {...},
 * "workspaces": {...}}`; each object has the members `revision`, `note` and
 * the keys of its section.
 */
#ifndef PAPAYASWITCH_CATALOG_JSON_H
#define PAPAYASWITCH_CATALOG_JSON_H

#include "papayaswitch/catalog.h"

#include <jansson.h>

/** Creates JSON, released with json_decref(). @return 0 or PPS_ENOMEM */
int
pps_catalog_to_json(json_t **out, const pps_catalog_t *catalog);

/**
 * Creates a catalog from the output of pps_catalog_to_json(); ignores unknown
 * members. @return 0; PPS_EINVALID; PPS_ENOMEM
 */
int
pps_catalog_from_json(pps_catalog_t **out, const json_t *json);

#endif
