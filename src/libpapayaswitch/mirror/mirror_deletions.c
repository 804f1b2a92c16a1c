/** @file mirror_deletions.c @brief Remembers the latest deletions of a mirror,
 * which its entries do not show. */
#include "mirror_state.h"

#include <stdlib.h>
#include <string.h>

void
pps_mirror_note_deletion(pps_mirror_t *mirror, int64_t offset, const char *key,
                         size_t key_size)
{
    pps_mirror_deletions_t *deletions = &mirror->deletions;
    pps_mirror_deletion_t *item = &deletions->items[deletions->next];

    if (item->key != NULL && item->offset >= deletions->known_from) {
        deletions->known_from = item->offset + 1;
    }
    free(item->key);
    item->key = strndup(key, key_size);
    item->offset = offset;
    deletions->next = (deletions->next + 1) % PPS_MIRROR_DELETIONS;
    if (item->key == NULL && offset >= deletions->known_from) {
        deletions->known_from = offset + 1;
    }
}

void
pps_mirror_forget_deletions(pps_mirror_t *mirror, int64_t end)
{
    pps_mirror_deletions_t *deletions = &mirror->deletions;

    for (unsigned int i = 0; i < PPS_MIRROR_DELETIONS; i++) {
        free(deletions->items[i].key);
        deletions->items[i].key = NULL;
    }
    deletions->known_from = end;
}
