/**
 * @file config_checkpoint.h
 * @brief Envelope of a checkpoint: the offset it stands for and the state.
 */
#ifndef PPS_FOLD_CONFIG_CHECKPOINT_H
#define PPS_FOLD_CONFIG_CHECKPOINT_H

#include <msgpack.h>

/** An opened checkpoint; `state` points into `unpacked`. */
typedef struct {
    msgpack_unpacked unpacked;
    uint64_t next; /**< offset of the first record that is not in it */
    const void *state;
    size_t size;
} pps_config_checkpoint_t;

/** Packs an encoded state. The caller frees `*out` with free(). */
int
pps_config_checkpoint_pack(void **out, size_t *out_size, uint64_t next,
                           const void *state, size_t size);

/** Opens a checkpoint. @return 0, then close it; or PPS_ECORRUPT */
int
pps_config_checkpoint_open(pps_config_checkpoint_t *out, const void *payload,
                           size_t size);

/** Frees what an opened checkpoint holds. */
void
pps_config_checkpoint_close(pps_config_checkpoint_t *checkpoint);

#endif
