/** @file usage_link.c @brief Sends and receives the usage of pools. */
#include "usage_link.h"

#include "buf.h"
#include "clock.h"
#include "counters.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

#define USAGES_MAX 256

static void
broadcast_usage(const char *upstream, const pps_usage_t *usage, size_t count,
                void *user)
{
    pps_router_t *router = user;
    unsigned char length = (unsigned char)strlen(upstream);
    pps_buf_t message = PPS_BUF_INIT;
    void *encoded = NULL;
    size_t size = 0;

    if (pps_usage_encode(&encoded, &size, usage, count) < 0) {
        return;
    }
    pps_buf_append(&message, &length, sizeof(length));
    pps_buf_append(&message, upstream, length);
    pps_buf_append(&message, encoded, size);
    if (!message.failed) {
        pps_peers_broadcast(router->peers, PPS_USAGE_LINK_KIND, message.data,
                            message.size);
    }
    pps_buf_clear(&message);
    free(encoded);
}

void
pps_usage_link_tick(pps_router_t *router, int64_t now_us)
{
    pps_worker_view_t *workers = pps_worker_registry_acquire(router->workers);

    pps_pool_table_tick(router->pools, workers, now_us, broadcast_usage,
                        router);
    pps_worker_view_free(workers);
}

static int
apply_usage(pps_router_t *router, const char *from,
            const unsigned char *payload, size_t size)
{
    pps_usage_t usage[USAGES_MAX];
    char upstream[PPS_NAME_MAX + 1];
    size_t length = size > 0 ? payload[0] : 0;
    size_t count = 0;

    if (length == 0 || length > PPS_NAME_MAX || size < 1 + length) {
        return pps_error_set(
            PPS_ECORRUPT,
            "usage message: invalid length of the upstream's name");
    }
    memcpy(upstream, payload + 1, length);
    upstream[length] = '\0';
    if (pps_usage_decode(usage, &count, USAGES_MAX, payload + 1 + length,
                         size - 1 - length) < 0) {
        return PPS_ECORRUPT;
    }
    return pps_pool_table_update_peer(router->pools, upstream, from, usage,
                                      count, pps_clock_now_us());
}

int
pps_usage_link_receive(pps_router_t *router, const char *from, uint32_t kind,
                       const void *payload, size_t size)
{
    if (kind != PPS_USAGE_LINK_KIND) {
        return PPS_ENOTFOUND;
    }
    if (apply_usage(router, from, payload, size) < 0) {
        pps_counter_add(PPS_COUNTER_USAGES_CORRUPT, 1);
    }
    return PPS_OK;
}
