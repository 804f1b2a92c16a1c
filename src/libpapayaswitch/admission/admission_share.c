/** @file admission_share.c @brief Shares from the usage of all hosts. */
#include "admission/admission_state.h"
#include "clock.h"
#include "papayaswitch/errors.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/** Age at which the usage of a peer expires. */
#define PEER_EXPIRY_US (2 * PPS_US_PER_S)

/** Fraction of the capacity that is divided into shares. */
#define SHARED_CAPACITY 0.98

/** Weight of a new sample in the smoothed demand. */
#define DEMAND_SMOOTHING 0.2

/** Burst allowance above a share, in standard deviations of arrivals. */
#define BURST_DEVIATIONS 3.0

/** Power of the met part of the demand that scales the burst allowance. */
#define BURST_EXPONENT 4.0

/** Minimum burst allowance if the demand is met, in slots. */
#define BURST_MIN 2.0

static void
expire_peers(pps_admission_t *admission, int64_t now_us)
{
    pps_admission_peer_t *peer;
    pps_admission_peer_t *next;

    cds_list_for_each_entry_safe (peer, next, &admission->peers, node) {
        if (now_us - peer->updated_us > PEER_EXPIRY_US) {
            cds_list_del(&peer->node);
            free(peer->usage);
            free(peer);
        }
    }
}

static void
sum_peers(pps_admission_t *admission)
{
    pps_admission_workspace_t *workspace;
    pps_admission_peer_t *peer;

    admission->peer_in_flight = 0.0;
    cds_list_for_each_entry (workspace, &admission->workspaces, node) {
        workspace->peer_in_flight = 0.0;
        workspace->peer_demand = 0.0;
    }
    cds_list_for_each_entry (peer, &admission->peers, node) {
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): expired are removed */
        for (size_t i = 0; i < peer->count; i++) {
            workspace =
                pps_admission_find_or_add(admission, peer->usage[i].workspace);
            if (workspace == NULL) {
                continue;
            }
            workspace->peer_in_flight += peer->usage[i].in_flight;
            workspace->peer_demand += peer->usage[i].demand;
            admission->peer_in_flight += peer->usage[i].in_flight;
        }
    }
}

static void
update_demands(pps_admission_t *admission, int64_t now_us)
{
    double elapsed_us = (double)(now_us - admission->ticked_us);
    pps_admission_workspace_t *workspace;

    cds_list_for_each_entry (workspace, &admission->workspaces, node) {
        if (admission->ticked_us > 0 && elapsed_us > 0) {
            workspace->demand +=
                DEMAND_SMOOTHING *
                (workspace->arrived / elapsed_us - workspace->demand);
        }
        workspace->arrived = 0.0;
    }
    admission->ticked_us = now_us;
}

/**
 * Computes this host's share, in proportion to its fraction of the demand. If
 * the demand is met, usage may exceed the mean by the variation of arrivals;
 * the less of it is met, the stricter the limit.
 */
static double
compute_host_share(const pps_admission_workspace_t *workspace,
                   double total_demand)
{
    double met;
    double host_share;

    if (total_demand <= 0) {
        return BURST_MIN;
    }
    met = fmin(workspace->share / total_demand, 1.0);
    host_share = workspace->share * workspace->demand / total_demand;
    return host_share + pow(met, BURST_EXPONENT) *
                            (BURST_MIN + BURST_DEVIATIONS * sqrt(host_share));
}

/** Divides the unused capacity evenly among the hosts, until the next tick. */
static void
update_spare(pps_admission_t *admission)
{
    double used = admission->in_flight + admission->peer_in_flight;
    double hosts = 1.0;
    pps_admission_peer_t *peer;

    cds_list_for_each_entry (peer, &admission->peers, node) {
        hosts += 1.0;
    }
    admission->spare =
        fmax(SHARED_CAPACITY * admission->capacity - used, 0.0) / hosts;
}

static void
update_shares(pps_admission_t *admission)
{
    double demands[PPS_ADMISSION_WORKSPACES];
    double weights[PPS_ADMISSION_WORKSPACES];
    double shares[PPS_ADMISSION_WORKSPACES];
    pps_admission_workspace_t *workspace;
    size_t count = 0;

    cds_list_for_each_entry (workspace, &admission->workspaces, node) {
        demands[count] = workspace->demand + workspace->peer_demand;
        weights[count++] = workspace->weight;
    }
    pps_fair_shares(shares, demands, weights, count,
                    SHARED_CAPACITY * admission->capacity);
    count = 0;
    cds_list_for_each_entry (workspace, &admission->workspaces, node) {
        double total_demand = workspace->demand + workspace->peer_demand;

        workspace->share = shares[count++];
        workspace->host_share = compute_host_share(workspace, total_demand);
    }
}

void
pps_admission_tick(pps_admission_t *admission, int64_t now_us)
{
    pthread_mutex_lock(&admission->lock);
    expire_peers(admission, now_us);
    sum_peers(admission);
    /* Shares use the demand last sent to the other hosts. If each host used a
     * newer demand of its own, the host shares could add up to more than the
     * workspace's share. */
    update_shares(admission);
    update_spare(admission);
    update_demands(admission, now_us);
    pthread_mutex_unlock(&admission->lock);
}

size_t
pps_admission_get_usage(pps_admission_t *admission, pps_usage_t *out,
                        size_t capacity)
{
    const pps_admission_workspace_t *workspace;
    size_t count = 0;

    pthread_mutex_lock(&admission->lock);
    cds_list_for_each_entry (workspace, &admission->workspaces, node) {
        if (count < capacity) {
            memcpy(out[count].workspace, workspace->name,
                   sizeof(out[count].workspace));
            out[count].in_flight = workspace->in_flight;
            out[count++].demand = workspace->demand;
        }
    }
    pthread_mutex_unlock(&admission->lock);
    return count;
}

static pps_admission_peer_t *
find_or_add_peer(pps_admission_t *admission, const char *host)
{
    pps_admission_peer_t *peer;

    cds_list_for_each_entry (peer, &admission->peers, node) {
        if (strcmp(peer->host, host) == 0) {
            return peer;
        }
    }
    peer = calloc(1, sizeof(*peer));
    if (peer != NULL) {
        strncpy(peer->host, host, PPS_NAME_MAX);
        cds_list_add_tail(&peer->node, &admission->peers);
    }
    return peer;
}

int
pps_admission_update_peer(pps_admission_t *admission, const char *host,
                          const pps_usage_t *usage, size_t count,
                          int64_t now_us)
{
    pps_usage_t *copy = calloc(count + 1, sizeof(*copy));
    pps_admission_peer_t *peer;

    if (copy == NULL) {
        return pps_error_set(PPS_ENOMEM, "admission: out of memory");
    }
    memcpy(copy, usage, count * sizeof(*copy));
    pthread_mutex_lock(&admission->lock);
    peer = find_or_add_peer(admission, host);
    if (peer != NULL) {
        free(peer->usage);
        peer->usage = copy;
        peer->count = count;
        peer->updated_us = now_us;
        copy = NULL;
    }
    pthread_mutex_unlock(&admission->lock);
    free(copy);
    return peer == NULL ? pps_error_set(PPS_ENOMEM, "admission: out of memory")
                        : PPS_OK;
}
