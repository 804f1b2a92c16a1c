/** @file copy_sources.c @brief Chooses the host that sends a copy. */
#include "copy_sources.h"

#include "clock.h"

#include <stdio.h>
#include <string.h>

/** Times for which a host is not asked again. A busy host has sent the copies
 * that it had accepted after PPS_COPY_QUEUE_MAX_US. */
static const int64_t left_out_us[] = {
    [PPS_COPY_BUSY] = 200 * PPS_US_PER_MS,
    [PPS_COPY_FAILED] = 2000 * PPS_US_PER_MS,
    [PPS_COPY_OUTDATED] = 500 * PPS_US_PER_MS,
};
/** Time for which a hint holds. Later, a state of the host has arrived. */
#define HINT_US (1500 * PPS_US_PER_MS)

static pps_copy_source_t *
find(pps_copy_sources_t *sources, const char *address)
{
    for (unsigned int i = 0; i < PPS_COPY_SOURCES; i++) {
        if (strcmp(sources->hosts[i].address, address) == 0) {
            return &sources->hosts[i];
        }
    }
    return NULL;
}

static pps_copy_source_t *
find_or_add(pps_copy_sources_t *sources, const char *address)
{
    pps_copy_source_t *host = find(sources, address);

    if (host == NULL) {
        host = &sources->hosts[sources->next];
        sources->next = (sources->next + 1) % PPS_COPY_SOURCES;
        *host = (pps_copy_source_t){0};
        snprintf(host->address, sizeof(host->address), "%s", address);
    }
    return host;
}

void
pps_copy_sources_leave_out(pps_copy_sources_t *sources, const char *address,
                           pps_copy_refusal_t why, int64_t now_us)
{
    pps_copy_source_t *host = find_or_add(sources, address);

    host->left_out_until_us = now_us + left_out_us[why];
    if (why != PPS_COPY_BUSY) {
        host->hinted_until_us = 0;
    }
}

void
pps_copy_sources_hint(pps_copy_sources_t *sources, const char *address,
                      int64_t now_us)
{
    find_or_add(sources, address)->hinted_until_us = now_us + HINT_US;
}

/* Ranks: ahead in the own domain, named in the own domain, ahead elsewhere,
 * named elsewhere. */
static unsigned int
rank_of(const pps_copy_candidate_t *candidate)
{
    return (candidate->is_same_domain ? 0 : 2) + (candidate->is_ahead ? 0 : 1);
}

void
pps_copy_draw_offer(pps_copy_draw_t *draw, const pps_copy_sources_t *sources,
                    const pps_copy_candidate_t *candidate, pps_rng_t *rng,
                    int64_t now_us)
{
    const pps_copy_source_t *host =
        find((pps_copy_sources_t *)sources, candidate->address);
    unsigned int rank = rank_of(candidate);

    if ((host != NULL && host->left_out_until_us > now_us) ||
        (!candidate->is_ahead &&
         (host == NULL || host->hinted_until_us <= now_us)) ||
        (draw->chosen != NULL && rank > draw->rank)) {
        return;
    }
    if (draw->chosen == NULL || rank < draw->rank) {
        draw->rank = rank;
        draw->ties = 0;
    }
    draw->ties++;
    if (pps_rng_below(rng, draw->ties) == 0) {
        draw->best = *candidate;
        draw->chosen = &draw->best;
    }
}
