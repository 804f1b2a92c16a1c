/** @file bills_log.c @brief Batches of bills on their way to the log. */
#include "bills_state.h"

#include "clock.h"
#include "counters.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>

/** A batch in an append. */
typedef struct {
    pps_bills_t *bills;
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
    int own;
    size_t count;
    uint64_t sequences[];
} ticket_t;

static struct cds_list_head *
items_of(pps_bills_t *bills, const ticket_t *ticket)
{
    pps_bill_origin_t *origin;

    if (ticket->own) {
        return &bills->own;
    }
    cds_list_for_each_entry (origin, &bills->origins, node) {
        if (origin->incarnation == ticket->incarnation &&
            strcmp(origin->host, ticket->host) == 0) {
            return &origin->items;
        }
    }
    return NULL;
}

/* Both the list and the ticket are in order of sequence. */
static size_t
settle_items(struct cds_list_head *items, const ticket_t *ticket, int logged,
             size_t *exposed)
{
    pps_bill_item_t *item;
    pps_bill_item_t *following;
    size_t settled = 0;
    size_t at = 0;

    cds_list_for_each_entry_safe (item, following, items, node) {
        while (at < ticket->count &&
               ticket->sequences[at] < item->bill.sequence) {
            at++;
        }
        if (at == ticket->count) {
            break;
        }
        if (ticket->sequences[at] != item->bill.sequence) {
            continue;
        }
        item->in_flight = 0;
        settled++;
        if (logged) {
            *exposed += !item->partner_has;
            cds_list_del(&item->node);
            free(item);
        }
    }
    return settled;
}

static void
on_appended(int result, uint64_t offset, void *user)
{
    ticket_t *ticket = user;
    pps_bills_t *bills = ticket->bills;
    struct cds_list_head *items;
    size_t exposed = 0;
    size_t settled = 0;

    pthread_mutex_lock(&bills->mutex);
    items = items_of(bills, ticket);
    if (items != NULL) {
        settled = settle_items(items, ticket, result == 0, &exposed);
    }
    bills->log_up = result == 0;
    if (result < 0) {
        bills->fresh += ticket->own ? settled : 0;
    }
    else if (ticket->own) {
        bills->own_count -= settled;
        bills->exposed -= exposed;
        bills->appended += settled;
        pps_counter_add(PPS_COUNTER_BILLS_APPENDED, settled);
    }
    else {
        bills->held_count -= settled;
        bills->recovered += settled;
        pps_counter_add(PPS_COUNTER_BILLS_RECOVERED, settled);
    }
    pthread_cond_broadcast(&bills->changed);
    pthread_mutex_unlock(&bills->mutex);
    free(ticket);
}

static int
submit(pps_bills_t *bills, const pps_bill_t *batch, ticket_t *ticket)
{
    void *payload = NULL;
    void *data = NULL;
    size_t payload_size;
    size_t size;
    int error =
        pps_bill_batch_encode(&payload, &payload_size, batch, ticket->count);

    if (error == 0) {
        error = pps_record_encode(&data, &size, PPS_RECORD_BILLS, payload,
                                  payload_size);
    }
    if (error == 0) {
        error = pps_appender_submit(bills->appender, data, size, INT64_MAX,
                                    on_appended, ticket);
    }
    if (error < 0) {
        free(data);
    }
    free(payload);
    return error;
}

static size_t
gather(struct cds_list_head *items, pps_bill_t *batch, size_t max,
       ticket_t *ticket)
{
    pps_bill_item_t *item;

    cds_list_for_each_entry (item, items, node) {
        if (ticket->count == max) {
            break;
        }
        if (!item->in_flight) {
            batch[ticket->count] = item->bill;
            ticket->sequences[ticket->count++] = item->bill.sequence;
        }
    }
    return ticket->count;
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

/* One batch of the list. @return the bills in it */
static size_t
flush_batch(pps_bills_t *bills, struct cds_list_head *items, int own)
{
    size_t max = bills->options.batch_max;
    pps_bill_t *batch = calloc(max + 1, sizeof(*batch));
    ticket_t *ticket = calloc(1, sizeof(*ticket) + max * sizeof(uint64_t));
    size_t sent = 0;
    uint64_t first;
    uint64_t last;

    if (batch == NULL || ticket == NULL ||
        gather(items, batch, max, ticket) == 0) {
        goto done;
    }
    ticket->bills = bills;
    ticket->own = own;
    memcpy(ticket->host, batch[0].host, sizeof(ticket->host));
    ticket->incarnation = batch[0].incarnation;
    first = ticket->sequences[0];
    last = ticket->sequences[ticket->count - 1];
    sent = ticket->count;
    if (submit(bills, batch, ticket) != 0) {
        sent = 0;
        goto done;
    }
    ticket = NULL;
    mark_in_flight(items, first, last);
done:
    free(ticket);
    free(batch);
    return sent;
}

/* A full batch is due at once, but not while the log is down. */
static int
is_due(const pps_bills_t *bills, int64_t now_us)
{
    if (bills->log_up && bills->fresh >= bills->options.batch_max) {
        return 1;
    }
    return now_us - bills->flushed_us >= bills->options.append_interval_us;
}

void
pps_bills_flush(pps_bills_t *bills, int64_t now_us, int now)
{
    pps_bill_origin_t *origin;
    size_t sent;

    if (!now && !is_due(bills, now_us)) {
        return;
    }
    bills->flushed_us = now_us;
    /* While the log is down, one batch is sent to find out, not all. */
    while (bills->fresh > 0) {
        sent = flush_batch(bills, &bills->own, 1);
        bills->fresh -= sent;
        if (sent == 0 || !bills->log_up) {
            break;
        }
    }
    cds_list_for_each_entry (origin, &bills->origins, node) {
        while (origin->lost_us != 0 &&
               flush_batch(bills, &origin->items, 0) > 0 && bills->log_up) {
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
