/**
 * @file status.h
 * @brief What a host tells operators of itself.
 *
 * The control thread publishes its part as JSON a few times a second; HTTP
 * threads read the last one.
 */
#ifndef PPS_ROUTER_STATUS_H
#define PPS_ROUTER_STATUS_H

#include "papayaswitch/router.h"

#include <jansson.h>
#include <pthread.h>

/** The control thread's part, as last published. */
typedef struct {
    pthread_mutex_t lock;
    json_t *hosts; /**< what is known of the others */
    json_t *notes; /**< verdicts, oldest first */
    json_t *config;
} pps_status_t;

/** Publishes the hosts and the offsets; `notes` too when they changed. */
void
pps_status_publish(pps_router_t *router, int notes_changed);

/** The whole status. Any thread. */
json_t *
pps_status_json(pps_router_t *router);

/** The verdicts on notes. Any thread. */
json_t *
pps_status_notes_json(pps_router_t *router);

#endif
