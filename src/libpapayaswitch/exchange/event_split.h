/**
 * @file event_split.h
 * @brief Splits a byte stream into server-sent events and parses their ids, so
 * that an interrupted stream can be resumed after the last complete event.
 *
 * Each byte is searched once, however small the pieces are in which an event
 * arrives. Only the bytes of an incomplete event are kept.
 */
#ifndef PPS_EXCHANGE_EVENT_SPLIT_H
#define PPS_EXCHANGE_EVENT_SPLIT_H

#include "buf.h"

#include <stdint.h>

/** Parser state. Zero-initialize; free with pps_event_split_reset(). */
typedef struct {
    pps_buf_t partial; /**< bytes of an incomplete event */
    size_t line;       /**< where the incomplete event's last line begins */
    size_t searched;   /**< bytes of the event up to which no end was found */
    int is_reset;      /**< since the last bytes were fed */
} pps_event_split_t;

/** Receives an event with its closing blank line. May reset the parser, which
 * ends the parsing. @param id event id; -1: it has no numeric id */
typedef void (*pps_event_fn)(void *user, const char *text, size_t size,
                             int64_t id);

/** Parses the next bytes and calls `event` for each complete event.
 * @return 0, PPS_ELIMIT above 256 KiB of an incomplete event, PPS_ENOMEM */
int
pps_event_split_feed(pps_event_split_t *split, const char *data, size_t size,
                     pps_event_fn event, void *user);

/** Drops the bytes of an incomplete event and frees the memory. */
void
pps_event_split_reset(pps_event_split_t *split);

#endif
