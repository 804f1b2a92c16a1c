/**
 * @file standin_lagged.h
 * @brief JSON value that readers see with a delay.
 */
#ifndef STANDIN_LAGGED_H
#define STANDIN_LAGGED_H

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>
#include <urcu/list.h>

/** The current value and the past ones that readers still need. */
typedef struct {
    pthread_mutex_t lock;
    struct cds_list_head values; /**< newest first */
    int64_t lag_us;
} standin_lagged_t;

/** Sets a first value, visible at once; takes over its reference. */
int
standin_lagged_init(standin_lagged_t *lagged, int64_t lag_us, json_t *value);

/** Frees all values. */
void
standin_lagged_clear(standin_lagged_t *lagged);

/** Sets the current value; takes over its reference. */
int
standin_lagged_set(standin_lagged_t *lagged, json_t *value);

/** Sets the delay. */
void
standin_lagged_set_lag(standin_lagged_t *lagged, int64_t lag_us);

/** Returns a copy of the value as it was `lag_us` ago, or of the oldest one
 * that is kept; the caller frees it. */
json_t *
standin_lagged_get(standin_lagged_t *lagged);

#endif
