/** @file admission.c @brief Admits requests by fair share and spare slots. */
#include "admission/admission_state.h"
#include "clock.h"
#include "papayaswitch/errors.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/** Bounds of the retry time. */
#define RETRY_MIN_US (100 * PPS_US_PER_MS)
#define RETRY_MAX_US (30 * PPS_US_PER_S)

/** Pool usage, by priority, at which spare slots are refused; 1.0: full. */
static const double spare_limits[PPS_PRIORITY_COUNT] = {0.97, 0.93, 0.90};

/** Pool usage, by priority, at which a fair share is refused; 1.0: full. */
static const double share_limits[PPS_PRIORITY_COUNT] = {1.50, 1.05, 1.00};

int
pps_admission_new(pps_admission_t **out)
{
    pps_admission_t *admission = calloc(1, sizeof(*admission));

    *out = admission;
    if (admission == NULL) {
        return pps_error_set(PPS_ENOMEM, "admission: out of memory");
    }
    pthread_mutex_init(&admission->lock, NULL);
    CDS_INIT_LIST_HEAD(&admission->workspaces);
    CDS_INIT_LIST_HEAD(&admission->peers);
    return PPS_OK;
}

void
pps_admission_free(pps_admission_t *admission)
{
    pps_admission_workspace_t *workspace;
    pps_admission_workspace_t *next_workspace;
    pps_admission_peer_t *peer;
    pps_admission_peer_t *next_peer;

    if (admission == NULL) {
        return;
    }
    cds_list_for_each_entry_safe (workspace, next_workspace,
                                  &admission->workspaces, node) {
        free(workspace);
    }
    cds_list_for_each_entry_safe (peer, next_peer, &admission->peers, node) {
        free(peer->usage);
        free(peer);
    }
    pthread_mutex_destroy(&admission->lock);
    free(admission);
}

void
pps_admission_set_capacity(pps_admission_t *admission, double slots)
{
    pthread_mutex_lock(&admission->lock);
    admission->capacity = slots;
    /* The pool is unused before the first tick: all capacity is spare. */
    if (admission->ticked_us == 0) {
        admission->spare = slots;
    }
    pthread_mutex_unlock(&admission->lock);
}

pps_admission_workspace_t *
pps_admission_find_or_add(pps_admission_t *admission, const char *name)
{
    pps_admission_workspace_t *workspace;

    cds_list_for_each_entry (workspace, &admission->workspaces, node) {
        if (strcmp(workspace->name, name) == 0) {
            return workspace;
        }
    }
    if (admission->workspace_count == PPS_ADMISSION_WORKSPACES) {
        return NULL;
    }
    workspace = calloc(1, sizeof(*workspace));
    if (workspace == NULL) {
        return NULL;
    }
    strncpy(workspace->name, name, PPS_NAME_MAX);
    workspace->weight = 1.0;
    cds_list_add_tail(&workspace->node, &admission->workspaces);
    admission->workspace_count++;
    return workspace;
}

/**
 * Computes the retry time, in proportion to the ratio of demand to share. It
 * is randomized, so clients refused together do not retry together.
 */
static int64_t
retry_after(const pps_admission_workspace_t *workspace,
            const pps_admission_request_t *request)
{
    double demand = workspace->demand + workspace->peer_demand;
    double demand_ratio =
        workspace->share > 0 ? demand / workspace->share : 1.0;
    double jitter = 0.5 + pps_rng_unit(request->rng);
    double wait_us =
        (double)request->service_us * fmax(demand_ratio, 1.0) * jitter;

    return (int64_t)fmin(fmax(wait_us, RETRY_MIN_US), RETRY_MAX_US);
}

static int
misses_deadline(const pps_admission_t *admission,
                const pps_admission_request_t *request)
{
    double total_in_flight = admission->in_flight + admission->peer_in_flight;
    double queued = fmax(total_in_flight - admission->capacity, 0.0);
    double wait_us =
        queued / fmax(admission->capacity, 1.0) * (double)request->service_us;

    return request->deadline_us != INT64_MAX &&
           (double)request->now_us + wait_us + (double)request->service_us >
               (double)request->deadline_us;
}

/** Admits within the share, or else uses up spare capacity. @return 1 or 0 */
static int
take_slot(pps_admission_t *admission,
          const pps_admission_workspace_t *workspace, pps_priority_t priority)
{
    double total_in_flight = admission->in_flight + admission->peer_in_flight;

    if (workspace->in_flight < fmax(workspace->host_share, 1.0)) {
        return total_in_flight < admission->capacity * share_limits[priority];
    }
    if (admission->spare < 1.0 ||
        total_in_flight >= admission->capacity * spare_limits[priority]) {
        return 0;
    }
    admission->spare -= 1.0;
    return 1;
}

static int
admit(pps_admission_t *admission, int64_t *retry_after_us,
      const pps_admission_request_t *request)
{
    pps_admission_workspace_t *workspace =
        pps_admission_find_or_add(admission, request->workspace);

    if (workspace == NULL) {
        return pps_error_set(
            PPS_ENOMEM, "admission: out of memory or too many workspaces");
    }
    workspace->weight = request->weight;
    workspace->arrived += (double)request->service_us;
    if (misses_deadline(admission, request)) {
        *retry_after_us = retry_after(workspace, request);
        return pps_error_set(PPS_ETIMEOUT,
                             "request would not finish by its deadline");
    }
    if (!take_slot(admission, workspace, request->priority)) {
        *retry_after_us = retry_after(workspace, request);
        return pps_error_set(
            PPS_EREFUSED,
            "workspace %s is over its fair share or the pool is full",
            workspace->name);
    }
    workspace->in_flight++;
    admission->in_flight++;
    return PPS_OK;
}

int
pps_admission_enter(pps_admission_t *admission, int64_t *retry_after_us,
                    const pps_admission_request_t *request)
{
    int error;

    *retry_after_us = 0;
    pthread_mutex_lock(&admission->lock);
    error = admit(admission, retry_after_us, request);
    pthread_mutex_unlock(&admission->lock);
    return error;
}

void
pps_admission_leave(pps_admission_t *admission, const char *workspace_name)
{
    pps_admission_workspace_t *workspace;

    pthread_mutex_lock(&admission->lock);
    workspace = pps_admission_find_or_add(admission, workspace_name);
    if (workspace != NULL && workspace->in_flight > 0) {
        workspace->in_flight--;
        admission->in_flight--;
    }
    pthread_mutex_unlock(&admission->lock);
}
