/**
 * @file event.h
 * @brief Ring buffer of this host's decisions, read for the time line.
 *
 * There is one ring per process; all functions may be called on any thread.
 */
#ifndef PPS_UTIL_EVENT_H
#define PPS_UTIL_EVENT_H

#include "fields.h"

#include <jansson.h>
#include <stdint.h>

/** Capacity in events; when it is full, a new event evicts the oldest. */
#define PPS_EVENT_RING_SIZE 8192

/** Sets the host and incarnation that later events carry. */
void
pps_event_setup(const char *host, uint64_t incarnation);

/** Records an event, or drops it if out of memory. `kind` is a stable
 * lower-case identifier. */
void
pps_event_record(const char *kind, const pps_field_t *fields, size_t count);

/**
 * Returns the events from sequence number `since` on as a new JSON array of
 * objects with `seq`, `time_us`, `host`, `incarnation`, `kind` and the fields.
 * Evicted events are missing. The caller frees the array with json_decref().
 * @param next receives `since` for the following call; may be NULL
 */
json_t *
pps_event_list(uint64_t since, uint64_t *next);

#endif
