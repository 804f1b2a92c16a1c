/**
 * @file event.h
 * @brief A bounded ring of this host's decisions, for the time line.
 *
 * One ring a process. Events are written from any thread.
 */
#ifndef PPS_UTIL_EVENT_H
#define PPS_UTIL_EVENT_H

#include "fields.h"

#include <jansson.h>
#include <stdint.h>

/** Events kept before the oldest is dropped. */
#define PPS_EVENT_RING_SIZE 8192

/** Names the host and its incarnation in all later events. */
void
pps_event_setup(const char *host, uint64_t incarnation);

/** Records an event. `kind` is a stable lower-case word. */
void
pps_event_record(const char *kind, const pps_field_t *fields, size_t count);

/**
 * The events with a sequence number of `since` or higher, as a JSON array of
 * objects with `seq`, `time_us`, `host`, `kind` and the fields.
 * @param next the sequence number to ask for next; may be NULL
 */
json_t *
pps_event_list(uint64_t since, uint64_t *next);

#endif
