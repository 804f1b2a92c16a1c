/** @file home_gate.c @brief Regions of workers and hosts for a request. */
#include "home_gate.h"

#include <string.h>

static int
has_regions(const pps_exchange_t *exchange)
{
    const pps_region_map_t *regions = exchange->dispatcher->options.regions;

    return regions != NULL && regions->count > 0;
}

static const pps_homes_t *
workspace_homes(const pps_exchange_t *exchange)
{
    return exchange->workspace != NULL ? &exchange->workspace->homes : NULL;
}

static int
has_homes(const pps_exchange_t *exchange)
{
    const pps_homes_t *homes = workspace_homes(exchange);

    return has_regions(exchange) && (exchange->route->homes.count > 0 ||
                                     (homes != NULL && homes->count > 0));
}

static int
is_home(const pps_exchange_t *exchange, const char *failure_domain)
{
    const char *region = pps_region_map_find(
        exchange->dispatcher->options.regions, failure_domain);

    return pps_homes_allow(&exchange->route->homes, region) &&
           pps_homes_allow(workspace_homes(exchange), region);
}

static void
check_home(pps_gate_answer_t *out, const pps_dispatcher_t *dispatcher,
           pps_pool_worker_t *worker, const pps_exchange_t *exchange)
{
    if (exchange != NULL && has_homes(exchange) &&
        !is_home(exchange, worker->info.failure_domain)) {
        out->state = PPS_GATE_NEVER;
    }
}

const pps_worker_gate_t pps_gate_home = {"no_home", PPS_GATE_OF_WORKER,
                                         check_home, NULL, NULL};

int
pps_home_gate_is_unsatisfiable(const pps_exchange_t *exchange)
{
    return has_regions(exchange) &&
           pps_homes_are_disjoint(&exchange->route->homes,
                                  workspace_homes(exchange));
}

/* Returns whether a failure domain is in this host's region. */
static int
is_own_region(const pps_dispatcher_t *dispatcher, const char *failure_domain)
{
    const pps_region_map_t *regions = dispatcher->options.regions;
    const char *own = dispatcher->options.failure_domain;
    const char *region = pps_region_map_find(regions, own);

    return strcmp(failure_domain, own) == 0 ||
           (region[0] != '\0' &&
            strcmp(pps_region_map_find(regions, failure_domain), region) == 0);
}

static int
accepts_host(const void *user, const char *failure_domain)
{
    const pps_exchange_t *exchange = user;

    return !has_homes(exchange) || is_home(exchange, failure_domain) ||
           is_own_region(exchange->dispatcher, failure_domain);
}

pps_neighbour_filter_t
pps_home_gate_filter(const pps_exchange_t *exchange)
{
    return (pps_neighbour_filter_t){accepts_host, exchange};
}
