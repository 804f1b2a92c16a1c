/**
 * @file status.h
 * @brief Status of a host for operators.
 *
 * The control thread publishes hosts, offsets and notes as JSON several times
 * a second; HTTP threads read the last published state.
 */
#ifndef PPS_ROUTER_STATUS_H
#define PPS_ROUTER_STATUS_H

#include "papayaswitch/router.h"

#include <jansson.h>
#include <pthread.h>

/** Status last published by the control thread. */
typedef struct {
    pthread_mutex_t lock;
    json_t *hosts; /**< reports on the other hosts */
    json_t *notes; /**< verdicts on notes, oldest first */
    json_t *config;
} pps_status_t;

/** Publishes hosts, offsets and changed `notes`. Control thread. */
void
pps_status_publish(pps_router_t *router, int notes_changed);

/** Builds the complete status, owned by the caller. Any thread. */
json_t *
pps_status_json(pps_router_t *router);

/** Builds the verdicts on notes, owned by the caller. Any thread. */
json_t *
pps_status_notes_json(pps_router_t *router);

#endif
