/**
 * @file relay_server.h
 * @brief Takes calls to workers for other hosts; see relay_wire.h.
 */
#ifndef PPS_RELAY_RELAY_SERVER_H
#define PPS_RELAY_RELAY_SERVER_H

#include "relay_wire.h"
#include "transport/channel_ops.h"
#include "transport/http_server.h"

#define PPS_RELAY_ADDRESS_BYTES 64
/** See pps_relay_server_set_queued_max(). */
#define PPS_RELAY_QUEUED_DEFAULT (8U << 20)

/** Decisions and notes of the owner. */
typedef struct {
    /** Finds the address of a worker for a call of another host.
     * @param peer IPv4 address of that host @param worker digest of its id
     * @param slots of this host's share of the worker that the call takes; 0:
     *        it takes none
     * @param out receives IPv4:PORT, of PPS_RELAY_ADDRESS_BYTES
     * @param hold receives what `on_end` is called with when the call has
     *        ended, or NULL
     * @return PPS_RELAY_CONNECTED, or the status to refuse the call with */
    pps_relay_status_t (*find)(void *user, char *out, void **hold,
                               const char *peer, uint64_t worker,
                               unsigned int slots);
    /** Ends what a call held.
     * @param is_served the worker's answer is whole and a success; else it
     *        was refused, lost or not sent */
    void (*on_end)(void *user, void *hold, int is_served);
    /** Takes over what a call held whose caller has left, while its worker may
     * still be at work on it. @param begun_us when it was sent */
    void (*on_left)(void *user, void *hold, int64_t begun_us);
    /** Receives the head of a worker's answer to another host.
     * @param tried_us when connecting to the worker began */
    void (*on_reply)(void *user, uint64_t worker, int64_t tried_us,
                     const pps_http_reply_t *reply);
    /** Reports a worker that was reached, or wasn't.
     * @param tried_us when connecting began */
    void (*on_tried)(void *user, uint64_t worker, int64_t tried_us,
                     int is_reached);
} pps_relay_ops_t;

/** The listener for other hosts and their calls under way. */
typedef struct pps_relay_server pps_relay_server_t;

/** Listens at an IPv4 address; port 0 selects a free port. Never freed; `ops`
 * must outlive it. @return 0, PPS_ENOMEM or PPS_EIO */
int
pps_relay_server_new(pps_relay_server_t **out, pps_reactor_t *reactor,
                     const char *address, unsigned int port,
                     const char *local_address, const pps_relay_ops_t *ops,
                     void *user);

/** Sets the size of the largest request for a worker. */
void
pps_relay_server_set_request_max(pps_relay_server_t *server, size_t size);

/** Sets about how many bytes of all answers together may wait for the hosts
 * that they go to; initially PPS_RELAY_QUEUED_DEFAULT. Workers are not read
 * from meanwhile. */
void
pps_relay_server_set_queued_max(pps_relay_server_t *server, size_t size);

/** Refuses further calls; those under way go on. */
void
pps_relay_server_drain(pps_relay_server_t *server);

/** Returns the number of calls under way. */
size_t
pps_relay_server_calls(const pps_relay_server_t *server);

/** Returns the bytes of answers that wait for the hosts that they go to. */
size_t
pps_relay_server_queued(const pps_relay_server_t *server);

/** Returns the port of the listener. */
unsigned int
pps_relay_server_port(const pps_relay_server_t *server);

#endif
