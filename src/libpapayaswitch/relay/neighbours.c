/** @file neighbours.c @brief Choice of a neighbour and its failures. */
#include "neighbours.h"

#include "clock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/compiler.h>

/** Time for which a neighbour that failed is not chosen. */
#define UNUSABLE_US (1500 * PPS_US_PER_MS)
/** Workers in a row that it did not reach, after which it isn't chosen. */
#define UNANSWERED_MAX 2

typedef char address_t[PPS_NEIGHBOUR_ADDRESS_BYTES];

static address_t addresses[PPS_NEIGHBOURS_MAX];

static pps_neighbour_t *
find(pps_neighbours_t *neighbours, const char *address)
{
    pps_table_item_t *item =
        pps_table_find(&neighbours->table, address, strlen(address));

    return item != NULL ? caa_container_of(item, pps_neighbour_t, item) : NULL;
}

static pps_neighbour_t *
find_or_add(pps_neighbours_t *neighbours, const char *address)
{
    pps_neighbour_t *neighbour = find(neighbours, address);

    if (neighbour != NULL) {
        return neighbour;
    }
    neighbour = calloc(1, sizeof(*neighbour));
    if (neighbour != NULL) {
        snprintf(neighbour->address, sizeof(neighbour->address), "%s",
                 address);
        pps_table_add(&neighbours->table, &neighbour->item, neighbour->address,
                      strlen(neighbour->address));
    }
    return neighbour;
}

int
pps_neighbour_filter_accepts(const pps_neighbour_filter_t *filter,
                             const char *failure_domain)
{
    return filter == NULL || filter->accepts(filter->user, failure_domain);
}

/* Lists the usable neighbours. */
static size_t
list_usable(pps_neighbours_t *neighbours, const pps_neighbour_filter_t *filter,
            int64_t now_us)
{
    size_t count = 0;
    size_t listed;

    if (neighbours->list == NULL) {
        return 0;
    }
    listed = neighbours->list(neighbours->user, filter, addresses,
                              PPS_NEIGHBOURS_MAX);
    for (size_t i = 0; i < listed; i++) {
        const pps_neighbour_t *known = find(neighbours, addresses[i]);

        if (known != NULL && known->unusable_until_us > now_us) {
            continue;
        }
        if (count != i) {
            memcpy(addresses[count], addresses[i], sizeof(address_t));
        }
        count++;
    }
    return count;
}

/* Lists the usable neighbours that are preferred, or all if there are none. */
static size_t
list_preferred(pps_neighbours_t *neighbours,
               const pps_neighbour_filter_t *filter, int64_t now_us)
{
    size_t count = list_usable(neighbours, filter, now_us);
    pps_neighbour_filter_t any;

    if (count > 0 || filter == NULL || filter->first == 0) {
        return count;
    }
    any = *filter;
    any.first = 0;
    return list_usable(neighbours, &any, now_us);
}

int
pps_neighbours_has_any(pps_neighbours_t *neighbours,
                       const pps_neighbour_filter_t *filter, int64_t now_us)
{
    return list_usable(neighbours, filter, now_us) > 0;
}

pps_neighbour_t *
pps_neighbours_choose(pps_neighbours_t *neighbours,
                      const pps_neighbour_filter_t *filter, pps_rng_t *rng,
                      int64_t now_us)
{
    size_t count = list_preferred(neighbours, filter, now_us);
    pps_neighbour_t *first;
    pps_neighbour_t *second;

    if (count == 0) {
        return NULL;
    }
    first = find_or_add(neighbours, addresses[pps_rng_below(rng, count)]);
    second = find_or_add(neighbours, addresses[pps_rng_below(rng, count)]);
    if (first == NULL || second == NULL) {
        return first;
    }
    return second->calls < first->calls ? second : first;
}

void
pps_neighbour_note_failed(pps_neighbour_t *neighbour, int64_t now_us)
{
    neighbour->unusable_until_us = now_us + UNUSABLE_US;
    neighbour->unanswered = 0;
}

void
pps_neighbour_note_unreached(pps_neighbour_t *neighbour, int64_t now_us)
{
    if (++neighbour->unanswered >= UNANSWERED_MAX) {
        pps_neighbour_note_failed(neighbour, now_us);
    }
}

void
pps_neighbour_note_reached(pps_neighbour_t *neighbour)
{
    neighbour->unanswered = 0;
}
