/**
 * @file policy_exposure_detectors.h
 * @brief Detectors of a bad version: the health test and two baselines.
 */
#ifndef POLICY_EXPOSURE_DETECTORS_H
#define POLICY_EXPOSURE_DETECTORS_H

#include "papayaswitch/health.h"
#include "papayaswitch/reference.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 8

/** Size in ratings and threshold of the window detector. */
#define WINDOW 200
#define WINDOW_SHORTFALL 0.04

/** Standard deviation of a rating, as the evidence estimates it in the end. */
#define DEVIATION 0.18

/** Weight of the declared quality, in ratings. */
#define PRIOR_RATINGS 20.0

/** A rating received by a host. */
typedef struct {
    int host;
    int workspace;
    int worker;
    double rating;
    double expected;
    int after_fault; /**< answered after the fault began */
} arrival_t;

/** State of any of the detectors. */
typedef struct {
    pps_tally_t *hosts[HOSTS];
    pps_tally_t *observer;
    uint64_t sent[HOSTS];
    uint64_t incarnation;
    pps_health_t *health[HOSTS];
    double window[WINDOW];
    double window_sum;
    int rating_count;
    int held[HOSTS];
    pps_health_verdict_t verdict;
    int other_finding;
    double reference[2]; /**< sum and count for the expected rating */
    double staged[2];    /**< sum and count of those to use next */
    double pending[2];   /**< sum and count of the newest */
} detector_t;

/** The functions of a detector. */
typedef struct {
    const char *name;
    void (*start)(detector_t *self);
    void (*rate)(detector_t *self, const arrival_t *arrival);
    void (*tick)(detector_t *self); /**< once a second */
    void (*clear)(detector_t *self);
} detector_kind_t;

static void
format_names(const arrival_t *arrival, char workspace[12], char worker[12])
{
    snprintf(workspace, 12, "ws%d", arrival->workspace);
    snprintf(worker, 12, "w%d", arrival->worker);
}

static void
hold_all(detector_t *self)
{
    for (int h = 0; h < HOSTS; h++) {
        self->held[h] = 1;
    }
}

/** Starts the product's detector: one test over all hosts' counters. */
static void
fleet_start(detector_t *self)
{
    pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;

    options.deviation = DEVIATION;
    pps_tally_new(&self->observer, "observer", 1);
    pps_health_new(&self->health[0], &options);
    for (int h = 0; h < HOSTS; h++) {
        char name[12];

        snprintf(name, sizeof(name), "h%d", h);
        pps_tally_new(&self->hosts[h], name, 1);
    }
}

static void
fleet_rate(detector_t *self, const arrival_t *arrival)
{
    char workspace[12];
    char worker[12];

    format_names(arrival, workspace, worker);
    pps_health_count_rating(self->hosts[arrival->host], "m/1", workspace,
                            worker, arrival->rating, arrival->expected);
}

/** Counts a rating against a mean of earlier ratings, low ones included. */
static void
following_rate(detector_t *self, const arrival_t *arrival)
{
    arrival_t adjusted = *arrival;

    adjusted.expected =
        (self->reference[0] + PRIOR_RATINGS * arrival->expected) /
        (self->reference[1] + PRIOR_RATINGS);
    fleet_rate(self, &adjusted);
    self->pending[0] += arrival->rating;
    self->pending[1]++;
}

static void
update_reference(detector_t *self)
{
    for (int i = 0; i < 2; i++) {
        self->reference[i] += self->pending[i];
        self->pending[i] = 0.0;
    }
}

static void
fleet_gossip(detector_t *self, int host)
{
    void *data;
    size_t size;

    pps_tally_encode(self->hosts[host], &data, &size, self->sent[host]);
    pps_tally_merge(self->observer, data, size);
    self->sent[host] = pps_tally_last_change(self->hosts[host]);
    free(data);
}

/** Replaces a host by one whose counters are empty. */
static void
fleet_restart(detector_t *self, int host)
{
    char name[12];

    snprintf(name, sizeof(name), "h%d", host);
    pps_tally_free(self->hosts[host]);
    pps_tally_new(&self->hosts[host], name, ++self->incarnation + 1);
    self->sent[host] = 0;
}

static void
fleet_tick(detector_t *self)
{
    uint64_t before = pps_tally_last_change(self->observer);

    for (int h = 0; h < HOSTS; h++) {
        fleet_gossip(self, h);
    }
    if (pps_tally_last_change(self->observer) == before) {
        return;
    }
    pps_health_add_tally(self->health[0], self->observer, "m/1");
    pps_health_step(self->health[0], &self->verdict);
    if (self->verdict.finding == PPS_HEALTH_HOLD_VERSION) {
        hold_all(self);
    }
    else if (self->verdict.finding != PPS_HEALTH_OK) {
        self->other_finding = 1;
    }
}

static void
following_tick(detector_t *self)
{
    fleet_tick(self);
    update_reference(self);
}

/** Updates the reference late, and only while there is no sign of a drop. */
static void
lagging_tick(detector_t *self)
{
    fleet_tick(self);
    if (!pps_health_is_in_control(self->health[0]) ||
        self->pending[1] < PPS_REFERENCE_LAG) {
        return;
    }
    for (int i = 0; i < 2; i++) {
        self->reference[i] += self->staged[i];
        self->staged[i] = self->pending[i];
        self->pending[i] = 0.0;
    }
}

static void
fleet_clear(detector_t *self)
{
    pps_tally_free(self->observer);
    pps_health_free(self->health[0]);
    for (int h = 0; h < HOSTS; h++) {
        pps_tally_free(self->hosts[h]);
    }
}

/** Starts one test per host, over the ratings of that host alone. */
static void
per_host_start(detector_t *self)
{
    pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;

    options.deviation = DEVIATION;
    for (int h = 0; h < HOSTS; h++) {
        pps_health_new(&self->health[h], &options);
    }
}

static void
per_host_rate(detector_t *self, const arrival_t *arrival)
{
    char workspace[12];
    char worker[12];

    format_names(arrival, workspace, worker);
    pps_health_add(self->health[arrival->host], workspace, worker, 1,
                   arrival->expected - arrival->rating);
}

static void
per_host_tick(detector_t *self)
{
    for (int h = 0; h < HOSTS; h++) {
        pps_health_step(self->health[h], &self->verdict);
        self->held[h] |= self->verdict.finding == PPS_HEALTH_HOLD_VERSION;
    }
}

static void
per_host_clear(detector_t *self)
{
    for (int h = 0; h < HOSTS; h++) {
        pps_health_free(self->health[h]);
    }
}

/** Starts the comparison of a mean over all hosts with a fixed threshold. */
static void
window_start(detector_t *self)
{
}

static void
window_rate(detector_t *self, const arrival_t *arrival)
{
    double *slot = &self->window[self->rating_count++ % WINDOW];
    double shortfall = arrival->expected - arrival->rating;

    self->window_sum += shortfall - *slot;
    *slot = shortfall;
    if (self->rating_count >= WINDOW &&
        self->window_sum / WINDOW > WINDOW_SHORTFALL) {
        hold_all(self);
    }
}

static void
window_tick(detector_t *self)
{
}

static void
window_clear(detector_t *self)
{
}

static const detector_kind_t detector_kinds[] = {
    {"true expectation", fleet_start, fleet_rate, fleet_tick, fleet_clear},
    {"following", fleet_start, following_rate, following_tick, fleet_clear},
    {"lagging, if calm", fleet_start, following_rate, lagging_tick,
     fleet_clear},
    {"each host alone", per_host_start, per_host_rate, per_host_tick,
     per_host_clear},
    {"window threshold", window_start, window_rate, window_tick, window_clear},
};

#define DETECTORS (sizeof(detector_kinds) / sizeof(detector_kinds[0]))

#endif
