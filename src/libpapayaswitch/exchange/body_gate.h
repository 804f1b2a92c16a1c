/**
 * @file body_gate.h
 * @brief Bounds the memory that the bodies of callers' requests take together.
 *
 * A large body whose head has been accepted is charged before it is read: what
 * it takes with its copies for the worker. While there is no room, nothing
 * more is read from its caller. Room goes to the workspace that holds least,
 * and if another one holds more, its largest body that is still being read
 * gives way. A body for which there is no room in time is refused.
 */
#ifndef PPS_EXCHANGE_BODY_GATE_H
#define PPS_EXCHANGE_BODY_GATE_H

#include "memory/byte_account.h"
#include "transport/http_server.h"

typedef struct pps_dispatcher pps_dispatcher_t;

/** Bytes of bodies that a host holds if its memory is not known. */
#define PPS_BODY_BYTES_DEFAULT (32U << 20)

/** Bodies of one host. Initialize with pps_body_gate_init(). */
typedef struct {
    pps_byte_account_t account;
    struct cds_list_head held;    /**< bodies that have room */
    struct cds_list_head waiting; /**< bodies that wait for room */
    size_t waiting_count;
    int is_pumping; /**< room is being given to those that wait */
} pps_body_gate_t;

/** Longest name of a body's owner that is kept, with its end. */
#define PPS_BODY_OWNER_BYTES 64

/** Whose body it is. */
typedef struct {
    char name[PPS_BODY_OWNER_BYTES]; /**< of the workspace, or before that is
                                          known the caller's address */
    const char *id; /**< of the request; valid as long as that is */
} pps_body_owner_t;

/** Initializes a gate without bodies. @param max limit, in bytes */
void
pps_body_gate_init(pps_body_gate_t *gate, size_t max);

/** Returns the source of an owner's bytes in the gate's account. */
uint64_t
pps_body_owner_digest(const pps_body_owner_t *owner);

/** Lets the body of a request come, at once or when there is room; may refuse
 * the request before it returns. Small bodies pass. */
void
pps_body_gate_enter(pps_dispatcher_t *dispatcher, pps_http_conn_t *conn,
                    const pps_body_owner_t *owner);

/** Ends a body that its connection has freed; see `on_released`. */
void
pps_body_gate_release(pps_dispatcher_t *dispatcher, void *holding);

#endif
