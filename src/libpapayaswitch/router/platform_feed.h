/**
 * @file platform_feed.h
 * @brief Polls the platform's list and ratings, and the load of workers.
 */
#ifndef PPS_ROUTER_PLATFORM_FEED_H
#define PPS_ROUTER_PLATFORM_FEED_H

#include "papayaswitch/worker_view.h"

#include <jansson.h>

/** Options of a feed. */
typedef struct {
    const char *url; /**< base URL of the platform; borrowed */
    pps_worker_registry_t *workers;
    /** Called on the feed's thread with each list; owns the reference. */
    void (*on_list)(json_t *list, void *user);
    /** Called on the feed's thread with new ratings, a JSON array. */
    void (*on_ratings)(const json_t *ratings, void *user);
    void *user;
} pps_platform_feed_options_t;

/** A feed with its two threads. */
typedef struct pps_platform_feed pps_platform_feed_t;

/** Starts both threads. */
int
pps_platform_feed_new(pps_platform_feed_t **out,
                      const pps_platform_feed_options_t *options);

/** Stops both threads. NULL is allowed. */
void
pps_platform_feed_free(pps_platform_feed_t *feed);

#endif
