/** @file fuzz_checkpoint.c @brief Restores and folds arbitrary bytes. */
#include "fold/config_checkpoint.h"
#include "papayaswitch/config_fold.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A restored checkpoint must encode to the same bytes. */
static void
check_restore(const void *payload, size_t size)
{
    pps_config_fold_t *fold;
    void *encoded;
    size_t encoded_size;

    if (pps_config_fold_restore(&fold, payload, size) < 0) {
        return;
    }
    if (pps_config_fold_checkpoint(fold, &encoded, &encoded_size) < 0 ||
        encoded_size != size || memcmp(encoded, payload, size) != 0) {
        abort();
    }
    free(encoded);
    pps_config_fold_free(fold);
}

/* A record of arbitrary bytes must not stop the fold. */
static void
check_fold(const void *payload, size_t size, pps_record_kind_t kind)
{
    pps_log_entry_t entry = {0};
    pps_config_fold_t *fold;
    void *record;

    if (pps_record_encode(&record, &entry.size, kind, payload, size) < 0) {
        return;
    }
    entry.data = record;
    if (pps_config_fold_new(&fold) < 0 ||
        pps_config_fold_apply(fold, &entry) < 0 ||
        pps_config_fold_next(fold) != 1) {
        abort();
    }
    pps_config_fold_free(fold);
    free(record);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    void *packed;
    size_t packed_size;

    check_restore(data, size);
    check_fold(data, size, PPS_RECORD_CONFIG_CHECKPOINT);
    check_fold(data, size, PPS_RECORD_NOTE);
    /* A valid checksum lets the decoder of the state read arbitrary bytes. */
    if (pps_config_checkpoint_pack(&packed, &packed_size, 7, data, size) < 0) {
        abort();
    }
    check_restore(packed, packed_size);
    free(packed);
    return 0;
}
