/** @file admission_state.h @brief Internal state of a pool's admission. */
#ifndef PPS_ADMISSION_STATE_H
#define PPS_ADMISSION_STATE_H

#include "papayaswitch/admission.h"

#include <pthread.h>
#include <urcu/list.h>

/** Maximum number of workspaces per pool. */
#define PPS_ADMISSION_WORKSPACES 256

/** Usage, demand and share of a workspace, in slots. */
typedef struct {
    char name[PPS_NAME_MAX + 1];
    double weight;
    double in_flight;
    double arrived;        /**< requested slot time since the last tick, us */
    double demand;         /**< of this host, smoothed */
    double peer_in_flight; /**< of all other hosts */
    double peer_demand;
    double share;      /**< of the whole pool */
    double host_share; /**< of this host, with a burst allowance */
    struct cds_list_head node;
} pps_admission_workspace_t;

/** Latest usage of another host. */
typedef struct {
    char host[PPS_NAME_MAX + 1];
    int64_t updated_us; /**< time of receipt */
    pps_usage_t *usage;
    size_t count;
    struct cds_list_head node;
} pps_admission_peer_t;

struct pps_admission {
    pthread_mutex_t lock;
    double capacity;
    double in_flight;      /**< of this host */
    double peer_in_flight; /**< of all other hosts */
    double spare;      /**< unused slots for this host until the next tick */
    int64_t ticked_us; /**< time of the last tick; 0: none */
    struct cds_list_head workspaces;
    size_t workspace_count;
    struct cds_list_head peers;
};

/** Returns the workspace, added if new, or NULL. The caller holds the lock. */
pps_admission_workspace_t *
pps_admission_find_or_add(pps_admission_t *admission, const char *name);

#endif
