/**
 * @file policy_exposure_detectors.h
 * @brief The health test and two baselines behind one table of functions.
 */
#ifndef POLICY_EXPOSURE_DETECTORS_H
#define POLICY_EXPOSURE_DETECTORS_H

#include "papayaswitch/health.h"
#include "papayaswitch/reference.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HOSTS 8

/** Ratings in the window of the simple threshold, and its shortfall. */
#define WINDOW 200
#define WINDOW_SHORTFALL 0.04

/** Standard deviation of a rating, as the evidence shows it after a while. */
#define DEVIATION 0.18

/** Ratings that a declared quality is worth. */
#define PRIOR_RATINGS 20.0

/** A rating as it reaches a host. */
typedef struct {
    int host;
    int workspace;
    int worker;
    double rating;
    double expected;
    int turned; /**< answered after the fault began */
} arrival_t;

/** All state that any detector needs. */
typedef struct {
    pps_tally_t *hosts[HOSTS];
    pps_tally_t *observer;
    uint64_t sent[HOSTS];
    uint64_t incarnation;
    pps_health_t *health[HOSTS];
    double window[WINDOW];
    double window_sum;
    int rated;
    int held[HOSTS];
    pps_health_verdict_t verdict;
    int other_finding;
    double believed[2]; /**< sum and count of ratings taken in */
    double staged[2];   /**< likewise, to be taken in next */
    double waiting[2];  /**< likewise, newest */
} detector_t;

/** How a detector works. */
typedef struct {
    const char *name;
    void (*start)(detector_t *self);
    void (*rate)(detector_t *self, const arrival_t *arrival);
    void (*tick)(detector_t *self); /**< once a second */
    void (*clear)(detector_t *self);
} detector_kind_t;

static void
names(const arrival_t *arrival, char workspace[12], char worker[12])
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

/** The product: counters of all hosts, merged, one test over them. */
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

    names(arrival, workspace, worker);
    pps_health_count_rating(self->hosts[arrival->host], "m/1", workspace,
                            worker, arrival->rating, arrival->expected);
}

/** Expectations learnt from the ratings themselves, the drop included. */
static void
following_rate(detector_t *self, const arrival_t *arrival)
{
    arrival_t learnt = *arrival;

    learnt.expected = (self->believed[0] + PRIOR_RATINGS * arrival->expected) /
                      (self->believed[1] + PRIOR_RATINGS);
    fleet_rate(self, &learnt);
    self->waiting[0] += arrival->rating;
    self->waiting[1]++;
}

static void
take_in(detector_t *self)
{
    for (int i = 0; i < 2; i++) {
        self->believed[i] += self->waiting[i];
        self->waiting[i] = 0.0;
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

/** A host that is replaced starts to count from nothing. */
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
    take_in(self);
}

/** Expectations lag, and wait while anything speaks for a drop. */
static void
lagging_tick(detector_t *self)
{
    fleet_tick(self);
    if (!pps_health_is_in_control(self->health[0]) ||
        self->waiting[1] < PPS_REFERENCE_LAG) {
        return;
    }
    for (int i = 0; i < 2; i++) {
        self->believed[i] += self->staged[i];
        self->staged[i] = self->waiting[i];
        self->waiting[i] = 0.0;
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

/** Each host tests what it saw itself. */
static void
alone_start(detector_t *self)
{
    pps_health_options_t options = PPS_HEALTH_OPTIONS_INIT;

    options.deviation = DEVIATION;
    for (int h = 0; h < HOSTS; h++) {
        pps_health_new(&self->health[h], &options);
    }
}

static void
alone_rate(detector_t *self, const arrival_t *arrival)
{
    char workspace[12];
    char worker[12];

    names(arrival, workspace, worker);
    pps_health_add(self->health[arrival->host], workspace, worker, 1,
                   arrival->expected - arrival->rating);
}

static void
alone_tick(detector_t *self)
{
    for (int h = 0; h < HOSTS; h++) {
        pps_health_step(self->health[h], &self->verdict);
        self->held[h] |= self->verdict.finding == PPS_HEALTH_HOLD_VERSION;
    }
}

static void
alone_clear(detector_t *self)
{
    for (int h = 0; h < HOSTS; h++) {
        pps_health_free(self->health[h]);
    }
}

/** The mean of the fleet's last ratings against a fixed threshold. */
static void
window_start(detector_t *self)
{
}

static void
window_rate(detector_t *self, const arrival_t *arrival)
{
    double *slot = &self->window[self->rated++ % WINDOW];
    double shortfall = arrival->expected - arrival->rating;

    self->window_sum += shortfall - *slot;
    *slot = shortfall;
    if (self->rated >= WINDOW &&
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
    {"each host alone", alone_start, alone_rate, alone_tick, alone_clear},
    {"window threshold", window_start, window_rate, window_tick, window_clear},
};

#define DETECTORS (sizeof(detector_kinds) / sizeof(detector_kinds[0]))

#endif
