/** @file bills_log.c @brief Appends batches of bills to the log. */
#include "bills_state.h"

#include "clock.h"
#include "counters.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>

/** Batch in an append whose result is pending. */
typedef struct {
    pps_bills_t *bills;
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
    int own;
    size_t count;
    uint64_t sequences[];
} pending_batch_t;

static struct cds_list_head *
find_items(pps_bills_t *bills, const pending_batch_t *pending)
{
    pps_bill_origin_t *origin;

    if (pending->own) {
        return &bills->own;
    }
    cds_list_for_each_entry (origin, &bills->origins, node) {
        if (origin->incarnation == pending->incarnation &&
            strcmp(origin->host, pending->host) == 0) {
            return &origin->items;
        }
    }
    return NULL;
}

/* Relies on the list and the batch both being in order of sequence. */
static size_t
complete_items(struct cds_list_head *items, const pending_batch_t *pending,
               int logged, size_t *exposed)
{
    pps_bill_item_t *item;
    pps_bill_item_t *following;
    size_t completed = 0;
    size_t index = 0;

    cds_list_for_each_entry_safe (item, following, items, node) {
        while (index < pending->count &&
               pending->sequences[index] < item->bill.sequence) {
            index++;
        }
        if (index == pending->count) {
            break;
        }
        if (pending->sequences[index] != item->bill.sequence) {
            continue;
        }
        item->in_flight = 0;
        completed++;
        if (logged) {
            *exposed += !item->partner_acked;
            cds_list_del(&item->node);
            free(item);
        }
    }
    return completed;
}

static void
on_appended(int result, uint64_t offset, void *user)
{
    pending_batch_t *pending = user;
    pps_bills_t *bills = pending->bills;
    struct cds_list_head *items;
    size_t exposed = 0;
    size_t completed = 0;

    pthread_mutex_lock(&bills->mutex);
    items = find_items(bills, pending);
    if (items != NULL) {
        completed = complete_items(items, pending, result == 0, &exposed);
    }
    bills->log_reachable = result == 0;
    if (result < 0) {
        bills->unsubmitted += pending->own ? completed : 0;
    }
    else if (pending->own) {
        bills->own_count -= completed;
        bills->exposed -= exposed;
        bills->appended += completed;
        pps_counter_add(PPS_COUNTER_BILLS_APPENDED, completed);
    }
    else {
        bills->held_count -= completed;
        bills->recovered += completed;
        pps_counter_add(PPS_COUNTER_BILLS_RECOVERED, completed);
    }
    pthread_cond_broadcast(&bills->changed);
    pthread_mutex_unlock(&bills->mutex);
    free(pending);
}

static int
submit(pps_bills_t *bills, const pps_bill_t *batch, pending_batch_t *pending)
{
    void *payload = NULL;
    void *data = NULL;
    size_t payload_size;
    size_t size;
    int error =
        pps_bill_batch_encode(&payload, &payload_size, batch, pending->count);

    if (error == 0) {
        error = pps_record_encode(&data, &size, PPS_RECORD_BILLS, payload,
                                  payload_size);
    }
    if (error == 0) {
        error = pps_appender_submit(bills->appender, data, size, INT64_MAX,
                                    on_appended, pending);
    }
    if (error < 0) {
        free(data);
    }
    free(payload);
    return error;
}

static size_t
collect_items(struct cds_list_head *items, pps_bill_t *batch, size_t max,
              pending_batch_t *pending)
{
    pps_bill_item_t *item;

    cds_list_for_each_entry (item, items, node) {
        if (pending->count == max) {
            break;
        }
        if (!item->in_flight) {
            batch[pending->count] = item->bill;
            pending->sequences[pending->count++] = item->bill.sequence;
        }
    }
    return pending->count;
}

static void
mark_in_flight(struct cds_list_head *items, uint64_t first, uint64_t last)
{
    pps_bill_item_t *item;

    cds_list_for_each_entry (item, items, node) {
        if (item->bill.sequence > last) {
            break;
        }
        if (item->bill.sequence >= first) {
            item->in_flight = 1;
        }
    }
}

/* Submits one batch from the list. Returns the number of bills in it. */
static size_t
flush_batch(pps_bills_t *bills, struct cds_list_head *items, int own)
{
    size_t max = bills->options.batch_max;
    pps_bill_t *batch = calloc(max + 1, sizeof(*batch));
    pending_batch_t *pending =
        calloc(1, sizeof(*pending) + max * sizeof(uint64_t));
    size_t sent = 0;
    uint64_t first;
    uint64_t last;

    if (batch == NULL || pending == NULL ||
        collect_items(items, batch, max, pending) == 0) {
        goto done;
    }
    pending->bills = bills;
    pending->own = own;
    memcpy(pending->host, batch[0].host, sizeof(pending->host));
    pending->incarnation = batch[0].incarnation;
    first = pending->sequences[0];
    last = pending->sequences[pending->count - 1];
    sent = pending->count;
    if (submit(bills, batch, pending) != 0) {
        sent = 0;
        goto done;
    }
    pending = NULL;
    mark_in_flight(items, first, last);
done:
    free(pending);
    free(batch);
    return sent;
}

/* A full batch is due at once, except while the log is unreachable. */
static int
is_due(const pps_bills_t *bills, int64_t now_us)
{
    if (bills->log_reachable &&
        bills->unsubmitted >= bills->options.batch_max) {
        return 1;
    }
    return now_us - bills->last_flush_us >= bills->options.append_interval_us;
}

void
pps_bills_flush(pps_bills_t *bills, int64_t now_us, int immediate)
{
    pps_bill_origin_t *origin;
    size_t sent;

    if (!immediate && !is_due(bills, now_us)) {
        return;
    }
    bills->last_flush_us = now_us;
    /* While the log is unreachable, one batch is submitted as a probe. */
    while (bills->unsubmitted > 0) {
        sent = flush_batch(bills, &bills->own, 1);
        bills->unsubmitted -= sent;
        if (sent == 0 || !bills->log_reachable) {
            break;
        }
    }
    cds_list_for_each_entry (origin, &bills->origins, node) {
        while (origin->lost_us != 0 &&
               flush_batch(bills, &origin->items, 0) > 0 &&
               bills->log_reachable) {
        }
    }
}

uint64_t
pps_bills_logged_up_to(pps_bills_t *bills)
{
    const pps_bill_item_t *first;

    if (cds_list_empty(&bills->own)) {
        return bills->last_sequence;
    }
    first = cds_list_first_entry(&bills->own, pps_bill_item_t, node);
    return first->bill.sequence - 1;
}
