/** @file digest_history.c @brief Ring of the digests of states. */
#include "fold/digest_history.h"

#include "papayaswitch/errors.h"

void
pps_digest_history_add(pps_digest_history_t *history, uint64_t next,
                       uint64_t digest)
{
    size_t place = history->count % PPS_DIGEST_HISTORY_SIZE;

    history->marks[place] = (pps_digest_mark_t){next, digest};
    history->count++;
}

int
pps_digest_history_find(const pps_digest_history_t *history, uint64_t *digest,
                        uint64_t next)
{
    size_t kept = history->count < PPS_DIGEST_HISTORY_SIZE
                      ? history->count
                      : PPS_DIGEST_HISTORY_SIZE;

    for (size_t back = 1; back <= kept; back++) {
        size_t place = (history->count - back) % PPS_DIGEST_HISTORY_SIZE;

        if (history->marks[place].next <= next) {
            *digest = history->marks[place].digest;
            return PPS_OK;
        }
    }
    return PPS_ENOTFOUND;
}
