/** @file bills_held.c @brief Holds copies of other hosts' bills. */
#include "bills_state.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

/** Time after its loss until an origin without copies is removed: messages may
 * arrive late. */
#define LOST_ORIGIN_RETENTION_US (600 * PPS_US_PER_S)

static void
mark_lost(pps_bill_origin_t *origin)
{
    if (origin->lost_us == 0) {
        origin->lost_us = pps_clock_now_us();
    }
}

static pps_bill_origin_t *
origin_find(pps_bills_t *bills, const char *host, uint64_t incarnation)
{
    pps_bill_origin_t *origin;

    cds_list_for_each_entry (origin, &bills->origins, node) {
        if (origin->incarnation == incarnation &&
            strcmp(origin->host, host) == 0) {
            return origin;
        }
    }
    return NULL;
}

static int
has_newer_incarnation(pps_bills_t *bills, const char *host,
                      uint64_t incarnation)
{
    pps_bill_origin_t *origin;

    cds_list_for_each_entry (origin, &bills->origins, node) {
        if (origin->incarnation > incarnation &&
            strcmp(origin->host, host) == 0) {
            return 1;
        }
    }
    return 0;
}

/* A host that starts a new incarnation has lost the bills of earlier ones. */
static pps_bill_origin_t *
origin_intern(pps_bills_t *bills, const char *host, uint64_t incarnation)
{
    pps_bill_origin_t *origin = origin_find(bills, host, incarnation);

    if (origin != NULL) {
        return origin;
    }
    origin = calloc(1, sizeof(*origin));
    if (origin == NULL) {
        return NULL;
    }
    memcpy(origin->host, host, strlen(host) + 1);
    origin->incarnation = incarnation;
    CDS_INIT_LIST_HEAD(&origin->items);
    if (incarnation > 0) {
        pps_bills_mark_lost(bills, host, incarnation - 1);
    }
    if (has_newer_incarnation(bills, host, incarnation)) {
        mark_lost(origin);
    }
    cds_list_add_tail(&origin->node, &bills->origins);
    return origin;
}

/* Searches from the end, as most new bills have the highest sequence. */
static int
origin_add(pps_bills_t *bills, pps_bill_origin_t *origin,
           const pps_bill_t *bill)
{
    struct cds_list_head *after = origin->items.prev;
    pps_bill_item_t *item;

    while (after != &origin->items) {
        item = cds_list_entry(after, pps_bill_item_t, node);
        if (item->bill.sequence == bill->sequence) {
            return PPS_OK;
        }
        if (item->bill.sequence < bill->sequence) {
            break;
        }
        after = after->prev;
    }
    if (bills->held_count >= bills->options.held_max) {
        return pps_error_set(PPS_ELIMIT,
                             "copy of a bill refused: %zu copies held, "
                             "limit reached",
                             bills->held_count);
    }
    item = calloc(1, sizeof(*item));
    if (item == NULL) {
        return pps_error_set(PPS_ENOMEM, "bills: out of memory");
    }
    item->bill = *bill;
    cds_list_add(&item->node, after);
    bills->held_count++;
    return PPS_OK;
}

int
pps_bills_store_copies(pps_bills_t *bills, const pps_bill_batch_t *batch)
{
    const pps_bill_t *first = &batch->bills[0];
    pps_bill_origin_t *origin =
        origin_intern(bills, first->host, first->incarnation);
    int error = PPS_OK;

    if (origin == NULL) {
        return pps_error_set(PPS_ENOMEM, "bills: out of memory");
    }
    for (size_t i = 0; i < batch->count && error == 0; i++) {
        if (batch->bills[i].sequence > origin->released) {
            error = origin_add(bills, origin, &batch->bills[i]);
        }
    }
    return error;
}

static void
discard_items(pps_bills_t *bills, pps_bill_origin_t *origin, uint64_t up_to)
{
    pps_bill_item_t *item;
    pps_bill_item_t *following;

    cds_list_for_each_entry_safe (item, following, &origin->items, node) {
        if (item->bill.sequence > up_to) {
            break;
        }
        cds_list_del(&item->node);
        free(item);
        bills->held_count--;
    }
}

void
pps_bills_discard_copies(pps_bills_t *bills, const char *host,
                         uint64_t incarnation, uint64_t up_to)
{
    pps_bill_origin_t *origin = origin_find(bills, host, incarnation);

    if (origin == NULL) {
        return;
    }
    if (up_to > origin->released) {
        origin->released = up_to;
    }
    discard_items(bills, origin, up_to);
}

void
pps_bills_mark_lost(pps_bills_t *bills, const char *host, uint64_t incarnation)
{
    pps_bill_origin_t *origin;

    cds_list_for_each_entry (origin, &bills->origins, node) {
        if (origin->incarnation <= incarnation &&
            strcmp(origin->host, host) == 0) {
            mark_lost(origin);
        }
    }
}

void
pps_bills_recover_host(pps_bills_t *bills, const char *host,
                       uint64_t incarnation)
{
    pthread_mutex_lock(&bills->mutex);
    /* Created if missing, so that copies that arrive later are appended. */
    origin_intern(bills, host, incarnation);
    pps_bills_mark_lost(bills, host, incarnation);
    pthread_mutex_unlock(&bills->mutex);
}

size_t
pps_bills_origins(pps_bills_t *bills, pps_bills_origin_id_t *out, size_t limit)
{
    pps_bill_origin_t *origin;
    size_t count = 0;

    pthread_mutex_lock(&bills->mutex);
    cds_list_for_each_entry (origin, &bills->origins, node) {
        if (origin->lost_us != 0 || cds_list_empty(&origin->items) ||
            count == limit) {
            continue;
        }
        memcpy(out[count].host, origin->host, sizeof(out[count].host));
        out[count++].incarnation = origin->incarnation;
    }
    pthread_mutex_unlock(&bills->mutex);
    return count;
}

void
pps_bills_origins_prune(pps_bills_t *bills, int64_t now_us)
{
    pps_bill_origin_t *origin;
    pps_bill_origin_t *following;

    cds_list_for_each_entry_safe (origin, following, &bills->origins, node) {
        if (origin->lost_us != 0 && cds_list_empty(&origin->items) &&
            now_us - origin->lost_us > LOST_ORIGIN_RETENTION_US) {
            cds_list_del(&origin->node);
            free(origin);
        }
    }
}

void
pps_bills_origins_clear(pps_bills_t *bills)
{
    pps_bill_origin_t *origin;
    pps_bill_origin_t *following;

    cds_list_for_each_entry_safe (origin, following, &bills->origins, node) {
        discard_items(bills, origin, UINT64_MAX);
        cds_list_del(&origin->node);
        free(origin);
    }
}
