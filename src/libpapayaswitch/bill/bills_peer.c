/** @file bills_peer.c @brief Messages between a bill's owner and its partner.
 */
#include "bills_state.h"

#include "clock.h"
#include "commit/pack.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

/** A release is told again after this: the message may have been lost. */
#define RELEASE_REPEAT_US (5 * PPS_US_PER_S)
/** Bills in one message. */
#define HOLD_MESSAGE_MAX 100

/** Payload of an acknowledgement and of a release. */
typedef struct {
    uint64_t incarnation; /**< of the owner */
    uint64_t first;
    uint64_t last;
} span_t;

static void
send_span(pps_bills_t *bills, const char *to, pps_bills_message_t kind,
          const span_t *span)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 3);
    msgpack_pack_uint64(&packer, span->incarnation);
    msgpack_pack_uint64(&packer, span->first);
    msgpack_pack_uint64(&packer, span->last);
    bills->transport.send(bills->transport.user, to, kind, buffer.data,
                          buffer.size);
    msgpack_sbuffer_destroy(&buffer);
}

static int
read_span(span_t *out, const void *payload, size_t size)
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
    return error < 0 ? pps_error_set(error, "bills message") : PPS_OK;
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

/* Repeats run of neighbours: an answer names a span, so that the bills of one
 * message must follow one another. */
static void
resend_holds(pps_bills_t *bills, int64_t now_us)
{
    pps_bill_t *batch = calloc(HOLD_MESSAGE_MAX, sizeof(*batch));
    size_t count = 0;
    pps_bill_item_t *item;

    if (batch == NULL) {
        return;
    }
    cds_list_for_each_entry (item, &bills->own, node) {
        if (item->partner_has ||
            (item->sent &&
             now_us - item->sent_us < bills->options.resend_us)) {
            continue;
        }
        if (count == HOLD_MESSAGE_MAX ||
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
is_silent(const pps_bills_t *bills, int64_t now_us)
{
    const pps_bill_item_t *item;

    cds_list_for_each_entry (item, &bills->own, node) {
        if (item->sent && !item->partner_has) {
            return now_us - item->first_sent_us >
                   bills->options.partner_silent_us;
        }
    }
    return 0;
}

static void
send_releases(pps_bills_t *bills, int64_t now_us)
{
    span_t span = {bills->options.incarnation, 0,
                   pps_bills_logged_up_to(bills)};
    pps_bill_partner_t *partner;

    for (size_t i = 0; i < bills->partner_count; i++) {
        partner = &bills->partners[i];
        if (span.last == 0 ||
            (span.last == partner->released &&
             now_us - partner->told_us < RELEASE_REPEAT_US)) {
            continue;
        }
        partner->released = span.last;
        partner->told_us = now_us;
        send_span(bills, partner->host, PPS_BILLS_RELEASE, &span);
    }
}

void
pps_bills_resend(pps_bills_t *bills, int64_t now_us)
{
    if (bills->partner[0] != '\0') {
        if (bills->exposed > 0) {
            resend_holds(bills, now_us);
        }
        bills->partner_silent = bills->exposed > 0 && is_silent(bills, now_us);
    }
    send_releases(bills, now_us);
}

static void
remember_partner(pps_bills_t *bills, const char *host)
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
pps_bills_ask_again(pps_bills_t *bills)
{
    pps_bill_item_t *item;

    cds_list_for_each_entry (item, &bills->own, node) {
        item->sent = 0;
        item->partner_has = 0;
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
    bills->partner_silent = 0;
    pps_bills_ask_again(bills);
    if (host[0] != '\0') {
        remember_partner(bills, host);
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
    span_t span;
    int error = pps_bill_batch_decode(&batch, payload, size);

    if (error < 0) {
        return error;
    }
    if (strcmp(batch.bills[0].host, from) != 0) {
        pps_bill_batch_clear(&batch);
        return pps_error_set(PPS_EREFUSED, "bills of another host");
    }
    error = pps_bills_keep(bills, &batch);
    if (error == 0) {
        span.incarnation = batch.bills[0].incarnation;
        span.first = batch.bills[0].sequence;
        span.last = batch.bills[batch.count - 1].sequence;
        send_span(bills, from, PPS_BILLS_HOLD_ACK, &span);
    }
    pps_bill_batch_clear(&batch);
    return error;
}

static void
take_ack(pps_bills_t *bills, pps_bill_item_t *item, int is_partner)
{
    item->acked = 1;
    if (is_partner && !item->partner_has) {
        item->partner_has = 1;
        bills->exposed--;
    }
}

static int
handle_hold_ack(pps_bills_t *bills, const char *from, const span_t *span)
{
    int is_partner = strcmp(from, bills->partner) == 0;
    pps_bill_item_t *item;

    if (span->incarnation != bills->options.incarnation) {
        return PPS_OK;
    }
    /* Mostly the newest bill is meant: the search starts at the end. */
    cds_list_for_each_entry_reverse(item, &bills->own, node)
    {
        if (item->bill.sequence < span->first) {
            break;
        }
        if (item->bill.sequence <= span->last) {
            take_ack(bills, item, is_partner);
        }
    }
    pthread_cond_broadcast(&bills->changed);
    return PPS_OK;
}

static int
receive(pps_bills_t *bills, const char *from, pps_bills_message_t kind,
        const void *payload, size_t size)
{
    span_t span;
    int error;

    if (kind == PPS_BILLS_HOLD) {
        return handle_hold(bills, from, payload, size);
    }
    error = read_span(&span, payload, size);
    if (error < 0) {
        return error;
    }
    if (kind == PPS_BILLS_HOLD_ACK) {
        return handle_hold_ack(bills, from, &span);
    }
    if (kind != PPS_BILLS_RELEASE) {
        return pps_error_set(PPS_ECORRUPT, "bills message %d", (int)kind);
    }
    pps_bills_discard_copies(bills, from, span.incarnation, span.last);
    return PPS_OK;
}

int
pps_bills_receive(pps_bills_t *bills, const char *from,
                  pps_bills_message_t kind, const void *payload, size_t size)
{
    int error;

    pthread_mutex_lock(&bills->mutex);
    error = receive(bills, from, kind, payload, size);
    pthread_mutex_unlock(&bills->mutex);
    return error;
}
