/**
 * @file call_store.h
 * @brief How often the act behind each key was run.
 */
#ifndef STANDIN_CALL_STORE_H
#define STANDIN_CALL_STORE_H

#include "hash_table.h"

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>

/** What is known of one key. */
typedef struct {
    char *key;
    uint64_t runs;
    uint64_t fencing; /**< highest fencing number seen */
    UT_hash_handle hh;
} call_entry_t;

/** All keys. */
typedef struct {
    pthread_mutex_t lock;
    call_entry_t *entries;
} call_store_t;

void
call_store_init(call_store_t *store);

void
call_store_clear(call_store_t *store);

/**
 * Counts a run.
 * @param fencing the caller's number; NULL when it is not checked
 * @return 0; PPS_EREFUSED when a higher number was seen; PPS_ENOMEM
 */
int
call_store_run(call_store_t *store, const char *key, const uint64_t *fencing,
               uint64_t *run);

/** Number of runs of a key. */
uint64_t
call_store_count(call_store_t *store, const char *key);

/** `{key: count}` of all keys. */
json_t *
call_store_list(call_store_t *store);

#endif
