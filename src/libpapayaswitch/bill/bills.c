/** @file bills.c @brief Holds own bills until the log has them. */
#include "bills_state.h"

#include "clock.h"
#include "commit/wait.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>

int
pps_bills_new(pps_bills_t **out, pps_log_backend_t *backend,
              const pps_bills_transport_t *transport,
              const pps_bills_options_t *options)
{
    pps_appender_options_t appender = PPS_APPENDER_OPTIONS_INIT;
    pps_bills_t *bills;
    int error;

    if (options->version != PPS_BILLS_OPTIONS_VERSION ||
        strlen(options->host) > PPS_NAME_MAX || options->batch_max == 0 ||
        options->batch_max > PPS_BILL_BATCH_MAX) {
        return pps_error_set(PPS_EINVALID,
                             "bills options: unknown version, host name "
                             "too long, or batch_max out of range");
    }
    bills = calloc(1, sizeof(*bills));
    if (bills == NULL) {
        return pps_error_set(PPS_ENOMEM, "bills: out of memory");
    }
    bills->options = *options;
    memcpy(bills->host, options->host, strlen(options->host) + 1);
    bills->options.host = bills->host;
    bills->transport = *transport;
    bills->log_reachable = 1;
    CDS_INIT_LIST_HEAD(&bills->own);
    CDS_INIT_LIST_HEAD(&bills->origins);
    pthread_mutex_init(&bills->mutex, NULL);
    pps_wait_cond_init(&bills->changed);
    appender.interval_us = options->append_interval_us;
    error = pps_appender_new(&bills->appender, backend, PPS_STREAM_BILLS,
                             &appender);
    if (error < 0) {
        pps_bills_free(bills);
        return error;
    }
    *out = bills;
    return PPS_OK;
}

void
pps_bills_free(pps_bills_t *bills)
{
    pps_bill_item_t *item;
    pps_bill_item_t *following;

    if (bills == NULL) {
        return;
    }
    pps_appender_free(bills->appender);
    cds_list_for_each_entry_safe (item, following, &bills->own, node) {
        free(item);
    }
    pps_bills_origins_clear(bills);
    pthread_cond_destroy(&bills->changed);
    pthread_mutex_destroy(&bills->mutex);
    free(bills);
}

static int
add_own(pps_bills_t *bills, const pps_bill_t *bill, uint64_t *sequence)
{
    pps_bill_item_t *item;

    if (bills->own_count >=
        bills->options.bills_max + bills->options.reserve) {
        return pps_error_set(PPS_ELIMIT,
                             "bill refused: %zu own bills in memory, "
                             "limit reached",
                             bills->own_count);
    }
    item = calloc(1, sizeof(*item));
    if (item == NULL) {
        return pps_error_set(PPS_ENOMEM, "bills: out of memory");
    }
    item->bill = *bill;
    memcpy(item->bill.host, bills->host, sizeof(item->bill.host));
    item->bill.incarnation = bills->options.incarnation;
    item->bill.sequence = *sequence = ++bills->last_sequence;
    cds_list_add_tail(&item->node, &bills->own);
    bills->own_count++;
    bills->exposed++;
    bills->unsubmitted++;
    pps_bills_send_hold(bills, item, pps_clock_now_us());
    return PPS_OK;
}

/* Returns whether a partner or the log has the bill: bills that are not in the
 * list are in the log. */
static int
is_replicated(const pps_bills_t *bills, uint64_t sequence)
{
    const pps_bill_item_t *item;

    cds_list_for_each_entry_reverse(item, &bills->own, node)
    {
        if (item->bill.sequence == sequence) {
            return item->acked;
        }
    }
    return 1;
}

int
pps_bills_hold(pps_bills_t *bills, const pps_bill_t *bill, int64_t deadline_us)
{
    uint64_t sequence;
    int error;

    pthread_mutex_lock(&bills->mutex);
    error = add_own(bills, bill, &sequence);
    if (error < 0) {
        goto done;
    }
    pps_bills_flush(bills, pps_clock_now_us(), bills->partner[0] == '\0');
    while (error == 0 && !is_replicated(bills, sequence)) {
        error = pps_wait_until(&bills->changed, &bills->mutex, deadline_us);
    }
    if (error < 0) {
        error = pps_error_set(error,
                              "bill %llu: no acknowledgement from a "
                              "partner or the log before the deadline",
                              (unsigned long long)sequence);
    }
done:
    pthread_mutex_unlock(&bills->mutex);
    return error;
}

void
pps_bills_set_log_reachable(pps_bills_t *bills, int reachable)
{
    pthread_mutex_lock(&bills->mutex);
    bills->log_reachable = reachable;
    pthread_mutex_unlock(&bills->mutex);
}

int
pps_bills_can_accept(pps_bills_t *bills)
{
    int partner_available;
    int can_accept;

    pthread_mutex_lock(&bills->mutex);
    partner_available = bills->partner[0] != '\0' && !bills->partner_timed_out;
    can_accept = bills->own_count < bills->options.bills_max &&
                 (partner_available || bills->log_reachable);
    pthread_mutex_unlock(&bills->mutex);
    return can_accept;
}

void
pps_bills_tick(pps_bills_t *bills)
{
    int64_t now_us = pps_clock_now_us();

    pthread_mutex_lock(&bills->mutex);
    pps_bills_flush(bills, now_us, 0);
    pps_bills_resend(bills, now_us);
    pps_bills_origins_prune(bills, now_us);
    pthread_mutex_unlock(&bills->mutex);
}

static void
read_stats(const pps_bills_t *bills, pps_bills_stats_t *out)
{
    const pps_bill_item_t *item;
    const pps_bill_origin_t *origin;

    memset(out, 0, sizeof(*out));
    out->appended = bills->appended;
    out->recovered = bills->recovered;
    out->held = bills->held_count;
    out->own = bills->own_count;
    out->exposed = bills->exposed;
    if (!bills->partner_timed_out) {
        memcpy(out->partner, bills->partner, sizeof(out->partner));
    }
    cds_list_for_each_entry (origin, &bills->origins, node) {
        if (origin->lost_us == 0) {
            continue;
        }
        cds_list_for_each_entry (item, &origin->items, node) {
            out->recovering++;
        }
    }
}

size_t
pps_bills_drain(pps_bills_t *bills)
{
    int64_t now_us = pps_clock_now_us();
    pps_bills_stats_t stats;

    pthread_mutex_lock(&bills->mutex);
    if (!bills->draining) {
        /* The partner may have failed undetected since it stored copies. */
        bills->draining = 1;
        pps_bills_reset_acks(bills);
    }
    pps_bills_flush(bills, now_us, 1);
    pps_bills_resend(bills, now_us);
    read_stats(bills, &stats);
    pthread_mutex_unlock(&bills->mutex);
    return stats.exposed + stats.recovering;
}

void
pps_bills_stats(pps_bills_t *bills, pps_bills_stats_t *out)
{
    pthread_mutex_lock(&bills->mutex);
    read_stats(bills, out);
    pthread_mutex_unlock(&bills->mutex);
}
