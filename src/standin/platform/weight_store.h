/**
 * @file weight_store.h
 * @brief Rate-limited transfers of model weights.
 */
#ifndef STANDIN_WEIGHT_STORE_H
#define STANDIN_WEIGHT_STORE_H

#include <pthread.h>
#include <stdint.h>

/** The store. */
typedef struct {
    pthread_mutex_t lock;
    int running;
    int concurrency;
    int64_t transfer_us; /**< time of one transfer */
} weight_store_t;

void
weight_store_init(weight_store_t *store, int concurrency, int64_t transfer_us);

void
weight_store_clear(weight_store_t *store);

/** Waits out one transfer. @return 0; PPS_ELIMIT when too many run */
int
weight_store_transfer(weight_store_t *store);

/** Size of a version's weights, a pure function of its name. */
uint64_t
weight_store_bytes(const char *version);

#endif
