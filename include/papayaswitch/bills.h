/**
 * @file bills.h
 * @brief Bills on their way from the answer to the log, in two hosts' memory.
 *
 * The owner hands each bill to a partner in another failure domain before the
 * answer ends, and appends batches. When the owner is lost, the partner
 * appends what it held. Readers drop repeats by (host, incarnation,
 * sequence).
 */
#ifndef PAPAYASWITCH_BILLS_H
#define PAPAYASWITCH_BILLS_H

#include "papayaswitch/bill.h"
#include "papayaswitch/log_backend.h"

#define PPS_BILLS_OPTIONS_VERSION 1

/** Messages between owner and partner. */
typedef enum {
    PPS_BILLS_HOLD = 1,     /**< owner to partner: keep a copy */
    PPS_BILLS_HOLD_ACK = 2, /**< partner to owner: kept */
    PPS_BILLS_RELEASE = 3,  /**< owner to partner: the log has them */
} pps_bills_message_t;

/** Sends messages to other hosts; called from any thread, must not block or
 * call back into the bills. A message may be lost. */
typedef struct {
    int (*send)(void *user, const char *host_id, pps_bills_message_t kind,
                const void *payload, size_t size);
    void *user;
} pps_bills_transport_t;

/** Settings. */
typedef struct {
    unsigned int version;
    const char *host; /**< copied */
    uint64_t incarnation;
    /** Least time between two appends, in microseconds. */
    int64_t append_interval_us;
    /** Bills that make a batch full before the interval is over. */
    size_t batch_max;
    /** Own bills in memory at which no new request is accepted. */
    size_t bills_max;
    /** Room above that for the requests already accepted. */
    size_t reserve;
    /** Copies held for other hosts. */
    size_t held_max;
    /** An unanswered message to the partner is repeated after this. */
    int64_t resend_us;
    /** A partner that leaves one unanswered for longer does not count. */
    int64_t partner_silent_us;
} pps_bills_options_t;

#define PPS_BILLS_OPTIONS_INIT                                                \
    {                                                                         \
        PPS_BILLS_OPTIONS_VERSION, "", 1, 1000 * 1000, 500, 100000, 10000,    \
            200000, 200 * 1000, 2000 * 1000                                   \
    }

/** What waits in memory. */
typedef struct {
    size_t own;         /**< own bills that the log does not have */
    size_t exposed;     /**< of these, held by this host alone */
    size_t held;        /**< copies held for other hosts */
    size_t recovering;  /**< copies of lost hosts, being appended */
    uint64_t appended;  /**< bills that the log took */
    uint64_t recovered; /**< of lost hosts, that the log took */
    char partner[PPS_NAME_MAX + 1]; /**< "": none, or none that answers */
} pps_bills_stats_t;

/** Bills of this host, and copies of others'. Any thread. */
typedef struct pps_bills pps_bills_t;

/** Starts an appender on the stream `bills`; the backend must outlive it. */
int
pps_bills_new(pps_bills_t **out, pps_log_backend_t *backend,
              const pps_bills_transport_t *transport,
              const pps_bills_options_t *options);

/** Waits for the append under way; what is then in memory is lost. */
void
pps_bills_free(pps_bills_t *bills);

/**
 * Takes a bill (its host, incarnation and sequence are filled in here) and
 * waits until a second host or the log has it. Called before the last byte of
 * the answer is sent.
 * @return 0; PPS_ETIMEOUT: kept and repeated, but held here alone so far;
 *         PPS_ELIMIT: not taken; PPS_ENOMEM: not taken
 */
int
pps_bills_hold(pps_bills_t *bills, const pps_bill_t *bill,
               int64_t deadline_us);

/** Chooses the partner, NULL for none; bills that it lacks are sent to it. */
void
pps_bills_set_partner(pps_bills_t *bills, const char *host_id);

/** Tells whether the log can be reached, from the log's reader. */
void
pps_bills_set_log_reachable(pps_bills_t *bills, int reachable);

/** Takes a message. @return 0; PPS_ECORRUPT; PPS_ELIMIT: copy not kept */
int
pps_bills_receive(pps_bills_t *bills, const char *from,
                  pps_bills_message_t kind, const void *payload, size_t size);

/** A host whose copies are held here. */
typedef struct {
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
} pps_bills_origin_id_t;

/** Writes the hosts of held copies, lost ones left out. @return how many */
size_t
pps_bills_origins(pps_bills_t *bills, pps_bills_origin_id_t *out,
                  size_t limit);

/** Appends the copies of a lost host, up to that incarnation. */
void
pps_bills_recover_host(pps_bills_t *bills, const char *host,
                       uint64_t incarnation);

/** Appends, repeats, releases; control thread, ten times a second. */
void
pps_bills_tick(pps_bills_t *bills);

/** Whether a new request's bill would be safe: else refuse it as not run. */
int
pps_bills_can_accept(pps_bills_t *bills);

/**
 * Appends without waiting for the interval, and has the partner confirm anew
 * what it holds: it may have died unnoticed. Call it, and
 * pps_bills_receive(), until it returns 0.
 * @return own bills that neither the log nor a partner has, plus the copies
 *         of lost hosts that the log does not have
 */
size_t
pps_bills_drain(pps_bills_t *bills);

void
pps_bills_stats(pps_bills_t *bills, pps_bills_stats_t *out);

#endif
