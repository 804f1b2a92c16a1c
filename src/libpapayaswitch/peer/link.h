/**
 * @file link.h
 * @brief One authenticated connection to a host, on an event loop.
 */
#ifndef PPS_PEER_LINK_H
#define PPS_PEER_LINK_H

#include "peer/frame.h"
#include "peer/handshake.h"

#include <stdint.h>
#include <urcu/list.h>
#include <uv.h>

/** Kinds of frame that links and heartbeats use themselves. */
#define PPS_FRAME_HELLO 0
#define PPS_FRAME_CONFIRM 1
#define PPS_FRAME_PING 2
#define PPS_FRAME_PONG 3

typedef struct pps_peer_link pps_peer_link_t;

/** What a link tells its owner. */
typedef struct {
    /** The other side has proved the key; `link->remote` names it. */
    void (*ready)(pps_peer_link_t *link, void *user);
    void (*frame)(pps_peer_link_t *link, const pps_frame_t *frame, void *user);
    /** The link is gone and is freed when this returns. Called once. */
    void (*closed)(pps_peer_link_t *link, void *user);
} pps_peer_link_ops_t;

/** What all links of a host share; outlives them. */
typedef struct {
    uv_loop_t *loop;
    unsigned char key[PPS_FRAME_KEY_BYTES];
    char own_id[PPS_HOST_ID_MAX + 1];
    uint64_t incarnation;
    size_t queue_max_bytes;
} pps_peer_link_config_t;

typedef enum {
    PPS_LINK_HELLO,   /**< waits for the other side's hello */
    PPS_LINK_CONFIRM, /**< waits for its proof of the session key */
    PPS_LINK_READY,
    PPS_LINK_CLOSING,
} pps_peer_link_state_t;

/** A connection. */
struct pps_peer_link {
    struct cds_list_head node; /**< for the owner */
    uv_tcp_t tcp;
    uv_connect_t connect;
    const pps_peer_link_config_t *config;
    const pps_peer_link_ops_t *ops;
    void *user;
    pps_peer_link_state_t state;
    int initiator;
    char expected_id[PPS_HOST_ID_MAX + 1]; /**< "" when it dialled us */
    pps_peer_hello_t own;
    pps_peer_hello_t remote;
    unsigned char send_key[PPS_FRAME_KEY_BYTES];
    uint64_t next_sequence;
    size_t queued_bytes;
    pps_frame_decoder_t decoder;
    int64_t opened_us;
    int64_t received_us; /**< arrival of the last whole frame */
};

/** Makes a link without a connection. */
int
pps_peer_link_new(pps_peer_link_t **out, const pps_peer_link_config_t *config,
                  const pps_peer_link_ops_t *ops, void *user);

/** Dials; failures are told by `closed`. */
void
pps_peer_link_connect(pps_peer_link_t *link, const pps_host_t *host);

/** Takes a connection from a listening socket. */
void
pps_peer_link_accept(pps_peer_link_t *link, uv_stream_t *server);

/**
 * Sends a frame.
 * @return 0; PPS_ECLOSED; PPS_ELIMIT when the queue is full, which closes
 *         the link; PPS_ENOMEM
 */
int
pps_peer_link_send(pps_peer_link_t *link, uint32_t kind, const void *payload,
                   size_t size);

/** Closes; `closed` is told later, from the loop. */
void
pps_peer_link_close(pps_peer_link_t *link);

#endif
