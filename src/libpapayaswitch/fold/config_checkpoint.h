/**
 * @file config_checkpoint.h
 * @brief Packs and opens checkpoints of the config stream for its fold.
 *
 * A checkpoint is a msgpack array: format number, offset, state, and XXH64 of
 * the state seeded with the offset.
 */
#ifndef PPS_FOLD_CONFIG_CHECKPOINT_H
#define PPS_FOLD_CONFIG_CHECKPOINT_H

#include <msgpack.h>

/** An opened checkpoint. */
typedef struct {
    msgpack_unpacked unpacked;
    uint64_t next_offset; /**< first offset not folded into `state` */
    const void *state;    /**< encoded state, part of `unpacked` */
    size_t size;          /**< bytes of `state` */
} pps_config_checkpoint_t;

/** Packs an encoded state. The caller frees `*out` with free(). */
int
pps_config_checkpoint_pack(void **out, size_t *out_size, uint64_t next_offset,
                           const void *state, size_t size);

/** Opens a checkpoint, which the caller closes. @return 0 or PPS_ECORRUPT */
int
pps_config_checkpoint_open(pps_config_checkpoint_t *out, const void *payload,
                           size_t size);

/** Frees the contents of an opened checkpoint. */
void
pps_config_checkpoint_close(pps_config_checkpoint_t *checkpoint);

#endif
