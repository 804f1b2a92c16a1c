/** @file digest_history.c @brief Ring buffer of digests of states. */
#include "fold/digest_history.h"

#include "papayaswitch/errors.h"

void
pps_digest_history_add(pps_digest_history_t *history, uint64_t next_offset,
                       uint64_t digest)
{
    size_t index = history->count % PPS_DIGEST_HISTORY_SIZE;

    history->entries[index] = (pps_digest_entry_t){next_offset, digest};
    history->count++;
}

int
pps_digest_history_find(const pps_digest_history_t *history, uint64_t *digest,
                        uint64_t next_offset)
{
    size_t retained = history->count < PPS_DIGEST_HISTORY_SIZE
                          ? history->count
                          : PPS_DIGEST_HISTORY_SIZE;

    for (size_t age = 1; age <= retained; age++) {
        size_t index = (history->count - age) % PPS_DIGEST_HISTORY_SIZE;

        if (history->entries[index].next_offset <= next_offset) {
            *digest = history->entries[index].digest;
            return PPS_OK;
        }
    }
    return PPS_ENOTFOUND;
}
