/**
 * @file event_split.h
 * @brief Cuts a byte stream into whole server-sent events and reads their ids.
 */
#ifndef PPS_EXCHANGE_EVENT_SPLIT_H
#define PPS_EXCHANGE_EVENT_SPLIT_H

#include "buf.h"

#include <stdint.h>

/** The state between pieces. Zero-initialise; free with pps_buf_clear(). */
typedef struct {
    pps_buf_t partial; /**< of an event that isn't whole yet */
} pps_event_split_t;

/** One event with its closing blank line. @param id -1: it has none */
typedef void (*pps_event_fn)(void *user, const char *text, size_t size,
                             int64_t id);

/** Takes a piece in and hands over each event that is whole.
 * @return 0, PPS_ELIMIT when an event is too large, PPS_ENOMEM */
int
pps_event_split_feed(pps_event_split_t *split, const char *data, size_t size,
                     pps_event_fn event, void *user);

#endif
