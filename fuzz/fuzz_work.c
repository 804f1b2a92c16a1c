/**
 * @file fuzz_work.c
 * @brief Decodes arbitrary bytes as records of `work` and `bills`, checkpoints
 * or session tokens. The first byte selects the kind.
 */
#include "papayaswitch/bill_reader.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"
#include "papayaswitch/session_token.h"
#include "work/fold_state.h"

#include <stdlib.h>
#include <string.h>

#define KINDS 8

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
fold_record(pps_record_kind_t kind, const uint8_t *payload, size_t size)
{
    pps_log_entry_t entry = {.offset = 0, .time_us = 1};
    pps_work_fold_t *fold;
    void *record;

    if (pps_record_encode(&record, &entry.size, kind, payload, size) < 0) {
        return;
    }
    entry.data = record;
    if (pps_work_fold_new(&fold, NULL) < 0 ||
        pps_work_fold_apply(fold, &entry, NULL) < 0) {
        abort();
    }
    pps_work_fold_free(fold);
    free(record);
}

/* A decoded state must keep its digest when encoded and decoded again. */
static void
restore(const uint8_t *state, size_t size)
{
    pps_work_fold_t *fold;
    pps_work_fold_t *decoded_again;
    void *bytes;
    size_t bytes_size;

    if (pps_fold_decode(&fold, state, size) < 0) {
        return;
    }
    if (pps_fold_encode(fold, &bytes, &bytes_size) < 0 ||
        pps_fold_decode(&decoded_again, bytes, bytes_size) < 0 ||
        pps_work_fold_digest(decoded_again) != pps_work_fold_digest(fold)) {
        abort();
    }
    pps_work_fold_free(decoded_again);
    pps_work_fold_free(fold);
    free(bytes);
}

static void
read_bills(const uint8_t *payload, size_t size)
{
    pps_log_entry_t entry = {.offset = 0};
    pps_bill_reader_t *reader;
    void *record;

    if (pps_record_encode(&record, &entry.size, PPS_RECORD_BILLS, payload,
                          size) < 0) {
        return;
    }
    entry.data = record;
    if (pps_bill_reader_new(&reader) < 0 ||
        pps_bill_reader_feed(reader, &entry) < 0) {
        abort();
    }
    pps_bill_reader_free(reader);
    free(record);
}

static void
open_token(const uint8_t *data, size_t size)
{
    static const pps_session_key_t key = {{1}};
    pps_session_token_t token;
    char *text = strndup((const char *)data, size);

    if (text != NULL && pps_session_token_open(&token, text, "ministry", 0,
                                               &key, 1) != PPS_EREFUSED) {
        abort();
    }
    free(text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size == 0) {
        return 0;
    }
    switch (data[0] % KINDS) {
    case 0:
        restore(data + 1, size - 1);
        break;
    case 1:
        read_bills(data + 1, size - 1);
        break;
    case 2:
        open_token(data + 1, size - 1);
        break;
    default:
        fold_record((pps_record_kind_t)(data[0] % KINDS), data + 1, size - 1);
    }
    return 0;
}
