/** @file gossip_versions.h @brief Kinds of datagram on the wire. */
#ifndef PPS_GOSSIP_GOSSIP_VERSIONS_H
#define PPS_GOSSIP_GOSSIP_VERSIONS_H

#include <stddef.h>

/** First element of a datagram; differs between the kinds. */
#define PPS_GOSSIP_STATE_VERSION 4
#define PPS_GOSSIP_NOTICE_VERSION 2
#define PPS_GOSSIP_RECORD_VERSION 3
#define PPS_GOSSIP_LEAVING_VERSION 5
#define PPS_GOSSIP_LIMIT_VERSION 6
#define PPS_GOSSIP_POISON_VERSION 7
#define PPS_GOSSIP_BRITTLE_VERSION 8
#define PPS_GOSSIP_FORWARD_VERSION 20
#define PPS_GOSSIP_RECORD_REQUEST_VERSION 21
#define PPS_GOSSIP_MARK_VERSION 22
#define PPS_GOSSIP_DIGEST_VERSION 23
#define PPS_GOSSIP_BEACON_VERSION 24
#define PPS_GOSSIP_STATE_REQUEST_VERSION 25
#define PPS_GOSSIP_ROLLOUTS_VERSION 26
#define PPS_GOSSIP_ENDED_COUNTS_VERSION 27

/** Writes packed bytes to a pps_buf_t, as msgpack_packer_init() expects. */
int
pps_gossip_append(void *user, const char *data, size_t size);

#endif
