/**
 * @file weight_store.h
 * @brief Simulates transfers of model weights with limited concurrency.
 */
#ifndef STANDIN_WEIGHT_STORE_H
#define STANDIN_WEIGHT_STORE_H

#include <pthread.h>
#include <stdint.h>

/** Running transfers and their limits. */
typedef struct {
    pthread_mutex_t lock;
    int running;
    int concurrency;     /**< maximum number of concurrent transfers */
    int64_t transfer_us; /**< duration of one transfer */
} weight_store_t;

void
weight_store_init(weight_store_t *store, int concurrency, int64_t transfer_us);

void
weight_store_clear(weight_store_t *store);

/** Sleeps for `transfer_us`. @return 0; PPS_ELIMIT if too many run */
int
weight_store_transfer(weight_store_t *store);

/** Returns the size of a version's weights, which depends on its name only. */
uint64_t
weight_store_bytes(const char *version);

#endif
