/** @file admission_share.c @brief Usage of all hosts and the shares of it. */
#include "admission/admission_state.h"
#include "clock.h"
#include "papayaswitch/errors.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/** A peer that has not been heard for so long holds nothing. */
#define PEER_EXPIRY_US (2 * PPS_US_PER_S)

/** Part of the capacity that shares divide. */
#define SHARED_CAPACITY 0.98

/** Weight of a new sample in the smoothed demand. */
#define SMOOTHING 0.2

/** Standard deviations by which use of a met demand may pass its mean. */
#define BURST_DEVIATIONS 3.0

/** How soon that freedom is lost when less of the demand is met. */
#define CUT_STEEPNESS 4.0

/** Least use that is allowed beyond the mean, in slots. */
#define BURST_MIN 2.0

static void
peers_expire(pps_admission_t *admission, int64_t now_us)
{
    pps_admission_peer_t *peer;
    pps_admission_peer_t *next;

    cds_list_for_each_entry_safe (peer, next, &admission->peers, node) {
        if (now_us - peer->heard_us > PEER_EXPIRY_US) {
            cds_list_del(&peer->node);
            free(peer->usage);
            free(peer);
        }
    }
}

static void
peers_sum(pps_admission_t *admission)
{
    pps_admission_workspace_t *workspace;
    pps_admission_peer_t *peer;

    admission->peer_in_flight = 0.0;
    cds_list_for_each_entry (workspace, &admission->workspaces, node) {
        workspace->peer_in_flight = 0.0;
        workspace->peer_demand = 0.0;
    }
    cds_list_for_each_entry (peer, &admission->peers, node) {
        /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): expired ones left */
        for (size_t i = 0; i < peer->count; i++) {
            workspace =
                pps_admission_find(admission, peer->usage[i].workspace);
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
demands_update(pps_admission_t *admission, int64_t now_us)
{
    double elapsed = (double)(now_us - admission->ticked_us);
    pps_admission_workspace_t *workspace;

    cds_list_for_each_entry (workspace, &admission->workspaces, node) {
        if (admission->ticked_us > 0 && elapsed > 0) {
            workspace->demand +=
                SMOOTHING * (workspace->arrived / elapsed - workspace->demand);
        }
        workspace->arrived = 0.0;
    }
    admission->ticked_us = now_us;
}

/**
 * A host's part of a share follows its part of the demand. Where the demand is
 * met, use may vary around it as arrivals do; the more it is cut, the closer
 * the part is to a limit.
 */
static double
part_of_host(const pps_admission_workspace_t *workspace, double total)
{
    double met;
    double part;

    if (total <= 0) {
        return BURST_MIN;
    }
    met = fmin(workspace->share / total, 1.0);
    part = workspace->share * workspace->demand / total;
    return part + pow(met, CUT_STEEPNESS) *
                      (BURST_MIN + BURST_DEVIATIONS * sqrt(part));
}

/** What shares leave is divided among the hosts until the next tick. */
static void
spare_update(pps_admission_t *admission)
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
shares_update(pps_admission_t *admission)
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
        double total = workspace->demand + workspace->peer_demand;

        workspace->share = shares[count++];
        workspace->part = part_of_host(workspace, total);
    }
}

void
pps_admission_tick(pps_admission_t *admission, int64_t now_us)
{
    pthread_mutex_lock(&admission->lock);
    peers_expire(admission, now_us);
    peers_sum(admission);
    /* All hosts divide by what was told, else each thinks itself alone. */
    shares_update(admission);
    spare_update(admission);
    demands_update(admission, now_us);
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
peer_get(pps_admission_t *admission, const char *host)
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
    peer = peer_get(admission, host);
    if (peer != NULL) {
        free(peer->usage);
        peer->usage = copy;
        peer->count = count;
        peer->heard_us = now_us;
        copy = NULL;
    }
    pthread_mutex_unlock(&admission->lock);
    free(copy);
    return peer == NULL ? pps_error_set(PPS_ENOMEM, "admission: out of memory")
                        : PPS_OK;
}
