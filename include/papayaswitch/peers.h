/**
 * @file peers.h
 * @brief Authenticated links to the other hosts, with heartbeats.
 *
 * All calls and callbacks are made on the thread that runs the loop.
 */
#ifndef PAPAYASWITCH_PEERS_H
#define PAPAYASWITCH_PEERS_H

#include "papayaswitch/host.h"
#include "timer.h"

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#define PPS_PEERS_OPTIONS_VERSION 1
/** Bytes of the key that all hosts share. */
#define PPS_PEERS_KEY_BYTES 32
/** The first kind of message that is free for the owner. */
#define PPS_PEERS_KIND_FIRST 16
/** Largest payload of a message, in bytes. */
#define PPS_PEERS_PAYLOAD_MAX (1 << 20)
/** Bytes that may wait on one link. */
#define PPS_PEERS_QUEUE_BYTES ((size_t)8 << 20)

/** What the owner is told. */
typedef struct {
    /**
     * A message arrived; the payload is valid for the call.
     * @return 0, or PPS_ENOTFOUND when the kind is unknown: it is counted
     */
    int (*message)(void *user, const char *from, uint64_t from_incarnation,
                   uint32_t kind, const void *payload, size_t size);
    /** A pong came, or a host began or ceased to be suspected; optional. */
    void (*report)(void *user, const pps_host_report_t *report);
} pps_peers_callbacks_t;

/** Settings of the links. */
typedef struct {
    unsigned int version;
    uv_loop_t *loop;
    pps_timers_t *timers; /**< run by the owner */
    const char *self_id;
    uint64_t incarnation;
    const char *address; /**< IP number to listen on */
    uint16_t port;       /**< 0: any */
    unsigned char key[PPS_PEERS_KEY_BYTES];
    uint64_t seed; /**< of the jitter between attempts */
    size_t queue_max_bytes;
    const pps_peers_callbacks_t *callbacks;
    void *user;
} pps_peers_options_t;

#define PPS_PEERS_OPTIONS_INIT                                                \
    {                                                                         \
        .version = PPS_PEERS_OPTIONS_VERSION, .address = "127.0.0.1",         \
        .queue_max_bytes = PPS_PEERS_QUEUE_BYTES                              \
    }

/** What this host says of itself; the age of the evidence is worked out at
 * each pong. */
typedef struct {
    uint64_t revision;
    uint64_t next_offset;
    int64_t evidence_us; /**< pps_serving_verdict_t, or PPS_TIME_NONE */
    int synced;
    int leaving;
} pps_peers_status_t;

/** The links of one host. */
typedef struct pps_peers pps_peers_t;

/** Listens and starts the heartbeat. After an error the loop must run once
 * more to free what was begun. */
int
pps_peers_new(pps_peers_t **out, const pps_peers_options_t *options);

/**
 * Closes all links. The memory is freed by the loop once the last one is
 * closed, and `closed`, which may be NULL, is called then.
 */
void
pps_peers_close(pps_peers_t *peers, void (*closed)(void *user), void *user);

/** The port that it listens on. */
uint16_t
pps_peers_port(const pps_peers_t *peers);

/** Takes the platform's list; the own id in it is skipped. */
int
pps_peers_set_hosts(pps_peers_t *peers, const pps_host_list_t *hosts);

/** Sets what the pongs say. */
void
pps_peers_set_status(pps_peers_t *peers, const pps_peers_status_t *status);

/**
 * Sends a message on any usable link to the host.
 * @return 0; PPS_EUNAVAILABLE when there is none; PPS_EINVALID for a kind
 *         below PPS_PEERS_KIND_FIRST; PPS_ELIMIT
 */
int
pps_peers_send(pps_peers_t *peers, const char *host_id, uint32_t kind,
               const void *payload, size_t size);

/** Sends to all hosts that a link leads to. @return how many */
size_t
pps_peers_broadcast(pps_peers_t *peers, uint32_t kind, const void *payload,
                    size_t size);

/**
 * Writes what is known of the other hosts, listed or not.
 * @param limit room in `out`
 * @return how many were written
 */
size_t
pps_peers_copy_reports(const pps_peers_t *peers, pps_host_report_t *out,
                       size_t limit);

#endif
