/** @file run_log.c @brief Hash table of requests by id. */
#include "run_log.h"

#include "papayaswitch/errors.h"

#include <stdlib.h>
#include <string.h>

static void
entry_free(run_entry_t *entry)
{
    free(entry->request_id);
    free(entry->version);
    free(entry);
}

void
run_log_clear(run_log_t *log)
{
    run_entry_t *entry = log->entries;

    HASH_CLEAR(hh, log->entries);
    while (entry != NULL) {
        run_entry_t *next = entry->hh.next;

        entry_free(entry);
        entry = next;
    }
}

static int
entry_new(run_entry_t **out, const char *request_id, const char *version)
{
    run_entry_t *entry = calloc(1, sizeof(*entry));

    if (entry == NULL) {
        return pps_error_set(PPS_ENOMEM, "run log: out of memory");
    }
    entry->request_id = strdup(request_id);
    entry->version = strdup(version);
    if (entry->request_id == NULL || entry->version == NULL) {
        entry_free(entry);
        return pps_error_set(PPS_ENOMEM, "run log: out of memory");
    }
    *out = entry;
    return PPS_OK;
}

int
/* NOLINTNEXTLINE(readability-function-size): hash macros */
run_log_count_start(run_log_t *log, run_entry_t **out, const char *request_id,
                    const char *version)
{
    run_entry_t *entry;
    int error;

    HASH_FIND_STR(log->entries, request_id, entry);
    if (entry == NULL) {
        error = entry_new(&entry, request_id, version);
        if (error < 0) {
            return error;
        }
        HASH_ADD_KEYPTR(hh, log->entries, entry->request_id,
                        strlen(entry->request_id), entry);
    }
    entry->start_count++;
    entry->state = RUN_RUNNING;
    *out = entry;
    return PPS_OK;
}

static json_t *
entry_json(const run_entry_t *entry)
{
    return json_pack(
        "{s:s,s:s,s:I,s:I,s:b}", "request_id", entry->request_id, "version",
        entry->version, "starts", (json_int_t)entry->start_count, "tokens",
        (json_int_t)entry->token_count, "finished", entry->finished);
}

json_t *
run_log_json(const run_log_t *log)
{
    json_t *runs = json_array();
    json_t *start_counts = json_object();
    const run_entry_t *entry;

    for (entry = log->entries; entry != NULL; entry = entry->hh.next) {
        json_int_t count =
            json_integer_value(json_object_get(start_counts, entry->version));

        json_array_append_new(runs, entry_json(entry));
        json_object_set_new(
            start_counts, entry->version,
            json_integer(count + (json_int_t)entry->start_count));
    }
    return json_pack("{s:o,s:o}", "runs", runs, "started_by_version",
                     start_counts);
}

json_t *
run_log_outcome(const run_log_t *log, const char *request_id)
{
    static const char *const state_names[] = {"running", "done", "cancelled"};
    const run_entry_t *entry;

    HASH_FIND_STR(log->entries, request_id, entry);
    return json_pack("{s:s,s:I}", "state",
                     entry == NULL ? "unknown" : state_names[entry->state],
                     "generated_tokens",
                     entry == NULL ? (json_int_t)0
                                   : (json_int_t)entry->token_count);
}
