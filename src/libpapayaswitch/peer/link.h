/**
 * @file link.h
 * @brief Authenticated connection to another host, on an event loop.
 */
#ifndef PPS_PEER_LINK_H
#define PPS_PEER_LINK_H

#include "peer/frame.h"
#include "peer/handshake.h"

#include <stdint.h>
#include <urcu/list.h>
#include <uv.h>

/** Frame kinds reserved for links and heartbeats. */
#define PPS_FRAME_HELLO 0
#define PPS_FRAME_CONFIRM 1
#define PPS_FRAME_PING 2
#define PPS_FRAME_PONG 3

typedef struct pps_peer_link pps_peer_link_t;

/** Callbacks of a link to its owner. */
typedef struct {
    /** The handshake is complete; `link->remote` identifies the host. */
    void (*ready)(pps_peer_link_t *link, void *user);
    /** A frame arrived. Its payload is valid during the call. */
    void (*frame)(pps_peer_link_t *link, const pps_frame_t *frame, void *user);
    /** The connection is closed. Called once; the link is freed afterwards. */
    void (*closed)(pps_peer_link_t *link, void *user);
} pps_peer_link_ops_t;

/** Settings shared by all links; must outlive them. */
typedef struct {
    uv_loop_t *loop;
    unsigned char key[PPS_FRAME_KEY_BYTES];
    char own_id[PPS_HOST_ID_MAX + 1];
    uint64_t incarnation;
    size_t queue_max_bytes;
} pps_peer_link_config_t;

typedef enum {
    PPS_LINK_HELLO,   /**< waiting for the other side's hello */
    PPS_LINK_CONFIRM, /**< waiting for its confirm frame */
    PPS_LINK_READY,
    PPS_LINK_CLOSING,
} pps_peer_link_state_t;

/** A connection and its handshake state. */
struct pps_peer_link {
    struct cds_list_head node; /**< entry in the owner's list */
    uv_tcp_t tcp;
    uv_connect_t connect;
    const pps_peer_link_config_t *config;
    const pps_peer_link_ops_t *ops;
    void *user;
    pps_peer_link_state_t state;
    int initiator;                         /**< whether this host dialed */
    char expected_id[PPS_HOST_ID_MAX + 1]; /**< "" for inbound links */
    pps_peer_hello_t own;
    pps_peer_hello_t remote;
    unsigned char send_key[PPS_FRAME_KEY_BYTES];
    uint64_t next_sequence;
    size_t queued_bytes; /**< bytes of frames that are not written yet */
    pps_frame_decoder_t decoder;
    int64_t opened_us;   /**< time of pps_peer_link_new() */
    int64_t received_us; /**< arrival of the last complete frame */
};

/** Creates an unconnected link. @return 0 or PPS_ENOMEM */
int
pps_peer_link_new(pps_peer_link_t **out, const pps_peer_link_config_t *config,
                  const pps_peer_link_ops_t *ops, void *user);

/** Connects to a host. A failure closes the link. */
void
pps_peer_link_connect(pps_peer_link_t *link, const pps_host_t *host);

/** Accepts a connection from a listening socket. A failure closes the link. */
void
pps_peer_link_accept(pps_peer_link_t *link, uv_stream_t *server);

/**
 * Sends a frame.
 * @return 0; PPS_ECLOSED on a closing link or a failed write; PPS_ELIMIT
 *         above PPS_FRAME_PAYLOAD_MAX or on a full send queue; PPS_ENOMEM.
 *         A full queue and a failed write close the link.
 */
int
pps_peer_link_send(pps_peer_link_t *link, uint32_t kind, const void *payload,
                   size_t size);

/** Closes the link, if it is not closing; the loop calls `closed` later. */
void
pps_peer_link_close(pps_peer_link_t *link);

#endif
