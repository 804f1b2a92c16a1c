/** @file fuzz_checkpoint.c @brief Checkpoints from arbitrary bytes. */
#include "fold/config_checkpoint.h"
#include "papayaswitch/config_fold.h"
#include "papayaswitch/errors.h"
#include "papayaswitch/record.h"

#include <stdlib.h>
#include <string.h>

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What restores must encode to the same bytes. */
static void
restore(const void *payload, size_t size)
{
    pps_config_fold_t *fold;
    void *again;
    size_t again_size;

    if (pps_config_fold_restore(&fold, payload, size) < 0) {
        return;
    }
    if (pps_config_fold_checkpoint(fold, &again, &again_size) < 0 ||
        again_size != size || memcmp(again, payload, size) != 0) {
        abort();
    }
    free(again);
    pps_config_fold_free(fold);
}

/* A record of arbitrary bytes never stops the fold. */
static void
fold(const void *payload, size_t size, pps_record_kind_t kind)
{
    pps_log_entry_t entry = {0};
    pps_config_fold_t *config;
    void *record;

    if (pps_record_encode(&record, &entry.size, kind, payload, size) < 0) {
        return;
    }
    entry.data = record;
    if (pps_config_fold_new(&config) < 0 ||
        pps_config_fold_apply(config, &entry) < 0 ||
        pps_config_fold_next(config) != 1) {
        abort();
    }
    pps_config_fold_free(config);
    free(record);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    void *packed;
    size_t packed_size;

    restore(data, size);
    fold(data, size, PPS_RECORD_CONFIG_CHECKPOINT);
    fold(data, size, PPS_RECORD_NOTE);
    /* With a digest that holds, so that the state itself is reached. */
    if (pps_config_checkpoint_pack(&packed, &packed_size, 7, data, size) < 0) {
        abort();
    }
    restore(packed, packed_size);
    free(packed);
    return 0;
}
