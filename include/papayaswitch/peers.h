/**
 * @file peers.h
 * @brief Maintains authenticated links and heartbeats to the other hosts.
 *
 * All calls and callbacks run on the thread of the event loop.
 */
#ifndef PAPAYASWITCH_PEERS_H
#define PAPAYASWITCH_PEERS_H

#include "papayaswitch/host.h"
#include "timer.h"

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#define PPS_PEERS_OPTIONS_VERSION 1
/** Size of the key that all hosts share, in bytes. */
#define PPS_PEERS_KEY_BYTES 32
/** Lowest message kind that owners may use; lower kinds are reserved. */
#define PPS_PEERS_KIND_FIRST 16
/** Maximum payload of a message, in bytes. */
#define PPS_PEERS_PAYLOAD_MAX (1 << 20)
/** Default limit of the send queue of one link, in bytes. */
#define PPS_PEERS_QUEUE_BYTES ((size_t)8 << 20)

/** Callbacks to the owner. */
typedef struct {
    /**
     * A message arrived. The payload is valid during the call.
     * @return 0, or PPS_ENOTFOUND for an unknown kind, which is counted
     */
    int (*message)(void *user, const char *from, uint64_t from_incarnation,
                   uint32_t kind, const void *payload, size_t size);
    /** A pong arrived or the suspicion of a host changed. Optional. */
    void (*report)(void *user, const pps_host_report_t *report);
} pps_peers_callbacks_t;

/** Settings of the links. */
typedef struct {
    unsigned int version;
    uv_loop_t *loop;
    pps_timers_t *timers; /**< run by the owner, on the loop */
    const char *self_id;
    uint64_t incarnation;
    const char *address; /**< IP address to listen on */
    uint16_t port;       /**< port to listen on; 0: any */
    unsigned char key[PPS_PEERS_KEY_BYTES];
    uint64_t seed;          /**< seed of the backoff jitter */
    size_t queue_max_bytes; /**< limit of the send queue of each link */
    const pps_peers_callbacks_t *callbacks;
    void *user;
} pps_peers_options_t;

#define PPS_PEERS_OPTIONS_INIT                                                \
    {                                                                         \
        .version = PPS_PEERS_OPTIONS_VERSION, .address = "127.0.0.1",         \
        .queue_max_bytes = PPS_PEERS_QUEUE_BYTES                              \
    }

/** Status that this host reports; each pong carries the age of the evidence at
 * that time. */
typedef struct {
    uint64_t revision;
    uint64_t next_offset;
    int64_t evidence_us; /**< see pps_serving_verdict_t, or PPS_TIME_NONE */
    int synced;          /**< see pps_serving_input_t */
    int leaving; /**< whether this host drains and accepts no new work */
} pps_peers_status_t;

/** All links of this host. */
typedef struct pps_peers pps_peers_t;

/** Starts the listener and the heartbeat. After an error the loop must run
 * once more to free the partly created object.
 * @return 0; PPS_EINVALID; PPS_EIO; PPS_ENOMEM */
int
pps_peers_new(pps_peers_t **out, const pps_peers_options_t *options);

/**
 * Closes all links. When the last one is closed, the loop calls `closed`,
 * which may be NULL, and frees the memory.
 */
void
pps_peers_close(pps_peers_t *peers, void (*closed)(void *user), void *user);

/** Returns the number of the listening port. */
uint16_t
pps_peers_port(const pps_peers_t *peers);

/** Applies the platform's list, skipping this host, and closes the links that
 * this host dialed to unlisted hosts.
 * @return 0 or PPS_ENOMEM */
int
pps_peers_set_hosts(pps_peers_t *peers, const pps_host_list_t *hosts);

/** Sets the status that pongs report. */
void
pps_peers_set_status(pps_peers_t *peers, const pps_peers_status_t *status);

/**
 * Sends a message on a ready link to the host.
 * @return 0; PPS_EUNAVAILABLE without a ready link; PPS_EINVALID for a kind
 *         below PPS_PEERS_KIND_FIRST; PPS_ELIMIT for a payload above
 *         PPS_PEERS_PAYLOAD_MAX or a full queue, which closes the link;
 *         PPS_ECLOSED when the write fails; PPS_ENOMEM
 */
int
pps_peers_send(pps_peers_t *peers, const char *host_id, uint32_t kind,
               const void *payload, size_t size);

/** Sends a message to all hosts with a ready link. @return their number */
size_t
pps_peers_broadcast(pps_peers_t *peers, uint32_t kind, const void *payload,
                    size_t size);

/**
 * Copies the reports of the other hosts, listed or not.
 * @param limit capacity of `out`
 * @return number of copied reports
 */
size_t
pps_peers_copy_reports(const pps_peers_t *peers, pps_host_report_t *out,
                       size_t limit);

#endif
