/** @file bill.c @brief Encodes and decodes batches of bills. */
#include "papayaswitch/bill.h"

#include "commit/pack.h"
#include "msgpack_check.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

#define BILL_FIELDS 10

static void
pack_bill(msgpack_packer *packer, const pps_bill_t *bill, uint64_t first)
{
    msgpack_pack_array(packer, BILL_FIELDS);
    msgpack_pack_uint64(packer, bill->sequence - first);
    pps_pack_text(packer, bill->request_id);
    pps_pack_text(packer, bill->workspace);
    pps_pack_text(packer, bill->model);
    pps_pack_text(packer, bill->version);
    pps_pack_text(packer, bill->upstream);
    msgpack_pack_uint64(packer, bill->prompt_tokens);
    msgpack_pack_uint64(packer, bill->generated_tokens);
    msgpack_pack_uint64(packer, bill->cost_micros);
    msgpack_pack_int(packer, (int)bill->kind);
}

int
pps_bill_batch_encode(void **out, size_t *size, const pps_bill_t *bills,
                      size_t count)
{
    msgpack_sbuffer buffer;
    msgpack_packer packer;

    if (count == 0 || count > PPS_BILL_BATCH_MAX) {
        return pps_error_set(PPS_EINVALID,
                             "cannot encode a batch of %zu bills: "
                             "expected 1 to PPS_BILL_BATCH_MAX",
                             count);
    }
    msgpack_sbuffer_init(&buffer);
    msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
    msgpack_pack_array(&packer, 4);
    pps_pack_text(&packer, bills[0].host);
    msgpack_pack_uint64(&packer, bills[0].incarnation);
    msgpack_pack_uint64(&packer, bills[0].sequence);
    msgpack_pack_array(&packer, count);
    for (size_t i = 0; i < count; i++) {
        pack_bill(&packer, &bills[i], bills[0].sequence);
    }
    *size = buffer.size;
    *out = msgpack_sbuffer_release(&buffer);
    return *out ? PPS_OK : pps_error_set(PPS_ENOMEM, "bills: out of memory");
}

static int
unpack_bill(pps_bill_t *bill, pps_pack_cursor_t *item, uint64_t first)
{
    uint64_t kind;

    bill->sequence = first + pps_pack_read_u64(item);
    pps_pack_read_text(item, bill->request_id, sizeof(bill->request_id));
    pps_pack_read_text(item, bill->workspace, sizeof(bill->workspace));
    pps_pack_read_text(item, bill->model, sizeof(bill->model));
    pps_pack_read_text(item, bill->version, sizeof(bill->version));
    pps_pack_read_text(item, bill->upstream, sizeof(bill->upstream));
    bill->prompt_tokens = pps_pack_read_u64(item);
    bill->generated_tokens = pps_pack_read_u64(item);
    bill->cost_micros = pps_pack_read_u64(item);
    kind = pps_pack_read_u64(item);
    bill->kind = (pps_bill_kind_t)kind;
    if (kind < PPS_BILL_COMPLETED || kind > PPS_BILL_CANCELLED ||
        bill->sequence < first) {
        return PPS_ECORRUPT;
    }
    return pps_pack_finish(item);
}

static int
unpack_batch(pps_bill_batch_t *out, const msgpack_object *object)
{
    pps_pack_cursor_t cursor;
    pps_pack_cursor_t list;
    pps_pack_cursor_t item;
    char host[PPS_NAME_MAX + 1];
    uint64_t incarnation;
    uint64_t first;
    int error = PPS_OK;

    pps_pack_open(&cursor, object);
    pps_pack_read_text(&cursor, host, sizeof(host));
    incarnation = pps_pack_read_u64(&cursor);
    first = pps_pack_read_u64(&cursor);
    pps_pack_read_array(&cursor, &list);
    if (pps_pack_finish(&cursor) < 0 || list.failed ||
        list.unread_count == 0 || list.unread_count > PPS_BILL_BATCH_MAX) {
        return PPS_ECORRUPT;
    }
    out->bills = calloc(list.unread_count, sizeof(*out->bills));
    if (out->bills == NULL) {
        return PPS_ENOMEM;
    }
    while (list.unread_count > 0 && error == 0) {
        pps_bill_t *bill = &out->bills[out->count++];

        pps_pack_read_array(&list, &item);
        memcpy(bill->host, host, sizeof(host));
        bill->incarnation = incarnation;
        error = list.failed ? PPS_ECORRUPT : unpack_bill(bill, &item, first);
    }
    return error;
}

int
pps_bill_batch_decode(pps_bill_batch_t *out, const void *payload, size_t size)
{
    msgpack_unpacked unpacked;
    int error = PPS_ECORRUPT;

    memset(out, 0, sizeof(*out));
    if (pps_msgpack_unpack(&unpacked, payload, size) == PPS_OK) {
        error = unpack_batch(out, &unpacked.data);
    }
    msgpack_unpacked_destroy(&unpacked);
    if (error < 0) {
        pps_bill_batch_clear(out);
        return pps_error_set(error, "cannot decode a batch of bills");
    }
    return PPS_OK;
}

void
pps_bill_batch_clear(pps_bill_batch_t *batch)
{
    free(batch->bills);
    memset(batch, 0, sizeof(*batch));
}
