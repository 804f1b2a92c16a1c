/** @file admission_state.h @brief Inner layout of a pool's admission. */
#ifndef PPS_ADMISSION_STATE_H
#define PPS_ADMISSION_STATE_H

#include "papayaswitch/admission.h"

#include <pthread.h>
#include <urcu/list.h>

/** Workspaces with usage at one time. */
#define PPS_ADMISSION_WORKSPACES 256

/** A workspace at this host. */
typedef struct {
    char name[PPS_NAME_MAX + 1];
    double weight;
    double in_flight;
    double arrived;        /**< slot time asked for since the last tick */
    double demand;         /**< of this host, smoothed */
    double peer_in_flight; /**< of all other hosts */
    double peer_demand;
    double share; /**< of the whole pool */
    double part;  /**< of this host in that share */
    struct cds_list_head node;
} pps_admission_workspace_t;

/** What another host told last. */
typedef struct {
    char host[PPS_NAME_MAX + 1];
    int64_t heard_us;
    pps_usage_t *usage;
    size_t count;
    struct cds_list_head node;
} pps_admission_peer_t;

struct pps_admission {
    pthread_mutex_t lock;
    double capacity;
    double in_flight;      /**< of this host */
    double peer_in_flight; /**< of all other hosts */
    double spare;          /**< of this host, until the next tick */
    int64_t ticked_us;
    struct cds_list_head workspaces;
    size_t workspace_count;
    struct cds_list_head peers;
};

/** The workspace, made when new; NULL without memory. Lock held. */
pps_admission_workspace_t *
pps_admission_find(pps_admission_t *admission, const char *name);

#endif
