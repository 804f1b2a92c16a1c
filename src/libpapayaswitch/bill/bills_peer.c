/** @file bills_peer.c @brief Exchanges messages between owner and partner. */
#include "bills_state.h"

#include "clock.h"
#include "commit/pack.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

/** Time until a release is sent again, since messages may be lost. */
#define RELEASE_RESEND_US (5 * PPS_US_PER_S)
/** Maximum number of bills in a resend message. */
#define RESEND_BILLS_MAX 100

/** Payload of an acknowledgement and of a release. */
typedef struct {
    uint64_t incarnation; /**< of the owner */
    uint64_t first;
    uint64_t last;
} sequence_range_t;

static void
send_range(pps_bills_t *bills, const char *to, pps_bills_message_t kind,
           const sequence_range_t *range)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 3);
    msgpack_pack_uint64(&packer, range->incarnation);
    msgpack_pack_uint64(&packer, range->first);
    msgpack_pack_uint64(&packer, range->last);
    bills->transport.send(bills->transport.user, to, kind, buffer.data,
                          buffer.size);
    msgpack_sbuffer_destroy(&buffer);
}

static int
decode_range(sequence_range_t *out, const void *payload, size_t size)
{
    msgpack_unpacked unpacked;
    pps_pack_cursor_t cursor;
    int error = PPS_ECORRUPT;

    if (pps_msgpack_unpack(&unpacked, payload, size) == PPS_OK) {
        pps_pack_open(&cursor, &unpacked.data);
        out->incarnation = pps_pack_read_u64(&cursor);
        out->first = pps_pack_read_u64(&cursor);
        out->last = pps_pack_read_u64(&cursor);
        error = pps_pack_finish(&cursor);
    }
    msgpack_unpacked_destroy(&unpacked);
    return error < 0
               ? pps_error_set(error, "cannot decode an acknowledgement or "
                                      "release of bills")
               : PPS_OK;
}

static void
send_batch(pps_bills_t *bills, const pps_bill_t *batch, size_t count)
{
    void *payload;
    size_t size;

    if (count == 0 ||
        pps_bill_batch_encode(&payload, &size, batch, count) < 0) {
        return;
    }
    bills->transport.send(bills->transport.user, bills->partner,
                          PPS_BILLS_HOLD, payload, size);
    free(payload);
}

void
pps_bills_send_hold(pps_bills_t *bills, pps_bill_item_t *item, int64_t now_us)
{
    if (bills->partner[0] == '\0') {
        return;
    }
    if (!item->sent) {
        item->sent = 1;
        item->first_sent_us = now_us;
    }
    item->sent_us = now_us;
    send_batch(bills, &item->bill, 1);
}

/* Groups bills with consecutive sequences into a message, because an
 * acknowledgement names the first and last sequence of a message. */
static void
resend_holds(pps_bills_t *bills, int64_t now_us)
{
    pps_bill_t *batch = calloc(RESEND_BILLS_MAX, sizeof(*batch));
    size_t count = 0;
    pps_bill_item_t *item;

    if (batch == NULL) {
        return;
    }
    cds_list_for_each_entry (item, &bills->own, node) {
        if (item->partner_acked ||
            (item->sent &&
             now_us - item->sent_us < bills->options.resend_interval_us)) {
            continue;
        }
        if (count == RESEND_BILLS_MAX ||
            (count > 0 &&
             batch[count - 1].sequence + 1 != item->bill.sequence)) {
            send_batch(bills, batch, count);
            count = 0;
        }
        if (!item->sent) {
            item->sent = 1;
            item->first_sent_us = now_us;
        }
        item->sent_us = now_us;
        batch[count++] = item->bill;
    }
    send_batch(bills, batch, count);
    free(batch);
}

static int
has_partner_timed_out(const pps_bills_t *bills, int64_t now_us)
{
    const pps_bill_item_t *item;

    cds_list_for_each_entry (item, &bills->own, node) {
        if (item->sent && !item->partner_acked) {
            return now_us - item->first_sent_us >
                   bills->options.partner_timeout_us;
        }
    }
    return 0;
}

static void
send_releases(pps_bills_t *bills, int64_t now_us)
{
    sequence_range_t range = {bills->options.incarnation, 0,
                              pps_bills_logged_up_to(bills)};
    pps_bill_partner_t *partner;

    for (size_t i = 0; i < bills->partner_count; i++) {
        partner = &bills->partners[i];
        if (range.last == 0 ||
            (range.last == partner->released &&
             now_us - partner->release_sent_us < RELEASE_RESEND_US)) {
            continue;
        }
        partner->released = range.last;
        partner->release_sent_us = now_us;
        send_range(bills, partner->host, PPS_BILLS_RELEASE, &range);
    }
}

void
pps_bills_resend(pps_bills_t *bills, int64_t now_us)
{
    if (bills->partner[0] != '\0') {
        if (bills->exposed > 0) {
            resend_holds(bills, now_us);
        }
        bills->partner_timed_out =
            bills->exposed > 0 && has_partner_timed_out(bills, now_us);
    }
    send_releases(bills, now_us);
}

static void
add_partner(pps_bills_t *bills, const char *host)
{
    pps_bill_partner_t partner = {.released = 0};
    size_t last = PPS_BILLS_PARTNERS_MAX - 1;

    for (size_t i = 0; i < bills->partner_count; i++) {
        if (strcmp(bills->partners[i].host, host) == 0) {
            return;
        }
    }
    memcpy(partner.host, host, strlen(host) + 1);
    if (bills->partner_count > last) {
        memmove(bills->partners, bills->partners + 1,
                last * sizeof(bills->partners[0]));
        bills->partner_count = last;
    }
    bills->partners[bills->partner_count++] = partner;
}

void
pps_bills_reset_acks(pps_bills_t *bills)
{
    pps_bill_item_t *item;

    cds_list_for_each_entry (item, &bills->own, node) {
        item->sent = 0;
        item->partner_acked = 0;
    }
    bills->exposed = bills->own_count;
}

void
pps_bills_set_partner(pps_bills_t *bills, const char *host_id)
{
    const char *host = host_id ? host_id : "";
    int64_t now_us = pps_clock_now_us();

    pthread_mutex_lock(&bills->mutex);
    if (strlen(host) > PPS_NAME_MAX || strcmp(host, bills->partner) == 0) {
        goto done;
    }
    memcpy(bills->partner, host, strlen(host) + 1);
    bills->partner_timed_out = 0;
    pps_bills_reset_acks(bills);
    if (host[0] != '\0') {
        add_partner(bills, host);
        resend_holds(bills, now_us);
    }
done:
    pthread_mutex_unlock(&bills->mutex);
}

static int
handle_hold(pps_bills_t *bills, const char *from, const void *payload,
            size_t size)
{
    pps_bill_batch_t batch;
    sequence_range_t range;
    int error = pps_bill_batch_decode(&batch, payload, size);

    if (error < 0) {
        return error;
    }
    if (strcmp(batch.bills[0].host, from) != 0) {
        pps_bill_batch_clear(&batch);
        return pps_error_set(PPS_EREFUSED,
                             "bills message from a host that does not own "
                             "the bills");
    }
    error = pps_bills_store_copies(bills, &batch);
    if (error == 0) {
        range.incarnation = batch.bills[0].incarnation;
        range.first = batch.bills[0].sequence;
        range.last = batch.bills[batch.count - 1].sequence;
        send_range(bills, from, PPS_BILLS_HOLD_ACK, &range);
    }
    pps_bill_batch_clear(&batch);
    return error;
}

static void
mark_acked(pps_bills_t *bills, pps_bill_item_t *item, int is_partner)
{
    item->acked = 1;
    if (is_partner && !item->partner_acked) {
        item->partner_acked = 1;
        bills->exposed--;
    }
}

static int
handle_hold_ack(pps_bills_t *bills, const char *from,
                const sequence_range_t *range)
{
    int is_partner = strcmp(from, bills->partner) == 0;
    pps_bill_item_t *item;

    if (range->incarnation != bills->options.incarnation) {
        return PPS_OK;
    }
    /* Searches from the end, as most acknowledgements are for new bills. */
    cds_list_for_each_entry_reverse(item, &bills->own, node)
    {
        if (item->bill.sequence < range->first) {
            break;
        }
        if (item->bill.sequence <= range->last) {
            mark_acked(bills, item, is_partner);
        }
    }
    pthread_cond_broadcast(&bills->changed);
    return PPS_OK;
}

static int
handle_message(pps_bills_t *bills, const char *from, pps_bills_message_t kind,
               const void *payload, size_t size)
{
    sequence_range_t range;
    int error;

    if (kind == PPS_BILLS_HOLD) {
        return handle_hold(bills, from, payload, size);
    }
    error = decode_range(&range, payload, size);
    if (error < 0) {
        return error;
    }
    if (kind == PPS_BILLS_HOLD_ACK) {
        return handle_hold_ack(bills, from, &range);
    }
    if (kind != PPS_BILLS_RELEASE) {
        return pps_error_set(PPS_ECORRUPT, "unknown kind of bills message: %d",
                             (int)kind);
    }
    pps_bills_discard_copies(bills, from, range.incarnation, range.last);
    return PPS_OK;
}

int
pps_bills_receive(pps_bills_t *bills, const char *from,
                  pps_bills_message_t kind, const void *payload, size_t size)
{
    int error;

    pthread_mutex_lock(&bills->mutex);
    error = handle_message(bills, from, kind, payload, size);
    pthread_mutex_unlock(&bills->mutex);
    return error;
}
