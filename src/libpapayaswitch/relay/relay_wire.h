/**
 * @file relay_wire.h
 * @brief What hosts say to each other about calls that one of them takes to a
 * worker for another.
 *
 * A host POSTs the bytes of a request for a worker. The neighbour connects to
 * the worker, writes them and answers 200 with the bytes that the worker
 * sends, in chunks. The last chunk says that the worker ended the connection
 * in order; without it the connection to the worker was lost. Any other status
 * says that no byte was written to the worker. A GET only asks whether the
 * worker takes connections.
 */
#ifndef PPS_RELAY_RELAY_WIRE_H
#define PPS_RELAY_RELAY_WIRE_H

/** Path of a call; the digest of the worker's id follows in hex digits. */
#define PPS_RELAY_PATH "/workers/"
/** The same for a call with the neighbour's share of the worker's limit and
 * permits. */
#define PPS_RELAY_SHARE_PATH "/shares/"

/** Follows the digest if the call takes more than one slot of the share; their
 * number follows. Hosts of older builds answer PPS_RELAY_UNKNOWN. */
#define PPS_RELAY_SLOTS_QUERY "?slots="
/** Most slots that a call can take. */
#define PPS_RELAY_SLOTS_MAX 4096

/** Statuses of the neighbour's answer. */
typedef enum {
    PPS_RELAY_CONNECTED = 200,
    PPS_RELAY_FORBIDDEN = 403, /**< the caller is not a known host */
    PPS_RELAY_UNKNOWN = 404, /**< the neighbour sends nothing to the worker */
    PPS_RELAY_REFUSED = 502, /**< the worker refused the connection */
    PPS_RELAY_BUSY = 503,    /**< the neighbour takes no more calls */
    PPS_RELAY_UNANSWERED = 504, /**< the worker did not answer in time */
} pps_relay_status_t;

#endif
