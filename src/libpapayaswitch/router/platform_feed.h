/**
 * @file platform_feed.h
 * @brief Threads that ask the platform for its list and workers for load.
 */
#ifndef PPS_ROUTER_PLATFORM_FEED_H
#define PPS_ROUTER_PLATFORM_FEED_H

#include "papayaswitch/worker_view.h"

#include <jansson.h>

/** What the feed needs. */
typedef struct {
    const char *url; /**< of the platform; borrowed */
    pps_worker_registry_t *workers;
    /** Called on the feed's thread with a new list; takes the reference. */
    void (*deliver)(json_t *list, void *user);
    /** Called on the feed's thread with new ratings, a JSON array. */
    void (*ratings)(const json_t *ratings, void *user);
    void *user;
} pps_platform_feed_options_t;

/** The feed. */
typedef struct pps_platform_feed pps_platform_feed_t;

/** Starts both threads. */
int
pps_platform_feed_new(pps_platform_feed_t **out,
                      const pps_platform_feed_options_t *options);

/** Stops both threads. NULL is allowed. */
void
pps_platform_feed_free(pps_platform_feed_t *feed);

#endif
