/**
 * @file standin_lagged.h
 * @brief A JSON value that readers see as it was some time ago.
 */
#ifndef STANDIN_LAGGED_H
#define STANDIN_LAGGED_H

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>
#include <urcu/list.h>

/** The value's recent past, newest first. */
typedef struct {
    pthread_mutex_t lock;
    struct cds_list_head past;
    int64_t lag_us;
} standin_lagged_t;

/** Starts with a value that counts as old; takes its reference. */
int
standin_lagged_init(standin_lagged_t *lagged, int64_t lag_us, json_t *value);

/** Frees the past. */
void
standin_lagged_clear(standin_lagged_t *lagged);

/** Sets the value from now on; takes its reference. */
int
standin_lagged_set(standin_lagged_t *lagged, json_t *value);

/** Changes the lag. */
void
standin_lagged_set_lag(standin_lagged_t *lagged, int64_t lag_us);

/** A copy of the value as it was `lag_us` ago. */
json_t *
standin_lagged_get(standin_lagged_t *lagged);

#endif
