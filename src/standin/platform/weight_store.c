/** @file weight_store.c @brief Simulated transfers of a fixed duration. */
#include "weight_store.h"

#include "papayaswitch/errors.h"
#include "standin_server.h"

#include <string.h>
#include <xxhash.h>

#define BYTES_MIN (UINT64_C(1) << 30)
#define BYTES_RANGE (UINT64_C(8) << 30)

void
weight_store_init(weight_store_t *store, int concurrency, int64_t transfer_us)
{
    pthread_mutex_init(&store->lock, NULL);
    store->running = 0;
    store->concurrency = concurrency;
    store->transfer_us = transfer_us;
}

void
weight_store_clear(weight_store_t *store)
{
    pthread_mutex_destroy(&store->lock);
}

static int
acquire_transfer(weight_store_t *store)
{
    int acquired;

    pthread_mutex_lock(&store->lock);
    acquired = store->running < store->concurrency;
    store->running += acquired;
    pthread_mutex_unlock(&store->lock);
    return acquired;
}

static void
release_transfer(weight_store_t *store)
{
    pthread_mutex_lock(&store->lock);
    store->running--;
    pthread_mutex_unlock(&store->lock);
}

int
weight_store_transfer(weight_store_t *store)
{
    if (!acquire_transfer(store)) {
        return pps_error_set(PPS_ELIMIT,
                             "weights: too many concurrent transfers");
    }
    standin_server_sleep_us(store->transfer_us);
    release_transfer(store);
    return PPS_OK;
}

uint64_t
weight_store_bytes(const char *version)
{
    return BYTES_MIN + XXH64(version, strlen(version), 0) % BYTES_RANGE;
}
