/**
 * @file catalog_codec.h
 * @brief Canonical msgpack encoding of a catalog, for checkpoints.
 */
#ifndef PPS_CATALOG_CODEC_H
#define PPS_CATALOG_CODEC_H

#include "papayaswitch/catalog.h"

#include <msgpack.h>

/** Maximum encoded size in bytes; leaves a checkpoint space for verdicts. */
#define PPS_CATALOG_BYTES_MAX (512 * 1024)

/** Encodes a sealed catalog. @return 0 or PPS_ENOMEM */
int
pps_catalog_encode(msgpack_packer *packer, const pps_catalog_t *catalog);

/** Computes the encoded size in bytes; the catalog need not be sealed. */
int
pps_catalog_encoded_size(size_t *out, const pps_catalog_t *catalog);

/** Decodes and seals a catalog. @return 0; PPS_ECORRUPT; PPS_ENOMEM */
int
pps_catalog_decode(pps_catalog_t **out, const msgpack_object *data);

#endif
