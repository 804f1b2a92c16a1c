/**
 * @file catalog_codec.h
 * @brief Catalog as msgpack, one encoding a catalog.
 */
#ifndef PPS_CATALOG_CODEC_H
#define PPS_CATALOG_CODEC_H

#include "papayaswitch/catalog.h"

#include <msgpack.h>

/** Largest encoded catalog; it leaves room for verdicts in a checkpoint. */
#define PPS_CATALOG_BYTES_MAX (512 * 1024)

/** Writes a sealed catalog. @return 0 or PPS_ENOMEM */
int
pps_catalog_encode(msgpack_packer *packer, const pps_catalog_t *catalog);

/** Bytes that a catalog takes; it need not be sealed. */
int
pps_catalog_encoded_size(size_t *out, const pps_catalog_t *catalog);

/** Reads a catalog. @return 0; PPS_ECORRUPT; PPS_ENOMEM */
int
pps_catalog_decode(pps_catalog_t **out, const msgpack_object *data);

#endif
