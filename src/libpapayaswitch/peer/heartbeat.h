/**
 * @file heartbeat.h
 * @brief Encodes and decodes the payloads of pings and pongs.
 */
#ifndef PPS_PEER_HEARTBEAT_H
#define PPS_PEER_HEARTBEAT_H

#include "buf.h"
#include "papayaswitch/host.h"

/** Appends the payload of a ping sent at `sent_us`. @return 0 or PPS_ENOMEM */
int
pps_ping_encode(pps_buf_t *out, int64_t sent_us);

/** Decodes a ping. @return 0 or PPS_ECORRUPT */
int
pps_ping_decode(int64_t *sent_us, const void *data, size_t size);

/** Appends the payload of a pong. `echo_us` is the send time in the ping.
 * @return 0 or PPS_ENOMEM */
int
pps_pong_encode(pps_buf_t *out, int64_t echo_us,
                const pps_host_status_t *status);

/** Decodes a pong and ignores extra fields. @return 0 or PPS_ECORRUPT */
int
pps_pong_decode(int64_t *echo_us, pps_host_status_t *status, const void *data,
                size_t size);

#endif
