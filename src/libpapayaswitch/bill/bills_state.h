/** @file bills_state.h @brief State of the bills, shared by their parts. */
#ifndef PPS_BILL_BILLS_STATE_H
#define PPS_BILL_BILLS_STATE_H

#include "papayaswitch/appender.h"
#include "papayaswitch/bills.h"

#include <pthread.h>
#include <urcu/list.h>

/** Partners of this incarnation that may still hold copies. */
#define PPS_BILLS_PARTNERS_MAX 8

/** An own bill, or a copy of another host's. */
typedef struct {
    struct cds_list_head node;
    pps_bill_t bill;
    int in_flight;   /**< in an append that has not answered */
    int acked;       /**< own: some partner holds it */
    int sent;        /**< own: sent to the partner of now */
    int partner_has; /**< own: the partner of now holds it */
    int64_t first_sent_us;
    int64_t sent_us;
} pps_bill_item_t;

/** Copies of one incarnation of another host, in order of sequence. */
typedef struct {
    struct cds_list_head node;
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t released; /**< the log has all up to this sequence */
    int64_t lost_us;   /**< 0, or since when they are appended here */
    struct cds_list_head items;
} pps_bill_origin_t;

/** A host that was the partner. */
typedef struct {
    char host[PPS_NAME_MAX + 1];
    uint64_t released; /**< last told */
    int64_t told_us;
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
    size_t exposed; /**< own bills that the partner of now does not hold */
    size_t fresh;   /**< own bills that no append carries yet */
    struct cds_list_head origins;
    size_t held_count;
    char partner[PPS_NAME_MAX + 1]; /**< "": none */
    pps_bill_partner_t partners[PPS_BILLS_PARTNERS_MAX];
    size_t partner_count;
    int partner_silent;
    int draining;
    int log_up;
    int64_t flushed_us;
    uint64_t appended;
    uint64_t recovered;
};

/** All of these: mutex held. */

/** Appends what is due; at once when `now` is set. */
void
pps_bills_flush(pps_bills_t *bills, int64_t now_us, int now);
/** Highest sequence such that the log has all up to it. */
uint64_t
pps_bills_logged_up_to(pps_bills_t *bills);
/** Has the partner confirm anew all copies that it holds. */
void
pps_bills_ask_again(pps_bills_t *bills);
/** Sends one own bill to the partner. */
void
pps_bills_send_hold(pps_bills_t *bills, pps_bill_item_t *item, int64_t now_us);
/** Repeats what the partner has not answered, and tells what to release. */
void
pps_bills_resend(pps_bills_t *bills, int64_t now_us);
/** Takes copies from their owner. @return 0, PPS_ELIMIT or PPS_ENOMEM */
int
pps_bills_keep(pps_bills_t *bills, const pps_bill_batch_t *batch);
/** Forgets copies that the log has. */
void
pps_bills_discard_copies(pps_bills_t *bills, const char *host,
                         uint64_t incarnation, uint64_t up_to);
void
pps_bills_mark_lost(pps_bills_t *bills, const char *host,
                    uint64_t incarnation);
/** Removes lost origins that hold nothing and that no late copy can reach. */
void
pps_bills_origins_prune(pps_bills_t *bills, int64_t now_us);
void
pps_bills_origins_clear(pps_bills_t *bills);

#endif
