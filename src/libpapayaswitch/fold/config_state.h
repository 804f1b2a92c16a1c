/**
 * @file config_state.h
 * @brief Encodes the state of the config fold as msgpack and decodes it.
 */
#ifndef PPS_FOLD_CONFIG_STATE_H
#define PPS_FOLD_CONFIG_STATE_H

#include "fold/verdict_log.h"

#include <msgpack.h>

/** State folded from the records of the config stream. */
typedef struct {
    pps_catalog_t *catalog;
    pps_verdict_log_t verdicts;
} pps_config_state_t;

/** Initialises a state with an empty catalog and no verdicts. */
int
pps_config_state_init(pps_config_state_t *state);

/** Frees the contents of the state. */
void
pps_config_state_clear(pps_config_state_t *state);

/** Encodes equal states to equal bytes. The caller destroys `out`. */
int
pps_config_state_encode(msgpack_sbuffer *out, const pps_config_state_t *state);

/** Computes the digest of the encoded state. @return 0 or PPS_ENOMEM */
int
pps_config_state_digest(uint64_t *out, const pps_config_state_t *state);

/** Decodes a state. @return 0; PPS_ECORRUPT, also if encoding the result
 * yields other bytes; PPS_ENOMEM */
int
pps_config_state_decode(pps_config_state_t *out, const void *data,
                        size_t size);

#endif
