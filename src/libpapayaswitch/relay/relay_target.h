/**
 * @file relay_target.h
 * @brief The path of a call to a neighbour, which names a worker and what of
 * the neighbour's share of it the call takes. See relay_wire.h.
 */
#ifndef PPS_RELAY_RELAY_TARGET_H
#define PPS_RELAY_RELAY_TARGET_H

#include "buf.h"

#include <stdint.h>

/** What a call asks for. */
typedef struct {
    uint64_t worker;    /**< digest of its id */
    unsigned int slots; /**< of the neighbour's share; 0: it takes none */
} pps_relay_target_t;

/** Appends the path. A failure is kept in the buffer. */
void
pps_relay_target_write(pps_buf_t *out, const pps_relay_target_t *target);

/** Reads a path. @return 0, or PPS_EINVALID if it is malformed */
int
pps_relay_target_parse(pps_relay_target_t *out, const char *text);

#endif
