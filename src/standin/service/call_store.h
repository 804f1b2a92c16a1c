/**
 * @file call_store.h
 * @brief Counts the runs of the calls by request key.
 */
#ifndef STANDIN_CALL_STORE_H
#define STANDIN_CALL_STORE_H

#include "hash_table.h"

#include <jansson.h>
#include <pthread.h>
#include <stdint.h>

/** Counters of a key. */
typedef struct {
    char *key;
    uint64_t run_count;
    uint64_t fencing; /**< highest accepted fencing number */
    UT_hash_handle hh;
} call_entry_t;

/** Entries of all keys. */
typedef struct {
    pthread_mutex_t lock;
    call_entry_t *entries;
} call_store_t;

void
call_store_init(call_store_t *store);

void
call_store_clear(call_store_t *store);

/**
 * Counts a run and sets `run` to its number, from 1 on.
 * @param fencing the caller's fencing number, or NULL to skip the check
 * @return 0; PPS_EREFUSED if the key had a higher number before; PPS_ENOMEM
 */
int
call_store_add_run(call_store_t *store, const char *key,
                   const uint64_t *fencing, uint64_t *run);

/** Returns the number of runs of a key. */
uint64_t
call_store_run_count(call_store_t *store, const char *key);

/** Returns `{key: count}` for all keys. */
json_t *
call_store_list(call_store_t *store);

#endif
