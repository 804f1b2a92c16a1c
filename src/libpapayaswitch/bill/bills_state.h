/** @file bills_state.h @brief Defines the state shared by bills*.c. */
#ifndef PPS_BILL_BILLS_STATE_H
#define PPS_BILL_BILLS_STATE_H

#include "papayaswitch/appender.h"
#include "papayaswitch/bills.h"

#include <pthread.h>
#include <urcu/list.h>

/** Maximum number of partners that are sent releases, since each may still
 * hold copies; the oldest is dropped when there are more. */
#define PPS_BILLS_PARTNERS_MAX 8

/** Own bill, or copy of another host's bill. */
typedef struct {
    struct cds_list_head node;
    pps_bill_t bill;
    int in_flight;     /**< in an append whose result is pending */
    int acked;         /**< own: acknowledged by any partner */
    int sent;          /**< own: sent to the current partner */
    int partner_acked; /**< own: acknowledged by the current partner */
    int64_t first_sent_us;
    int64_t sent_us;
} pps_bill_item_t;

/** Copies from one incarnation of another host, in order of sequence. */
typedef struct {
    struct cds_list_head node;
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t released; /**< the log has all up to this sequence */
    int64_t lost_us;   /**< time when marked as lost, 0 if not lost */
    struct cds_list_head items;
} pps_bill_origin_t;

/** Current or former partner. */
typedef struct {
    char host[PPS_NAME_MAX + 1];
    uint64_t released; /**< sequence in the last release sent to it */
    int64_t release_sent_us;
} pps_bill_partner_t;

struct pps_bills {
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    pps_bills_options_t options;
    char host[PPS_NAME_MAX + 1];
    pps_bills_transport_t transport;
    pps_appender_t *appender;
    uint64_t last_sequence;
    struct cds_list_head own;
    size_t own_count;
    size_t exposed;     /**< own bills without `partner_acked` */
    size_t unsubmitted; /**< own bills not in flight */
    struct cds_list_head origins;
    size_t held_count;
    char partner[PPS_NAME_MAX + 1]; /**< "" for none */
    pps_bill_partner_t partners[PPS_BILLS_PARTNERS_MAX];
    size_t partner_count;
    int partner_timed_out;
    int draining;
    int log_reachable;
    int64_t last_flush_us;
    uint64_t appended;
    uint64_t recovered;
};

/* The caller of each function below holds the mutex. */

/** Submits own bills and copies of lost hosts when a batch is full, when the
 * interval has passed, or when `immediate` is set. */
void
pps_bills_flush(pps_bills_t *bills, int64_t now_us, int immediate);
/** Returns the highest sequence up to which the log has all own bills. */
uint64_t
pps_bills_logged_up_to(pps_bills_t *bills);
/** Marks all own bills as neither sent to the partner nor acknowledged by it,
 * so that they are sent again. */
void
pps_bills_reset_acks(pps_bills_t *bills);
/** Sends one own bill to the partner, if there is one. */
void
pps_bills_send_hold(pps_bills_t *bills, pps_bill_item_t *item, int64_t now_us);
/** Sends bills again that were not acknowledged in time, updates whether the
 * partner has timed out, and sends releases. */
void
pps_bills_resend(pps_bills_t *bills, int64_t now_us);
/** Stores copies of the bills. @return 0, PPS_ELIMIT or PPS_ENOMEM */
int
pps_bills_store_copies(pps_bills_t *bills, const pps_bill_batch_t *batch);
/** Discards copies that the log has, up to and including a sequence. */
void
pps_bills_discard_copies(pps_bills_t *bills, const char *host,
                         uint64_t incarnation, uint64_t up_to);
void
pps_bills_mark_lost(pps_bills_t *bills, const char *host,
                    uint64_t incarnation);
/** Removes empty lost origins that delayed messages can no longer reach. */
void
pps_bills_origins_prune(pps_bills_t *bills, int64_t now_us);
void
pps_bills_origins_clear(pps_bills_t *bills);

#endif
