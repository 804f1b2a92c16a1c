/**
 * @file config_state.h
 * @brief The folded state, as msgpack and back.
 */
#ifndef PPS_FOLD_CONFIG_STATE_H
#define PPS_FOLD_CONFIG_STATE_H

#include "fold/verdict_log.h"

#include <msgpack.h>

/** What the records of the config stream come to. */
typedef struct {
    pps_catalog_t *catalog;
    pps_verdict_log_t verdicts;
} pps_config_state_t;

/** Starts with the empty catalog and no verdict. */
int
pps_config_state_init(pps_config_state_t *state);

/** Frees what the state holds. */
void
pps_config_state_clear(pps_config_state_t *state);

/** Encodes; equal states have equal bytes. The caller destroys `out`. */
int
pps_config_state_encode(msgpack_sbuffer *out, const pps_config_state_t *state);

/** Digest of the encoded state. */
int
pps_config_state_digest(uint64_t *out, const pps_config_state_t *state);

/** Decodes. @return 0; PPS_ECORRUPT, also for bytes that another encoder
 * made; PPS_ENOMEM */
int
pps_config_state_decode(pps_config_state_t *out, const void *data,
                        size_t size);

#endif
