/**
 * @file bills.h
 * @brief Holds bills in the memory of two hosts until the log has them.
 *
 * The owner sends a copy of each bill to a partner in another failure domain
 * before the answer ends, and appends its bills in batches. When the owner is
 * lost, the partner appends its copies. Readers drop repeated bills by (host,
 * incarnation, sequence).
 */
#ifndef PAPAYASWITCH_BILLS_H
#define PAPAYASWITCH_BILLS_H

#include "papayaswitch/bill.h"
#include "papayaswitch/log_backend.h"

#define PPS_BILLS_OPTIONS_VERSION 1

/** Kinds of messages between owner and partner. */
typedef enum {
    PPS_BILLS_HOLD = 1,     /**< owner to partner: bills to store */
    PPS_BILLS_HOLD_ACK = 2, /**< partner to owner: bills stored */
    PPS_BILLS_RELEASE = 3,  /**< owner to partner: log has the bills */
} pps_bills_message_t;

/** Sends messages to other hosts. Called from any thread with a mutex held:
 * must not block or call pps_bills_*(). Messages may be lost. */
typedef struct {
    int (*send)(void *user, const char *host_id, pps_bills_message_t kind,
                const void *payload, size_t size);
    void *user;
} pps_bills_transport_t;

/** Settings of the bills. */
typedef struct {
    unsigned int version;
    const char *host; /**< copied */
    uint64_t incarnation;
    /** Minimum time between two appends. */
    int64_t append_interval_us;
    /** Bills in a full batch, which is submitted without waiting. */
    size_t batch_max;
    /** Number of own bills in memory at which new requests are refused. */
    size_t bills_max;
    /** Own bills allowed beyond `bills_max`, for requests accepted before. */
    size_t reserve;
    /** Maximum number of copies held for other hosts. */
    size_t held_max;
    /** Time until a copy that is not acknowledged is sent again. */
    int64_t resend_interval_us;
    /** Time without acknowledgement until a partner counts as unavailable. */
    int64_t partner_timeout_us;
} pps_bills_options_t;

#define PPS_BILLS_OPTIONS_INIT                                                \
    {                                                                         \
        PPS_BILLS_OPTIONS_VERSION, "", 1, 1000 * 1000, 500, 100000, 10000,    \
            200000, 200 * 1000, 2000 * 1000                                   \
    }

/** Bills in memory, and totals since the start. */
typedef struct {
    size_t own;         /**< own bills that the log does not have */
    size_t exposed;     /**< of these, not acknowledged by the partner */
    size_t held;        /**< copies held for other hosts */
    size_t recovering;  /**< copies of lost hosts, not yet in the log */
    uint64_t appended;  /**< own bills appended to the log */
    uint64_t recovered; /**< copies of lost hosts appended to the log */
    char partner[PPS_NAME_MAX + 1]; /**< "": none available */
} pps_bills_stats_t;

/** Own bills and copies of other hosts' bills; used from any thread. */
typedef struct pps_bills pps_bills_t;

/** Starts an appender on the stream `bills`. The backend must outlive it.
 * @return 0, PPS_EINVALID, PPS_ENOMEM or an error of the appender */
int
pps_bills_new(pps_bills_t **out, pps_log_backend_t *backend,
              const pps_bills_transport_t *transport,
              const pps_bills_options_t *options);

/** Waits for submitted appends, then frees all bills in memory, also those
 * that the log does not have. */
void
pps_bills_free(pps_bills_t *bills);

/**
 * Stores a copy of a bill, sets its host, incarnation and sequence, and waits
 * until a second host or the log has it. Called before the last byte of the
 * answer is sent.
 * @return 0; PPS_ETIMEOUT: stored and sent again later, but neither a partner
 *         nor the log has acknowledged it; PPS_ELIMIT, PPS_ENOMEM: not stored
 */
int
pps_bills_hold(pps_bills_t *bills, const pps_bill_t *bill,
               int64_t deadline_us);

/** Sets the partner, NULL for none. A new partner is sent all own bills. */
void
pps_bills_set_partner(pps_bills_t *bills, const char *host_id);

/** Sets whether the log can be reached, as seen by the reader of the log. */
void
pps_bills_set_log_reachable(pps_bills_t *bills, int reachable);

/** Handles a message from a host. @return 0; PPS_ECORRUPT; PPS_EREFUSED: bills
 * of a host other than `from`; PPS_ELIMIT or PPS_ENOMEM: copies not stored */
int
pps_bills_receive(pps_bills_t *bills, const char *from,
                  pps_bills_message_t kind, const void *payload, size_t size);

/** Host and incarnation of bills of which copies are held. */
typedef struct {
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
} pps_bills_origin_id_t;

/** Writes the origins of held copies, except origins marked as lost.
 * @return number of origins written, at most `limit` */
size_t
pps_bills_origins(pps_bills_t *bills, pps_bills_origin_id_t *out,
                  size_t limit);

/** Marks a host as lost: its copies, up to and including that incarnation, are
 * appended by the next ticks. */
void
pps_bills_recover_host(pps_bills_t *bills, const char *host,
                       uint64_t incarnation);

/** Appends due batches, sends copies again and sends releases. Called by the
 * control thread every 100 ms. */
void
pps_bills_tick(pps_bills_t *bills);

/** Returns whether own bills are below `bills_max` and a partner or the log is
 * available. Otherwise new requests are refused before they run. */
int
pps_bills_can_accept(pps_bills_t *bills);

/**
 * Appends without waiting for the interval. The first call makes the partner
 * acknowledge its copies again, since it may have failed undetected. Called
 * repeatedly, with pps_bills_receive(), until it returns 0.
 * @return own bills that neither the log nor the partner has, plus copies of
 *         lost hosts that the log does not have
 */
size_t
pps_bills_drain(pps_bills_t *bills);

void
pps_bills_stats(pps_bills_t *bills, pps_bills_stats_t *out);

#endif
