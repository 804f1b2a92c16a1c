/** @file standin_lagged.c @brief List of the visible value and newer ones. */
#include "standin_lagged.h"

#include "clock.h"
#include "papayaswitch/errors.h"

#include <stdlib.h>

typedef struct {
    struct cds_list_head node;
    int64_t since_us;
    json_t *value;
} value_entry_t;

static int
add_value(standin_lagged_t *lagged, json_t *value, int64_t since_us)
{
    value_entry_t *entry = calloc(1, sizeof(*entry));

    if (entry == NULL || value == NULL) {
        free(entry);
        json_decref(value);
        return pps_error_set(PPS_ENOMEM, "lagged value: out of memory");
    }
    entry->value = value;
    entry->since_us = since_us;
    cds_list_add(&entry->node, &lagged->values);
    return PPS_OK;
}

static void
free_entry(value_entry_t *entry)
{
    cds_list_del(&entry->node);
    json_decref(entry->value);
    free(entry);
}

/* Returns the newest value set `lag_us` ago or before; frees older ones. */
static value_entry_t *
find_visible(standin_lagged_t *lagged)
{
    int64_t cutoff_us = pps_clock_now_us() - lagged->lag_us;
    value_entry_t *found = NULL;
    value_entry_t *entry;
    value_entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &lagged->values, node) {
        if (found != NULL) {
            free_entry(entry);
        }
        else if (entry->since_us <= cutoff_us) {
            found = entry;
        }
    }
    return found;
}

int
standin_lagged_init(standin_lagged_t *lagged, int64_t lag_us, json_t *value)
{
    pthread_mutex_init(&lagged->lock, NULL);
    CDS_INIT_LIST_HEAD(&lagged->values);
    lagged->lag_us = lag_us;
    return add_value(lagged, value, INT64_MIN);
}

void
standin_lagged_clear(standin_lagged_t *lagged)
{
    value_entry_t *entry;
    value_entry_t *next;

    cds_list_for_each_entry_safe (entry, next, &lagged->values, node) {
        free_entry(entry);
    }
    pthread_mutex_destroy(&lagged->lock);
}

int
standin_lagged_set(standin_lagged_t *lagged, json_t *value)
{
    int error;

    pthread_mutex_lock(&lagged->lock);
    error = add_value(lagged, value, pps_clock_now_us());
    find_visible(lagged);
    pthread_mutex_unlock(&lagged->lock);
    return error;
}

void
standin_lagged_set_lag(standin_lagged_t *lagged, int64_t lag_us)
{
    pthread_mutex_lock(&lagged->lock);
    lagged->lag_us = lag_us;
    pthread_mutex_unlock(&lagged->lock);
}

json_t *
standin_lagged_get(standin_lagged_t *lagged)
{
    value_entry_t *entry;
    json_t *value;

    pthread_mutex_lock(&lagged->lock);
    entry = find_visible(lagged);
    if (entry == NULL) {
        entry = cds_list_entry(lagged->values.prev, value_entry_t, node);
    }
    value = json_deep_copy(entry->value);
    pthread_mutex_unlock(&lagged->lock);
    return value;
}
