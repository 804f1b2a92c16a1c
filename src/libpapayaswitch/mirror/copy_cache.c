/** @file copy_cache.c @brief Keeps compressed copies of topics. */
#include "copy_cache.h"

#include "copy_pack.h"

static int
is_current(const pps_copy_cache_t *cache, const pps_mirror_t *mirror)
{
    return cache->packed.size > 0 &&
           cache->epoch == pps_mirror_epoch(mirror) &&
           cache->relevant_end == pps_mirror_relevant_end(mirror);
}

static void
mark_current(pps_copy_cache_t *cache, const pps_mirror_t *mirror)
{
    cache->epoch = pps_mirror_epoch(mirror);
    cache->relevant_end = pps_mirror_relevant_end(mirror);
}

const pps_buf_t *
pps_copy_cache_get(pps_copy_cache_t *cache, const pps_mirror_t *mirror)
{
    pps_buf_t plain = PPS_BUF_INIT;
    int error;

    if (is_current(cache, mirror)) {
        return &cache->packed;
    }
    pps_buf_clear(&cache->packed);
    if (pps_mirror_relevant_end(mirror) < 0) {
        return NULL;
    }
    error = pps_mirror_encode(mirror, &plain);
    if (error == 0) {
        error = pps_copy_pack(&cache->packed, plain.data, plain.size);
    }
    pps_buf_clear(&plain);
    if (error != 0) {
        pps_buf_clear(&cache->packed);
        return NULL;
    }
    mark_current(cache, mirror);
    return &cache->packed;
}

void
pps_copy_cache_put(pps_copy_cache_t *cache, const pps_mirror_t *mirror,
                   const char *packed, size_t size)
{
    pps_buf_clear(&cache->packed);
    if (pps_buf_append(&cache->packed, packed, size) != 0) {
        pps_buf_clear(&cache->packed);
        return;
    }
    mark_current(cache, mirror);
}
