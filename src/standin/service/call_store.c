/** @file call_store.c @brief Hash table of run counts and fencing numbers. */
#include "call_store.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

void
call_store_init(call_store_t *store)
{
    pthread_mutex_init(&store->lock, NULL);
    store->entries = NULL;
}

void
call_store_clear(call_store_t *store)
{
    call_entry_t *entry = store->entries;

    HASH_CLEAR(hh, store->entries);
    while (entry != NULL) {
        call_entry_t *next = entry->hh.next;

        free(entry->key);
        free(entry);
        entry = next;
    }
    pthread_mutex_destroy(&store->lock);
}

static call_entry_t *
/* NOLINTNEXTLINE(readability-function-size): hash macros */
find_or_add(call_store_t *store, const char *key)
{
    call_entry_t *entry;

    HASH_FIND_STR(store->entries, key, entry);
    if (entry != NULL) {
        return entry;
    }
    entry = calloc(1, sizeof(*entry));
    if (entry == NULL) {
        return NULL;
    }
    entry->key = strdup(key);
    if (entry->key == NULL) {
        free(entry);
        return NULL;
    }
    HASH_ADD_KEYPTR(hh, store->entries, entry->key, strlen(entry->key), entry);
    return entry;
}

int
call_store_add_run(call_store_t *store, const char *key,
                   const uint64_t *fencing, uint64_t *run)
{
    call_entry_t *entry;
    int error = PPS_OK;

    pthread_mutex_lock(&store->lock);
    entry = find_or_add(store, key);
    if (entry == NULL) {
        error = pps_error_set(PPS_ENOMEM, "calls: out of memory");
        goto done;
    }
    if (fencing != NULL && *fencing < entry->fencing) {
        error = pps_error_set(PPS_EREFUSED, "fencing number is stale");
        goto done;
    }
    if (fencing != NULL) {
        entry->fencing = *fencing;
    }
    *run = ++entry->run_count;
done:
    pthread_mutex_unlock(&store->lock);
    return error;
}

uint64_t
call_store_run_count(call_store_t *store, const char *key)
{
    call_entry_t *entry;
    uint64_t run_count;

    pthread_mutex_lock(&store->lock);
    HASH_FIND_STR(store->entries, key, entry);
    run_count = entry == NULL ? 0 : entry->run_count;
    pthread_mutex_unlock(&store->lock);
    return run_count;
}

json_t *
call_store_list(call_store_t *store)
{
    json_t *list = json_object();
    const call_entry_t *entry;

    pthread_mutex_lock(&store->lock);
    for (entry = store->entries; entry != NULL; entry = entry->hh.next) {
        json_object_set_new(list, entry->key,
                            json_integer((json_int_t)entry->run_count));
    }
    pthread_mutex_unlock(&store->lock);
    return list;
}
